//! Tests of a member that receives a snapshot in chunks: rejected chunks, the log during the transfer, and installation.

use dunespur_chain_replication::limits::{MAX_SNAPSHOT_BYTES, SNAPSHOT_CHUNK_BYTES};
use dunespur_chain_replication::snapshot_transfer::{
    SnapshotChunk, SnapshotDescriptor, SnapshotProgress,
};
use dunespur_chain_replication::{
    DecidedView, DurableState, Entry, Input, Member, MemberConfig, MemberId, Message, Origin,
    Output, Payload, Peer, Position, Snapshot, SnapshotRejection, SnapshotRejections, View, Write,
};

const NOW: u64 = 10_000;
const VIEW: u64 = 2;
/// End of the member's log; the snapshot ends much later.
const LOG_END: u64 = 3;
const POSITION: Position = Position {
    index: 900,
    view: 1,
};

fn id(node: usize) -> MemberId {
    MemberId {
        node: format!("m{node}"),
        disk: 1,
    }
}

fn peer(node: usize) -> Peer {
    Peer {
        id: id(node),
        address: ([10, 0, 0, node as u8], 7380).into(),
    }
}

fn entry(index: u64) -> Entry {
    let origin = Origin {
        incarnation: 9,
        ticket: index,
    };
    Entry {
        position: Position { index, view: 1 },
        origin,
        payload: Payload::from(vec![index as u8]),
    }
}

/// The second member of a chain of three, which has not caught up with the first.
struct Receiver {
    member: Member,
    outputs: Vec<Output>,
}

impl Receiver {
    fn new() -> Receiver {
        let view = View {
            number: VIEW,
            members: (0..3).map(peer).collect(),
            chain: (0..3).map(id).collect(),
        };
        let durable = DurableState {
            decided: Some(DecidedView { view, base: 1 }),
            synced_view: 1,
            entries: (1..=LOG_END).map(entry).collect(),
            ..DurableState::default()
        };
        let member = Member::new(
            MemberConfig {
                peer: peer(1),
                may_bootstrap: true,
                seed: 7,
            },
            durable,
            NOW,
        );
        let mut receiver = Receiver {
            member,
            outputs: Vec::new(),
        };
        receiver.give(Input::Tick);
        receiver
    }

    fn give(&mut self, input: Input) {
        self.outputs.clear();
        self.member.step(input, NOW, &mut self.outputs);
    }

    fn chunk_from(&mut self, node: usize, chunk: SnapshotChunk) -> Option<SnapshotProgress> {
        self.give(Input::Received {
            from: id(node),
            message: Message::SnapshotChunk { view: VIEW, chunk },
        });
        self.outputs.iter().find_map(|output| match output {
            Output::Send {
                message: Message::SnapshotProgress { progress, .. },
                ..
            } => Some(*progress),
            _ => None,
        })
    }

    fn chunk(&mut self, chunk: SnapshotChunk) -> SnapshotProgress {
        self.chunk_from(0, chunk).expect("a reply to the chunk")
    }

    fn installed(&self) -> Option<(u64, Vec<u8>)> {
        self.outputs.iter().find_map(|output| match output {
            Output::InstallSnapshot { index, bytes } => Some((*index, bytes.clone())),
            _ => None,
        })
    }

    fn writes(&self) -> Vec<Write> {
        let batches = self.outputs.iter().filter_map(|output| match output {
            Output::Persist { writes, .. } => Some(writes.clone()),
            _ => None,
        });
        batches.flatten().collect()
    }

    /// The end of the member's log, as it reports it to its predecessor.
    fn log_end(&mut self) -> u64 {
        self.give(Input::Received {
            from: id(0),
            message: Message::Append(far_ahead()),
        });
        let resume_index = self.outputs.iter().find_map(|output| match output {
            Output::Send {
                message: Message::Resume(resume),
                ..
            } => Some(resume.last.index),
            _ => None,
        });
        // A member that has just sent a request sends the next one only after a while.
        resume_index.unwrap_or_else(|| {
            self.outputs.clear();
            self.member.step(Input::Tick, NOW + 200, &mut self.outputs);
            let resume_index = self.outputs.iter().find_map(|output| match output {
                Output::Send {
                    message: Message::Resume(resume),
                    ..
                } => Some(resume.last.index),
                _ => None,
            });
            resume_index.expect("it requests again")
        })
    }
}

