//! Truncated and corrupted files: opening one either finds everything that was written, or sets the file aside and
//! creates a new one. It must not fail at each start, and a member must not keep its identity if acknowledged writes
//! are lost.

use dunespur_chain_replication::{DurableState, Entry, Origin, Payload, Position, Snapshot, Write};
use dunespur_storage::core::CoreDisk;
use dunespur_storage::recovery::{set_aside_bytes, MAX_SET_ASIDE_BYTES};
use dunespur_storage::turns::TurnDisk;
use dunespur_storage::OpenedDisk;
use dunespur_test_fixtures::TemporaryFolder;
use dunespur_turn_replication::turn::Turn;
use std::fs;
use std::path::{Path, PathBuf};

const PAGE_BYTES: usize = 4_096;
/// Size of the library's file header, and offset of the two roots in it.
const HEADER_BYTES: usize = 320;
const ROOTS_OFFSET: usize = 64;
/// About how many bytes behind the header each test corrupts.
const CORRUPTED_OFFSETS: usize = 48;
/// If this environment variable is set, each byte of the header is corrupted, and ten times as many behind it.
const ALL_OFFSETS: &str = "UNREADABLE_ALL";

/// Writes a file to a folder and removes all other files there.
fn write_only_file(folder: &TemporaryFolder, name: &str, bytes: &[u8]) -> PathBuf {
    for entry in fs::read_dir(folder.path()).expect("the folder").flatten() {
        fs::remove_file(entry.path()).expect("an old file is removed");
    }
    let path = folder.file(name);
    fs::write(&path, bytes).expect("the file is written");
    path
}

/// Sorted names of the files in a folder.
fn file_names(folder: &TemporaryFolder) -> Vec<String> {
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

/// A core member's file, and the state that was acknowledged after each of the last two batches.
struct CoreFile {
    disk: u64,
    state_before_last_batch: DurableState,
    last_state: DurableState,
    /// The file as a killed process leaves it.
    killed: Vec<u8>,
    /// The file after the database was closed.
    closed: Vec<u8>,
}

fn core_file(folder: &TemporaryFolder) -> CoreFile {
    let path = folder.file("core.redb");
    let OpenedDisk {
        disk,
        identity,
        contents: mut saved,
    } = CoreDisk::open(&path).expect("the file is created");
    let mut index = 0;
    let mut state_before_last_batch = DurableState::default();
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
        state_before_last_batch = saved.clone();
        disk.write(&writes).expect("the write succeeds");
        writes.iter().for_each(|write| saved.apply(write));
    }
    let killed = fs::read(&path).expect("the file");
    drop(disk);
    let closed = fs::read(&path).expect("the file");
    CoreFile {
        disk: identity.disk,
        state_before_last_batch,
        last_state: saved,
        killed,
        closed,
    }
}

/// Result of opening a corrupt file.
#[derive(Debug, PartialEq, Eq)]
enum OpenOutcome {
    SetAside,
    /// All acknowledged writes were found.
    All,
    /// All but the last batch were found, as after a power loss during that batch.
    AllButLast,
}

fn open_core(
    folder: &TemporaryFolder,
    path: &Path,
    written: &CoreFile,
    context: &str,
) -> OpenOutcome {
    let OpenedDisk {
        disk,
        identity,
        contents: saved,
    } = CoreDisk::open(path).unwrap_or_else(|error| panic!("{context}: {}", error.with_causes()));
    disk.write(&[Write::Synced { view: 99 }])
        .unwrap_or_else(|error| panic!("{context}: {}", error.with_causes()));
    drop(disk);
    if identity.fresh {
        assert_ne!(
            identity.disk, written.disk,
            "{context}: the new file has the earlier identity"
        );
        assert!(saved.is_empty(), "{context}: the new file is not empty");
        assert_eq!(
            file_names(folder),
            ["core.redb", "core.unreadable"],
            "{context}"
        );
        let OpenedDisk {
            identity: reopened, ..
        } = CoreDisk::open(path).expect("the new file opens");
        assert_eq!(
            (reopened.disk, reopened.fresh),
            (identity.disk, false),
            "{context}"
        );
        return OpenOutcome::SetAside;
    }
    assert_eq!(identity.disk, written.disk, "{context}");
    assert_eq!(file_names(folder), ["core.redb"], "{context}");
    if saved == written.last_state {
        return OpenOutcome::All;
    }
    assert_eq!(
        saved, written.state_before_last_batch,
        "{context}: the state is neither complete nor that before the last batch"
    );
    OpenOutcome::AllButLast
}

