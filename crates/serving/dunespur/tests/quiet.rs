//! A system without failures of its own processes: programs are served while servers register, drain and fail.

mod support;

use dunespur_emulator::client::{RequestKind, RequestSpec};
use dunespur_emulator::program::{play, Conversation, ProgramEnd, SubAgents, Tool};
use dunespur_emulator::record::Fate;
use dunespur_emulator::scene::{usual_program, ScenePlan, HOST, LOOKUP, RECORD, TURNS};
use support::{expect_no_violation, lookup_request, serving_scene, DRAIN_DELAY};
use tokio::time::Instant;

#[tokio::test]
async fn programs_with_persisted_turns_tools_and_sub_agents_are_served() {
    let scene = serving_scene(ScenePlan::default()).await;
    let mut plan = usual_program();
    plan.tools = vec![
        Tool {
            target: format!("{LOOKUP}x"),
            kind: RequestKind::ReadOnly,
            deadline_ms: 1_200,
            retries: 1,
        },
        Tool {
            target: format!("{RECORD}y"),
            kind: RequestKind::Mutating,
            deadline_ms: 3_000,
            retries: 1,
        },
    ];
    plan.sub_agents = Some(SubAgents {
        after_turn: 2,
        count: 2,
        turns: 2,
    });
    for _ in 0..5 {
        let played = play(&scene.client, &plan).await;
        assert_eq!(played.end, ProgramEnd::Finished, "{played:?}");
        assert_eq!(played.turns.len(), 7);
    }
    expect_no_violation(&scene);
}

#[tokio::test]
async fn programs_that_send_their_complete_history_are_served() {
    let scene = serving_scene(ScenePlan::default()).await;
    let mut plan = usual_program();
    plan.target = format!("{TURNS}chat");
    plan.persisted = false;
    for _ in 0..5 {
        let played = play(&scene.client, &plan).await;
        assert_eq!(played.end, ProgramEnd::Finished, "{played:?}");
    }
    expect_no_violation(&scene);
}

#[tokio::test]
async fn several_turns_may_continue_the_same_turn() {
    let scene = serving_scene(ScenePlan::default()).await;
    let mut trunk = Conversation::new(&scene.client, &usual_program());
    assert!(trunk.turn(&scene.client, &"root".into()).await.succeeded());
    for name in ["left", "middle", "right"] {
        let mut branch = trunk.branch(&scene.client);
        for number in 0..2 {
            let served = branch
                .turn(&scene.client, &format!("{name} {number}").into())
                .await;
            assert!(served.succeeded(), "{served:?}");
        }
    }
    expect_no_violation(&scene);
}

#[tokio::test]
async fn a_turn_that_continues_an_unknown_turn_is_404_and_runs_nowhere() {
    let scene = serving_scene(ScenePlan::default()).await;
    let mut conversation = Conversation::new(&scene.client, &usual_program());
    conversation.set_previous(Some(scene.identities.request()));
    let served = conversation.turn(&scene.client, &"hello".into()).await;
    assert_eq!(served.status(), Some(404), "{served:?}");
    assert!(scene.record.observations_of(served.request).is_empty());
    expect_no_violation(&scene);
}

#[tokio::test]
async fn requests_without_a_route_are_404_and_run_nowhere() {
    let scene = serving_scene(ScenePlan::default()).await;
    for (host, target) in [
        (HOST, "/nowhere/x"),
        ("other.example", "/lookup/x"),
        (HOST, "/lookup"),
    ] {
        let served = scene.client.send(&RequestSpec::get(host, target)).await;
        assert_eq!(served.status(), Some(404), "{host}{target}");
        assert!(scene.record.observations_of(served.request).is_empty());
    }
    expect_no_violation(&scene);
}

#[tokio::test]
async fn a_draining_server_gets_no_requests_once_draining_is_acknowledged() {
    let mut scene = serving_scene(ScenePlan::default()).await;
    scene.plains[0].registration.drain().await;
    scene.engines[0].registration.drain().await;
    let acknowledged = Instant::now();
    while acknowledged.elapsed() < DRAIN_DELAY + DRAIN_DELAY / 4 {
        assert!(scene.client.send(&lookup_request()).await.succeeded());
        let played = play(&scene.client, &usual_program()).await;
        assert_eq!(played.end, ProgramEnd::Finished, "{played:?}");
    }
    expect_no_violation(&scene);
    scene.plains[0].registration.leave().await;
    scene.engines[0].registration.leave().await;
    scene.plains.remove(0);
    scene.engines.remove(0);
    for _ in 0..20 {
        let served = scene.client.send(&lookup_request()).await;
        assert!(served.succeeded() && served.attempts == 1, "{served:?}");
    }
    expect_no_violation(&scene);
}

#[tokio::test]
async fn a_mutating_request_runs_at_most_once_if_its_response_is_lost() {
    use dunespur_emulator::server::ServerFault;
    let scene = serving_scene(ScenePlan::default()).await;
    let request = RequestSpec::post(HOST, &format!("{RECORD}x"), RequestKind::Mutating, "once");
    for fault in [
        ServerFault::AnswerLost,
        ServerFault::SendGarbage,
        ServerFault::TruncateBody { after: 10 },
        ServerFault::Unavailable,
        ServerFault::Fail,
    ] {
        for plain in &scene.plains {
            plain.server.handle.faults.once(fault);
        }
        for _ in 0..6 {
            let served = scene.client.send(&request).await;
            let runs = scene.record.observations_of(served.request);
            let ran = runs
                .iter()
                .filter(|observation| observation.fate == Fate::Run)
                .count();
            assert!(ran <= 1, "{fault:?}: {served:?}");
        }
    }
    expect_no_violation(&scene);
}

#[tokio::test]
async fn an_idempotent_request_is_served_despite_broken_responses() {
    use dunespur_emulator::server::ServerFault;
    let scene = serving_scene(ScenePlan::default()).await;
    for fault in [
        ServerFault::AnswerLost,
        ServerFault::SendGarbage,
        ServerFault::Surplus,
        ServerFault::LateSurplus,
        ServerFault::Close,
        ServerFault::Reject { status: 503 },
        ServerFault::Reject { status: 429 },
    ] {
        for _ in 0..6 {
            scene.plains[0].server.handle.faults.once(fault);
            let served = scene.client.send(&lookup_request()).await;
            assert!(served.succeeded(), "{fault:?}: {served:?}");
        }
    }
    expect_no_violation(&scene);
}
