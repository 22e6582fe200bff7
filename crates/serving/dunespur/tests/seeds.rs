//! Gateways that know nothing: those without a disk that restart together and are each other's seeds, and one that
//! finds no core.

mod support;

use dunespur_emulator::client::{RequestKind, RequestSpec};
use dunespur_emulator::scene::{ScenePlan, HOST, RECORD};
use dunespur_emulator::system::{MachinePlan, Role};
use support::{
    continue_within, conversation_of, expect_no_violation, lookup, machines_of, stage, RECOVERY,
};
use tokio::time::Instant;

/// After all processes were killed a machine without a disk knows only its seeds. Where these have no disk either and
/// restarted too, nobody whom it can ask knows the core: the core has to tell.
#[tokio::test]
async fn gateways_come_back_when_their_seeds_have_restarted_without_a_disk() {
    let mut plan = ScenePlan::default();
    plan.machines
        .push(MachinePlan::new(Role::Gateway, "zone-b"));
    let mut scene = stage(plan).await;
    let gateways = machines_of(&scene, Role::Gateway);
    assert!(gateways.len() >= 2, "gateways without a disk");
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
            .ready_one(gateway, RECOVERY)
            .await
            .unwrap_or_else(|error| panic!("{error:#}"));
    }
    conversation_of(&scene, 2).await;
    expect_no_violation(&scene);
}

/// A gateway that has not found the core says 503 to everything: it can't know what the configuration allows, which
/// turns there are, or what is left of a budget.
#[tokio::test]
async fn a_gateway_without_a_configuration_rejects_nothing_for_good() {
    let mut scene = stage(ScenePlan::default()).await;
    let mut conversation = conversation_of(&scene, 1).await;
    let gateway = machines_of(&scene, Role::Gateway)[0];
    for core in machines_of(&scene, Role::Core) {
        scene.system.machine(core).kill();
    }
    scene.system.machine(gateway).kill();
    scene.system.restart(gateway).unwrap();
    let turn = conversation.next_request(&scene.client, &"goes on".into());
    let record = RequestSpec::post(HOST, &format!("{RECORD}x"), RequestKind::Mutating, "once");
    for ask in [lookup(), record, turn, RequestSpec::get(HOST, "/nowhere/x")] {
        let until = Instant::now() + RECOVERY;
        let front = scene.system.front(gateway);
        let mut status = None;
        // It may not listen yet.
        while status.is_none() && Instant::now() < until {
            status = scene
                .client
                .send_to(
                    front,
                    &RequestSpec {
                        retries: 0,
                        ..ask.clone()
                    },
                )
                .await
                .status();
        }
        assert_eq!(status, Some(503), "{}", ask.target);
    }
    for core in machines_of(&scene, Role::Core) {
        scene.system.restart(core).unwrap();
    }
    scene.wait_until_serving().await.unwrap();
    continue_within(&scene, &mut conversation, "later", RECOVERY).await;
    expect_no_violation(&scene);
}
