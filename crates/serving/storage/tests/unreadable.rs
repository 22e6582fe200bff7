//! Files that were truncated, or have bytes that nobody wrote: the start sets them aside and goes on as if the disk
//! were empty, or finds all that was written. Never an error at each start, and never a member that goes on under its
//! identity with less than it had acknowledged.

use dunespur_chain_replication::{DurableState, Entry, Origin, Payload, Position, Snapshot, Write};
use dunespur_storage::core::CoreDisk;
use dunespur_storage::recovery::{set_aside_bytes, MAX_SET_ASIDE_BYTES};
use dunespur_storage::turns::TurnDisk;
use dunespur_storage::Opened;
use dunespur_test_fixtures::TemporaryFolder;
use dunespur_turn_replication::turn::Turn;
use std::fs;
use std::path::{Path, PathBuf};

const PAGE: usize = 4_096;
/// The library's header, and where its two roots begin in it.
const HEADER: usize = 320;
const ROOTS: usize = 64;
/// Bytes of a file that are corrupted besides its header.
const CORRUPTED_OFFSETS: usize = 48;
/// With this variable in the environment each byte of the header is corrupted, and ten times as many of the pages.
const ALL_OFFSETS: &str = "UNREADABLE_ALL";

/// Puts a file into a folder and nothing beside it.
fn put_alone(folder: &TemporaryFolder, name: &str, bytes: &[u8]) -> PathBuf {
    for entry in fs::read_dir(folder.path()).expect("the folder").flatten() {
        fs::remove_file(entry.path()).expect("an old file is removed");
    }
    let path = folder.file(name);
    fs::write(&path, bytes).expect("a file");
    path
}

/// Names of the files in a folder.
fn names(folder: &TemporaryFolder) -> Vec<String> {
    let entries = fs::read_dir(folder.path()).expect("the folder").flatten();
    let mut names: Vec<String> = entries
        .map(|entry| entry.file_name().to_string_lossy().into_owned())
        .collect();
    names.sort();
    names
}

fn entry(index: u64) -> Entry {
    let payload = Payload::from(vec![index as u8; 300]);
    Entry {
        position: Position { index, view: 1 },
        origin: Origin {
            incarnation: 5,
            ticket: index,
        },
        payload,
    }
}

fn snapshot(index: u64) -> Write {
    let position = Position { index, view: 1 };
    Write::Snapshot {
        snapshot: Snapshot {
            position,
            bytes: vec![3; 60_000].into(),
        },
    }
}

/// A core member's file as it was after each of its last two batches, and what was acknowledged by then.
struct CoreFile {
    disk: u64,
    before_last: DurableState,
    last: DurableState,
    /// As a process that was killed leaves it.
    killed: Vec<u8>,
    closed: Vec<u8>,
}

fn core_file(folder: &TemporaryFolder) -> CoreFile {
    let path = folder.file("core.redb");
    let Opened {
        disk,
        identity,
        contents: mut saved,
    } = CoreDisk::open(&path).expect("a new file");
    let mut index = 0;
    let mut before_last = DurableState::default();
    for batch in 0..40 {
        let mut writes: Vec<Write> = (1..=5)
            .map(|step| Write::Entry {
                entry: entry(index + step),
            })
            .collect();
        index += 5;
        writes.push(Write::Synced { view: batch + 1 });
        if batch % 8 == 7 {
            writes.push(snapshot(index - 3));
        }
        before_last = saved.clone();
        disk.write(&writes).expect("the disk accepts it");
        writes.iter().for_each(|write| saved.apply(write));
    }
    let killed = fs::read(&path).expect("the file");
    drop(disk);
    let closed = fs::read(&path).expect("the file");
    CoreFile {
        disk: identity.disk,
        before_last,
        last: saved,
        killed,
        closed,
    }
}

/// What a start made of a corrupt file.
#[derive(Debug, PartialEq, Eq)]
enum Found {
    SetAside,
    All,
    /// All but the last batch, as a loss of power within it would leave it.
    AllButLast,
}

