//! The turns' file: what was put is found again after a restart; what can't be read is made anew.

use bytes::Bytes;
use dunespur_storage::turns::TurnDisk;
use dunespur_storage::Opened;
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
fn turns_and_identity_outlive_a_restart() {
    let folder = TemporaryFolder::new("storage-restart");
    let turns = [turn("b", Some("a")), turn("a", None)];
    let Opened {
        disk,
        identity: first,
        contents: entries,
    } = TurnDisk::open(&folder.file("turns.redb")).expect("a new file");
    assert!(first.fresh && entries.is_empty());
    disk.put(&turns).expect("it puts");
    disk.mark_complete().expect("it marks");
    drop(disk);
    let Opened {
        disk,
        identity: second,
        contents: entries,
    } = TurnDisk::open(&folder.file("turns.redb")).expect("it opens again");
    assert_eq!((second.disk, second.fresh), (first.disk, false));
    assert_eq!(entries, [turns[1].header(), turns[0].header()]);
    assert_eq!(disk.get("b").expect("it reads"), Some(turns[0].clone()));
    assert_eq!(disk.get("z").expect("it reads"), None);
}

#[test]
fn a_disk_that_was_never_complete_is_fresh_after_a_restart() {
    let folder = TemporaryFolder::new("storage-filling");
    let Opened {
        disk,
        identity: first,
        ..
    } = TurnDisk::open(&folder.file("turns.redb")).expect("a new file");
    disk.put(&[turn("a", None)]).expect("it puts");
    drop(disk);
    let Opened {
        identity: second, ..
    } = TurnDisk::open(&folder.file("turns.redb")).expect("it opens again");
    assert_eq!(
        second, first,
        "a store that was killed while it was filled is not whole"
    );
}

#[test]
fn each_new_file_is_another_disk() {
    let (one, two) = (
        TemporaryFolder::new("storage-one"),
        TemporaryFolder::new("storage-two"),
    );
    let number = |folder: &TemporaryFolder| {
        TurnDisk::open(&folder.file("turns.redb"))
            .expect("a new file")
            .identity
            .disk
    };
    assert_ne!(number(&one), number(&two));
}

#[test]
fn a_file_that_can_not_be_read_is_a_new_disk() {
    for (name, contents) in [
        ("garbage", vec![7; 20_000]),
        ("zeros", vec![0; 20_000]),
        ("short", vec![9; 10]),
    ] {
        let folder = TemporaryFolder::new(name);
        fs::write(folder.file("turns.redb"), contents).expect("a file");
        let Opened {
            disk,
            identity,
            contents: entries,
        } = TurnDisk::open(&folder.file("turns.redb")).expect("it is made anew");
        assert!(identity.fresh && entries.is_empty());
        disk.put(&[turn("a", None)]).expect("it puts");
        drop(disk);
        let Opened {
            identity: again,
            contents: entries,
            ..
        } = TurnDisk::open(&folder.file("turns.redb")).expect("it opens again");
        assert_eq!((again, entries.len()), (identity, 1));
    }
}

#[test]
fn a_file_that_was_never_finished_is_made_anew() {
    let folder = TemporaryFolder::new("storage-turns-unfinished");
    fs::write(folder.file("turns.redb.unfinished"), b"half a file").expect("a torn file");
    let opened = TurnDisk::open(&folder.file("turns.redb")).expect("a new file");
    assert!(opened.identity.fresh && opened.contents.is_empty());
    let names = fs::read_dir(folder.file("")).expect("the folder").count();
    assert_eq!(names, 1, "only the file itself is left");
}

#[test]
fn a_truncated_file_is_a_new_disk() {
    for twentieths in 1..20 {
        let folder = TemporaryFolder::new(&format!("storage-truncated-{twentieths}"));
        let Opened { disk, .. } = TurnDisk::open(&folder.file("turns.redb")).expect("a new file");
        disk.put(&[turn("a", None)]).expect("it puts");
        drop(disk);
        let file = fs::OpenOptions::new()
            .write(true)
            .open(folder.file("turns.redb"))
            .expect("the file");
        let length = file.metadata().expect("its length").len();
        file.set_len(length * twentieths / 20)
            .expect("it is truncated");
        drop(file);
        let Opened {
            disk,
            identity,
            contents: entries,
        } = TurnDisk::open(&folder.file("turns.redb")).expect("it opens");
        assert!(identity.fresh && entries.is_empty());
        disk.put(&[turn("b", None)]).expect("it puts");
    }
}

#[test]
fn work_of_the_state_machine_is_done_in_its_order() {
    let folder = TemporaryFolder::new("storage-work");
    let Opened { disk, .. } = TurnDisk::open(&folder.file("turns.redb")).expect("a new file");
    let put = DiskWork::Put(vec![turn("a", None), turn("b", Some("a"))]);
    assert_eq!(disk.perform(&put).expect("done"), DiskOutcome::Done);
    let get = |ids: &[&str]| DiskWork::Get(ids.iter().map(|id| id.to_string()).collect());
    let found = disk.perform(&get(&["b", "z", "a"])).expect("done");
    assert_eq!(
        found,
        DiskOutcome::Turns(vec![turn("b", Some("a")), turn("a", None)])
    );
    disk.perform(&DiskWork::Remove(vec!["a".to_owned()]))
        .expect("done");
    let found = disk.perform(&get(&["a", "b"])).expect("done");
    assert_eq!(found, DiskOutcome::Turns(vec![turn("b", Some("a"))]));
}
