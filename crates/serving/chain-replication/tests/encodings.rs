//! Messages between members and records on disk keep their encoding, so that members of different versions understand each
//! other, and a member can read the disk of an earlier version.
//!
//! Postcard encodes fields and variants by position, so only these tests notice one that moves; each field of a value has a
//! different number for this. The fixtures were written by the version of 2026-12-02. A new variant gets a new fixture,
//! with `RECORD_FIXTURES=1`; existing fixtures stay.

use dunespur_chain_replication::message::{
    AppendEntries, Ping, Promise, ReadIndexRequest, ResumePoint,
};
use dunespur_chain_replication::snapshot_transfer::{
    SnapshotChunk, SnapshotDescriptor, SnapshotProgress,
};
use dunespur_chain_replication::{
    AcceptedView, DecidedView, DurableState, Entry, MemberId, Message, Origin, Payload, Peer,
    Position, ProposalNumber, Snapshot, View, Write,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::path::PathBuf;

fn fixtures() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/encodings"))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = text.trim();
    let pairs = (0..digits.len()).step_by(2).map(|at| &digits[at..at + 2]);
    pairs
        .map(|pair| u8::from_str_radix(pair, 16).expect("a fixture is hexadecimal"))
        .collect()
}

/// Checks that the value is encoded as the fixture's bytes, and that these bytes are decoded as the value.
fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let path = fixtures().join(format!("{name}.hex"));
    let written = postcard::to_stdvec(value).expect("the value can be encoded");
    if std::env::var_os("RECORD_FIXTURES").is_some() && !path.exists() {
        std::fs::write(&path, hex(&written) + "\n").expect("the fixture can be written");
    }
    let text = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{name}: {error}"));
    assert_eq!(
        hex(&written),
        text.trim(),
        "{name}: the encoded bytes differ from the fixture"
    );
    let read: T =
        postcard::from_bytes(&from_hex(&text)).unwrap_or_else(|error| panic!("{name}: {error}"));
    assert_eq!(read, *value, "{name}: the decoded value differs");
}

fn id(node: &str, disk: u64) -> MemberId {
    MemberId {
        node: node.into(),
        disk,
    }
}

fn peer(node: &str, disk: u64, address: &str) -> Peer {
    Peer {
        id: id(node, disk),
        address: address.parse().expect("an address"),
    }
}

fn view() -> View {
    View {
        number: 1_001,
        members: vec![
            peer("core-a", 1_002, "10.1.2.3:7380"),
            peer("core-b", 1_003, "10.1.2.4:7381"),
            peer("core-c", 1_004, "[fd00::5]:7382"),
        ],
        chain: vec![id("core-c", 1_004), id("core-a", 1_002)],
    }
}

fn decided() -> DecidedView {
    DecidedView {
        view: view(),
        base: 1_005,
    }
}

fn proposal_number() -> ProposalNumber {
    ProposalNumber {
        sequence: 1_006,
        proposer: id("core-d", 1_007),
        incarnation: 1_008,
    }
}

fn accepted_view() -> AcceptedView {
    AcceptedView {
        proposal_number: proposal_number(),
        proposal: decided(),
    }
}

fn position() -> Position {
    Position {
        index: 1_009,
        view: 1_010,
    }
}

fn origin() -> Origin {
    Origin {
        incarnation: 1_011,
        ticket: 1_012,
    }
}

fn payload() -> Payload {
    Payload::from(vec![1, 2, 255, 0, 128])
}

fn entry() -> Entry {
    Entry {
        position: position(),
        origin: origin(),
        payload: payload(),
    }
}

fn append() -> AppendEntries {
    let second = Entry {
        position: Position {
            index: 1_013,
            view: 1_014,
        },
        origin: Origin {
            incarnation: 1_015,
            ticket: 1_016,
        },
        payload: Payload::from(Vec::new()),
    };
    let previous = Position {
        index: 1_017,
        view: 1_018,
    };
    AppendEntries {
        view: 1_019,
        previous,
        entries: vec![entry(), second],
        last: 1_020,
    }
}