fn open_core(folder: &TemporaryFolder, path: &Path, written: &CoreFile, context: &str) -> Found {
    let Opened {
        disk,
        identity,
        contents: saved,
    } = CoreDisk::open(path).unwrap_or_else(|error| panic!("{context}: {}", error.with_causes()));
    disk.write(&[Write::Synced { view: 99 }])
        .unwrap_or_else(|error| panic!("{context}: {}", error.with_causes()));
    drop(disk);
    if identity.fresh {
        assert_ne!(identity.disk, written.disk, "{context}: another identity");
        assert!(saved.is_empty(), "{context}: nothing is taken over");
        assert_eq!(names(folder), ["core.redb", "core.unreadable"], "{context}");
        let Opened {
            identity: again, ..
        } = CoreDisk::open(path).expect("the new file opens");
        assert_eq!(
            (again.disk, again.fresh),
            (identity.disk, false),
            "{context}"
        );
        return Found::SetAside;
    }
    assert_eq!(identity.disk, written.disk, "{context}");
    assert_eq!(names(folder), ["core.redb"], "{context}");
    if saved == written.last {
        return Found::All;
    }
    assert_eq!(
        saved, written.before_last,
        "{context}: neither all nor all but the last batch"
    );
    Found::AllButLast
}

/// Lengths at which a file of so many bytes is truncated: all that the header has fields at, and beginnings and ends of
/// pages.
fn lengths(complete: usize) -> Vec<usize> {
    let header = (0..HEADER).step_by(32).chain([1, 9, 10, HEADER - 1]);
    let pages = (0..complete)
        .step_by(PAGE)
        .filter(|page| (page / PAGE).is_multiple_of(60) || *page < 4 * PAGE);
    let around = pages.flat_map(|page| [page + 1, page + PAGE / 2, page + PAGE]);
    let mut lengths: Vec<usize> = header
        .chain(around)
        .chain([complete - 1])
        .filter(|at| *at < complete)
        .collect();
    lengths.sort_unstable();
    lengths.dedup();
    lengths
}

#[test]
fn a_truncated_core_file_makes_a_new_member() {
    let folder = TemporaryFolder::new("storage-core-truncated");
    let written = core_file(&folder);
    for complete in [&written.killed, &written.closed] {
        for length in lengths(complete.len()) {
            let path = put_alone(&folder, "core.redb", &complete[..length]);
            let found = open_core(&folder, &path, &written, &format!("truncated to {length}"));
            assert_eq!(
                found,
                Found::SetAside,
                "truncated to {length} of {}",
                complete.len()
            );
        }
    }
}

/// Offsets that matter: the complete header, and of the pages that aren't empty the beginning and some bytes within.
fn offsets(bytes: &[u8], mask: u8) -> Vec<usize> {
    let all = std::env::var_os(ALL_OFFSETS).is_some();
    let used = bytes
        .chunks(PAGE)
        .enumerate()
        .filter(|(_, page)| page.iter().any(|byte| *byte != 0));
    let within = used
        .flat_map(|(number, _)| [0, 1, 2, 3, 4, 9, 40, 700, PAGE - 1].map(|at| number * PAGE + at));
    let within: Vec<usize> = within
        .filter(|at| *at >= HEADER && *at < bytes.len())
        .collect();
    let step = (within.len()
        / if all {
            10 * CORRUPTED_OFFSETS
        } else {
            CORRUPTED_OFFSETS
        })
    .max(1);
    let (first_root, root_step) = if all {
        (ROOTS, 1)
    } else {
        (ROOTS + usize::from(mask % 6), 6)
    };
    let roots = (first_root..HEADER).step_by(root_step);
    (0..ROOTS)
        .step_by(if all { 1 } else { 2 })
        .chain(roots)
        .chain(within.into_iter().step_by(step))
        .collect()
}

