//! Files that were cut short, or have bytes that nobody wrote: the start sets them aside and goes on as if the disk
//! were empty, or finds all that was written. Never an error at each start, and never a member that goes on under its
//! identity with less than it had acknowledged.

use dunespur_chain_replication::{DurableState, Entry, Origin, Payload, Position, Snapshot, Write};
use dunespur_storage::core::CoreDisk;
use dunespur_storage::recovery::{aside_bytes, MOST_ASIDE_BYTES};
use dunespur_storage::turns::TurnDisk;
use dunespur_turn_replication::turn::Turn;
use std::fs;
use std::path::{Path, PathBuf};

const PAGE: usize = 4_096;
/// The library's header, and where its two roots begin in it.
const HEADER: usize = 320;
const ROOTS: usize = 64;
/// Bytes of a file that are spoilt besides its header.
const SPOILT_PLACES: usize = 48;
/// With this variable in the environment each byte of the header is spoilt, and ten times as many of the pages.
const ALL_PLACES: &str = "UNREADABLE_ALL";

/// A folder of one test, removed at its end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("dunespur-unreadable-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a folder for the test");
        Folder(path)
    }

    fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Puts a file there and nothing beside it.
    fn put(&self, name: &str, bytes: &[u8]) -> PathBuf {
        for entry in fs::read_dir(&self.0).expect("the folder").flatten() {
            fs::remove_file(entry.path()).expect("an old file goes");
        }
        let path = self.file(name);
        fs::write(&path, bytes).expect("a file");
        path
    }

    fn names(&self) -> Vec<String> {
        let entries = fs::read_dir(&self.0).expect("the folder").flatten();
        let mut names: Vec<String> = entries
            .map(|entry| entry.file_name().to_string_lossy().into_owned())
            .collect();
        names.sort();
        names
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
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

fn core_file(folder: &Folder) -> CoreFile {
    let path = folder.file("core.redb");
    let (disk, identity, mut saved) = CoreDisk::open(&path).expect("a new file");
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
        disk.write(&writes).expect("the disk takes it");
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

/// What a start made of a spoilt file.
#[derive(Debug, PartialEq, Eq)]
enum Found {
    SetAside,
    All,
    /// All but the last batch, as a loss of power within it would leave it.
    AllButLast,
}

fn open_core(folder: &Folder, path: &Path, written: &CoreFile, what: &str) -> Found {
    let (disk, identity, saved) =
        CoreDisk::open(path).unwrap_or_else(|error| panic!("{what}: {error:#}"));
    disk.write(&[Write::Synced { view: 99 }])
        .unwrap_or_else(|error| panic!("{what}: {error:#}"));
    drop(disk);
    if identity.fresh {
        assert_ne!(identity.disk, written.disk, "{what}: another identity");
        assert!(saved.is_empty(), "{what}: nothing is taken over");
        assert_eq!(folder.names(), ["core.redb", "core.unreadable"], "{what}");
        let (_, again, _) = CoreDisk::open(path).expect("the new file opens");
        assert_eq!((again.disk, again.fresh), (identity.disk, false), "{what}");
        return Found::SetAside;
    }
    assert_eq!(identity.disk, written.disk, "{what}");
    assert_eq!(folder.names(), ["core.redb"], "{what}");
    if saved == written.last {
        return Found::All;
    }
    assert_eq!(
        saved, written.before_last,
        "{what}: neither all nor all but the last batch"
    );
    Found::AllButLast
}

/// Lengths at which a file of so many bytes is cut: all that the header has fields at, and beginnings and ends of pages.
fn lengths(whole: usize) -> Vec<usize> {
    let header = (0..HEADER).step_by(32).chain([1, 9, 10, HEADER - 1]);
    let pages = (0..whole)
        .step_by(PAGE)
        .filter(|page| (page / PAGE).is_multiple_of(60) || *page < 4 * PAGE);
    let around = pages.flat_map(|page| [page + 1, page + PAGE / 2, page + PAGE]);
    let mut lengths: Vec<usize> = header
        .chain(around)
        .chain([whole - 1])
        .filter(|at| *at < whole)
        .collect();
    lengths.sort_unstable();
    lengths.dedup();
    lengths
}

#[test]
fn a_core_file_that_was_cut_short_makes_a_newcomer() {
    let folder = Folder::new("core-cut");
    let written = core_file(&folder);
    for whole in [&written.killed, &written.closed] {
        for length in lengths(whole.len()) {
            let path = folder.put("core.redb", &whole[..length]);
            let found = open_core(&folder, &path, &written, &format!("cut to {length}"));
            assert_eq!(found, Found::SetAside, "cut to {length} of {}", whole.len());
        }
    }
}

/// Places that matter: the header whole, and of the pages that aren't empty the beginning and some bytes within.
fn places(bytes: &[u8], mask: u8) -> Vec<usize> {
    let all = std::env::var_os(ALL_PLACES).is_some();
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
            10 * SPOILT_PLACES
        } else {
            SPOILT_PLACES
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

fn spoilt(bytes: &[u8], place: usize, mask: u8) -> Vec<u8> {
    let mut spoilt = bytes.to_vec();
    spoilt[place] ^= mask;
    spoilt
}

#[test]
fn a_closed_core_file_with_spoilt_bytes_is_whole_or_set_aside() {
    let folder = Folder::new("core-closed");
    let written = core_file(&folder);
    let mut set_aside = 0;
    for mask in [0x01, 0xff] {
        for place in places(&written.closed, mask) {
            let path = folder.put("core.redb", &spoilt(&written.closed, place, mask));
            let found = open_core(
                &folder,
                &path,
                &written,
                &format!("byte {place} ^ {mask:#x}"),
            );
            assert_ne!(found, Found::AllButLast, "byte {place} ^ {mask:#x}");
            set_aside += usize::from(found == Found::SetAside);
        }
    }
    assert!(
        set_aside > 60,
        "only {set_aside} were set aside: the places say nothing"
    );
}

/// A process that was killed leaves the last commit as a loss of power within it might: a byte of that commit alone
/// which was spoilt can't be told from a commit that never ended. Nothing before it may be lost.
#[test]
fn a_core_file_of_a_killed_process_loses_nothing_before_its_last_batch() {
    let folder = Folder::new("core-killed");
    let written = core_file(&folder);
    let mut set_aside = 0;
    for place in places(&written.killed, 0xff) {
        let path = folder.put("core.redb", &spoilt(&written.killed, place, 0xff));
        let found = open_core(&folder, &path, &written, &format!("byte {place}"));
        set_aside += usize::from(found == Found::SetAside);
    }
    assert!(
        set_aside > 10,
        "only {set_aside} were set aside: the places say nothing"
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
fn turns_files(folder: &Folder) -> (u64, Vec<Vec<u8>>) {
    let path = folder.file("turns.redb");
    let (disk, identity, _) = TurnDisk::open(&path).expect("a new file");
    for number in 0..60 {
        disk.put(&[turn(number, 5_000)]).expect("it puts");
    }
    disk.mark_whole().expect("it marks");
    let killed = fs::read(&path).expect("the file");
    drop(disk);
    let closed = fs::read(&path).expect("the file");
    (identity.disk, vec![killed, closed])
}

fn open_turns(folder: &Folder, path: &Path, disk: u64, what: &str) -> Found {
    let (turns, identity, entries) =
        TurnDisk::open(path).unwrap_or_else(|error| panic!("{what}: {error:#}"));
    turns
        .put(&[turn(99, 10)])
        .unwrap_or_else(|error| panic!("{what}: {error:#}"));
    if identity.disk != disk {
        assert!(identity.fresh && entries.is_empty(), "{what}");
        assert_eq!(folder.names(), ["turns.redb", "turns.unreadable"], "{what}");
        return Found::SetAside;
    }
    assert_eq!(entries.len(), 60, "{what}");
    for number in 0..60 {
        let found = turns
            .get(&format!("turn-{number}"))
            .unwrap_or_else(|error| panic!("{what}: {error:#}"));
        assert_eq!(found, Some(turn(number, 5_000)), "{what}");
    }
    // The last commit was the mark alone.
    if identity.fresh {
        Found::AllButLast
    } else {
        Found::All
    }
}

#[test]
fn a_file_of_turns_that_was_cut_short_is_a_new_disk() {
    let folder = Folder::new("turns-cut");
    let (disk, files) = turns_files(&folder);
    for whole in files {
        for length in lengths(whole.len()) {
            let path = folder.put("turns.redb", &whole[..length]);
            let found = open_turns(&folder, &path, disk, &format!("cut to {length}"));
            assert_eq!(found, Found::SetAside, "cut to {length} of {}", whole.len());
        }
    }
}

#[test]
fn a_file_of_turns_with_spoilt_bytes_is_whole_or_set_aside() {
    let folder = Folder::new("turns-spoilt");
    let (disk, files) = turns_files(&folder);
    let mut set_aside = 0;
    for whole in files {
        for place in places(&whole, 0xff) {
            let path = folder.put("turns.redb", &spoilt(&whole, place, 0xff));
            let found = open_turns(&folder, &path, disk, &format!("byte {place}"));
            set_aside += usize::from(found == Found::SetAside);
        }
    }
    assert!(
        set_aside > 40,
        "only {set_aside} were set aside: the places say nothing"
    );
}

#[test]
fn one_file_set_aside_is_kept_and_no_more_of_it_than_the_bound() {
    let folder = Folder::new("bound");
    let path = folder.put("core.redb", b"the first");
    let (_, first, _) = CoreDisk::open(&path).expect("it is made anew");
    assert_eq!(
        fs::read(folder.file("core.unreadable")).expect("it is kept"),
        b"the first"
    );
    fs::write(&path, vec![9; MOST_ASIDE_BYTES as usize * 3]).expect("a large file");
    let (_, second, _) = CoreDisk::open(&path).expect("it is made anew");
    assert!(second.fresh && second.disk != first.disk);
    assert_eq!(folder.names(), ["core.redb", "core.unreadable"]);
    assert_eq!(aside_bytes(&path), MOST_ASIDE_BYTES);
}

/// Errors that say nothing of the contents lose none.
#[test]
fn a_file_that_another_process_has_open_stays() {
    let folder = Folder::new("held");
    let written = core_file(&folder);
    let path = folder.put("core.redb", &written.closed);
    let (held, _, _) = CoreDisk::open(&path).expect("it opens");
    assert!(CoreDisk::open(&path).is_err(), "two have it open");
    drop(held);
    assert_eq!(open_core(&folder, &path, &written, "later"), Found::All);
}

#[test]
fn a_folder_in_the_place_of_the_file_is_an_error_and_stays() {
    let folder = Folder::new("folder");
    let path = folder.file("turns.redb");
    fs::create_dir_all(&path).expect("a folder");
    assert!(TurnDisk::open(&path).is_err());
    assert_eq!(folder.names(), ["turns.redb"]);
}

/// Another version's file may be whole.
#[test]
fn a_file_of_another_format_is_refused_and_stays() {
    use redb::{Database, TableDefinition};
    let folder = Folder::new("format");
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
    assert!(
        format!("{error:#}").contains("format Some(77) is not 2"),
        "{error:#}"
    );
    assert_eq!(folder.names(), ["core.redb"]);
}
