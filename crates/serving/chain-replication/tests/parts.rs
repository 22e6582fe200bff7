//! One member that takes a snapshot in parts: what it refuses, what it holds meanwhile, and when the whole counts.

use dunespur_chain_replication::member::transfer::{SnapshotLabel, SnapshotPart, SnapshotProgress};
use dunespur_chain_replication::timing::{MOST_SNAPSHOT_BYTES, SNAPSHOT_PART_BYTES};
use dunespur_chain_replication::{
    DecidedView, Entry, Input, Member, MemberId, Message, Origin, Output, Payload, Peer, Position,
    Saved, SavedSnapshot, View, Write,
};

const NOW: u64 = 10_000;
const VIEW: u64 = 2;
/// The member's log ends here; the snapshot is of much later.
const HELD: u64 = 3;
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
        session: 9,
        ticket: index,
    };
    Entry {
        position: Position { index, view: 1 },
        origin,
        payload: Payload::from(vec![index as u8]),
    }
}

/// The second of a chain of three, which has not come up to the first.
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
        let saved = Saved {
            decided: Some(DecidedView { view, base: 1 }),
            synced_view: 1,
            entries: (1..=HELD).map(entry).collect(),
            ..Saved::default()
        };
        let member = Member::new(id(1), peer(1).address, true, saved, 7, NOW);
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

    fn part_from(&mut self, node: usize, part: SnapshotPart) -> Option<SnapshotProgress> {
        self.give(Input::Received {
            from: id(node),
            message: Message::SnapshotPart { view: VIEW, part },
        });
        self.outputs.iter().find_map(|output| match output {
            Output::Send {
                message: Message::SnapshotProgress { progress, .. },
                ..
            } => Some(*progress),
            _ => None,
        })
    }

    fn part(&mut self, part: SnapshotPart) -> SnapshotProgress {
        self.part_from(0, part).expect("an answer")
    }

    fn installed(&self) -> Option<(u64, Vec<u8>)> {
        self.outputs.iter().find_map(|output| match output {
            Output::Install { index, bytes } => Some((*index, bytes.clone())),
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

    /// Where its log ends, as it tells its predecessor.
    fn log_end(&mut self) -> u64 {
        self.give(Input::Received {
            from: id(0),
            message: Message::Append(far_ahead()),
        });
        let attached = self.outputs.iter().find_map(|output| match output {
            Output::Send {
                message: Message::Attach(attach),
                ..
            } => Some(attach.last.index),
            _ => None,
        });
        // It has asked just now otherwise.
        attached.unwrap_or_else(|| {
            self.outputs.clear();
            self.member.step(Input::Tick, NOW + 200, &mut self.outputs);
            let attached = self.outputs.iter().find_map(|output| match output {
                Output::Send {
                    message: Message::Attach(attach),
                    ..
                } => Some(attach.last.index),
                _ => None,
            });
            attached.expect("it asks again")
        })
    }
}

fn far_ahead() -> dunespur_chain_replication::message::Append {
    let previous = Position {
        index: 5_000,
        view: VIEW,
    };
    dunespur_chain_replication::message::Append {
        view: VIEW,
        previous,
        entries: Vec::new(),
        last: 5_000,
    }
}

fn state(bytes: usize) -> SavedSnapshot {
    let bytes: Vec<u8> = (0..bytes).map(|at| (at % 251) as u8).collect();
    SavedSnapshot {
        position: POSITION,
        bytes: bytes.into(),
    }
}

fn part(snapshot: &SavedSnapshot, from: usize, to: usize) -> SnapshotPart {
    let bytes = Payload::from(&snapshot.bytes.bytes()[from..to]);
    SnapshotPart {
        label: SnapshotLabel::of(snapshot),
        offset: from as u64,
        bytes,
    }
}

#[test]
fn the_whole_counts_and_nothing_before_it() {
    let mut receiver = Receiver::new();
    let snapshot = state(1_000);
    let first = receiver.part(part(&snapshot, 0, 600));
    assert_eq!((first.held, first.refused), (600, false));
    assert!(receiver.installed().is_none() && receiver.writes().is_empty());
    assert_eq!(
        receiver.log_end(),
        HELD,
        "what it holds stays until the whole is there"
    );
    let last = receiver.part(part(&snapshot, 600, 1_000));
    assert_eq!((last.held, last.refused), (1_000, false));
    assert_eq!(
        receiver.installed(),
        Some((POSITION.index, snapshot.bytes.to_vec()))
    );
    let writes = receiver.writes();
    assert!(writes.contains(&Write::Snapshot { snapshot }));
    assert!(
        writes.contains(&Write::Synced { view: 0 }),
        "it holds what no view needs until the rest has come"
    );
    assert!(!receiver.member.follows(NOW));
}

#[test]
fn parts_that_come_twice_or_out_of_order_change_nothing() {
    let mut receiver = Receiver::new();
    let snapshot = state(1_000);
    assert_eq!(
        receiver.part(part(&snapshot, 400, 700)).held,
        0,
        "it says where it is"
    );
    assert_eq!(receiver.part(part(&snapshot, 0, 400)).held, 400);
    assert_eq!(receiver.part(part(&snapshot, 0, 400)).held, 400);
    assert_eq!(receiver.part(part(&snapshot, 700, 1_000)).held, 400);
    assert_eq!(receiver.part(part(&snapshot, 400, 700)).held, 700);
    assert_eq!(receiver.part(part(&snapshot, 700, 1_000)).held, 1_000);
    assert_eq!(
        receiver.installed(),
        Some((POSITION.index, snapshot.bytes.to_vec()))
    );
}

#[test]
fn parts_of_two_snapshots_are_not_mixed() {
    let mut receiver = Receiver::new();
    let (one, mut other) = (state(1_000), state(1_000));
    other.bytes = vec![9; 1_000].into();
    assert_eq!(receiver.part(part(&one, 0, 600)).held, 600);
    assert_eq!(
        receiver.part(part(&other, 600, 1_000)).held,
        0,
        "it begins anew"
    );
    assert_eq!(receiver.part(part(&other, 0, 600)).held, 600);
    receiver.part(part(&other, 600, 1_000));
    assert_eq!(
        receiver.installed(),
        Some((POSITION.index, other.bytes.to_vec()))
    );
}

/// Refused with its reason, counted, and nothing held is lost by it.
#[test]
fn what_does_not_fit_is_refused() {
    let snapshot = state(1_000);
    let label = SnapshotLabel::of(&snapshot);
    let bytes = |count: usize| Payload::from(vec![1; count]);
    let too_large = SnapshotLabel {
        length: MOST_SNAPSHOT_BYTES + 1,
        ..label
    };
    let large = SnapshotLabel {
        length: MOST_SNAPSHOT_BYTES,
        ..label
    };
    let cases = [
        (
            "too large",
            SnapshotPart {
                label: too_large,
                offset: 0,
                bytes: bytes(10),
            },
            (1, 0, 0),
        ),
        (
            "empty",
            SnapshotPart {
                label,
                offset: 0,
                bytes: bytes(0),
            },
            (0, 1, 0),
        ),
        (
            "beyond the end",
            SnapshotPart {
                label,
                offset: 990,
                bytes: bytes(11),
            },
            (0, 1, 0),
        ),
        (
            "an offset that runs over",
            SnapshotPart {
                label,
                offset: u64::MAX,
                bytes: bytes(11),
            },
            (0, 1, 0),
        ),
        (
            "a part that is too large",
            SnapshotPart {
                label: large,
                offset: 0,
                bytes: bytes(SNAPSHOT_PART_BYTES + 1),
            },
            (0, 1, 0),
        ),
        (
            "spoilt",
            SnapshotPart {
                label,
                offset: 0,
                bytes: bytes(1_000),
            },
            (0, 0, 1),
        ),
    ];
    for (what, part, counts) in cases {
        let mut receiver = Receiver::new();
        let answer = receiver.part(part);
        assert!(answer.refused, "{what}");
        assert!(
            receiver.installed().is_none() && receiver.writes().is_empty(),
            "{what}"
        );
        let refusals = receiver.member.snapshot_refusals();
        assert_eq!(
            (
                refusals.too_large,
                refusals.part_out_of_bounds,
                refusals.checksum
            ),
            counts,
            "{what}"
        );
        assert_eq!(receiver.log_end(), HELD, "{what}");
    }
}

#[test]
fn a_spoilt_snapshot_is_followed_by_a_good_one() {
    let mut receiver = Receiver::new();
    let snapshot = state(1_000);
    let mut spoilt = part(&snapshot, 0, 1_000);
    spoilt.bytes = vec![1; 1_000].into();
    assert!(receiver.part(spoilt).refused);
    assert_eq!(receiver.part(part(&snapshot, 0, 1_000)).held, 1_000);
    assert_eq!(
        receiver.installed(),
        Some((POSITION.index, snapshot.bytes.to_vec()))
    );
}

#[test]
fn parts_from_others_than_the_predecessor_do_not_count() {
    let mut receiver = Receiver::new();
    let snapshot = state(1_000);
    assert_eq!(receiver.part_from(2, part(&snapshot, 0, 1_000)), None);
    assert!(receiver.installed().is_none());
    assert_eq!(receiver.member.snapshot_refusals().total(), 0);
}

/// Against a chain that stands still: the sender's log doesn't reach back to what is committed here, and it doesn't
/// know the end of the log here; but the log here reaches to where the snapshot ends.
#[test]
fn a_snapshot_up_to_where_the_log_reaches_is_not_needed() {
    let mut receiver = Receiver::new();
    let snapshot = SavedSnapshot {
        position: Position { index: 2, view: 1 },
        ..state(1_000)
    };
    let answer = receiver.part(part(&snapshot, 0, 600));
    assert_eq!(
        (answer.held, answer.refused),
        (1_000, false),
        "the sender goes on from there"
    );
    assert!(receiver.installed().is_none() && receiver.writes().is_empty());
    assert_eq!(receiver.log_end(), HELD);
}
