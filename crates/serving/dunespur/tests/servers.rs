//! Servers that register, drain, crash and send outdated heartbeats: which of them get requests, and how requests end.

mod support;

use dunespur_emulator::client::Served;
use dunespur_emulator::client::{RequestKind, RequestSpec};
use dunespur_emulator::configuration::ServicePlan;
use dunespur_emulator::record::Fate;
use dunespur_emulator::scene::{Engine, Scene, ScenePlan, HOST, LOOKUP, RECORD};
use support::{
    engine_of_a_turn, expect_no_violation, lookup_request, run_programs_for, serving_scene,
    TestScene, DRAIN_DELAY, RECOVERY_LIMIT,
};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// How long a client waits for a turn that the test holds at a server.
const HELD_TURN_TIMEOUT_MS: u64 = 20_000;

fn record_request() -> RequestSpec {
    RequestSpec::post(HOST, &format!("{RECORD}x"), RequestKind::Mutating, "once")
}

/// A scene whose route timeouts are long enough for a turn to be held while other requests are observed.
async fn scene_with_long_timeouts() -> TestScene {
    let mut plan = ScenePlan::default();
    plan.configuration
        .routes
        .iter_mut()
        .for_each(|route| route.timeout_ms = HELD_TURN_TIMEOUT_MS);
    serving_scene(plan).await
}

/// Starts a turn that an engine holds; returns the engine's index and the turn.
async fn hold_turn(scene: &Scene) -> (usize, JoinHandle<Served>) {
    scene
        .engines
        .iter()
        .for_each(|engine| engine.server.gate.close());
    let request = RequestSpec {
        deadline_ms: HELD_TURN_TIMEOUT_MS,
        max_gap_ms: HELD_TURN_TIMEOUT_MS,
        ..scene.turn_request()
    };
    let client = scene.client.clone();
    let turn = tokio::spawn(async move { client.send(&request).await });
    (engine_of_a_turn(scene).await, turn)
}

/// Number of requests that an engine has seen.
fn observation_count(scene: &Scene, engine: &Engine) -> usize {
    scene
        .record
        .observations_at(&engine.server.handle.identity.instance)
        .len()
}

/// Runs programs until [`DRAIN_DELAY`] has passed, and asserts that this engine gets no requests afterwards.
async fn expect_no_new_requests(scene: &Scene, engine_with_turn: usize) {
    scene.engines[1 - engine_with_turn].server.gate.open();
    run_programs_for(scene, DRAIN_DELAY).await;
    let before = observation_count(scene, &scene.engines[engine_with_turn]);
    run_programs_for(scene, DRAIN_DELAY / 4).await;
    assert_eq!(
        observation_count(scene, &scene.engines[engine_with_turn]),
        before
    );
}

/// Opens the engine's gate and asserts that the held turn expect_turn_completes.
async fn expect_turn_completes(scene: &Scene, engine_with_turn: usize, turn: JoinHandle<Served>) {
    scene.engines[engine_with_turn].server.gate.open();
    let served = turn.await.unwrap();
    assert!(served.succeeded() && served.attempts == 1, "{served:?}");
    expect_no_violation(scene);
}

#[tokio::test]
async fn a_server_that_leaves_without_draining_completes_its_turn_and_gets_no_new_ones() {
    let scene = scene_with_long_timeouts().await;
    let (engine_with_turn, turn) = hold_turn(&scene).await;
    let leaving = &scene.engines[engine_with_turn].registration;
    leaving.leave().await;
    for control in scene.system.controls() {
        // Outdated heartbeats that arrive late.
        leaving.send_out_of_order(control, 1, false).await;
        leaving.send_out_of_order(control, 1_000, false).await;
    }
    expect_no_new_requests(&scene, engine_with_turn).await;
    expect_turn_completes(&scene, engine_with_turn, turn).await;
}

#[tokio::test]
async fn a_server_that_drains_for_seconds_beyond_the_bound_completes_its_turn() {
    let scene = scene_with_long_timeouts().await;
    let (engine_with_turn, turn) = hold_turn(&scene).await;
    scene.engines[engine_with_turn].registration.drain().await;
    expect_no_new_requests(&scene, engine_with_turn).await;
    expect_turn_completes(&scene, engine_with_turn, turn).await;
}

#[tokio::test]
async fn a_crashed_server_delays_no_request_and_expires() {
    let mut scene = serving_scene(ScenePlan::default()).await;
    let crashed = scene.plains.remove(0);
    crashed.registration.fall_silent();
    drop(crashed);
    let deadline = Instant::now() + RECOVERY_LIMIT;
    let mut clean = 0;
    while clean < 40 {
        let served = scene.client.send(&lookup_request()).await;
        assert!(served.succeeded(), "{served:?}");
        clean = if served.attempts == 1 { clean + 1 } else { 0 };
        assert!(
            Instant::now() < deadline,
            "the crashed server is still tried"
        );
    }
    expect_no_violation(&scene);
}

