//! After its disk was full, a core member's database accepts writes again, and each write was applied fully or not at
//! all.

use crate::support::Storage;
use dunespur_chain_replication::{DurableState, Entry, Origin, Payload, Position, Write};
use dunespur_storage::core::CoreDisk;
use dunespur_storage::OpenedDisk;

const ENTRY_BYTES: usize = 20_000;

fn open(storage: &Storage) -> (CoreDisk, DurableState) {
    let storage = storage.clone();
    let OpenedDisk {
        disk,
        contents: saved,
        ..
    } = CoreDisk::open_backend(move || storage.clone()).expect("the storage opens");
    (disk, saved)
}

fn entry(index: u64) -> Write {
    let position = Position { index, view: 1 };
    let origin = Origin {
        incarnation: 5,
        ticket: index,
    };
    Write::Entry {
        entry: Entry {
            position,
            origin,
            payload: Payload::from(vec![index as u8; ENTRY_BYTES]),
        },
    }
}

fn entry_indices(saved: &DurableState) -> Vec<u64> {
    saved.entries.iter().map(Entry::index).collect()
}

#[test]
fn a_write_can_be_repeated_after_the_disk_was_full() {
    for writes_left in 0..60 {
        let storage = Storage::default();
        let (disk, _) = open(&storage);
        disk.write(&[entry(1)]).expect("there is space");
        storage.fills_and_recovers(writes_left, || disk.write(&[entry(2), entry(3)]));
        disk.write(&[entry(4)]).expect("writes succeed again");
        drop(disk);
        assert_eq!(entry_indices(&open(&storage).1), [1, 2, 3, 4]);
    }
}

#[test]
fn a_write_to_a_full_disk_is_applied_fully_or_not_at_all() {
    for writes_left in 0..60 {
        let storage = Storage::default();
        let (disk, _) = open(&storage);
        disk.write(&[entry(1)]).expect("there is space");
        storage.full_after(writes_left);
        let acknowledged = disk.write(&[entry(2), entry(3)]).is_ok();
        drop(disk);
        storage.has_space();
        let found = entry_indices(&open(&storage).1);
        assert!(
            found == [1, 2, 3] || (!acknowledged && found == [1]),
            "{found:?} after {writes_left} writes"
        );
    }
}

#[test]
fn the_identity_survives_a_full_disk() {
    let storage = Storage::default();
    let backend = storage.clone();
    let OpenedDisk {
        disk,
        identity: first,
        ..
    } = CoreDisk::open_backend(move || backend.clone()).expect("the storage opens");
    assert!(first.fresh);
    storage.full_after(0);
    disk.write(&[entry(1)]).expect_err("there is no space");
    drop(disk);
    storage.has_space();
    let backend = storage.clone();
    let OpenedDisk {
        identity: second, ..
    } = CoreDisk::open_backend(move || backend.clone()).expect("the storage opens");
    assert_eq!((second.disk, second.fresh), (first.disk, false));
}
