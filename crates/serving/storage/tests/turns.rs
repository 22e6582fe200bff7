//! A turn store's file: stored turns survive a restart, and an unreadable file is replaced by a new one.

use bytes::Bytes;
use dunespur_storage::turns::TurnDisk;
use dunespur_storage::OpenedDisk;
use dunespur_test_fixtures::TemporaryFolder;
use dunespur_turn_replication::node::{DiskOutcome, DiskWork};
use dunespur_turn_replication::turn::Turn;
use std::fs;

fn turn(id: &str, previous: Option<&str>) -> Turn {
    Turn {
        id: id.to_owned(),
        previous: previous.map(str::to_owned),
        program: "3fa81c".to_owned(),
        input: Bytes::from_static(b"input"),
        output: Bytes::from_static(b"event one\nevent two\n"),
        ended_at_ms: 5,
        retention_ms: 60_000,
    }
}

#[test]
fn turns_and_identity_survive_a_restart() {
    let folder = TemporaryFolder::new("storage-restart");
    let turns = [turn("b", Some("a")), turn("a", None)];
    let OpenedDisk {
        disk,
        identity: first,
        contents: headers,
    } = TurnDisk::open(&folder.file("turns.redb")).expect("the file is created");
    assert!(first.fresh && headers.is_empty());
    disk.put(&turns).expect("the put succeeds");
    disk.mark_complete().expect("the mark is written");
    drop(disk);
    let OpenedDisk {
        disk,
        identity: second,
        contents: headers,
    } = TurnDisk::open(&folder.file("turns.redb")).expect("the file opens again");
    assert_eq!((second.disk, second.fresh), (first.disk, false));
    assert_eq!(headers, [turns[1].header(), turns[0].header()]);
    assert_eq!(
        disk.get("b").expect("the read succeeds"),
        Some(turns[0].clone())
    );
    assert_eq!(disk.get("z").expect("the read succeeds"), None);
}

#[test]
fn a_disk_that_was_never_complete_is_fresh_after_a_restart() {
    let folder = TemporaryFolder::new("storage-filling");
    let OpenedDisk {
        disk,
        identity: first,
        ..
    } = TurnDisk::open(&folder.file("turns.redb")).expect("the file is created");
    disk.put(&[turn("a", None)]).expect("the put succeeds");
    drop(disk);
    let OpenedDisk {
        identity: second, ..
    } = TurnDisk::open(&folder.file("turns.redb")).expect("the file opens again");
    assert_eq!(
        second, first,
        "a store that was killed before it was marked complete is still fresh"
    );
}

#[test]
fn each_new_file_has_its_own_disk_number() {
    let (first, second) = (
        TemporaryFolder::new("storage-one"),
        TemporaryFolder::new("storage-two"),
    );
    let disk_number = |folder: &TemporaryFolder| {
        TurnDisk::open(&folder.file("turns.redb"))
            .expect("the file is created")
            .identity
            .disk
    };
    assert_ne!(disk_number(&first), disk_number(&second));
}

#[test]
fn an_unreadable_file_is_replaced_by_a_new_disk() {
    for (name, contents) in [
        ("garbage", vec![7; 20_000]),
        ("zeros", vec![0; 20_000]),
        ("short", vec![9; 10]),
    ] {
        let folder = TemporaryFolder::new(name);
        fs::write(folder.file("turns.redb"), contents).expect("a file");
        let OpenedDisk {
            disk,
            identity,
            contents: headers,
        } = TurnDisk::open(&folder.file("turns.redb")).expect("a new file is created");
        assert!(identity.fresh && headers.is_empty());
        disk.put(&[turn("a", None)]).expect("the put succeeds");
        drop(disk);
        let OpenedDisk {
            identity: reopened_identity,
            contents: headers,
            ..
        } = TurnDisk::open(&folder.file("turns.redb")).expect("the file opens again");
        assert_eq!((reopened_identity, headers.len()), (identity, 1));
    }
}

#[test]
fn an_unfinished_file_is_created_again() {
    let folder = TemporaryFolder::new("storage-turns-unfinished");
    fs::write(folder.file("turns.redb.unfinished"), b"half a file")
        .expect("an unfinished file is written");
    let opened = TurnDisk::open(&folder.file("turns.redb")).expect("the file is created");
    assert!(opened.identity.fresh && opened.contents.is_empty());
    let file_count = fs::read_dir(folder.file("")).expect("the folder").count();
    assert_eq!(file_count, 1, "only the database file is left");
}

#[test]
fn a_truncated_file_is_replaced_by_a_new_disk() {
    for twentieths in 1..20 {
        let folder = TemporaryFolder::new(&format!("storage-truncated-{twentieths}"));
        let OpenedDisk { disk, .. } =
            TurnDisk::open(&folder.file("turns.redb")).expect("the file is created");
        disk.put(&[turn("a", None)]).expect("the put succeeds");
        drop(disk);
        let file = fs::OpenOptions::new()
            .write(true)
            .open(folder.file("turns.redb"))
            .expect("the file");
        let length = file.metadata().expect("the metadata of the file").len();
        file.set_len(length * twentieths / 20)
            .expect("the file is truncated");
        drop(file);
        let OpenedDisk {
            disk,
            identity,
            contents: headers,
        } = TurnDisk::open(&folder.file("turns.redb")).expect("a file opens");
        assert!(identity.fresh && headers.is_empty());
        disk.put(&[turn("b", None)]).expect("the put succeeds");
    }
}

#[test]
fn disk_work_puts_gets_and_removes_turns() {
    let folder = TemporaryFolder::new("storage-work");
    let OpenedDisk { disk, .. } =
        TurnDisk::open(&folder.file("turns.redb")).expect("the file is created");
    let put = DiskWork::Put(vec![turn("a", None), turn("b", Some("a"))]);
    assert_eq!(
        disk.perform(&put).expect("the work succeeds"),
        DiskOutcome::Done
    );
    let get = |ids: &[&str]| DiskWork::Get(ids.iter().map(|id| id.to_string()).collect());
    let found = disk
        .perform(&get(&["b", "z", "a"]))
        .expect("the work succeeds");
    assert_eq!(
        found,
        DiskOutcome::Turns(vec![turn("b", Some("a")), turn("a", None)])
    );
    disk.perform(&DiskWork::Remove(vec!["a".to_owned()]))
        .expect("the work succeeds");
    let found = disk.perform(&get(&["a", "b"])).expect("the work succeeds");
    assert_eq!(found, DiskOutcome::Turns(vec![turn("b", Some("a"))]));
}