fn far_ahead() -> dunespur_chain_replication::message::AppendEntries {
    let previous = Position {
        index: 5_000,
        view: VIEW,
    };
    dunespur_chain_replication::message::AppendEntries {
        view: VIEW,
        previous,
        entries: Vec::new(),
        last: 5_000,
    }
}

fn state(bytes: usize) -> Snapshot {
    let bytes: Vec<u8> = (0..bytes).map(|at| (at % 251) as u8).collect();
    Snapshot {
        position: POSITION,
        bytes: bytes.into(),
    }
}

fn chunk(snapshot: &Snapshot, from: usize, to: usize) -> SnapshotChunk {
    let bytes = Payload::from(&snapshot.bytes.bytes()[from..to]);
    SnapshotChunk {
        descriptor: SnapshotDescriptor::of(snapshot),
        offset: from as u64,
        bytes,
    }
}

#[test]
fn a_snapshot_is_installed_only_when_it_is_complete() {
    let mut receiver = Receiver::new();
    let snapshot = state(1_000);
    let first = receiver.chunk(chunk(&snapshot, 0, 600));
    assert_eq!((first.received, first.rejected), (600, false));
    assert!(receiver.installed().is_none() && receiver.writes().is_empty());
    assert_eq!(
        receiver.log_end(),
        LOG_END,
        "the log is kept until the snapshot is complete"
    );
    let last = receiver.chunk(chunk(&snapshot, 600, 1_000));
    assert_eq!((last.received, last.rejected), (1_000, false));
    assert_eq!(
        receiver.installed(),
        Some((POSITION.index, snapshot.bytes.to_vec()))
    );
    let writes = receiver.writes();
    assert!(writes.contains(&Write::Snapshot { snapshot }));
    assert!(
        writes.contains(&Write::Synced { view: 0 }),
        "the log is complete as of no view until the member has caught up"
    );
    assert!(!receiver.member.is_up_to_date(NOW));
}

#[test]
fn duplicated_and_reordered_chunks_change_nothing() {
    let mut receiver = Receiver::new();
    let snapshot = state(1_000);
    assert_eq!(
        receiver.chunk(chunk(&snapshot, 400, 700)).received,
        0,
        "the member acknowledges the bytes that it has"
    );
    assert_eq!(receiver.chunk(chunk(&snapshot, 0, 400)).received, 400);
    assert_eq!(receiver.chunk(chunk(&snapshot, 0, 400)).received, 400);
    assert_eq!(receiver.chunk(chunk(&snapshot, 700, 1_000)).received, 400);
    assert_eq!(receiver.chunk(chunk(&snapshot, 400, 700)).received, 700);
    assert_eq!(receiver.chunk(chunk(&snapshot, 700, 1_000)).received, 1_000);
    assert_eq!(
        receiver.installed(),
        Some((POSITION.index, snapshot.bytes.to_vec()))
    );
}

#[test]
fn chunks_of_two_snapshots_are_not_mixed() {
    let mut receiver = Receiver::new();
    let (one, mut other) = (state(1_000), state(1_000));
    other.bytes = vec![9; 1_000].into();
    assert_eq!(receiver.chunk(chunk(&one, 0, 600)).received, 600);
    assert_eq!(
        receiver.chunk(chunk(&other, 600, 1_000)).received,
        0,
        "the other snapshot starts from its beginning"
    );
    assert_eq!(receiver.chunk(chunk(&other, 0, 600)).received, 600);
    receiver.chunk(chunk(&other, 600, 1_000));
    assert_eq!(
        receiver.installed(),
        Some((POSITION.index, other.bytes.to_vec()))
    );
}

/// A chunk that is to be rejected.
struct RejectedChunk {
    name: &'static str,
    length: u64,
    offset: u64,
    bytes: usize,
    reason: SnapshotRejection,
}

