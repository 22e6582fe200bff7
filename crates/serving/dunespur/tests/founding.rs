//! The first start of a system: every machine knows only three seeds, and processes may be killed at any time.

mod support;

use dunespur_emulator::client::call::{call, Call};
use dunespur_emulator::client::RequestKind;
use dunespur_emulator::configuration::{patch, RoutePlan};
use dunespur_emulator::scene::{Scene, ScenePlan, HOST, TOOLS};
use dunespur_emulator::system::{MachinePlan, Role};
use serde_json::Value;
use std::time::Duration;
use support::{
    expect_no_violation, machines_of, run_programs_for, serving_scene, started_scene, TestScene,
    CATCH_UP_TIME, OPERATOR_REQUEST_LIMIT, RECOVERY_LIMIT,
};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Timeout of a call that probes a gateway.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// A plan whose first machines are gateways without a disk, so that the seeds are not members of the core.
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

/// Whether the core answers a read through this gateway, with a configuration or with 404 for none.
async fn answers_reads(scene: &Scene, index: usize) -> bool {
    let answer = call(
        scene.system.control(index),
        &Call::get("/api/config/get"),
        PROBE_TIMEOUT,
    )
    .await;
    answer.is_ok_and(|answer| [200, 404].contains(&answer.status))
}

/// Waits until any core member answers reads.
async fn wait_until_core_answers(scene: &Scene) {
    let deadline = Instant::now() + RECOVERY_LIMIT;
    loop {
        for member in machines_of(scene, Role::Core) {
            if answers_reads(scene, member).await {
                return;
            }
        }
        assert!(
            Instant::now() < deadline,
            "no core member answers reads in time"
        );
    }
}

/// Waits until this machine's control address accepts connections.
async fn wait_until_listening(scene: &Scene, index: usize) {
    let deadline = Instant::now() + RECOVERY_LIMIT;
    while TcpStream::connect(scene.system.control(index))
        .await
        .is_err()
    {
        assert!(
            Instant::now() < deadline,
            "machine {index} does not listen in time"
        );
    }
}

/// Asserts that all gateways belong to one system: each accepts a change based on the previous gateway's version, and
/// all read the same version in the end.
async fn expect_one_system(scene: &mut TestScene) {
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
            .patch(version, &body, RECOVERY_LIMIT)
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
        let answer = scene.operator.get(OPERATOR_REQUEST_LIMIT).await.unwrap();
        let configuration: Value = serde_json::from_slice(&answer.body).unwrap();
        assert_eq!(configuration["generation"], version, "{control}");
    }
    scene.operator.set_controls(controls);
}

#[tokio::test]
async fn a_system_starts_with_seeds_without_disks() {
    let mut scene = started_scene(seeds_without_disks()).await;
    expect_one_system(&mut scene).await;
    run_programs_for(&scene, Duration::from_millis(500)).await;
    expect_no_violation(&scene);
}

#[tokio::test]
async fn the_founder_may_be_killed_before_it_decides_the_first_view() {
    let mut scene = started_scene(seeds_without_disks()).await;
    wait_until_listening(&scene, 0).await;
    scene.system.machine(0).kill();
    scene.system.restart_bootstrapping(0).unwrap();
    expect_one_system(&mut scene).await;
}

#[tokio::test]
async fn the_founder_may_be_killed_when_it_has_answered_the_first_member() {
    for _ in 0..4 {
        let mut scene = started_scene(seeds_without_disks()).await;
        wait_until_core_answers(&scene).await;
        scene.system.machine(0).kill();
        scene.system.restart_bootstrapping(0).unwrap();
        expect_one_system(&mut scene).await;
    }
}

#[tokio::test]
async fn a_founder_with_a_disk_may_be_killed_once_the_core_answers() {
    for _ in 0..4 {
        let mut scene = started_scene(ScenePlan {
            engines: 1,
            plains: 1,
            ..ScenePlan::default()
        })
        .await;
        wait_until_core_answers(&scene).await;
        scene.system.machine(0).kill();
        scene.system.restart_bootstrapping(0).unwrap();
        expect_one_system(&mut scene).await;
    }
}

#[tokio::test]
async fn all_processes_may_be_killed_while_the_core_is_founded() {
    for _ in 0..4 {
        let mut scene = started_scene(seeds_without_disks()).await;
        wait_until_core_answers(&scene).await;
        scene.system.kill_all();
        for index in 0..scene.system.machines().len() {
            scene.system.restart_bootstrapping(index).unwrap();
        }
        expect_one_system(&mut scene).await;
    }
}

#[tokio::test]
async fn a_late_member_joins_although_its_settings_say_bootstrap() {
    let mut scene = started_scene(seeds_without_disks()).await;
    let late = machines_of(&scene, Role::Core)[2];
    scene.system.machine(late).kill();
    scene.system.machine(late).wipe().unwrap();
    scene.configure().await.unwrap();
    scene.system.restart_bootstrapping(late).unwrap();
    scene.wait_until_serving().await.unwrap();
    run_programs_for(&scene, CATCH_UP_TIME).await;
    let other = machines_of(&scene, Role::Core)[0];
    scene.system.machine(other).kill();
    let route = RoutePlan::new("later", HOST, "/later/", RequestKind::ReadOnly, TOOLS);
    let answer = scene
        .operator
        .patch(1, &patch(2, &[route], &[]), RECOVERY_LIMIT)
        .await
        .unwrap();
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn a_machine_starts_with_a_single_remaining_seed() {
    let mut scene = serving_scene(ScenePlan {
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
    scene
        .system
        .ready_one(joined, RECOVERY_LIMIT)
        .await
        .unwrap();
    scene.serves(joined).await.unwrap();
    scene.system.machine(joined).kill();
    scene.system.restart(joined).unwrap();
    scene
        .system
        .ready_one(joined, RECOVERY_LIMIT)
        .await
        .unwrap();
    scene.serves(joined).await.unwrap();
    expect_no_violation(&scene);
}
