//! After restarts, a core member's file has the state that [`DurableState::apply`] computes and an unchanged identity.

use dunespur_chain_replication::{
    AcceptedView, DecidedView, DurableState, Entry, MemberId, Origin, Payload, Peer, Position,
    ProposalNumber, Snapshot, View, Write,
};
use dunespur_storage::core::CoreDisk;
use dunespur_storage::OpenedDisk;
use dunespur_test_fixtures::TemporaryFolder;
use std::fs;
use std::path::Path;

fn reopened(path: &Path) -> DurableState {
    let OpenedDisk {
        identity,
        contents: saved,
        ..
    } = CoreDisk::open(path).expect("the file opens again");
    assert!(!identity.fresh);
    saved
}

fn member(number: u64) -> MemberId {
    MemberId {
        node: format!("node-{number}"),
        disk: number,
    }
}

fn view(number: u64) -> DecidedView {
    let address = "10.1.0.1:7380".parse().expect("an address");
    let members: Vec<Peer> = (0..3)
        .map(|index| Peer {
            id: member(index + number),
            address,
        })
        .collect();
    let chain = members.iter().map(|member| member.id.clone()).collect();
    DecidedView {
        view: View {
            number,
            members,
            chain,
        },
        base: number - 1,
    }
}

fn proposal_number(sequence: u64) -> ProposalNumber {
    ProposalNumber {
        sequence,
        proposer: member(sequence % 3),
        incarnation: sequence * 7,
    }
}

fn entry(index: u64, view: u64) -> Entry {
    let payload = Payload::from(vec![index as u8; (index % 200) as usize]);
    Entry {
        position: Position { index, view },
        origin: Origin {
            incarnation: 5,
            ticket: index,
        },
        payload,
    }
}

/// Generates random valid writes of a member.
struct WriteGenerator {
    random_state: u64,
    last_index: u64,
    snapshot_index: u64,
    view: u64,
}

impl WriteGenerator {
    fn below(&mut self, bound: u64) -> u64 {
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 33) % bound
    }

    fn next(&mut self) -> Write {
        match self.below(12) {
            0 => Write::Promise {
                proposal_number: proposal_number(self.below(100)),
            },
            1 => {
                let proposal_number = proposal_number(self.below(100));
                Write::Accept {
                    accepted: AcceptedView {
                        proposal_number,
                        proposal: view(self.view + 1),
                    },
                }
            }
            2 => {
                self.view += 1;
                Write::InstallView {
                    decided: view(self.view),
                }
            }
            3 => Write::Synced { view: self.view },
            4 => {
                self.last_index =
                    self.snapshot_index + self.below(self.last_index - self.snapshot_index + 1);
                Write::Truncate {
                    index: self.last_index,
                }
            }
            5 => {
                self.snapshot_index += self.below(self.last_index - self.snapshot_index + 1);
                let position = Position {
                    index: self.snapshot_index,
                    view: self.view,
                };
                let bytes = Payload::from(vec![self.snapshot_index as u8; 10_000]);
                Write::Snapshot {
                    snapshot: Snapshot { position, bytes },
                }
            }
            _ => {
                self.last_index += 1;
                Write::Entry {
                    entry: entry(self.last_index, self.view),
                }
            }
        }
    }
}

#[test]
fn a_reopened_file_has_the_state_that_was_written() {
    for seed in 0..6 {
        let folder = TemporaryFolder::new(&format!("storage-writes-{seed}"));
        let mut generator = WriteGenerator {
            random_state: seed,
            last_index: 0,
            snapshot_index: 0,
            view: 1,
        };
        let mut expected = DurableState::default();
        for _ in 0..6 {
            let OpenedDisk {
                disk,
                contents: found,
                ..
            } = CoreDisk::open(&folder.file("core.redb")).expect("the file opens");
            assert_eq!(found, expected);
            for _ in 0..8 {
                let writes: Vec<Write> =
                    (0..generator.below(12)).map(|_| generator.next()).collect();
                disk.write(&writes).expect("the write succeeds");
                writes.iter().for_each(|write| expected.apply(write));
            }
        }
        assert_eq!(reopened(&folder.file("core.redb")), expected);
    }
}