const REJECTED: [RejectedChunk; 6] = [
    RejectedChunk {
        name: "too large",
        length: MAX_SNAPSHOT_BYTES + 1,
        offset: 0,
        bytes: 10,
        reason: SnapshotRejection::TooLarge,
    },
    RejectedChunk {
        name: "empty",
        length: 1_000,
        offset: 0,
        bytes: 0,
        reason: SnapshotRejection::ChunkOutOfBounds,
    },
    RejectedChunk {
        name: "beyond the end",
        length: 1_000,
        offset: 990,
        bytes: 11,
        reason: SnapshotRejection::ChunkOutOfBounds,
    },
    RejectedChunk {
        name: "an offset that overflows",
        length: 1_000,
        offset: u64::MAX,
        bytes: 11,
        reason: SnapshotRejection::ChunkOutOfBounds,
    },
    RejectedChunk {
        name: "a chunk that is too large",
        length: MAX_SNAPSHOT_BYTES,
        offset: 0,
        bytes: SNAPSHOT_CHUNK_BYTES + 1,
        reason: SnapshotRejection::ChunkOutOfBounds,
    },
    RejectedChunk {
        name: "corrupted",
        length: 1_000,
        offset: 0,
        bytes: 1_000,
        reason: SnapshotRejection::ChecksumMismatch,
    },
];

/// The counts by reason.
fn counts(rejections: SnapshotRejections) -> [u64; 3] {
    [
        rejections.too_large,
        rejections.chunk_out_of_bounds,
        rejections.checksum_mismatch,
    ]
}

fn counted_once(reason: SnapshotRejection) -> [u64; 3] {
    match reason {
        SnapshotRejection::TooLarge => [1, 0, 0],
        SnapshotRejection::ChunkOutOfBounds => [0, 1, 0],
        SnapshotRejection::ChecksumMismatch => [0, 0, 1],
    }
}

/// Invalid chunks are rejected and counted by reason, and leave the member's log as it was.
#[test]
fn chunks_that_do_not_fit_are_rejected() {
    let descriptor = SnapshotDescriptor::of(&state(1_000));
    for case in REJECTED {
        let name = case.name;
        let mut receiver = Receiver::new();
        let progress = receiver.chunk(SnapshotChunk {
            descriptor: SnapshotDescriptor {
                length: case.length,
                ..descriptor
            },
            offset: case.offset,
            bytes: Payload::from(vec![1; case.bytes]),
        });
        assert!(progress.rejected, "{name}");
        assert!(
            receiver.installed().is_none() && receiver.writes().is_empty(),
            "{name}"
        );
        let rejections = receiver.member.snapshot_rejections();
        assert_eq!(counts(rejections), counted_once(case.reason), "{name}");
        assert_eq!(receiver.log_end(), LOG_END, "{name}");
    }
}

#[test]
fn a_corrupted_snapshot_is_followed_by_a_correct_one() {
    let mut receiver = Receiver::new();
    let snapshot = state(1_000);
    let mut corrupted = chunk(&snapshot, 0, 1_000);
    corrupted.bytes = vec![1; 1_000].into();
    assert!(receiver.chunk(corrupted).rejected);
    assert_eq!(receiver.chunk(chunk(&snapshot, 0, 1_000)).received, 1_000);
    assert_eq!(
        receiver.installed(),
        Some((POSITION.index, snapshot.bytes.to_vec()))
    );
}

#[test]
fn chunks_from_others_than_the_predecessor_are_ignored() {
    let mut receiver = Receiver::new();
    let snapshot = state(1_000);
    assert_eq!(receiver.chunk_from(2, chunk(&snapshot, 0, 1_000)), None);
    assert!(receiver.installed().is_none());
    assert_eq!(receiver.member.snapshot_rejections().total(), 0);
}

/// Guards against a chain that stalls when the receiver's log already includes the snapshot, but the sender, whose log
/// begins after the receiver's commit index, doesn't know the end of the receiver's log.
#[test]
fn a_snapshot_that_the_log_includes_is_not_needed() {
    let mut receiver = Receiver::new();
    let snapshot = Snapshot {
        position: Position { index: 2, view: 1 },
        ..state(1_000)
    };
    let progress = receiver.chunk(chunk(&snapshot, 0, 600));
    assert_eq!(
        (progress.received, progress.rejected),
        (1_000, false),
        "the sender continues after the snapshot"
    );
    assert!(receiver.installed().is_none() && receiver.writes().is_empty());
    assert_eq!(receiver.log_end(), LOG_END);
}