fn corrupted(bytes: &[u8], offset: usize, mask: u8) -> Vec<u8> {
    let mut corrupted = bytes.to_vec();
    corrupted[offset] ^= mask;
    corrupted
}

#[test]
fn a_closed_core_file_with_corrupt_bytes_is_complete_or_set_aside() {
    let folder = TemporaryFolder::new("storage-core-closed");
    let written = core_file(&folder);
    let mut set_aside = 0;
    for mask in [0x01, 0xff] {
        for offset in offsets(&written.closed, mask) {
            let path = put_alone(
                &folder,
                "core.redb",
                &corrupted(&written.closed, offset, mask),
            );
            let found = open_core(
                &folder,
                &path,
                &written,
                &format!("byte {offset} ^ {mask:#x}"),
            );
            assert_ne!(found, Found::AllButLast, "byte {offset} ^ {mask:#x}");
            set_aside += usize::from(found == Found::SetAside);
        }
    }
    assert!(
        set_aside > 60,
        "only {set_aside} were set aside: the offsets say nothing"
    );
}

/// A process that was killed leaves the last commit as a loss of power within it might: a byte of that commit alone
/// which was corrupted can't be told from a commit that never ended. Nothing before it may be lost.
#[test]
fn a_core_file_of_a_killed_process_loses_nothing_before_its_last_batch() {
    let folder = TemporaryFolder::new("storage-core-killed");
    let written = core_file(&folder);
    let mut set_aside = 0;
    for offset in offsets(&written.killed, 0xff) {
        let path = put_alone(
            &folder,
            "core.redb",
            &corrupted(&written.killed, offset, 0xff),
        );
        let found = open_core(&folder, &path, &written, &format!("byte {offset}"));
        set_aside += usize::from(found == Found::SetAside);
    }
    assert!(
        set_aside > 10,
        "only {set_aside} were set aside: the offsets say nothing"
    );
}

fn turn(number: u64, bytes: usize) -> Turn {
    Turn {
        id: format!("turn-{number}"),
        previous: None,
        program: "3fa81c".to_owned(),
        input: vec![number as u8; bytes].into(),
        output: vec![7; 300].into(),
        ended_at_ms: number,
        retention_ms: 60_000,
    }
}

/// A store's file, closed, and as a killed process leaves it.
fn turns_files(folder: &TemporaryFolder) -> (u64, Vec<Vec<u8>>) {
    let path = folder.file("turns.redb");
    let Opened { disk, identity, .. } = TurnDisk::open(&path).expect("a new file");
    for number in 0..60 {
        disk.put(&[turn(number, 5_000)]).expect("it puts");
    }
    disk.mark_complete().expect("it marks");
    let killed = fs::read(&path).expect("the file");
    drop(disk);
    let closed = fs::read(&path).expect("the file");
    (identity.disk, vec![killed, closed])
}

fn open_turns(folder: &TemporaryFolder, path: &Path, disk: u64, context: &str) -> Found {
    let Opened {
        disk: turns,
        identity,
        contents: entries,
    } = TurnDisk::open(path).unwrap_or_else(|error| panic!("{context}: {}", error.with_causes()));
    turns
        .put(&[turn(99, 10)])
        .unwrap_or_else(|error| panic!("{context}: {}", error.with_causes()));
    if identity.disk != disk {
        assert!(identity.fresh && entries.is_empty(), "{context}");
        assert_eq!(
            names(folder),
            ["turns.redb", "turns.unreadable"],
            "{context}"
        );
        return Found::SetAside;
    }
    assert_eq!(entries.len(), 60, "{context}");
    for number in 0..60 {
        let found = turns
            .get(&format!("turn-{number}"))
            .unwrap_or_else(|error| panic!("{context}: {}", error.with_causes()));
        assert_eq!(found, Some(turn(number, 5_000)), "{context}");
    }
    // The last commit was the mark alone.
    if identity.fresh {
        Found::AllButLast
    } else {
        Found::All
    }
}

