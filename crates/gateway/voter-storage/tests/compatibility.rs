//! A voter's file stays readable: its records have the bytes that revision 52a1591 wrote, and a file of that revision
//! opens with all its contents. That revision wrote the files under `tests/fixtures`.

use dunespur_singleton_roles::raft_types::{Entry, HardState, Snapshot, VoterConfig};
use dunespur_singleton_roles::records::{DiskMeta, DiskProgress, DiskState, WriteBatch};
use dunespur_singleton_roles::table::GroupMember;
use dunespur_test_fixtures::{hex, Fixtures, TemporaryFolder};
use dunespur_voter_storage::{OpenedVoter, VoterStorage};
use redb::{Database, Key, ReadableTable, TableDefinition, Value};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

const VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("head");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const FLEET: &str = "fleet-1";
const NAME: &str = "limiter-2";

fn fixtures() -> Fixtures {
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR"))
}

/// Path of the voter's file in a folder.
fn voter_file(folder: &TemporaryFolder) -> PathBuf {
    folder.file("voter.redb")
}

fn dump<K: Key + 'static, V: Value + 'static>(
    database: &Database,
    table: TableDefinition<K, V>,
    show: impl Fn(K::SelfType<'_>, V::SelfType<'_>) -> String,
) -> String {
    let transaction = database.begin_read().expect("a transaction");
    let table = transaction.open_table(table).expect("the table");
    let rows = table
        .iter()
        .expect("the rows")
        .map(|row| row.expect("a row"));
    rows.map(|(key, value)| show(key.value(), value.value()))
        .collect()
}

fn records(path: &Path) -> String {
    let database = Database::open(path).expect("the library opens it");
    let values = dump(&database, VALUES, |key, value| {
        format!("head {key}: {}\n", hex(value))
    });
    let log = dump(&database, LOG, |index, entry| {
        format!("log {index}: {}\n", hex(entry))
    });
    values + &log
}

fn entry(kind: u8, index: u64) -> Entry {
    Entry {
        kind,
        term: 300 + index,
        index,
        data: vec![kind; index as usize],
        context: vec![9, index as u8],
    }
}

/// The batches that the fixture was created from, with distinct values in all fields.
fn batches() -> Vec<WriteBatch> {
    let progress = |base: u64| DiskProgress {
        starts: base + 1,
        nonce: base + 2,
        term: base + 3,
        last_index: base + 4,
    };
    let meta = DiskMeta {
        disk: 1_001,
        starts: 1_002,
        group: Some(vec![
            GroupMember {
                disk: 1_003,
                name: "limiter-2".to_owned(),
            },
            GroupMember {
                disk: 1_004,
                name: "limiter-3".to_owned(),
            },
        ]),
        peers: BTreeMap::from([(1_005, progress(2_000)), (1_006, progress(3_000))]),
    };
    let config = VoterConfig {
        voters: vec![1_011, 1_012],
        outgoing: vec![1_013],
        learners: vec![1_014],
        learners_next: vec![1_015],
        auto_leave: true,
    };
    let snapshot = Snapshot {
        index: 2,
        term: 1_021,
        config,
        data: vec![21, 22, 23],
    };
    let hard_state = HardState {
        term: 1_031,
        vote: 1_032,
        commit: 1_033,
    };
    vec![
        WriteBatch {
            number: 1,
            meta: Some(DiskMeta {
                disk: 1,
                ..DiskMeta::default()
            }),
            ..WriteBatch::default()
        },
        WriteBatch {
            number: 2,
            wipe: true,
            meta: Some(meta),
            ..WriteBatch::default()
        },
        WriteBatch {
            number: 3,
            entries: (1..=4).map(|index| entry(0, index)).collect(),
            ..WriteBatch::default()
        },
        WriteBatch {
            number: 4,
            hard_state: Some(hard_state),
            snapshot: Some(snapshot),
            ..WriteBatch::default()
        },
        WriteBatch {
            number: 5,
            entries: vec![entry(2, 4), entry(0, 5)],
            ..WriteBatch::default()
        },
    ]
}

fn write(path: &Path) {
    let OpenedVoter { storage, saved } =
        VoterStorage::open(path, FLEET, NAME).expect("the file is created");
    assert_eq!(saved, DiskState::default());
    batches()
        .iter()
        .for_each(|batch| storage.write(batch).expect("the write succeeds"));
}

