//! Gateways that start without knowing the core: gateways without a disk that restart together and are each other's
//! seeds, and a gateway that finds no core.

mod support;

use dunespur_emulator::client::{RequestKind, RequestSpec};
use dunespur_emulator::scene::{ScenePlan, HOST, RECORD};
use dunespur_emulator::system::{MachinePlan, Role};
use support::{
    continue_within, conversation_of, expect_no_violation, lookup_request, machines_of,
    serving_scene, RECOVERY_LIMIT,
};
use tokio::time::Instant;

/// After a kill of all processes, a machine without a disk knows only its seeds. If the seeds have no disk either, none
/// of them knows the core, so the core has to announce its view.
#[tokio::test]
async fn gateways_find_the_core_when_their_seeds_have_restarted_without_a_disk() {
    let mut plan = ScenePlan::default();
    plan.machines
        .push(MachinePlan::new(Role::Gateway, "zone-b"));
    let mut scene = serving_scene(plan).await;
    let gateways = machines_of(&scene, Role::Gateway);
    assert!(
        gateways.len() >= 2,
        "the plan should have at least two gateways without a disk"
    );
    let seeds = gateways
        .iter()
        .map(|gateway| scene.system.control(*gateway))
        .collect();
    scene.system.kill_all();
    scene.system.set_seeds(seeds);
    for index in 0..scene.system.machines().len() {
        scene.system.restart(index).unwrap();
    }
    for gateway in gateways {
        scene
            .system
            .ready_one(gateway, RECOVERY_LIMIT)
            .await
            .unwrap_or_else(|error| panic!("{error:#}"));
    }
    conversation_of(&scene, 2).await;
    expect_no_violation(&scene);
}

/// A gateway that has not found the core answers every request with 503: it knows neither the configuration nor the
/// stored turns nor the remaining budgets.
#[tokio::test]
async fn a_gateway_without_a_configuration_rejects_requests_only_temporarily() {
    let mut scene = serving_scene(ScenePlan::default()).await;
    let mut conversation = conversation_of(&scene, 1).await;
    let gateway = machines_of(&scene, Role::Gateway)[0];
    for core in machines_of(&scene, Role::Core) {
        scene.system.machine(core).kill();
    }
    scene.system.machine(gateway).kill();
    scene.system.restart(gateway).unwrap();
    let turn = conversation.next_request(&scene.client, &"goes on".into());
    let record = RequestSpec::post(HOST, &format!("{RECORD}x"), RequestKind::Mutating, "once");
    for request in [
        lookup_request(),
        record,
        turn,
        RequestSpec::get(HOST, "/nowhere/x"),
    ] {
        let deadline = Instant::now() + RECOVERY_LIMIT;
        let front = scene.system.front(gateway);
        let mut status = None;
        // The gateway may not listen yet.
        while status.is_none() && Instant::now() < deadline {
            status = scene
                .client
                .send_to(
                    front,
                    &RequestSpec {
                        retries: 0,
                        ..request.clone()
                    },
                )
                .await
                .status();
        }
        assert_eq!(status, Some(503), "{}", request.target);
    }
    for core in machines_of(&scene, Role::Core) {
        scene.system.restart(core).unwrap();
    }
    scene.wait_until_serving().await.unwrap();
    continue_within(&scene, &mut conversation, "later", RECOVERY_LIMIT).await;
    expect_no_violation(&scene);
}
