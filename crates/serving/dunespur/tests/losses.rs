//! Kills, power cycles and wiped disks lose nothing that was acknowledged.

mod support;

use dunespur_emulator::client::RequestSpec;
use dunespur_emulator::scene::{Scene, ScenePlan, HOST};
use dunespur_emulator::system::{MachinePlan, Role};
use support::disk::retry_on_disk_stalls;
use support::{
    add_route, continue_within, conversation_of, expect_no_violation, generation, machines_of,
    run_programs_for, serving_scene, CATCH_UP_TIME, OPERATOR_REQUEST_LIMIT, RECOVERY_LIMIT,
};
use tokio::time::Instant;

/// Waits until every running gateway serves the route of this generation.
async fn wait_until_route_served(scene: &Scene, generation: u64) {
    let request = RequestSpec::get(HOST, &format!("/route-{generation}/x"));
    for index in scene
        .system
        .machine_indices(|plan| plan.role != Role::Store)
    {
        if scene.system.machines()[index].is_running() {
            scene
                .answers(scene.system.front(index), &request)
                .await
                .unwrap();
        }
    }
}

#[tokio::test]
async fn changes_and_programs_continue_without_any_one_core_member() {
    let mut scene = serving_scene(ScenePlan::default()).await;
    let mut version = 1;
    for member in machines_of(&scene, Role::Core) {
        scene.system.machine(member).kill();
        version = add_route(&mut scene, version).await;
        wait_until_route_served(&scene, version).await;
        scene.system.restart(member).unwrap();
        scene.wait_until_serving().await.unwrap();
        wait_until_route_served(&scene, version).await;
        run_programs_for(&scene, CATCH_UP_TIME).await;
    }
    assert_eq!(generation(&mut scene).await, version);
    expect_no_violation(&scene);
}

#[tokio::test]
async fn acknowledged_data_survives_a_kill_of_all_processes() {
    let mut scene = serving_scene(ScenePlan::default()).await;
    let mut version = 1;
    let mut conversation = conversation_of(&scene, 2).await;
    for round in 0..3 {
        version = add_route(&mut scene, version).await;
        support::continue_conversation(&scene, &mut conversation, &format!("before {round}")).await;
        scene.system.kill_all();
        for index in 0..scene.system.machines().len() {
            scene.system.restart(index).unwrap();
        }
        assert_eq!(generation(&mut scene).await, version);
        continue_within(
            &scene,
            &mut conversation,
            &format!("after {round}"),
            RECOVERY_LIMIT,
        )
        .await;
        scene.wait_until_serving().await.unwrap();
        wait_until_route_served(&scene, version).await;
    }
    expect_no_violation(&scene);
}

#[tokio::test]
async fn a_wiped_core_member_rejoins_and_the_next_one_may_be_wiped() {
    let mut scene = serving_scene(ScenePlan::default()).await;
    let mut version = 1;
    for member in machines_of(&scene, Role::Core) {
        version = add_route(&mut scene, version).await;
        scene.system.wipe(member).unwrap();
        run_programs_for(&scene, CATCH_UP_TIME).await;
    }
    assert_eq!(generation(&mut scene).await, version);
    version = add_route(&mut scene, version).await;
    scene.wait_until_serving().await.unwrap();
    wait_until_route_served(&scene, version).await;
    expect_no_violation(&scene);
}

#[tokio::test]
async fn a_core_member_is_replaced_by_an_empty_machine_at_another_address() {
    let mut scene = serving_scene(ScenePlan::default()).await;
    let mut version = add_route(&mut scene, 1).await;
    let members = machines_of(&scene, Role::Core);
    for member in &members[..2] {
        let zone = scene.system.machines()[*member].plan().zone.clone();
        scene.system.machine(*member).kill();
        scene
            .system
            .join(MachinePlan::new(Role::Core, &zone))
            .unwrap();
        let (fronts, controls) = running_gateway_addresses(&scene);
        scene.client.set_fronts(fronts);
        scene.operator.set_controls(controls);
        run_programs_for(&scene, CATCH_UP_TIME).await;
        version = add_route(&mut scene, version).await;
    }
    scene.wait_until_serving().await.unwrap();
    wait_until_route_served(&scene, version).await;
    scene.system.machine(members[2]).kill();
    version = add_route(&mut scene, version).await;
    assert_eq!(generation(&mut scene).await, version);
    expect_no_violation(&scene);
}

/// Client and control addresses of the running gateways.
fn running_gateway_addresses(
    scene: &Scene,
) -> (Vec<std::net::SocketAddr>, Vec<std::net::SocketAddr>) {
    let running: Vec<usize> = scene
        .system
        .machine_indices(|plan| plan.role != Role::Store)
        .into_iter()
        .filter(|index| scene.system.machines()[*index].is_running())
        .collect();
    let fronts = running
        .iter()
        .map(|index| scene.system.front(*index))
        .collect();
    let controls = running
        .iter()
        .map(|index| scene.system.control(*index))
        .collect();
    (fronts, controls)
}

#[tokio::test]
async fn a_wiped_store_is_repaired_and_the_next_one_may_be_wiped() {
    retry_on_disk_stalls(|| async {
        let mut scene = serving_scene(ScenePlan::default()).await;
        let mut conversations = Vec::new();
        for _ in 0..8 {
            conversations.push(conversation_of(&scene, 3).await);
        }
        for store in machines_of(&scene, Role::Store) {
            scene.system.wipe(store).unwrap();
            run_programs_for(&scene, CATCH_UP_TIME).await;
            for conversation in &mut conversations {
                support::continue_conversation(
                    &scene,
                    conversation,
                    &format!("after store {store}"),
                )
                .await;
            }
        }
        expect_no_violation(&scene);
    })
    .await;
}

#[tokio::test]
async fn turns_continue_without_any_one_store() {
    let mut scene = serving_scene(ScenePlan::default()).await;
    let mut conversation = conversation_of(&scene, 2).await;
    for store in machines_of(&scene, Role::Store) {
        scene.system.machine(store).kill();
        continue_within(
            &scene,
            &mut conversation,
            &format!("without {store}"),
            OPERATOR_REQUEST_LIMIT,
        )
        .await;
        let mut new_conversation = conversation_of(&scene, 1).await;
        scene.system.restart(store).unwrap();
        run_programs_for(&scene, CATCH_UP_TIME).await;
        continue_within(
            &scene,
            &mut new_conversation,
            "with all",
            OPERATOR_REQUEST_LIMIT,
        )
        .await;
    }
    expect_no_violation(&scene);
}

#[tokio::test]
async fn a_frozen_core_member_delays_changes_only_briefly() {
    let mut scene = serving_scene(ScenePlan::default()).await;
    let mut version = 1;
    for member in machines_of(&scene, Role::Core) {
        scene.system.machine(member).freeze().unwrap();
        let front = scene.system.front(member);
        let others: Vec<_> = scene
            .system
            .fronts()
            .into_iter()
            .filter(|other| *other != front)
            .collect();
        scene.client.set_fronts(others);
        let frozen = Instant::now();
        version = add_route(&mut scene, version).await;
        assert!(frozen.elapsed() < RECOVERY_LIMIT);
        scene.system.machine(member).thaw().unwrap();
        scene.client.set_fronts(scene.system.fronts());
        scene.wait_until_serving().await.unwrap();
        wait_until_route_served(&scene, version).await;
        run_programs_for(&scene, CATCH_UP_TIME).await;
    }
    expect_no_violation(&scene);
}
