//! Written batches survive restarts, and an unusable file is refused.

use dunespur_singleton_roles::raft_types::{Entry, HardState, Snapshot};
use dunespur_singleton_roles::records::{DiskMeta, DiskState, WriteBatch};
use dunespur_test_fixtures::TemporaryFolder;
use dunespur_voter_storage::{OpenedVoter, VoterStorage};

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        kind: 0,
        term,
        index,
        data: vec![index as u8; 9],
        context: vec![],
    }
}

/// After each batch and restart, the file has the same state as a [`DiskState`] in memory.
#[test]
fn a_reopened_file_has_the_state_that_was_written() {
    let folder = TemporaryFolder::new("voter-restarts");
    // Opening the file creates its missing folder.
    let path = folder.file("data").join("voter.redb");
    let mut expected = DiskState::default();
    let snapshot = Snapshot {
        index: 2,
        term: 1,
        ..Default::default()
    };
    let batches = [
        WriteBatch {
            number: 1,
            meta: Some(DiskMeta {
                disk: 7,
                starts: 1,
                ..Default::default()
            }),
            ..Default::default()
        },
        WriteBatch {
            number: 2,
            entries: vec![entry(1, 1), entry(2, 1), entry(3, 1)],
            ..Default::default()
        },
        WriteBatch {
            number: 3,
            entries: vec![entry(3, 2)],
            hard_state: Some(HardState {
                term: 2,
                vote: 7,
                commit: 1,
            }),
            ..Default::default()
        },
        WriteBatch {
            number: 4,
            snapshot: Some(snapshot),
            ..Default::default()
        },
        WriteBatch {
            number: 5,
            wipe: true,
            meta: Some(DiskMeta {
                disk: 8,
                ..Default::default()
            }),
            ..Default::default()
        },
    ];
    for batch in batches {
        let OpenedVoter { storage, saved } = VoterStorage::open(&path, "f", "n1").unwrap();
        assert_eq!(saved, expected);
        storage.write(&batch).unwrap();
        expected.apply(&batch);
    }
    let saved = VoterStorage::open(&path, "f", "n1").unwrap().saved;
    assert_eq!((saved.meta.disk, saved.entries.len()), (8, 0));
}

#[test]
fn a_file_of_another_owner_an_open_file_and_a_corrupt_file_are_refused() {
    let folder = TemporaryFolder::new("voter-refusals");
    let path = folder.file("voter.redb");
    let opened = VoterStorage::open(&path, "f", "n1").unwrap();
    assert!(
        VoterStorage::open(&path, "f", "n1").is_err(),
        "the file is already open"
    );
    drop(opened);
    let error = |fleet: &str, name: &str| VoterStorage::open(&path, fleet, name).err();
    let other_fleet = error("g", "n1").unwrap().to_string();
    assert!(other_fleet.contains("not to n1 in fleet g"));
    let other_name = error("f", "n2").unwrap().to_string();
    assert!(other_name.contains("not to n2 in fleet f"));
    let corrupt = b"something else altogether, and longer than nothing";
    std::fs::write(&path, corrupt).unwrap();
    assert!(error("f", "n1").is_some());
}
