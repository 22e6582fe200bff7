//! Compatibility of turn stores' files.

use crate::dump::{dump, format_value};
use bytes::Bytes;
use dunespur_storage::turns::TurnDisk;
use dunespur_storage::{DiskIdentity, OpenedDisk};
use dunespur_test_fixtures::{Fixtures, TemporaryFolder};
use dunespur_turn_replication::turn::{Turn, TurnHeader};
use redb::{Database, TableDefinition};
use std::path::Path;

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const HEADERS: TableDefinition<&str, &[u8]> = TableDefinition::new("headers");
const BODIES: TableDefinition<&str, &[u8]> = TableDefinition::new("bodies");

/// Disk number in the fixture.
const FIXTURE_DISK: u64 = 15_136_454_498_391_037_391;

/// Three turns of one program: the first has no previous turn, and the last has an empty body.
fn turns() -> Vec<Turn> {
    let turn = |id: &str,
                previous: Option<&str>,
                input: &'static [u8],
                output: &'static [u8],
                times: (u64, u64)| Turn {
        id: id.to_owned(),
        previous: previous.map(str::to_owned),
        program: "program-1".to_owned(),
        input: Bytes::from_static(input),
        output: Bytes::from_static(output),
        ended_at_ms: times.0,
        retention_ms: times.1,
    };
    vec![
        turn(
            "turn-1",
            None,
            b"an input",
            b"event one\nevent two\n",
            (1_764_000_000_001, 60_001),
        ),
        turn(
            "turn-2",
            Some("turn-1"),
            b"another",
            b"event three\n",
            (1_764_000_000_002, 60_002),
        ),
        turn(
            "turn-3",
            Some("turn-2"),
            b"",
            b"",
            (1_764_000_000_003, 60_003),
        ),
    ]
}

fn removed_turn() -> Turn {
    Turn {
        id: "turn-4".to_owned(),
        ..turns().remove(0)
    }
}

fn fixtures() -> Fixtures {
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR"))
}

/// Dumps all rows. The disk number is masked, as it is random.
fn records(path: &Path) -> String {
    let database = Database::open(path).expect("the library opens it");
    let meta = dump(&database, META, |key, value| match key {
        "disk" => (key.to_owned(), "drawn at random".to_owned()),
        _ => (key.to_owned(), value.to_string()),
    });
    let headers = dump(&database, HEADERS, |id, header| {
        (id.to_owned(), format_value(header))
    });
    let bodies = dump(&database, BODIES, |id, body| {
        (id.to_owned(), format_value(body))
    });
    meta + &headers + &bodies
}

/// Writes the contents of the fixture.
fn write(path: &Path) {
    let OpenedDisk { disk, .. } = TurnDisk::open(path).expect("the file is created");
    disk.put(&turns()).expect("the put succeeds");
    disk.put(&[removed_turn()]).expect("the put succeeds");
    disk.remove(&[removed_turn().id])
        .expect("the removal succeeds");
    disk.mark_complete().expect("the mark is written");
}

#[test]
fn records_of_a_turn_store_have_the_bytes_of_the_earlier_revision() {
    let folder = TemporaryFolder::new("storage-turn-records");
    let path = folder.file("turns.redb");
    write(&path);
    fixtures().assert_text("turns.txt", &records(&path));
}

#[test]
fn a_turn_stores_file_of_the_earlier_revision_opens_with_all_its_contents() {
    let folder = TemporaryFolder::new("storage-turn-file");
    let path = folder.file("turns.redb");
    write(&path);
    fixtures().keep_packed("turns.redb.packed", &path);
    let written_now = records(&path);

    fixtures().unpack_to("turns.redb.packed", &path);
    assert_eq!(records(&path), written_now);
    let OpenedDisk {
        disk,
        identity,
        contents: headers,
    } = TurnDisk::open(&path).expect("the earlier revision's file opens");
    assert_eq!(
        identity,
        DiskIdentity {
            disk: FIXTURE_DISK,
            fresh: false
        }
    );
    let expected: Vec<TurnHeader> = turns().iter().map(Turn::header).collect();
    assert_eq!(headers, expected);
    let sizes: Vec<u64> = headers.iter().map(|header| header.size).collect();
    assert_eq!(
        sizes,
        [64 + 6 + 9 + 28, 64 + 6 + 6 + 9 + 19, 64 + 6 + 6 + 9]
    );
    assert_eq!(
        disk.get_many(&["turn-1", "turn-2", "turn-3", "turn-4"])
            .expect("the read succeeds"),
        turns()
    );
}