/// Lengths to which a file of `file_bytes` is truncated: positions in the header, and beginnings, middles and ends of
/// pages.
fn truncated_lengths(file_bytes: usize) -> Vec<usize> {
    let header = (0..HEADER_BYTES)
        .step_by(32)
        .chain([1, 9, 10, HEADER_BYTES - 1]);
    let pages = (0..file_bytes)
        .step_by(PAGE_BYTES)
        .filter(|page| (page / PAGE_BYTES).is_multiple_of(60) || *page < 4 * PAGE_BYTES);
    let page_positions =
        pages.flat_map(|page| [page + 1, page + PAGE_BYTES / 2, page + PAGE_BYTES]);
    let mut lengths: Vec<usize> = header
        .chain(page_positions)
        .chain([file_bytes - 1])
        .filter(|length| *length < file_bytes)
        .collect();
    lengths.sort_unstable();
    lengths.dedup();
    lengths
}

#[test]
fn a_truncated_core_file_is_set_aside() {
    let folder = TemporaryFolder::new("storage-core-truncated");
    let written = core_file(&folder);
    for complete in [&written.killed, &written.closed] {
        for length in truncated_lengths(complete.len()) {
            let path = write_only_file(&folder, "core.redb", &complete[..length]);
            let found = open_core(&folder, &path, &written, &format!("truncated to {length}"));
            assert_eq!(
                found,
                OpenOutcome::SetAside,
                "truncated to {length} of {}",
                complete.len()
            );
        }
    }
}

/// Offsets of bytes to corrupt: in the header, and at the beginning and at some positions of each non-empty page.
fn corrupted_offsets(bytes: &[u8], mask: u8) -> Vec<usize> {
    let all = std::env::var_os(ALL_OFFSETS).is_some();
    let used_pages = bytes
        .chunks(PAGE_BYTES)
        .enumerate()
        .filter(|(_, page)| page.iter().any(|byte| *byte != 0));
    let page_offsets = used_pages.flat_map(|(number, _)| {
        [0, 1, 2, 3, 4, 9, 40, 700, PAGE_BYTES - 1].map(|offset| number * PAGE_BYTES + offset)
    });
    let page_offsets: Vec<usize> = page_offsets
        .filter(|offset| *offset >= HEADER_BYTES && *offset < bytes.len())
        .collect();
    let step = (page_offsets.len()
        / if all {
            10 * CORRUPTED_OFFSETS
        } else {
            CORRUPTED_OFFSETS
        })
    .max(1);
    let (first_root, root_step) = if all {
        (ROOTS_OFFSET, 1)
    } else {
        (ROOTS_OFFSET + usize::from(mask % 6), 6)
    };
    let roots = (first_root..HEADER_BYTES).step_by(root_step);
    (0..ROOTS_OFFSET)
        .step_by(if all { 1 } else { 2 })
        .chain(roots)
        .chain(page_offsets.into_iter().step_by(step))
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
        for offset in corrupted_offsets(&written.closed, mask) {
            let path = write_only_file(
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
            assert_ne!(found, OpenOutcome::AllButLast, "byte {offset} ^ {mask:#x}");
            set_aside += usize::from(found == OpenOutcome::SetAside);
        }
    }
    assert!(
        set_aside > 60,
        "only {set_aside} files were set aside: the corrupted offsets test too little"
    );
}

