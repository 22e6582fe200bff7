//! Files that a start finds spoilt: the machine logs it, sets the file aside and comes back as a joiner; nothing that
//! was acknowledged is lost, and the next machine may go the same way.

mod support;

use dunespur_emulator::scene::{Scene, ScenePlan};
use dunespur_emulator::system::Role;
use std::fs::{self, OpenOptions};
use std::path::{Path, PathBuf};
use support::{
    add_route, continue_conversation, conversation_of, expect_no_violation, generation,
    machines_of, programs_for, stage, CATCH_UP,
};

const CORE_FILE: &str = "core.redb";
const TURNS_FILE: &str = "turns.redb";

fn truncate(path: &Path) {
    let file = OpenOptions::new().write(true).open(path).unwrap();
    let length = file.metadata().unwrap().len();
    file.set_len(length / 2).unwrap();
}

/// Both roots in the header.
fn spoil_header(path: &Path) {
    let mut bytes = fs::read(path).unwrap();
    bytes[64..320].iter_mut().for_each(|byte| *byte ^= 0xff);
    fs::write(path, bytes).unwrap();
}

fn replace_by_text(path: &Path) {
    fs::write(path, "no database").unwrap();
}

const SPOILERS: [fn(&Path); 3] = [truncate, spoil_header, replace_by_text];

/// Kills a machine, spoils its file, and starts it again.
fn spoil(scene: &mut Scene, machine: usize, name: &str, spoiler: fn(&Path)) -> PathBuf {
    scene.system.machine(machine).kill();
    let path = scene.system.machines()[machine].data_folder().join(name);
    spoiler(&path);
    scene.system.restart(machine).unwrap();
    path
}

/// The machine runs, has said why, and holds one file that was set aside.
fn expect_set_aside(scene: &Scene, machine: usize, path: &Path) {
    let machine = &scene.system.machines()[machine];
    let reports = machine
        .log()
        .lines()
        .filter(|line| line.contains("is set aside as"))
        .count();
    assert_eq!(reports, 1, "{}", machine.log_tail());
    assert!(path.with_extension("unreadable").exists() && path.exists());
}

#[tokio::test]
async fn core_members_with_spoilt_files_come_back_one_after_the_other() {
    let mut scene = stage(ScenePlan::default()).await;
    let mut version = 1;
    for (member, spoiler) in machines_of(&scene, Role::Core).into_iter().zip(SPOILERS) {
        version = add_route(&mut scene, version).await;
        let path = spoil(&mut scene, member, CORE_FILE, spoiler);
        programs_for(&scene, CATCH_UP).await;
        expect_set_aside(&scene, member, &path);
    }
    assert_eq!(generation(&mut scene).await, version);
    version = add_route(&mut scene, version).await;
    scene.wait_until_serving().await.unwrap();
    assert_eq!(generation(&mut scene).await, version);
    expect_no_violation(&scene);
}

#[tokio::test]
async fn stores_with_spoilt_files_are_repaired_one_after_the_other() {
    let mut scene = stage(ScenePlan::default()).await;
    let mut conversations = Vec::new();
    for _ in 0..8 {
        conversations.push(conversation_of(&scene, 3).await);
    }
    for (store, spoiler) in machines_of(&scene, Role::Store).into_iter().zip(SPOILERS) {
        let path = spoil(&mut scene, store, TURNS_FILE, spoiler);
        programs_for(&scene, CATCH_UP).await;
        expect_set_aside(&scene, store, &path);
        for conversation in &mut conversations {
            continue_conversation(&scene, conversation, &format!("after store {store}")).await;
        }
    }
    expect_no_violation(&scene);
}