#[test]
fn a_truncated_file_of_turns_is_a_new_disk() {
    let folder = TemporaryFolder::new("storage-turns-truncated");
    let (disk, files) = turns_files(&folder);
    for complete in files {
        for length in lengths(complete.len()) {
            let path = put_alone(&folder, "turns.redb", &complete[..length]);
            let found = open_turns(&folder, &path, disk, &format!("truncated to {length}"));
            assert_eq!(
                found,
                Found::SetAside,
                "truncated to {length} of {}",
                complete.len()
            );
        }
    }
}

#[test]
fn a_file_of_turns_with_corrupt_bytes_is_complete_or_set_aside() {
    let folder = TemporaryFolder::new("storage-turns-corrupt");
    let (disk, files) = turns_files(&folder);
    let mut set_aside = 0;
    for complete in files {
        for offset in offsets(&complete, 0xff) {
            let path = put_alone(&folder, "turns.redb", &corrupted(&complete, offset, 0xff));
            let found = open_turns(&folder, &path, disk, &format!("byte {offset}"));
            set_aside += usize::from(found == Found::SetAside);
        }
    }
    assert!(
        set_aside > 40,
        "only {set_aside} were set aside: the offsets say nothing"
    );
}

#[test]
fn one_file_set_aside_stays_and_no_more_of_it_than_the_bound() {
    let folder = TemporaryFolder::new("storage-bound");
    let path = put_alone(&folder, "core.redb", b"the first");
    let Opened {
        identity: first, ..
    } = CoreDisk::open(&path).expect("it is made anew");
    assert_eq!(
        fs::read(folder.file("core.unreadable")).expect("it stays"),
        b"the first"
    );
    fs::write(&path, vec![9; MAX_SET_ASIDE_BYTES as usize * 3]).expect("a large file");
    let Opened {
        identity: second, ..
    } = CoreDisk::open(&path).expect("it is made anew");
    assert!(second.fresh && second.disk != first.disk);
    assert_eq!(names(&folder), ["core.redb", "core.unreadable"]);
    assert_eq!(set_aside_bytes(&path), MAX_SET_ASIDE_BYTES);
}

/// Errors that say nothing of the contents lose none.
#[test]
fn a_file_that_another_process_has_open_stays() {
    let folder = TemporaryFolder::new("storage-locked");
    let written = core_file(&folder);
    let path = put_alone(&folder, "core.redb", &written.closed);
    let Opened { disk: first, .. } = CoreDisk::open(&path).expect("it opens");
    assert!(CoreDisk::open(&path).is_err(), "two have it open");
    drop(first);
    assert_eq!(open_core(&folder, &path, &written, "later"), Found::All);
}

#[test]
fn a_folder_instead_of_the_file_is_an_error_and_stays() {
    let folder = TemporaryFolder::new("storage-folder");
    let path = folder.file("turns.redb");
    fs::create_dir_all(&path).expect("a folder");
    assert!(TurnDisk::open(&path).is_err());
    assert_eq!(names(&folder), ["turns.redb"]);
}

/// Another version's file may be complete.
#[test]
fn a_file_of_another_format_is_refused_and_stays() {
    use redb::{Database, TableDefinition};
    let folder = TemporaryFolder::new("storage-format");
    let path = folder.file("core.redb");
    drop(CoreDisk::open(&path).expect("a new file"));
    let database = Database::open(&path).expect("it opens");
    let write = database.begin_write().expect("a write");
    {
        let values: TableDefinition<&str, &[u8]> = TableDefinition::new("values");
        let mut values = write.open_table(values).expect("the table");
        values
            .insert("format", [77].as_slice())
            .expect("another format");
    }
    write.commit().expect("it is written");
    drop(database);
    let Err(error) = CoreDisk::open(&path) else {
        panic!("it opens")
    };
    let text = error.with_causes();
    assert!(text.contains("format Some(77) is not 2"), "{text}");
    assert_eq!(names(&folder), ["core.redb"]);
}
