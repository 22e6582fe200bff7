//! The encoding of each message between limiters and of each record on a voter's disk. It is positional, so a
//! moved field or variant breaks a fleet that runs two versions, and disks written by an older one. The files
//! under `fixtures/` were written before items were renamed, and must not change.

use dunespur_singleton_roles::message::{
    DiskVerdict, HelloResponse, KnownLeader, Release, RenewRequest, RenewResponse, SlotOwner,
    VoterHello,
};
use dunespur_singleton_roles::raft_types::{Entry, HardState, RaftMessage, Snapshot, VoterConfig};
use dunespur_singleton_roles::records::{DiskMeta, DiskProgress, DiskState, WriteBatch};
use dunespur_singleton_roles::table::{
    Assignment, Command, Group, GroupMember, RoleTable, Session, SlotState,
};
use dunespur_singleton_roles::{audit, discovery_relay, health_check, Identity, Message};
use serde::{de::DeserializeOwned, Serialize};
use std::collections::BTreeMap;
use std::fmt::Debug;

/// The expected bytes of a fixture file, by label.
struct Fixtures {
    file: &'static str,
    bytes: BTreeMap<String, Vec<u8>>,
    /// Labels and encodings of values that differ from the file.
    mismatches: Vec<String>,
    /// Number of values checked.
    checked: usize,
}

impl Fixtures {
    fn open(file: &'static str) -> Self {
        let path = format!("{}/tests/fixtures/{file}", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}"));
        let bytes = text.lines().map(|line| {
            let (label, hex) = line.split_once(' ').unwrap();
            (label.to_owned(), decode_hex(hex))
        });
        Fixtures {
            file,
            bytes: bytes.collect(),
            mismatches: Vec::new(),
            checked: 0,
        }
    }

    /// Checks that the value is encoded to the file's bytes, and that these are decoded to the value.
    fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &mut self,
        label: &str,
        value: T,
    ) {
        self.checked += 1;
        let encoded = postcard::to_stdvec(&value).unwrap();
        let expected = self.bytes.get(label).cloned().unwrap_or_default();
        if encoded != expected {
            self.mismatches
                .push(format!("{label} {}", encode_hex(&encoded)));
        } else {
            assert_eq!(
                postcard::from_bytes::<T>(&expected).unwrap(),
                value,
                "{label}: decoded value"
            );
        }
    }

    fn finish(self) {
        assert!(
            self.mismatches.is_empty(),
            "{}: these values are encoded differently now:\n{}",
            self.file,
            self.mismatches.join("\n")
        );
        assert_eq!(
            self.checked,
            self.bytes.len(),
            "{}: number of labels checked",
            self.file
        );
    }
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Vec<u8> {
    (0..text.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).unwrap())
        .collect()
}

fn entry(kind: u8, n: u64) -> Entry {
    Entry {
        kind,
        term: 1000 + n,
        index: 2000 + n,
        data: vec![n as u8, 1],
        context: vec![n as u8, 2, 3],
    }
}

fn config() -> VoterConfig {
    VoterConfig {
        voters: vec![11, 12, 13],
        outgoing: vec![14],
        learners: vec![15, 16],
        learners_next: vec![17],
        auto_leave: true,
    }
}

fn snapshot() -> Snapshot {
    Snapshot {
        index: 301,
        term: 302,
        config: config(),
        data: vec![31, 32, 33],
    }
}

fn raft_message(kind: u8) -> RaftMessage {
    RaftMessage {
        kind,
        to: 401,
        from: 402,
        term: 403,
        log_term: 404,
        index: 405,
        entries: vec![entry(0, 6), entry(2, 7)],
        commit: 408,
        commit_term: 409,
        snapshot: Some(snapshot()),
        request_snapshot: 410,
        reject: true,
        reject_hint: 411,
        context: vec![41, 42],
    }
}

fn group_member(disk: u64, name: &str) -> GroupMember {
    GroupMember {
        disk,
        name: name.into(),
    }
}

fn group() -> Group {
    vec![
        group_member(501, "n0"),
        group_member(502, "n1"),
        group_member(503, "n2"),
    ]
}

fn identity() -> Identity {
    Identity {
        name: "n4".into(),
        run: 601,
        zone: "zone-a".into(),
        machine: "m4".into(),
    }
}

fn release(slot: u32, token: u64, stalled: bool) -> Release {
    Release {
        slot,
        token,
        stalled,
    }
}

fn renew_request() -> RenewRequest {
    RenewRequest {
        identity: identity(),
        seq: 602,
        version: 603,
        released: vec![release(604, 605, true), release(606, 607, false)],
        leaving: true,
        needs_tokens: false,
        lookups: vec![608, 609],
    }
}

