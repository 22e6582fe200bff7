//! The first start: every machine knows three seeds and nothing else, and processes may end at any moment of it.

mod support;

use dunespur_emulator::client::call::{call, Call};
use dunespur_emulator::client::RequestKind;
use dunespur_emulator::configuration::{patch, RoutePlan};
use dunespur_emulator::scene::{Scene, ScenePlan, HOST, TOOLS};
use dunespur_emulator::system::{MachinePlan, Role};
use serde_json::Value;
use std::time::Duration;
use support::{
    begin, expect_no_violation, machines_of, programs_for, stage, Stage, CATCH_UP, ORDER_LIMIT,
    RECOVERY,
};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A call that is only a look.
const LOOK: Duration = Duration::from_millis(300);

/// Gateways without a disk come first, so that the seeds are no members of the core.
fn seeds_without_disks() -> ScenePlan {
    let mut plan = ScenePlan {
        engines: 1,
        plains: 1,
        ..ScenePlan::default()
    };
    plan.machines = Vec::new();
    for (role, count) in [(Role::Gateway, 3), (Role::Core, 3), (Role::Store, 3)] {
        plan.machines
            .extend((0..count).map(|_| MachinePlan::new(role, "zone-a")));
    }
    plan
}

/// Whether this gateway's core answers: with a configuration or that there is none.
async fn reads(scene: &Scene, index: usize) -> bool {
    let answer = call(
        scene.system.control(index),
        &Call::get("/api/config/get"),
        LOOK,
    )
    .await;
    answer.is_ok_and(|answer| [200, 404].contains(&answer.status))
}

/// Ends once some core member answers for the core.
async fn somebody_reads(scene: &Scene) {
    let until = Instant::now() + RECOVERY;
    loop {
        for member in machines_of(scene, Role::Core) {
            if reads(scene, member).await {
                return;
            }
        }
        assert!(Instant::now() < until, "no core comes up");
    }
}

/// Ends once this machine's control address takes connections.
async fn listens(scene: &Scene, index: usize) {
    let until = Instant::now() + RECOVERY;
    while TcpStream::connect(scene.system.control(index))
        .await
        .is_err()
    {
        assert!(Instant::now() < until, "machine {index} does not come up");
    }
}

/// There is one system: each gateway takes an order on top of what the one before took, and all read the same.
async fn expect_one_system(scene: &mut Stage) {
    scene.configure().await.unwrap();
    scene.wait_until_serving().await.unwrap();
    let controls = scene.system.controls();
    let mut version = 1;
    for control in &controls {
        scene.operator.set_controls(vec![*control]);
        let name = format!("route-{version}");
        let route = RoutePlan::new(
            &name,
            HOST,
            &format!("/{name}/"),
            RequestKind::ReadOnly,
            TOOLS,
        );
        let body = patch(version + 1, &[route], &[]);
        let answer = scene
            .operator
            .patch(version, &body, RECOVERY)
            .await
            .unwrap();
        assert_eq!(
            answer.status,
            200,
            "{control}: {}",
            String::from_utf8_lossy(&answer.body)
        );
        version += 1;
    }
    for control in &controls {
        scene.operator.set_controls(vec![*control]);
        let answer = scene.operator.get(ORDER_LIMIT).await.unwrap();
        let configuration: Value = serde_json::from_slice(&answer.body).unwrap();
        assert_eq!(configuration["generation"], version, "{control}");
    }
    scene.operator.set_controls(controls);
}

#[tokio::test]
async fn a_system_comes_up_whose_seeds_have_no_disks() {
    let mut scene = begin(seeds_without_disks()).await;
    expect_one_system(&mut scene).await;
    programs_for(&scene, Duration::from_millis(500)).await;
    expect_no_violation(&scene);
}

#[tokio::test]
async fn the_founder_may_be_killed_before_it_has_founded_anything() {
    let mut scene = begin(seeds_without_disks()).await;
    listens(&scene, 0).await;
    scene.system.machine(0).kill();
    scene.system.restart_bootstrapping(0).unwrap();
    expect_one_system(&mut scene).await;
}

#[tokio::test]
async fn the_founder_may_be_killed_when_it_has_answered_the_first_member() {
    for _ in 0..4 {
        let mut scene = begin(seeds_without_disks()).await;
        somebody_reads(&scene).await;
        scene.system.machine(0).kill();
        scene.system.restart_bootstrapping(0).unwrap();
        expect_one_system(&mut scene).await;
    }
}

#[tokio::test]
async fn a_founder_with_a_disk_may_be_killed_when_the_core_stands() {
    for _ in 0..4 {
        let mut scene = begin(ScenePlan {
            engines: 1,
            plains: 1,
            ..ScenePlan::default()
        })
        .await;
        somebody_reads(&scene).await;
        scene.system.machine(0).kill();
        scene.system.restart_bootstrapping(0).unwrap();
        expect_one_system(&mut scene).await;
    }
}

#[tokio::test]
async fn all_processes_may_be_killed_while_the_core_is_founded() {
    for _ in 0..4 {
        let mut scene = begin(seeds_without_disks()).await;
        somebody_reads(&scene).await;
        scene.system.kill_all();
        for index in 0..scene.system.machines().len() {
            scene.system.restart_bootstrapping(index).unwrap();
        }
        expect_one_system(&mut scene).await;
    }
}

#[tokio::test]
async fn a_member_that_comes_late_joins_though_its_settings_say_bootstrap() {
    let mut scene = begin(seeds_without_disks()).await;
    let late = machines_of(&scene, Role::Core)[2];
    scene.system.machine(late).kill();
    scene.system.machine(late).wipe().unwrap();
    scene.configure().await.unwrap();
    scene.system.restart_bootstrapping(late).unwrap();
    scene.wait_until_serving().await.unwrap();
    programs_for(&scene, CATCH_UP).await;
    let other = machines_of(&scene, Role::Core)[0];
    scene.system.machine(other).kill();
    let route = RoutePlan::new("later", HOST, "/later/", RequestKind::ReadOnly, TOOLS);
    let answer = scene
        .operator
        .patch(1, &patch(2, &[route], &[]), RECOVERY)
        .await
        .unwrap();
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn a_machine_comes_up_with_one_seed_left() {
    let mut scene = stage(ScenePlan {
        engines: 1,
        plains: 1,
        ..ScenePlan::default()
    })
    .await;
    let alive = scene.system.control(machines_of(&scene, Role::Gateway)[0]);
    let nobody = scene.system.server_address().unwrap();
    let seeds = vec![
        nobody,
        std::net::SocketAddr::new(nobody.ip(), alive.port()),
        alive,
    ];
    scene.system.set_seeds(seeds);
    let joined = scene
        .system
        .join(MachinePlan::new(Role::Gateway, "zone-b"))
        .unwrap();
    scene.system.ready_one(joined, RECOVERY).await.unwrap();
    scene.serves(joined).await.unwrap();
    scene.system.machine(joined).kill();
    scene.system.restart(joined).unwrap();
    scene.system.ready_one(joined, RECOVERY).await.unwrap();
    scene.serves(joined).await.unwrap();
    expect_no_violation(&scene);
}
