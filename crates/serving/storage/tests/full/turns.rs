//! A store's disk that was full takes turns again; its file does not grow with what has been there.

use crate::support::Storage;
use bytes::Bytes;
use dunespur_storage::turns::TurnDisk;
use dunespur_turn_replication::turn::{Turn, TurnHeader};

fn open(storage: &Storage) -> (TurnDisk, Vec<TurnHeader>) {
    let storage = storage.clone();
    let (disk, _, entries) =
        TurnDisk::open_backend(move || storage.clone()).expect("the storage opens");
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
    for takes in 0..60 {
        let storage = Storage::default();
        let (disk, _) = open(&storage);
        let turns: Vec<Turn> = (0..4).map(|number| turn(number, 20_000)).collect();
        disk.put(&turns[..1]).expect("there is room");
        storage.full_after(takes);
        let mut tries = 0;
        while disk.put(&turns[1..3]).is_err() {
            tries += 1;
            if tries == 5 {
                storage.has_room();
            }
            assert!(tries < 6, "refused with room again, after {takes} writes");
        }
        storage.has_room();
        disk.put(&turns[3..]).expect("it goes on");
        let asked: Vec<&str> = turns.iter().map(|turn| turn.id.as_str()).collect();
        assert_eq!(disk.get_many(&asked).expect("it reads"), turns);
        drop(disk);
        assert_eq!(ids(&open(&storage).1), asked);
    }
}

#[test]
fn what_is_there_can_be_read_once_there_is_room_again_without_a_write() {
    for takes in 0..60 {
        let storage = Storage::default();
        let (disk, _) = open(&storage);
        let kept = turn(0, 20_000);
        disk.put(std::slice::from_ref(&kept))
            .expect("there is room");
        storage.full_after(takes);
        let _ = disk.put(&[turn(1, 20_000)]);
        storage.has_room();
        // The first call may find what the library holds of the error.
        let _ = disk.get(&kept.id);
        assert_eq!(disk.get(&kept.id).expect("it reads"), Some(kept));
    }
}

#[test]
fn a_process_that_ends_while_the_disk_is_full_finds_all_or_nothing() {
    for takes in 0..60 {
        let storage = Storage::default();
        let (disk, _) = open(&storage);
        disk.put(&[turn(0, 20_000)]).expect("there is room");
        storage.full_after(takes);
        let taken = disk.put(&[turn(1, 20_000), turn(2, 20_000)]).is_ok();
        drop(disk);
        storage.has_room();
        let (_, entries) = open(&storage);
        let found = ids(&entries);
        let all = ["turn-000000", "turn-000001", "turn-000002"];
        assert!(
            found == all || (!taken && found == all[..1]),
            "{found:?} after {takes} writes"
        );
    }
}

#[test]
fn turns_are_removed_while_others_find_no_room() {
    let storage = Storage::default();
    let (disk, _) = open(&storage);
    disk.put(&[turn(0, 20_000), turn(1, 20_000)])
        .expect("there is room");
    storage.full_after(0);
    disk.put(&[turn(2, 20_000)]).expect_err("there is no room");
    disk.remove(&["turn-000000"]).expect_err("nor for that");
    storage.has_room();
    disk.remove(&["turn-000000"]).expect("it takes it now");
    drop(disk);
    assert_eq!(ids(&open(&storage).1), ["turn-000001"]);
}

/// How long the file gets when `live` turns of drawn sizes are there at a time and all others are removed.
fn length_after(rounds: usize, live: usize) -> usize {
    let storage = Storage::default();
    let (disk, _) = open(&storage);
    let mut state: u64 = 7;
    for number in 0..rounds {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let bytes = 100 + (state >> 33) as usize % 40_000;
        disk.put(&[turn(number, bytes)]).expect("there is room");
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
