//! After its disk was full, a turn store accepts turns again. Its file does not grow with the number of removed turns.

use crate::support::Storage;
use bytes::Bytes;
use dunespur_storage::turns::TurnDisk;
use dunespur_storage::OpenedDisk;
use dunespur_turn_replication::turn::{Turn, TurnHeader};

fn open(storage: &Storage) -> (TurnDisk, Vec<TurnHeader>) {
    let storage = storage.clone();
    let OpenedDisk {
        disk,
        contents: headers,
        ..
    } = TurnDisk::open_backend(move || storage.clone()).expect("the storage opens");
    (disk, headers)
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

fn ids(headers: &[TurnHeader]) -> Vec<&str> {
    headers.iter().map(|header| header.id.as_str()).collect()
}

#[test]
fn a_put_can_be_repeated_after_the_disk_was_full() {
    for writes_left in 0..60 {
        let storage = Storage::default();
        let (disk, _) = open(&storage);
        let turns: Vec<Turn> = (0..4).map(|number| turn(number, 20_000)).collect();
        disk.put(&turns[..1]).expect("there is space");
        storage.fills_and_recovers(writes_left, || disk.put(&turns[1..3]));
        disk.put(&turns[3..]).expect("writes succeed again");
        let ids_in_order: Vec<&str> = turns.iter().map(|turn| turn.id.as_str()).collect();
        assert_eq!(
            disk.get_many(&ids_in_order).expect("the read succeeds"),
            turns
        );
        drop(disk);
        assert_eq!(ids(&open(&storage).1), ids_in_order);
    }
}

#[test]
fn turns_can_be_read_again_after_the_disk_was_full_without_a_write() {
    for writes_left in 0..60 {
        let storage = Storage::default();
        let (disk, _) = open(&storage);
        let stored = turn(0, 20_000);
        disk.put(std::slice::from_ref(&stored))
            .expect("there is space");
        storage.full_after(writes_left);
        let _ = disk.put(&[turn(1, 20_000)]);
        storage.has_space();
        // The first read may still fail: the library keeps its earlier error until the database is reopened.
        let _ = disk.get(&stored.id);
        assert_eq!(
            disk.get(&stored.id).expect("the read succeeds"),
            Some(stored)
        );
    }
}

#[test]
fn a_put_on_a_full_disk_is_applied_fully_or_not_at_all() {
    for writes_left in 0..60 {
        let storage = Storage::default();
        let (disk, _) = open(&storage);
        disk.put(&[turn(0, 20_000)]).expect("there is space");
        storage.full_after(writes_left);
        let acknowledged = disk.put(&[turn(1, 20_000), turn(2, 20_000)]).is_ok();
        drop(disk);
        storage.has_space();
        let (_, headers) = open(&storage);
        let found = ids(&headers);
        let all = ["turn-000000", "turn-000001", "turn-000002"];
        assert!(
            found == all || (!acknowledged && found == all[..1]),
            "{found:?} after {writes_left} writes"
        );
    }
}

#[test]
fn turns_can_be_removed_after_the_disk_was_full() {
    let storage = Storage::default();
    let (disk, _) = open(&storage);
    disk.put(&[turn(0, 20_000), turn(1, 20_000)])
        .expect("there is space");
    storage.full_after(0);
    disk.put(&[turn(2, 20_000)]).expect_err("there is no space");
    disk.remove(&["turn-000000"])
        .expect_err("a removal needs space, too");
    storage.has_space();
    disk.remove(&["turn-000000"]).expect("the removal succeeds");
    drop(disk);
    assert_eq!(ids(&open(&storage).1), ["turn-000001"]);
}

/// Length of the file after `turns_written` turns of random sizes, of which only the latest `live` are kept.
fn file_length_after(turns_written: usize, live: usize) -> usize {
    let storage = Storage::default();
    let (disk, _) = open(&storage);
    let mut random_state: u64 = 7;
    for number in 0..turns_written {
        random_state = random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let bytes = 100 + (random_state >> 33) as usize % 40_000;
        disk.put(&[turn(number, bytes)]).expect("there is space");
        if number >= live {
            disk.remove(&[turn(number - live, 0).id])
                .expect("the removal succeeds");
        }
    }
    storage.length()
}

#[test]
fn the_file_does_not_grow_with_removed_turns() {
    let live = 100;
    let short = file_length_after(2 * live, live);
    let long = file_length_after(12 * live, live);
    assert!(
        long <= short + short / 4,
        "the file had {short} bytes at first and {long} later"
    );
    // A turn has 20 kB on average, and the library rounds its space up to a power of two.
    assert!(
        long <= 4 * live * 20_000,
        "the file has {long} bytes for {live} turns"
    );
}