#[test]
fn records_have_the_bytes_of_the_earlier_revision() {
    let folder = TemporaryFolder::new("voter-records");
    write(&voter_file(&folder));
    fixtures().assert_text("records.txt", &records(&voter_file(&folder)));
}

#[test]
fn a_file_of_the_earlier_revision_opens_with_all_its_contents() {
    let folder = TemporaryFolder::new("voter-file");
    let path = voter_file(&folder);
    write(&path);
    fixtures().keep_packed("voter.redb.packed", &path);
    fixtures().unpack_to("voter.redb.packed", &path);
    assert_eq!(records(&path), fixtures().text("records.txt"));

    let OpenedVoter { saved, .. } =
        VoterStorage::open(&path, FLEET, NAME).expect("the earlier revision's file opens");
    let mut expected = DiskState::default();
    batches().iter().for_each(|batch| expected.apply(batch));
    assert_eq!(saved, expected);
    assert_eq!(
        saved.meta.group,
        Some(vec![
            GroupMember {
                disk: 1_003,
                name: "limiter-2".to_owned()
            },
            GroupMember {
                disk: 1_004,
                name: "limiter-3".to_owned()
            }
        ])
    );
    assert_eq!(
        saved.meta.peers[&1_006],
        DiskProgress {
            starts: 3_001,
            nonce: 3_002,
            term: 3_003,
            last_index: 3_004
        }
    );
    assert_eq!(
        saved.hard_state,
        HardState {
            term: 1_031,
            vote: 1_032,
            commit: 1_033
        }
    );
    assert_eq!(
        (
            saved.snapshot.index,
            saved.snapshot.term,
            saved.snapshot.config.learners_next
        ),
        (2, 1_021, vec![1_015])
    );
    assert_eq!(saved.entries, [entry(0, 3), entry(2, 4), entry(0, 5)]);
}

#[test]
fn errors_name_the_file_the_cause_and_the_remedy() {
    let folder = TemporaryFolder::new("voter-errors");
    let path = voter_file(&folder);
    let error = |fleet: &str, name: &str| {
        let error = VoterStorage::open(&path, fleet, name)
            .expect_err("the file is refused")
            .to_string();
        let prefix = format!("{}: ", path.display());
        error
            .strip_prefix(&prefix)
            .unwrap_or_else(|| panic!("{error} does not begin with {prefix}"))
            .to_owned()
    };
    write(&path);
    assert_eq!(
        error("g", NAME),
        "the file belongs to limiter-2 in fleet fleet-1, not to limiter-2 in fleet g"
    );
    assert_eq!(
        error(FLEET, "n"),
        "the file belongs to limiter-2 in fleet fleet-1, not to n in fleet fleet-1"
    );
    let overwrite = |key: &str, value: &[u8]| {
        let database = Database::open(&path).expect("the library opens it");
        let transaction = database.begin_write().expect("a transaction");
        transaction
            .open_table(VALUES)
            .expect("the table")
            .insert(key, value)
            .expect("a row");
        transaction.commit().expect("a commit");
    };
    overwrite("meta", &[255]);
    assert!(error(FLEET, NAME).starts_with("the voter's metadata can't be decoded ("));
    assert!(error(FLEET, NAME).ends_with("); move the file away"));
    overwrite("owner", &[2, 1, b'f', 1, b'n']);
    assert_eq!(
        error("f", "n"),
        "the file has format 2, but this program reads only formats up to 1; use a newer program"
    );
    overwrite("owner", &[]);
    assert!(error(FLEET, NAME).starts_with("the file's owner can't be decoded ("));
    fs::write(&path, b"something else").expect("the file is overwritten");
    assert!(!error(FLEET, NAME).is_empty());
}

#[test]
fn a_log_entry_under_another_entrys_index_is_an_error() {
    let folder = TemporaryFolder::new("voter-index");
    let path = voter_file(&folder);
    write(&path);
    let database = Database::open(&path).expect("the library opens it");
    let transaction = database.begin_write().expect("a transaction");
    {
        let mut log = transaction.open_table(LOG).expect("the table");
        let moved = log
            .remove(5)
            .expect("a row")
            .expect("entry 5")
            .value()
            .to_vec();
        log.insert(7, moved.as_slice()).expect("a row");
    }
    transaction.commit().expect("a commit");
    drop(database);
    let error = VoterStorage::open(&path, FLEET, NAME)
        .expect_err("the file is refused")
        .to_string();
    assert_eq!(
        error,
        format!(
            "{}: log entry 5 is stored under index 7; move the file away",
            path.display()
        )
    );
}
