//! A quiet system: configuration, readiness, heartbeats, turns, tools, draining.

mod support;

use dunespur_emulator::client::{Ask, Kind};
use dunespur_emulator::program::{play, End, Tool};
use dunespur_emulator::scene::{usual_program, Scene, ScenePlan, HOST, LOOKUP, RECORD};
use support::{expect_no_violation, program};

#[tokio::test]
async fn programs_with_kept_turns_and_tools_are_served() {
    let scene = Scene::start(&program(), ScenePlan::default()).await.unwrap();
    let mut plan = usual_program();
    plan.tools = vec![
        Tool { target: format!("{LOOKUP}x"), kind: Kind::ReadOnly, deadline_ms: 1_200, retries: 1 },
        Tool { target: format!("{RECORD}y"), kind: Kind::Mutating, deadline_ms: 3_000, retries: 1 },
    ];
    for _ in 0..5 {
        let played = play(&scene.client, &plan).await;
        assert_eq!(played.end, End::Finished, "{played:?}");
        assert_eq!(played.turns.len(), 3);
    }
    expect_no_violation(&scene);
}

#[tokio::test]
async fn requests_without_a_route_are_404_and_run_nowhere() {
    let scene = Scene::start(&program(), ScenePlan::default()).await.unwrap();
    for (host, target) in [(HOST, "/nowhere/x"), ("other.example", "/lookup/x"), (HOST, "/lookup")] {
        let served = scene.client.send(&Ask::get(host, target)).await;
        assert_eq!(served.status(), Some(404), "{host}{target}");
        assert!(scene.record.sightings_of(served.request).is_empty());
    }
    expect_no_violation(&scene);
}