fn assignment(slot: u32, token: u64) -> Assignment {
    Assignment { slot, token }
}

fn renew_response() -> RenewResponse {
    RenewResponse {
        seq: 701,
        version: 702,
        index: 703,
        assignments: Some(vec![assignment(704, 705), assignment(706, 707)]),
        revoked: vec![708],
        tokens: Some(vec![709, 710]),
        owners: vec![SlotOwner {
            slot: 711,
            owner: "n5".into(),
        }],
    }
}

fn hello() -> VoterHello {
    VoterHello {
        name: "n6".into(),
        disk: 801,
        starts: 802,
        nonce: 803,
        term: 804,
        last_index: 805,
        is_voter: true,
    }
}

fn formed(verdict: DiskVerdict) -> HelloResponse {
    HelloResponse::Formed {
        disk: 806,
        group: group(),
        verdict,
        leader: KnownLeader {
            term: 807,
            disk: 808,
        },
    }
}

fn hello_response(response: HelloResponse) -> Message {
    Message::HelloResponse {
        disk: 809,
        nonce: 810,
        response,
    }
}

#[test]
fn messages_between_limiters_keep_their_bytes() {
    let mut fixtures = Fixtures::open("messages.hex");
    let mut check = |label: &str, message: Message| fixtures.check(label, message);
    check(
        "raft",
        Message::Raft {
            group: 901,
            message: raft_message(3),
        },
    );
    let bare = RaftMessage {
        entries: vec![],
        snapshot: None,
        reject: false,
        context: vec![],
        ..raft_message(9)
    };
    check(
        "raft-bare",
        Message::Raft {
            group: 902,
            message: bare,
        },
    );
    check("hello", Message::Hello(hello()));
    check(
        "hello-outsider",
        Message::Hello(VoterHello {
            is_voter: false,
            ..hello()
        }),
    );
    check(
        "hello-back-empty",
        hello_response(HelloResponse::Empty { disk: 811 }),
    );
    check(
        "hello-back-fit",
        hello_response(formed(DiskVerdict::Current)),
    );
    check(
        "hello-back-old",
        hello_response(formed(DiskVerdict::Outdated)),
    );
    check(
        "hello-back-unknown",
        hello_response(formed(DiskVerdict::Unknown)),
    );
    check("ask", Message::Renew(renew_request()));
    let first = RenewRequest {
        released: vec![],
        leaving: false,
        needs_tokens: true,
        lookups: vec![],
        ..renew_request()
    };
    check("ask-first", Message::Renew(first));
    check(
        "told",
        Message::Renewed {
            run: 903,
            response: renew_response(),
        },
    );
    let bare = RenewResponse {
        assignments: None,
        revoked: vec![],
        tokens: None,
        owners: vec![],
        ..renew_response()
    };
    check(
        "told-bare",
        Message::Renewed {
            run: 904,
            response: bare,
        },
    );
    check(
        "elsewhere",
        Message::NotLeader {
            run: 905,
            seq: 906,
            leader: Some("n7".into()),
        },
    );
    check(
        "elsewhere-unknown",
        Message::NotLeader {
            run: 907,
            seq: 908,
            leader: None,
        },
    );
    check("doubled", Message::DuplicateName { run: 909 });
    check("notice", Message::AssignmentsChanged { run: 910 });
    fixtures.finish();
}

#[test]
fn messages_of_relay_health_check_and_audit_keep_their_bytes() {
    let mut fixtures = Fixtures::open("work.hex");
    let (slot, token) = (1001, 1002);
    fixtures.check(
        "watch-beat",
        discovery_relay::Message::Heartbeat {
            slot,
            token,
            revision: 1003,
            age: 0.25,
        },
    );
    let endpoints = vec![1, 2, 250];
    let since = Some(1004);
    fixtures.check(
        "watch-news",
        discovery_relay::Message::Update {
            slot,
            token,
            since,
            revision: 1005,
            endpoints: endpoints.clone(),
        },
    );
    fixtures.check(
        "watch-whole",
        discovery_relay::Message::Update {
            slot,
            token,
            since: None,
            revision: 1006,
            endpoints,
        },
    );
    fixtures.check(
        "watch-want",
        discovery_relay::Message::RequestEndpoints { slot },
    );
    let server = "s1".to_owned();
    fixtures.check(
        "probe-complaint",
        health_check::Message::Complaint {
            server: server.clone(),
            failures: 1007,
        },
    );
    let observations = [
        ("probe-answered", health_check::Observation::Answered),
        ("probe-refused", health_check::Observation::Refused),
        ("probe-silent", health_check::Observation::Silent),
    ];
    for (label, observation) in observations {
        fixtures.check(
            label,
            health_check::Message::Observed {
                slot,
                token,
                server: server.clone(),
                observation,
                age: 0.5,
            },
        );
    }
    let full_usage = audit::Usage {
        name: 1008,
        calls: 1009,
        units: 1.5,
        least_unknown: -2.5,
        most_unknown: 3.5,
    };
    let empty_usage = audit::Usage {
        name: 1010,
        ..audit::Usage::default()
    };
    fixtures.check(
        "audit-uses",
        audit::Message::Usages {
            run: 1011,
            usages: vec![full_usage, empty_usage],
        },
    );
    fixtures.finish();
}

