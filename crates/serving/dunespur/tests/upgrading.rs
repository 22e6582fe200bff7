//! Another version of the program takes the place of the one that runs, while turns go on and from the data folders
//! that the earlier one wrote.
//!
//! The environment variable `DUNESPUR_EARLIER_PROGRAM` names the earlier program. Where it is not set, the program
//! under test is its own predecessor: then the scenes still show that a replacement loses nothing.

mod support;

use dunespur_emulator::client::Client;
use dunespur_emulator::program::{play, Conversation, ProgramEnd};
use dunespur_emulator::scene::{usual_program, Scene, ScenePlan};
use dunespur_emulator::system::Role;
use std::path::PathBuf;
use std::time::Duration;
use support::disk::{fail_as_late, with_standstills_apart};
use support::{
    add_route, continue_within, conversation_of, expect_no_violation, generation, program,
    programs_for, stage_of, Stage, CATCH_UP, LATER, ORDER_LIMIT, RECOVERY,
};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Names the program that runs before.
const EARLIER_PROGRAM: &str = "DUNESPUR_EARLIER_PROGRAM";
/// Conversations that begin under the earlier program and go on under the later one.
const CONVERSATIONS: usize = 12;
/// The platform kills a process this long after SIGTERM.
const GRACE: Duration = Duration::from_secs(8);

fn earlier_program() -> PathBuf {
    std::env::var_os(EARLIER_PROGRAM).map_or_else(program, PathBuf::from)
}

/// A scene of the earlier program with conversations and a configuration of two versions.
async fn earlier_stage() -> (Stage, Vec<Conversation>, u64) {
    let mut scene = stage_of(&earlier_program(), ScenePlan::default()).await;
    let mut conversations = Vec::new();
    for _ in 0..CONVERSATIONS {
        conversations.push(conversation_of(&scene, 2).await);
    }
    let version = add_route(&mut scene, 1).await;
    (scene, conversations, version)
}

/// Programs that are played one after the other until they are asked to stop.
struct Traffic {
    stop: watch::Sender<bool>,
    playing: JoinHandle<Vec<ProgramEnd>>,
}

impl Traffic {
    fn start(client: &Client) -> Traffic {
        let (stop, stopped) = watch::channel(false);
        let client = client.clone();
        let playing = tokio::spawn(async move {
            let mut ends = Vec::new();
            while !*stopped.borrow() {
                ends.push(play(&client, &usual_program()).await.end);
            }
            ends
        });
        Traffic { stop, playing }
    }

    /// Lets the program that is being played end; how all of them ended.
    async fn stop(self) -> Vec<ProgramEnd> {
        self.stop.send(true).expect("the programs are still played");
        self.playing.await.expect("programs end without a panic")
    }
}

/// Starts the program under test in the place of the earlier one on a machine, after a planned end of that.
async fn replace_program(scene: &mut Scene, machine: usize) {
    let is_gateway = scene.system.machines()[machine].plan().role != Role::Store;
    if is_gateway {
        scene.terminate(machine).unwrap();
    } else {
        scene.system.machine(machine).terminate().unwrap();
    }
    let status = scene.system.machine(machine).wait(GRACE).await.unwrap();
    assert!(status.success(), "{status}");
    scene.system.machine(machine).set_program(program());
    scene.system.restart(machine).unwrap();
    scene.wait_until_serving().await.unwrap();
    scene.client.set_fronts(scene.system.fronts());
}

/// The configuration and the conversations that the earlier program was told are there.
async fn expect_continued(scene: &mut Stage, conversations: &mut [Conversation], version: u64) {
    assert_eq!(generation(scene).await, version);
    for conversation in &mut *conversations {
        continue_within(scene, conversation, "under the later program", RECOVERY).await;
    }
    let version = add_route(scene, version).await;
    scene.wait_until_serving().await.unwrap();
    assert_eq!(generation(scene).await, version);
    expect_no_violation(scene);
}

/// None of the programs has failed.
fn expect_finished(ends: &[ProgramEnd]) {
    assert!(!ends.is_empty());
    for end in ends {
        if *end
            == (ProgramEnd::Failed {
                status: Some(LATER),
            })
        {
            fail_as_late(format!("{ends:?}"));
        }
        assert_eq!(*end, ProgramEnd::Finished, "{ends:?}");
    }
}

#[tokio::test]
async fn processes_are_replaced_one_after_another_while_turns_go_on() {
    with_standstills_apart(|| async {
        let (mut scene, mut conversations, version) = earlier_stage().await;
        let traffic = Traffic::start(&scene.client);
        for machine in 0..scene.system.machines().len() {
            replace_program(&mut scene, machine).await;
            for conversation in &mut conversations {
                continue_within(
                    &scene,
                    conversation,
                    &format!("after machine {machine}"),
                    ORDER_LIMIT,
                )
                .await;
            }
            programs_for(&scene, CATCH_UP).await;
        }
        expect_finished(&traffic.stop().await);
        expect_continued(&mut scene, &mut conversations, version).await;
    })
    .await;
}

#[tokio::test]
async fn a_complete_system_is_replaced_at_once() {
    with_standstills_apart(|| async {
        let (mut scene, mut conversations, version) = earlier_stage().await;
        scene.system.kill_all();
        for machine in 0..scene.system.machines().len() {
            scene.system.machine(machine).set_program(program());
            scene.system.restart(machine).unwrap();
        }
        scene.wait_until_serving().await.unwrap();
        expect_continued(&mut scene, &mut conversations, version).await;
        programs_for(&scene, CATCH_UP).await;
        expect_no_violation(&scene);
    })
    .await;
}
