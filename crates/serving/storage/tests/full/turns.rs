//! A store's disk that was full accepts turns again; its file does not grow with what was there before.

use crate::support::Storage;
use bytes::Bytes;
use dunespur_storage::turns::TurnDisk;
use dunespur_storage::Opened;
use dunespur_turn_replication::turn::{Turn, TurnHeader};

fn open(storage: &Storage) -> (TurnDisk, Vec<TurnHeader>) {
    let storage = storage.clone();
    let Opened {
        disk,
        contents: entries,
        ..
    } = TurnDisk::open_backend(move || storage.clone()).expect("the storage opens");
    (disk, entries)
}

fn turn(number: usize, bytes: usize) -> Turn {
    Turn {
        id: format!("turn-{number:06}"),
        previous: None,
        program: "program".to_owned(),
        input: Bytes::from(vec![number as u8; bytes / 2]),
        output: Bytes::from(vec![!(number as u8); bytes - bytes / 2]),
        ended_at_ms: 1_000 + number as u64,
        retention_ms: 60_000,
    }
}

fn ids(entries: &[TurnHeader]) -> Vec<&str> {
    entries.iter().map(|entry| entry.id.as_str()).collect()
}

#[test]
fn a_disk_that_was_full_takes_turns_again() {
    for writes_left in 0..60 {
        let storage = Storage::default();
        let (disk, _) = open(&storage);
        let turns: Vec<Turn> = (0..4).map(|number| turn(number, 20_000)).collect();
        disk.put(&turns[..1]).expect("there is space");
        storage.fills_and_recovers(writes_left, || disk.put(&turns[1..3]));
        disk.put(&turns[3..]).expect("it goes on");
        let ids_in_order: Vec<&str> = turns.iter().map(|turn| turn.id.as_str()).collect();
        assert_eq!(disk.get_many(&ids_in_order).expect("it reads"), turns);
        drop(disk);
        assert_eq!(ids(&open(&storage).1), ids_in_order);
    }
}

#[test]
fn what_is_there_can_be_read_once_there_is_space_again_without_a_write() {
    for writes_left in 0..60 {
        let storage = Storage::default();
        let (disk, _) = open(&storage);
        let stored = turn(0, 20_000);
        disk.put(std::slice::from_ref(&stored))
            .expect("there is space");
        storage.full_after(writes_left);
        let _ = disk.put(&[turn(1, 20_000)]);
        storage.has_space();
        // The first call may find what the library remembers of the error.
        let _ = disk.get(&stored.id);
        assert_eq!(disk.get(&stored.id).expect("it reads"), Some(stored));
    }
}

#[test]
fn a_process_that_ends_while_the_disk_is_full_finds_all_or_nothing() {
    for writes_left in 0..60 {
        let storage = Storage::default();
        let (disk, _) = open(&storage);
        disk.put(&[turn(0, 20_000)]).expect("there is space");
        storage.full_after(writes_left);
        let taken = disk.put(&[turn(1, 20_000), turn(2, 20_000)]).is_ok();
        drop(disk);
        storage.has_space();
        let (_, entries) = open(&storage);
        let found = ids(&entries);
        let all = ["turn-000000", "turn-000001", "turn-000002"];
        assert!(
            found == all || (!taken && found == all[..1]),
            "{found:?} after {writes_left} writes"
        );
    }
}

#[test]
fn turns_are_removed_while_others_find_no_space() {
    let storage = Storage::default();
    let (disk, _) = open(&storage);
    disk.put(&[turn(0, 20_000), turn(1, 20_000)])
        .expect("there is space");
    storage.full_after(0);
    disk.put(&[turn(2, 20_000)]).expect_err("there is no space");
    disk.remove(&["turn-000000"]).expect_err("nor for that");
    storage.has_space();
    disk.remove(&["turn-000000"]).expect("it is removed now");
    drop(disk);
    assert_eq!(ids(&open(&storage).1), ["turn-000001"]);
}

/// How long the file gets when `live` turns of drawn sizes are there at a time and all others are removed.
fn length_after(turns_written: usize, live: usize) -> usize {
    let storage = Storage::default();
    let (disk, _) = open(&storage);
    let mut state: u64 = 7;
    for number in 0..turns_written {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let bytes = 100 + (state >> 33) as usize % 40_000;
        disk.put(&[turn(number, bytes)]).expect("there is space");
        if number >= live {
            disk.remove(&[turn(number - live, 0).id])
                .expect("it is removed");
        }
    }
    storage.length()
}

#[test]
fn the_file_does_not_grow_with_what_has_been_there() {
    let live = 100;
    let short = length_after(2 * live, live);
    let long = length_after(12 * live, live);
    assert!(
        long <= short + short / 4,
        "{short} bytes at first, {long} later"
    );
    // Twenty kilobytes a turn on average, and pages of powers of two.
    assert!(long <= 4 * live * 20_000, "{long} bytes for {live} turns");
}