fn resume() -> ResumePoint {
    ResumePoint {
        view: 1_021,
        last: position(),
        commit_index: 1_022,
    }
}

fn ping() -> Ping {
    Ping {
        address: "10.1.2.5:7383".parse().expect("an address"),
        view: 1_023,
        timestamp: 1_024,
        echoed_timestamp: Some(1_025),
        connected: 0b1_0110,
        synced: true,
        disk_stalled: false,
        leaving: true,
        commit_index: 1_026,
        reply_requested: false,
    }
}

fn promise() -> Promise {
    Promise {
        view: 1_027,
        proposal_number: proposal_number(),
        accepted: Some(accepted_view()),
        synced_view: 1_028,
        last: position(),
    }
}

fn descriptor() -> SnapshotDescriptor {
    SnapshotDescriptor {
        position: position(),
        length: 1_029,
        checksum: 1_030,
    }
}

/// A value of each variant.
fn messages() -> Vec<Message> {
    let mut messages = agreement_messages();
    messages.extend(chain_messages());
    messages
}

fn agreement_messages() -> Vec<Message> {
    vec![
        Message::Bootstrap { view: view() },
        Message::Join {
            joiner: peer("core-e", 1_031, "10.1.2.6:7384"),
        },
        Message::Decided { decided: decided() },
        Message::Ping(ping()),
        Message::Prepare {
            proposal_number: proposal_number(),
            decided: decided(),
        },
        Message::Promise(promise()),
        Message::Reject {
            view: 1_032,
            promised: proposal_number(),
        },
        Message::Accept {
            proposal_number: proposal_number(),
            proposal: decided(),
        },
        Message::Accepted {
            view: 1_035,
            proposal_number: proposal_number(),
        },
    ]
}

fn chain_messages() -> Vec<Message> {
    let chunk = SnapshotChunk {
        descriptor: descriptor(),
        offset: 1_033,
        bytes: payload(),
    };
    let progress = SnapshotProgress {
        descriptor: descriptor(),
        received: 1_034,
        rejected: true,
    };
    vec![
        Message::Append(append()),
        Message::Resume(resume()),
        Message::FetchCommitted(resume()),
        Message::CommittedEntries(append()),
        Message::UnchunkedSnapshot {
            view: 1_036,
            position: position(),
            bytes: payload(),
        },
        Message::Committed {
            view: 1_037,
            index: 1_038,
        },
        Message::Submit {
            view: 1_039,
            origin: origin(),
            payload: payload(),
        },
        Message::Overloaded { origin: origin() },
        Message::ReadIndex(ReadIndexRequest {
            view: 1_040,
            reader: id("core-f", 1_041),
            request: 1_042,
        }),
        Message::ReadIndexReply {
            request: 1_043,
            index: 1_044,
        },
        Message::SnapshotChunk { view: 1_045, chunk },
        Message::SnapshotProgress {
            view: 1_046,
            progress,
        },
    ]
}

/// The fixture of each variant; a new variant needs a fixture here and a value in [`messages`].
fn fixture_of_message(message: &Message) -> &'static str {
    match message {
        Message::Bootstrap { .. } => "message-00-found",
        Message::Join { .. } => "message-01-join",
        Message::Decided { .. } => "message-02-decided",
        Message::Ping(_) => "message-03-ping",
        Message::Prepare { .. } => "message-04-prepare",
        Message::Promise(_) => "message-05-promise",
        Message::Reject { .. } => "message-06-refuse",
        Message::Accept { .. } => "message-07-accept",
        Message::Accepted { .. } => "message-08-accepted",
        Message::Append(_) => "message-09-append",
        Message::Resume(_) => "message-10-attach",
        Message::FetchCommitted(_) => "message-11-follow",
        Message::CommittedEntries(_) => "message-12-followed",
        Message::UnchunkedSnapshot { .. } => "message-13-snapshot",
        Message::Committed { .. } => "message-14-committed",
        Message::Submit { .. } => "message-15-submit",
        Message::Overloaded { .. } => "message-16-overloaded",
        Message::ReadIndex(_) => "message-17-probe",
        Message::ReadIndexReply { .. } => "message-18-probe-answer",
        Message::SnapshotChunk { .. } => "message-19-snapshot-part",
        Message::SnapshotProgress { .. } => "message-20-snapshot-progress",
    }
}

