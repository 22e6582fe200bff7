//! Servers that come, go and lie: what the system believes of them, and what becomes of requests.

mod support;

use dunespur_emulator::client::Served;
use dunespur_emulator::client::{RequestKind, RequestSpec};
use dunespur_emulator::configuration::ServicePlan;
use dunespur_emulator::record::Fate;
use dunespur_emulator::scene::{Engine, Scene, ScenePlan, HOST, LOOKUP, RECORD};
use support::{
    engine_of_a_turn, expect_no_violation, lookup, programs_for, stage, Stage, DRAIN, RECOVERY,
};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// How long the client of a turn that a test holds waits for it.
const PATIENCE_MS: u64 = 20_000;

fn record() -> RequestSpec {
    RequestSpec::post(HOST, &format!("{RECORD}x"), RequestKind::Mutating, "once")
}

/// A scene whose routes hold requests for as long as the others are watched.
async fn patient_stage() -> Stage {
    let mut plan = ScenePlan::default();
    plan.configuration
        .routes
        .iter_mut()
        .for_each(|route| route.timeout_ms = PATIENCE_MS);
    stage(plan).await
}

/// A turn that one of the engines holds, and which one that is.
async fn waiting_turn(scene: &Scene) -> (usize, JoinHandle<Served>) {
    scene
        .engines
        .iter()
        .for_each(|engine| engine.server.gate.close());
    let request = RequestSpec {
        deadline_ms: PATIENCE_MS,
        max_gap_ms: PATIENCE_MS,
        ..scene.turn_request()
    };
    let client = scene.client.clone();
    let turn = tokio::spawn(async move { client.send(&request).await });
    (engine_of_a_turn(scene).await, turn)
}

/// Requests that an engine has seen.
fn seen_at(scene: &Scene, engine: &Engine) -> usize {
    scene
        .record
        .observations_at(&engine.server.handle.identity.instance)
        .len()
}

/// Serves turns until long after it was acknowledged that this engine is not to get any more, and sees that it gets
/// none by then.
async fn others_serve(scene: &Scene, engine_with_turn: usize) {
    scene.engines[1 - engine_with_turn].server.gate.open();
    programs_for(scene, DRAIN).await;
    let before = seen_at(scene, &scene.engines[engine_with_turn]);
    programs_for(scene, DRAIN / 4).await;
    assert_eq!(seen_at(scene, &scene.engines[engine_with_turn]), before);
}

/// The engine lets go of the turn that it held, which ends whole.
async fn completes(scene: &Scene, engine_with_turn: usize, turn: JoinHandle<Served>) {
    scene.engines[engine_with_turn].server.gate.open();
    let served = turn.await.unwrap();
    assert!(served.succeeded() && served.attempts == 1, "{served:?}");
    expect_no_violation(scene);
}

#[tokio::test]
async fn a_server_that_leaves_without_draining_completes_what_it_has_and_gets_nothing_new() {
    let scene = patient_stage().await;
    let (engine_with_turn, turn) = waiting_turn(&scene).await;
    let leaving = &scene.engines[engine_with_turn].registration;
    leaving.leave().await;
    for control in scene.system.controls() {
        // Heartbeats of before that come seconds late.
        leaving.send_out_of_order(control, 1, false).await;
        leaving.send_out_of_order(control, 1_000, false).await;
    }
    others_serve(&scene, engine_with_turn).await;
    completes(&scene, engine_with_turn, turn).await;
}

#[tokio::test]
async fn a_server_that_drains_for_seconds_beyond_the_bound_completes_what_it_has() {
    let scene = patient_stage().await;
    let (engine_with_turn, turn) = waiting_turn(&scene).await;
    scene.engines[engine_with_turn].registration.drain().await;
    others_serve(&scene, engine_with_turn).await;
    completes(&scene, engine_with_turn, turn).await;
}

#[tokio::test]
async fn a_server_that_crashed_delays_nothing_and_expires() {
    let mut scene = stage(ScenePlan::default()).await;
    let crashed = scene.plains.remove(0);
    crashed.registration.fall_silent();
    drop(crashed);
    let until = Instant::now() + RECOVERY;
    let mut clean = 0;
    while clean < 40 {
        let served = scene.client.send(&lookup()).await;
        assert!(served.succeeded(), "{served:?}");
        clean = if served.attempts == 1 { clean + 1 } else { 0 };
        assert!(
            Instant::now() < until,
            "the server is tried again and again"
        );
    }
    expect_no_violation(&scene);
}

#[tokio::test]
async fn a_draining_server_stays_so_whatever_comes_late() {
    let scene = stage(ScenePlan::default()).await;
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
    while acknowledged.elapsed() < DRAIN + DRAIN / 4 {
        assert!(scene.client.send(&lookup()).await.succeeded());
    }
    expect_no_violation(&scene);
    let before = scene
        .record
        .observations_at(&draining.server.handle.identity.instance)
        .len();
    for _ in 0..50 {
        assert!(scene.client.send(&lookup()).await.succeeded());
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
async fn an_address_used_again_by_another_service_runs_nothing_of_the_first() {
    let mut plan = ScenePlan::default();
    let other = ServicePlan {
        name: "other".to_owned(),
        max_conns: 120,
        engine: None,
    };
    plan.configuration.services.push(other);
    let mut scene = stage(plan).await;
    let crashed = scene.plains.remove(0);
    let address = crashed.server.handle.identity.address;
    crashed.registration.fall_silent();
    drop(crashed);
    tokio::task::yield_now().await;
    let other = scene.add_plain_at(address, "other").await.unwrap();
    let instance = scene.plains[other].server.handle.identity.instance.clone();
    let until = Instant::now() + DRAIN;
    while Instant::now() < until {
        assert!(scene.client.send(&lookup()).await.succeeded());
        assert!(scene.client.send(&record()).await.succeeded());
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
async fn requests_queue_or_are_rejected_in_time_where_all_slots_are_taken() {
    let scene = stage(ScenePlan::default()).await;
    for plain in &scene.plains {
        plain.server.gate.close();
    }
    let slots: usize = scene.plains.len() * (scene.plan.plain_slots as usize);
    let mut waiting = tokio::task::JoinSet::new();
    for _ in 0..4 * slots {
        let client = scene.client.clone();
        let request = RequestSpec {
            deadline_ms: 2_000,
            ..record()
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
    let mut scene = stage(ScenePlan::default()).await;
    for round in 0..4 {
        let new = scene.add_plain().await.unwrap();
        scene.plains[new].registration.known().await;
        let new = scene.add_engine().await.unwrap();
        scene.engines[new].registration.known().await;
        scene.plains[0].registration.drain().await;
        scene.engines[0].registration.drain().await;
        programs_for(&scene, DRAIN / 4).await;
        for _ in 0..20 {
            let served = scene.client.send(&record()).await;
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
