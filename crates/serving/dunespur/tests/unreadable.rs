//! Corrupt database files found at a start: the machine logs the corruption, sets the file aside and rejoins with an
//! empty disk. Nothing acknowledged is lost, and the next machine may lose its file the same way.

mod support;

use dunespur_emulator::scene::{Scene, ScenePlan};
use dunespur_emulator::system::Role;
use std::fs::{self, OpenOptions};
use std::path::{Path, PathBuf};
use support::{
    add_route, continue_conversation, conversation_of, expect_no_violation, generation,
    machines_of, run_programs_for, serving_scene, CATCH_UP_TIME,
};

const CORE_FILE: &str = "core.redb";
const TURNS_FILE: &str = "turns.redb";

fn truncate(path: &Path) {
    let file = OpenOptions::new().write(true).open(path).unwrap();
    let length = file.metadata().unwrap().len();
    file.set_len(length / 2).unwrap();
}

/// Inverts both roots in the database header.
fn corrupt_header(path: &Path) {
    let mut bytes = fs::read(path).unwrap();
    bytes[64..320].iter_mut().for_each(|byte| *byte ^= 0xff);
    fs::write(path, bytes).unwrap();
}

fn replace_by_text(path: &Path) {
    fs::write(path, "no database").unwrap();
}

const CORRUPTIONS: [fn(&Path); 3] = [truncate, corrupt_header, replace_by_text];

/// Kills a machine, corrupts its database file, and restarts it.
fn restart_with_corrupt_file(
    scene: &mut Scene,
    machine: usize,
    name: &str,
    corruption: fn(&Path),
) -> PathBuf {
    scene.system.machine(machine).kill();
    let path = scene.system.machines()[machine].data_folder().join(name);
    corruption(&path);
    scene.system.restart(machine).unwrap();
    path
}

/// Asserts that the machine has logged and set aside one unreadable file, and has a new file.
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
async fn core_members_with_corrupt_files_rejoin_one_after_the_other() {
    let mut scene = serving_scene(ScenePlan::default()).await;
    let mut version = 1;
    for (member, corruption) in machines_of(&scene, Role::Core).into_iter().zip(CORRUPTIONS) {
        version = add_route(&mut scene, version).await;
        let path = restart_with_corrupt_file(&mut scene, member, CORE_FILE, corruption);
        run_programs_for(&scene, CATCH_UP_TIME).await;
        expect_set_aside(&scene, member, &path);
    }
    assert_eq!(generation(&mut scene).await, version);
    version = add_route(&mut scene, version).await;
    scene.wait_until_serving().await.unwrap();
    assert_eq!(generation(&mut scene).await, version);
    expect_no_violation(&scene);
}

#[tokio::test]
async fn stores_with_corrupt_files_are_repaired_one_after_the_other() {
    let mut scene = serving_scene(ScenePlan::default()).await;
    let mut conversations = Vec::new();
    for _ in 0..8 {
        conversations.push(conversation_of(&scene, 3).await);
    }
    for (store, corruption) in machines_of(&scene, Role::Store)
        .into_iter()
        .zip(CORRUPTIONS)
    {
        let path = restart_with_corrupt_file(&mut scene, store, TURNS_FILE, corruption);
        run_programs_for(&scene, CATCH_UP_TIME).await;
        expect_set_aside(&scene, store, &path);
        for conversation in &mut conversations {
            continue_conversation(&scene, conversation, &format!("after store {store}")).await;
        }
    }
    expect_no_violation(&scene);
}