fn snapshot() -> Snapshot {
    Snapshot {
        position: position(),
        bytes: payload(),
    }
}

fn writes() -> Vec<Write> {
    vec![
        Write::Promise {
            proposal_number: proposal_number(),
        },
        Write::Accept {
            accepted: accepted_view(),
        },
        Write::InstallView { decided: decided() },
        Write::Synced { view: 1_047 },
        Write::Entry { entry: entry() },
        Write::Truncate { index: 1_048 },
        Write::Snapshot {
            snapshot: snapshot(),
        },
    ]
}

fn fixture_of_write(write: &Write) -> &'static str {
    match write {
        Write::Promise { .. } => "write-0-promise",
        Write::Accept { .. } => "write-1-accept",
        Write::InstallView { .. } => "write-2-install",
        Write::Synced { .. } => "write-3-synced",
        Write::Entry { .. } => "write-4-entry",
        Write::Truncate { .. } => "write-5-truncate",
        Write::Snapshot { .. } => "write-6-snapshot",
    }
}

#[test]
fn each_message_keeps_its_bytes() {
    let messages = messages();
    messages
        .iter()
        .for_each(|message| check(fixture_of_message(message), message));
    let fixtures: BTreeSet<&str> = messages.iter().map(fixture_of_message).collect();
    assert_eq!(fixtures.len(), 21, "one value of each variant");
}

#[test]
fn each_write_keeps_its_bytes() {
    let writes = writes();
    writes
        .iter()
        .for_each(|write| check(fixture_of_write(write), write));
    let fixtures: BTreeSet<&str> = writes.iter().map(fixture_of_write).collect();
    assert_eq!(fixtures.len(), 7, "one value of each variant");
}

#[test]
fn the_durable_state_keeps_its_bytes() {
    let durable = DurableState {
        decided: Some(decided()),
        promised: Some(proposal_number()),
        accepted: Some(accepted_view()),
        synced_view: 1_049,
        snapshot: Some(snapshot()),
        entries: append().entries,
    };
    check("saved", &durable);
    check("saved-empty-disk", &DurableState::default());
}

/// Messages with the other value of each option and flag.
#[test]
fn messages_with_other_flags_keep_their_bytes() {
    let ping = Ping {
        echoed_timestamp: None,
        synced: false,
        disk_stalled: true,
        leaving: false,
        reply_requested: true,
        ..ping()
    };
    check("message-03-ping-other-flags", &Message::Ping(ping));
    let promise = Promise {
        accepted: None,
        ..promise()
    };
    check(
        "message-05-promise-nothing-accepted",
        &Message::Promise(promise),
    );
    let progress = SnapshotProgress {
        descriptor: descriptor(),
        received: 1_034,
        rejected: false,
    };
    check(
        "message-20-snapshot-progress-taken",
        &Message::SnapshotProgress {
            view: 1_046,
            progress,
        },
    );
}

/// Records that other packages store or send on their own.
#[test]
fn single_records_keep_their_bytes() {
    check("part-member-id", &id("core-a", 1_002));
    check("part-peer", &peer("core-c", 1_004, "[fd00::5]:7382"));
    check("part-view", &view());
    check("part-decided-view", &decided());
    check("part-accepted-view", &accepted_view());
    check("part-ballot", &proposal_number());
    check("part-position", &position());
    check("part-origin", &origin());
    check("part-payload", &payload());
    check("part-entry", &entry());
    check("part-saved-snapshot", &snapshot());
}