/// In the file of a killed process, a corrupt byte in the last commit looks like a power loss during that commit, so
/// that the last batch may be lost. The batches before it may not.
#[test]
fn a_corrupt_core_file_of_a_killed_process_loses_at_most_the_last_batch() {
    let folder = TemporaryFolder::new("storage-core-killed");
    let written = core_file(&folder);
    let mut set_aside = 0;
    for offset in corrupted_offsets(&written.killed, 0xff) {
        let path = write_only_file(
            &folder,
            "core.redb",
            &corrupted(&written.killed, offset, 0xff),
        );
        let found = open_core(&folder, &path, &written, &format!("byte {offset}"));
        set_aside += usize::from(found == OpenOutcome::SetAside);
    }
    assert!(
        set_aside > 10,
        "only {set_aside} files were set aside: the corrupted offsets test too little"
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

/// A turn store's disk number and its file, as a killed process leaves it and after it was closed.
fn turn_files(folder: &TemporaryFolder) -> (u64, Vec<Vec<u8>>) {
    let path = folder.file("turns.redb");
    let OpenedDisk { disk, identity, .. } = TurnDisk::open(&path).expect("the file is created");
    for number in 0..60 {
        disk.put(&[turn(number, 5_000)]).expect("the put succeeds");
    }
    disk.mark_complete().expect("the mark is written");
    let killed = fs::read(&path).expect("the file");
    drop(disk);
    let closed = fs::read(&path).expect("the file");
    (identity.disk, vec![killed, closed])
}

fn open_turns(folder: &TemporaryFolder, path: &Path, disk: u64, context: &str) -> OpenOutcome {
    let OpenedDisk {
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
            file_names(folder),
            ["turns.redb", "turns.unreadable"],
            "{context}"
        );
        return OpenOutcome::SetAside;
    }
    assert_eq!(entries.len(), 60, "{context}");
    for number in 0..60 {
        let found = turns
            .get(&format!("turn-{number}"))
            .unwrap_or_else(|error| panic!("{context}: {}", error.with_causes()));
        assert_eq!(found, Some(turn(number, 5_000)), "{context}");
    }
    // The last commit contained only the completeness mark.
    if identity.fresh {
        OpenOutcome::AllButLast
    } else {
        OpenOutcome::All
    }
}

#[test]
fn a_truncated_turn_file_is_set_aside() {
    let folder = TemporaryFolder::new("storage-turns-truncated");
    let (disk, files) = turn_files(&folder);
    for complete in files {
        for length in truncated_lengths(complete.len()) {
            let path = write_only_file(&folder, "turns.redb", &complete[..length]);
            let found = open_turns(&folder, &path, disk, &format!("truncated to {length}"));
            assert_eq!(
                found,
                OpenOutcome::SetAside,
                "truncated to {length} of {}",
                complete.len()
            );
        }
    }
}

#[test]
fn a_turn_file_with_corrupt_bytes_is_complete_or_set_aside() {
    let folder = TemporaryFolder::new("storage-turns-corrupt");
    let (disk, files) = turn_files(&folder);
    let mut set_aside = 0;
    for complete in files {
        for offset in corrupted_offsets(&complete, 0xff) {
            let path = write_only_file(&folder, "turns.redb", &corrupted(&complete, offset, 0xff));
            let found = open_turns(&folder, &path, disk, &format!("byte {offset}"));
            set_aside += usize::from(found == OpenOutcome::SetAside);
        }
    }
    assert!(
        set_aside > 40,
        "only {set_aside} files were set aside: the corrupted offsets test too little"
    );
}

#[test]
fn only_the_latest_set_aside_file_remains_and_is_truncated_to_the_bound() {
    let folder = TemporaryFolder::new("storage-bound");
    let path = write_only_file(&folder, "core.redb", b"the first");
    let OpenedDisk {
        identity: first, ..
    } = CoreDisk::open(&path).expect("a new file is created");
    assert_eq!(
        fs::read(folder.file("core.unreadable")).expect("the file that was set aside"),
        b"the first"
    );
    fs::write(&path, vec![9; MAX_SET_ASIDE_BYTES as usize * 3]).expect("a large file");
    let OpenedDisk {
        identity: second, ..
    } = CoreDisk::open(&path).expect("a new file is created");
    assert!(second.fresh && second.disk != first.disk);
    assert_eq!(file_names(&folder), ["core.redb", "core.unreadable"]);
    assert_eq!(set_aside_bytes(&path), MAX_SET_ASIDE_BYTES);
}

/// Guards against setting a file aside because of an error that its contents don't cause.
#[test]
fn a_file_that_another_process_has_open_stays() {
    let folder = TemporaryFolder::new("storage-locked");
    let written = core_file(&folder);
    let path = write_only_file(&folder, "core.redb", &written.closed);
    let OpenedDisk { disk: first, .. } = CoreDisk::open(&path).expect("the file opens");
    assert!(
        CoreDisk::open(&path).is_err(),
        "the file is open in two processes"
    );
    drop(first);
    assert_eq!(
        open_core(&folder, &path, &written, "later"),
        OpenOutcome::All
    );
}

#[test]
fn a_folder_at_the_files_path_is_an_error_and_stays() {
    let folder = TemporaryFolder::new("storage-folder");
    let path = folder.file("turns.redb");
    fs::create_dir_all(&path).expect("a folder");
    assert!(TurnDisk::open(&path).is_err());
    assert_eq!(file_names(&folder), ["turns.redb"]);
}

/// The file may be intact and belong to another version of the program.
#[test]
fn a_file_of_another_format_is_refused_and_stays() {
    use redb::{Database, TableDefinition};
    let folder = TemporaryFolder::new("storage-format");
    let path = folder.file("core.redb");
    drop(CoreDisk::open(&path).expect("the file is created"));
    let database = Database::open(&path).expect("the file opens");
    let write = database.begin_write().expect("a write");
    {
        let values: TableDefinition<&str, &[u8]> = TableDefinition::new("values");
        let mut values = write.open_table(values).expect("the table");
        values
            .insert("format", [77].as_slice())
            .expect("the format is changed");
    }
    write.commit().expect("the commit succeeds");
    drop(database);
    let Err(error) = CoreDisk::open(&path) else {
        panic!("a file of another format opens")
    };
    let text = error.with_causes();
    assert!(
        text.contains("file format Some(77) is not supported: this program reads format 2"),
        "{text}"
    );
    assert_eq!(file_names(&folder), ["core.redb"]);
}
