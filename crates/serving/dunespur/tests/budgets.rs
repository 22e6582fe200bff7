//! Budgets of agent programs in a running system: turns over budget are rejected before any server sees them, and a
//! budget is never exceeded.

mod support;

use dunespur_emulator::program::{Conversation, ProgramPlan};
use dunespur_emulator::record::Fate;
use dunespur_emulator::scene::{usual_program, Scene, ScenePlan};
use std::net::SocketAddr;
use std::time::Duration;
use support::{expect_no_violation, run_programs_for, serving_scene, RECOVERY_LIMIT, RETRY_LATER};
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// A program whose budget is is_spent after this many turns.
fn program_of_turns(turns: u64) -> ProgramPlan {
    let plan = usual_program();
    ProgramPlan {
        budget: turns * plan.max_tokens,
        ..plan
    }
}

#[tokio::test]
async fn a_spent_budget_is_402_before_any_server_sees_the_turn() {
    let scene = serving_scene(ScenePlan::default()).await;
    let mut conversation = Conversation::new(&scene.client, &program_of_turns(4));
    for number in 0..4 {
        let served = conversation
            .turn(&scene.client, &format!("turn {number}").into())
            .await;
        assert!(served.succeeded(), "{number}: {served:?}");
    }
    for front in scene.system.fronts() {
        expect_spent(&scene, front, &conversation).await;
    }
    expect_no_violation(&scene);
}

/// Expects 402 for one more turn at this gateway, without any server seeing the turn. Until the gateway of the last turn
/// has reported its use, its units are still leased, and the answer is 503 with a retry delay.
async fn expect_spent(scene: &Scene, front: SocketAddr, conversation: &Conversation) {
    let deadline = Instant::now() + RECOVERY_LIMIT;
    loop {
        let request = conversation.next_request(&scene.client, &"one more".into());
        let served = scene.client.send_to(front, &request).await;
        assert!(scene.record.observations_of(served.request).is_empty());
        if served.status() == Some(402) {
            return;
        }
        assert_eq!(served.status(), Some(RETRY_LATER), "{served:?}");
        let wait_ms = served.answer().and_then(|answered| answered.retry_after_ms);
        let wait_ms = wait_ms.unwrap_or_else(|| panic!("503 without a retry delay: {served:?}"));
        assert!(Instant::now() < deadline, "{served:?}");
        sleep(Duration::from_millis(wait_ms)).await;
    }
}

#[tokio::test]
async fn turns_through_all_gateways_at_once_keep_the_budget_and_use_all_of_it() {
    let scene = serving_scene(ScenePlan::default()).await;
    let plan = program_of_turns(6);
    let trunk = Conversation::new(&scene.client, &plan);
    let deadline = Instant::now() + RECOVERY_LIMIT;
    let mut served_tokens = 0;
    let mut is_spent = false;
    while !is_spent {
        assert!(
            Instant::now() < deadline,
            "{served_tokens} of {} tokens were served",
            plan.budget
        );
        let mut turns = JoinSet::new();
        for side in 0..4 {
            let (client, mut conversation) = (scene.client.clone(), trunk.branch(&scene.client));
            turns.spawn(async move {
                conversation
                    .turn(&client, &format!("side {side}").into())
                    .await
            });
        }
        for served in turns.join_all().await {
            served_tokens += served.answer().map_or(0, |answered| {
                answered.events.len() as u64 * plan.chunk_tokens
            });
            is_spent |= served.status() == Some(402);
        }
    }
    assert_eq!(
        served_tokens, plan.budget,
        "a turn within the budget was rejected, or one beyond it was admitted"
    );
    expect_no_violation(&scene);
}

#[tokio::test]
async fn a_budget_survives_a_kill_of_all_processes() {
    let mut scene = serving_scene(ScenePlan::default()).await;
    let plan = program_of_turns(4);
    let mut conversation = Conversation::new(&scene.client, &plan);
    for number in 0..3 {
        assert!(conversation
            .turn(&scene.client, &format!("turn {number}").into())
            .await
            .succeeded());
    }
    scene.system.kill_all();
    for index in 0..scene.system.machines().len() {
        scene.system.restart(index).unwrap();
    }
    scene.wait_until_serving().await.unwrap();
    let mut ended = false;
    for number in 0..20 {
        let served = conversation
            .turn(&scene.client, &format!("later turn {number}").into())
            .await;
        ended |= served.status() == Some(402);
    }
    assert!(ended, "the used budget was forgotten with the processes");
    run_programs_for(&scene, Duration::from_millis(200)).await;
    expect_no_violation(&scene);
}

#[tokio::test]
async fn failed_attempts_use_the_budget() {
    use dunespur_emulator::server::ServerFault;
    let scene = serving_scene(ScenePlan::default()).await;
    let plan = ProgramPlan {
        retries: 0,
        ..program_of_turns(3)
    };
    for engine in &scene.engines {
        engine
            .server
            .handle
            .faults
            .always(Some(ServerFault::TruncateBody { after: 150 }));
    }
    let conversation = Conversation::new(&scene.client, &plan);
    let deadline = Instant::now() + RECOVERY_LIMIT;
    loop {
        let served = scene
            .client
            .send(&conversation.next_request(&scene.client, &"cut".into()))
            .await;
        if served.status() == Some(402) {
            break;
        }
        assert!(
            Instant::now() < deadline,
            "failed attempts are not counted: {served:?}"
        );
    }
    let runs = scene
        .record
        .observations()
        .iter()
        .filter(|observation| observation.fate == Fate::Run)
        .count();
    assert!(runs > 0);
    expect_no_violation(&scene);
}
