//! Seeds that know nothing: machines without a disk that restart together, and are each other's seeds.

mod support;

use dunespur_emulator::scene::ScenePlan;
use dunespur_emulator::system::{MachinePlan, Role};
use support::{expect_no_violation, line_of, places, stage, RECOVERY};

/// After all processes were killed a machine without a disk knows only its seeds. Where these have no disk either and
/// restarted too, nobody whom it can ask knows the core: the core has to tell.
#[tokio::test]
async fn gateways_come_back_when_their_seeds_have_restarted_without_a_disk() {
    let mut plan = ScenePlan::default();
    plan.machines.push(MachinePlan::new(Role::Gateway, "zone-b"));
    let mut scene = stage(plan).await;
    let gateways = places(&scene, Role::Gateway);
    assert!(gateways.len() >= 2, "gateways without a disk");
    let seeds = gateways.iter().map(|gateway| scene.system.control(*gateway)).collect();
    scene.system.kill_all();
    scene.system.set_seeds(seeds);
    for index in 0..scene.system.machines().len() {
        scene.system.restart(index).unwrap();
    }
    for gateway in gateways {
        scene.system.ready_one(gateway, RECOVERY).await.unwrap_or_else(|error| panic!("{error:#}"));
    }
    line_of(&scene, 2).await;
    expect_no_violation(&scene);
}
