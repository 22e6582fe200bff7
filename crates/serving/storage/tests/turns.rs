//! The turns' file: what was put is found again after a restart; what can't be read is made anew.

use bytes::Bytes;
use dunespur_storage::turns::TurnDisk;
use dunespur_turn_replication::node::{DiskOutcome, DiskWork};
use dunespur_turn_replication::turn::Turn;
use std::fs;
use std::path::PathBuf;

/// A folder of one test, removed at its end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("dunespur-turns-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a folder for the test");
        Folder(path)
    }

    fn file(&self) -> PathBuf {
        self.0.join("turns.redb")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

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
    let folder = Folder::new("restart");
    let turns = [turn("b", Some("a")), turn("a", None)];
    let (disk, first, entries) = TurnDisk::open(&folder.file()).expect("a new file");
    assert!(first.fresh && entries.is_empty());
    disk.put(&turns).expect("it puts");
    disk.mark_whole().expect("it marks");
    drop(disk);
    let (disk, second, entries) = TurnDisk::open(&folder.file()).expect("it opens again");
    assert_eq!((second.disk, second.fresh), (first.disk, false));
    assert_eq!(entries, [turns[1].header(), turns[0].header()]);
    assert_eq!(disk.get("b").expect("it reads"), Some(turns[0].clone()));
    assert_eq!(disk.get("z").expect("it reads"), None);
}

#[test]
fn a_disk_that_was_never_whole_is_fresh_after_a_restart() {
    let folder = Folder::new("filling");
    let (disk, first, _) = TurnDisk::open(&folder.file()).expect("a new file");
    disk.put(&[turn("a", None)]).expect("it puts");
    drop(disk);
    let (_, second, _) = TurnDisk::open(&folder.file()).expect("it opens again");
    assert_eq!(
        second, first,
        "a store that was killed while it was filled is not whole"
    );
}

#[test]
fn each_new_file_is_another_disk() {
    let (one, two) = (Folder::new("one"), Folder::new("two"));
    let number = |folder: &Folder| TurnDisk::open(&folder.file()).expect("a new file").1.disk;
    assert_ne!(number(&one), number(&two));
}

#[test]
fn a_file_that_can_not_be_read_is_a_new_disk() {
    for (name, contents) in [
        ("garbage", vec![7; 20_000]),
        ("zeros", vec![0; 20_000]),
        ("short", vec![9; 10]),
    ] {
        let folder = Folder::new(name);
        fs::write(folder.file(), contents).expect("a file");
        let (disk, identity, entries) = TurnDisk::open(&folder.file()).expect("it is made anew");
        assert!(identity.fresh && entries.is_empty());
        disk.put(&[turn("a", None)]).expect("it puts");
        drop(disk);
        let (_, again, entries) = TurnDisk::open(&folder.file()).expect("it opens again");
        assert_eq!((again, entries.len()), (identity, 1));
    }
}

#[test]
fn a_file_that_was_cut_short_is_a_new_disk() {
    for twentieths in 1..20 {
        let folder = Folder::new(&format!("cut-{twentieths}"));
        let (disk, _, _) = TurnDisk::open(&folder.file()).expect("a new file");
        disk.put(&[turn("a", None)]).expect("it puts");
        drop(disk);
        let file = fs::OpenOptions::new()
            .write(true)
            .open(folder.file())
            .expect("the file");
        let length = file.metadata().expect("its length").len();
        file.set_len(length * twentieths / 20).expect("it is cut");
        drop(file);
        let (disk, identity, entries) = TurnDisk::open(&folder.file()).expect("it opens");
        assert!(identity.fresh && entries.is_empty());
        disk.put(&[turn("b", None)]).expect("it puts");
    }
}

#[test]
fn work_of_the_state_machine_is_done_in_its_order() {
    let folder = Folder::new("work");
    let (disk, _, _) = TurnDisk::open(&folder.file()).expect("a new file");
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