#[tokio::test]
async fn a_draining_server_stays_draining_despite_late_heartbeats() {
    let scene = serving_scene(ScenePlan::default()).await;
    let draining = &scene.plains[0];
    draining.registration.drain().await;
    let acknowledged = Instant::now();
    for control in scene.system.controls() {
        draining
            .registration
            .send_out_of_order(control, 1, false)
            .await;
        draining
            .registration
            .send_out_of_order(control, 1_000, false)
            .await;
    }
    while acknowledged.elapsed() < DRAIN_DELAY + DRAIN_DELAY / 4 {
        assert!(scene.client.send(&lookup_request()).await.succeeded());
    }
    expect_no_violation(&scene);
    let before = scene
        .record
        .observations_at(&draining.server.handle.identity.instance)
        .len();
    for _ in 0..50 {
        assert!(scene.client.send(&lookup_request()).await.succeeded());
    }
    assert_eq!(
        scene
            .record
            .observations_at(&draining.server.handle.identity.instance)
            .len(),
        before
    );
}

#[tokio::test]
async fn a_reused_address_runs_no_requests_of_its_former_service() {
    let mut plan = ScenePlan::default();
    let other = ServicePlan {
        name: "other".to_owned(),
        max_conns: 120,
        engine: None,
    };
    plan.configuration.services.push(other);
    let mut scene = serving_scene(plan).await;
    let crashed = scene.plains.remove(0);
    let address = crashed.server.handle.identity.address;
    crashed.registration.fall_silent();
    drop(crashed);
    tokio::task::yield_now().await;
    let other = scene.add_plain_at(address, "other").await.unwrap();
    let instance = scene.plains[other].server.handle.identity.instance.clone();
    let deadline = Instant::now() + DRAIN_DELAY;
    while Instant::now() < deadline {
        assert!(scene.client.send(&lookup_request()).await.succeeded());
        assert!(scene.client.send(&record_request()).await.succeeded());
    }
    let observations = scene.record.observations_at(&instance);
    let ran = observations
        .iter()
        .filter(|observation| observation.fate == Fate::Run)
        .count();
    assert_eq!(ran, 0, "a server of another service ran requests");
    expect_no_violation(&scene);
}

#[tokio::test]
async fn requests_queue_or_are_rejected_in_time_when_all_slots_are_taken() {
    let scene = serving_scene(ScenePlan::default()).await;
    for plain in &scene.plains {
        plain.server.gate.close();
    }
    let slots: usize = scene.plains.len() * (scene.plan.plain_slots as usize);
    let mut waiting = tokio::task::JoinSet::new();
    for _ in 0..4 * slots {
        let client = scene.client.clone();
        let request = RequestSpec {
            deadline_ms: 2_000,
            ..record_request()
        };
        waiting.spawn(async move { client.send(&request).await });
    }
    for plain in &scene.plains {
        plain
            .server
            .gate
            .waiting(scene.plan.plain_slots as usize)
            .await;
    }
    for plain in &scene.plains {
        plain.server.gate.open();
    }
    let served = waiting.join_all().await;
    assert!(served.iter().filter(|served| served.succeeded()).count() >= slots);
    let clear = |status: Option<u16>| matches!(status, Some(200 | 429 | 503));
    assert!(
        served.iter().all(|served| clear(served.status())),
        "{served:?}"
    );
    expect_no_violation(&scene);
}

#[tokio::test]
async fn servers_replaced_one_after_the_other_lose_nothing() {
    let mut scene = serving_scene(ScenePlan::default()).await;
    for round in 0..4 {
        let new_plain = scene.add_plain().await.unwrap();
        scene.plains[new_plain].registration.known().await;
        let new_engine = scene.add_engine().await.unwrap();
        scene.engines[new_engine].registration.known().await;
        scene.plains[0].registration.drain().await;
        scene.engines[0].registration.drain().await;
        run_programs_for(&scene, DRAIN_DELAY / 4).await;
        for _ in 0..20 {
            let served = scene.client.send(&record_request()).await;
            assert!(served.succeeded(), "round {round}: {served:?}");
        }
        scene.plains[0].registration.leave().await;
        scene.engines[0].registration.leave().await;
        scene.plains.remove(0);
        scene.engines.remove(0);
    }
    let last = RequestSpec::get(HOST, &format!("{LOOKUP}last"));
    assert!(scene.client.send(&last).await.succeeded());
    expect_no_violation(&scene);
}
