//! What the tests of whole programs have in common.
#![allow(dead_code)]

pub mod disk;

use disk::{fail_as_late, stood_still_since};
use dunespur_emulator::client::{RequestKind, RequestSpec};
use dunespur_emulator::configuration::{patch, RoutePlan};
use dunespur_emulator::program::{play, Conversation, ProgramEnd};
use dunespur_emulator::scene::{usual_program, Scene, ScenePlan, HOST, LOOKUP, TOOLS};
use dunespur_emulator::system::Role;
use serde_json::Value;
use std::ops::{Deref, DerefMut};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::Instant;

/// An order of the operator is acknowledged within this time while the core is stable.
pub const ORDER_LIMIT: Duration = Duration::from_secs(4);
/// A machine counts as lost for this long after its return.
pub const CATCH_UP: Duration = Duration::from_millis(4_200);
/// After a loss the system serves again within this time.
pub const RECOVERY: Duration = Duration::from_secs(12);
/// What is drained gets no requests this long after it was acknowledged.
pub const DRAIN: Duration = Duration::from_millis(2_000);

/// Scenes of one test program at the same time: each is some ten processes.
static SCENES: Semaphore = Semaphore::const_new(2);

/// A scene with its place among those that run at once.
pub struct Stage {
    scene: Scene,
    _permit: SemaphorePermit<'static>,
}

impl Deref for Stage {
    type Target = Scene;

    fn deref(&self) -> &Scene {
        &self.scene
    }
}

impl DerefMut for Stage {
    fn deref_mut(&mut self) -> &mut Scene {
        &mut self.scene
    }
}

/// The program under test.
pub fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_dunespur"))
}

/// A scene that serves.
pub async fn stage(plan: ScenePlan) -> Stage {
    stage_of(&program(), plan).await
}

/// A scene of this program that serves.
pub async fn stage_of(program: &Path, plan: ScenePlan) -> Stage {
    let permit = SCENES.acquire().await.expect("never closed");
    let scene = Scene::start(program, plan)
        .await
        .unwrap_or_else(|error| panic!("{error:#}"));
    Stage {
        scene,
        _permit: permit,
    }
}

/// A scene whose processes have been started, without any order of the operator.
pub async fn begin(plan: ScenePlan) -> Stage {
    let permit = SCENES.acquire().await.expect("never closed");
    let scene = Scene::begin(&program(), plan)
        .await
        .unwrap_or_else(|error| panic!("{error:#}"));
    Stage {
        scene,
        _permit: permit,
    }
}

/// Places of machines of a role.
pub fn machines_of(scene: &Scene, role: Role) -> Vec<usize> {
    scene.system.machine_indices(|plan| plan.role == role)
}

/// No rule is broken by what servers and clients of the scene saw.
pub fn expect_no_violation(scene: &Scene) {
    let violations: Vec<String> = scene.violations().iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    assert!(!scene.record.overflowed(), "the record has overflowed");
}

/// The answer to what can't be done at this moment.
pub const LATER: u16 = 503;

/// Plays programs one after the other until `time` has passed in which the disk did not stand still; all have to
/// finish.
pub async fn programs_for(scene: &Scene, time: Duration) {
    let begun = std::time::Instant::now();
    while begun.elapsed() < time + stood_still_since(begun) {
        let played = play(&scene.client, &usual_program()).await;
        if played.end
            == (ProgramEnd::Failed {
                status: Some(LATER),
            })
        {
            fail_as_late(format!("{played:?}"));
        }
        assert_eq!(played.end, ProgramEnd::Finished, "{played:?}");
    }
}

/// Waits until one of the two engines, whose gates are held, has a turn; which one that is.
pub async fn engine_of_a_turn(scene: &Scene) -> usize {
    let [first, second] = [&scene.engines[0].server.gate, &scene.engines[1].server.gate];
    tokio::select! {
        () = first.waiting(1) => 0,
        () = second.waiting(1) => 1,
    }
}

/// A conversation of so many turns, each answered completely.
pub async fn conversation_of(scene: &Scene, turns: u32) -> Conversation {
    let mut conversation = Conversation::new(&scene.client, &usual_program());
    for number in 0..turns {
        continue_conversation(scene, &mut conversation, &format!("turn {number}")).await;
    }
    conversation
}

/// The conversation's next turn, which has to be answered completely.
pub async fn continue_conversation(scene: &Scene, conversation: &mut Conversation, input: &str) {
    let served = conversation
        .turn(&scene.client, &input.to_owned().into())
        .await;
    if served.status() == Some(LATER) {
        fail_as_late(format!("{input}: {served:?}"));
    }
    assert!(served.succeeded(), "{input}: {served:?}");
}

/// The conversation's next turn, repeated until it is answered completely; a 404 is none.
pub async fn continue_within(
    scene: &Scene,
    conversation: &mut Conversation,
    input: &str,
    limit: Duration,
) {
    let until = Instant::now() + limit;
    loop {
        let served = conversation
            .turn(&scene.client, &input.to_owned().into())
            .await;
        if served.succeeded() {
            return;
        }
        assert_ne!(served.status(), Some(404), "{input}: {served:?}");
        if Instant::now() >= until && served.status() == Some(LATER) {
            fail_as_late(format!("{input}: {served:?}"));
        }
        assert!(Instant::now() < until, "{input}: {served:?}");
    }
}

/// A lookup that has no influence on anything.
pub fn lookup() -> RequestSpec {
    RequestSpec::get(HOST, &format!("{LOOKUP}x"))
}

/// Adds one route on top of `base`.
pub async fn add_route(scene: &mut Scene, base: u64) -> u64 {
    let generation = base + 3;
    let name = format!("route-{generation}");
    let route = RoutePlan::new(
        &name,
        HOST,
        &format!("/{name}/"),
        RequestKind::ReadOnly,
        TOOLS,
    );
    let plan =
        scene
            .configurations
            .last()
            .unwrap()
            .patched(generation, std::slice::from_ref(&route), &[]);
    scene.configurations.push(plan);
    let answer = scene
        .operator
        .patch(base, &patch(generation, &[route], &[]), RECOVERY)
        .await
        .unwrap();
    assert_eq!(
        answer.status,
        200,
        "{}",
        String::from_utf8_lossy(&answer.body)
    );
    generation
}

/// The newest version as any gateway reads it back.
pub async fn generation(scene: &mut Scene) -> u64 {
    let answer = scene.operator.get(RECOVERY).await.unwrap();
    assert_eq!(answer.status, 200);
    let configuration: Value = serde_json::from_slice(&answer.body).unwrap();
    configuration["generation"].as_u64().unwrap()
}