#[test]
fn commands_and_the_role_table_keep_their_bytes() {
    let mut fixtures = Fixtures::open("log.hex");
    let register = Command::Register {
        name: "n8".into(),
        run: 1101,
        zone: "zone-b".into(),
        machine: "m8".into(),
    };
    let commands = vec![
        register,
        Command::Expire { session: 1102 },
        Command::Release {
            slot: 1103,
            token: 1104,
        },
        Command::Grant {
            slot: 1105,
            token: 1106,
            session: 1107,
        },
        Command::MarkDuplicate { name: "n9".into() },
        Command::ClearDuplicate { name: "n10".into() },
    ];
    for (label, command) in ["enter", "expire", "free", "grant", "double", "single"]
        .into_iter()
        .zip(commands.iter())
    {
        fixtures.check(label, command.clone());
    }
    fixtures.check("entry-data", (1108u64, commands));
    fixtures.check("entry-context", ("n11".to_owned(), 1109u64));
    let session = |n: u64, replaced| Session {
        name: format!("n{n}"),
        run: 1110 + n,
        zone: format!("z{n}"),
        machine: format!("m{n}"),
        replaced,
    };
    let table = RoleTable {
        voters: group()
            .into_iter()
            .map(|member| (member.disk, member.name))
            .collect(),
        sessions: [(1120, session(1, true)), (1121, session(2, false))].into(),
        slots: vec![
            SlotState {
                token: 1122,
                session: 1123,
            },
            SlotState::default(),
        ],
        duplicates: ["n12".to_owned(), "n13".to_owned()].into(),
        versions: [(1124, 1125), (1126, 1127)].into(),
    };
    fixtures.check("book", table);
    fixtures.finish();
}

#[test]
fn records_on_a_voters_disk_keep_their_bytes() {
    let mut fixtures = Fixtures::open("records.hex");
    let meta = DiskMeta {
        disk: 1201,
        starts: 1202,
        group: Some(group()),
        peers: [
            (
                1203,
                DiskProgress {
                    starts: 1204,
                    nonce: 1205,
                    term: 1206,
                    last_index: 1207,
                },
            ),
            (1208, DiskProgress::default()),
        ]
        .into(),
    };
    let hard_state = HardState {
        term: 1210,
        vote: 1211,
        commit: 1212,
    };
    fixtures.check("meta", meta.clone());
    fixtures.check(
        "meta-new",
        DiskMeta {
            disk: 1213,
            starts: 1,
            ..DiskMeta::default()
        },
    );
    fixtures.check("hard", hard_state);
    fixtures.check("snap", snapshot());
    fixtures.check(
        "conf",
        VoterConfig {
            auto_leave: false,
            ..config()
        },
    );
    fixtures.check("entry", entry(0, 14));
    fixtures.check("entry-change", entry(2, 15));
    fixtures.check("group", group());
    let batch = WriteBatch {
        number: 1216,
        wipe: true,
        meta: Some(meta.clone()),
        hard_state: Some(hard_state),
        snapshot: Some(snapshot()),
        entries: vec![entry(0, 17)],
    };
    fixtures.check("batch", batch);
    fixtures.check(
        "batch-bare",
        WriteBatch {
            number: 1218,
            ..WriteBatch::default()
        },
    );
    fixtures.check(
        "saved",
        DiskState {
            meta,
            hard_state,
            snapshot: snapshot(),
            entries: vec![entry(0, 19), entry(2, 20)],
        },
    );
    fixtures.finish();
}

/// The numbers of message kinds come from the consensus library; a newer version must not change them.
#[test]
fn message_kinds_keep_their_numbers_in_the_consensus_library() {
    let readable_kinds: Vec<u8> = (0..=u8::MAX)
        .filter(|kind| raft_message(*kind).to_raft().is_some())
        .collect();
    assert_eq!(readable_kinds, [3, 4, 5, 6, 7, 8, 9, 13, 14, 16, 17, 18]);
    let expected = raft_message(3);
    let converted = RaftMessage::from(&expected.to_raft().unwrap());
    assert_eq!(
        converted, expected,
        "the conversion to the library's type and back keeps every field"
    );
}