#[test]
fn the_identity_changes_only_when_the_file_is_created_again() {
    let folder = TemporaryFolder::new("storage-identity");
    let OpenedDisk {
        disk,
        identity: first,
        contents: saved,
    } = CoreDisk::open(&folder.file("core.redb")).expect("the file is created");
    assert!(first.fresh && saved.is_empty());
    drop(disk);
    let OpenedDisk {
        disk,
        identity: second,
        ..
    } = CoreDisk::open(&folder.file("core.redb")).expect("the file opens");
    assert!(!second.fresh);
    assert_eq!(first.disk, second.disk);
    drop(disk);
    fs::remove_file(folder.file("core.redb")).expect("the file is removed");
    let OpenedDisk {
        identity: third,
        contents: saved,
        ..
    } = CoreDisk::open(&folder.file("core.redb")).expect("the file is created again");
    assert!(third.fresh && saved.is_empty());
    assert_ne!(first.disk, third.disk);
}

#[test]
fn an_unfinished_file_is_created_again() {
    let folder = TemporaryFolder::new("storage-unfinished");
    fs::write(folder.file("core.redb.unfinished"), b"half a file")
        .expect("an unfinished file is written");
    let OpenedDisk {
        identity,
        contents: saved,
        ..
    } = CoreDisk::open(&folder.file("core.redb")).expect("the file is created");
    assert!(identity.fresh && saved.is_empty());
}

/// unreadable.rs tests corrupt database files, and files that must not be set aside.
#[test]
fn a_file_that_is_no_database_is_set_aside() {
    let folder = TemporaryFolder::new("storage-foreign");
    fs::write(folder.file("core.redb"), b"not a database").expect("a foreign file is written");
    let OpenedDisk {
        identity,
        contents: saved,
        ..
    } = CoreDisk::open(&folder.file("core.redb")).expect("a new file is created");
    assert!(identity.fresh && saved.is_empty());
    let aside = fs::read(folder.file("core.redb").with_extension("unreadable"))
        .expect("the file that was set aside");
    assert_eq!(aside, b"not a database");
}

/// Entries between two snapshots, as in the chain.
const ENTRIES_PER_SNAPSHOT: u64 = 2_000;
/// Size of a snapshot.
const SNAPSHOT_BYTES: usize = 400_000;
/// Largest allowed file size with about 400 kB of snapshot and 500 kB of entries. Core machines have disks of 64 MB.
const MAX_FILE_BYTES: u64 = 12 << 20;

/// Guards against a file that fills the disk of a core machine. A snapshot that was stored as one value, and whose
/// commit removed thousands of entries, made the file grow by tens of megabytes.
#[test]
fn the_file_stays_small_over_many_snapshots() {
    let folder = TemporaryFolder::new("storage-small");
    let OpenedDisk { disk, .. } =
        CoreDisk::open(&folder.file("core.redb")).expect("the file is created");
    let mut index = 0;
    for _ in 0..4 {
        for _ in 0..ENTRIES_PER_SNAPSHOT / 4 {
            let writes: Vec<Write> = (1..=4)
                .map(|offset| Write::Entry {
                    entry: entry(index + offset, 1),
                })
                .collect();
            index += 4;
            disk.write(&writes).expect("the write succeeds");
        }
        let position = Position {
            index: index - 10,
            view: 1,
        };
        let snapshot = Snapshot {
            position,
            bytes: vec![7; SNAPSHOT_BYTES].into(),
        };
        disk.write(&[Write::Snapshot { snapshot }])
            .expect("the write succeeds");
    }
    drop(disk);
    let size = fs::metadata(folder.file("core.redb"))
        .expect("the metadata of the file")
        .len();
    assert!(
        size < MAX_FILE_BYTES,
        "the file has {size} bytes, at most {MAX_FILE_BYTES} are allowed"
    );
    let saved = reopened(&folder.file("core.redb"));
    let snapshot = saved.snapshot.expect("a snapshot");
    assert_eq!(snapshot.position.index, index - 10);
    assert_eq!(snapshot.bytes.len(), SNAPSHOT_BYTES);
    let indices: Vec<u64> = saved.entries.iter().map(Entry::index).collect();
    assert_eq!(indices, (index - 9..=index).collect::<Vec<u64>>());
}
