//! What was written is found again after restarts; a file that can't be used is refused.

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

/// What the file has after any sequence of batches is what [`DiskState`] has in memory.
#[test]
fn it_has_what_the_form_in_memory_has_over_restarts() {
    let folder = TemporaryFolder::new("voter-restarts");
    // The folder is made if it is missing.
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
fn it_refuses_another_owner_a_second_process_and_a_damaged_file() {
    let folder = TemporaryFolder::new("voter-refusals");
    let path = folder.file("voter.redb");
    let opened = VoterStorage::open(&path, "f", "n1").unwrap();
    assert!(
        VoterStorage::open(&path, "f", "n1").is_err(),
        "it is open already"
    );
    drop(opened);
    let error = |fleet: &str, name: &str| VoterStorage::open(&path, fleet, name).err();
    let other_fleet = error("g", "n1").unwrap().to_string();
    assert!(other_fleet.contains("not of n1 in g"));
    let other_name = error("f", "n2").unwrap().to_string();
    assert!(other_name.contains("not of n2 in f"));
    let damaged = b"something else altogether, and longer than nothing";
    std::fs::write(&path, damaged).unwrap();
    assert!(error("f", "n1").is_some());
}
