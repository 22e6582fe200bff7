//! Load aggregators of services, as servers see them: which gateway heartbeat responses name, and how it is replaced.

mod support;

use dunespur_emulator::client::call::{call, Call};
use dunespur_emulator::scene::{Scene, ScenePlan, READY_TIMEOUT};
use dunespur_emulator::system::Role;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use support::{
    engine_of_a_turn, expect_no_violation, machines_of, serving_scene, OPERATOR_REQUEST_LIMIT,
};
use tokio::time::{sleep, Instant};

/// A heartbeat is answered within this time.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The zone that has a core member and another gateway.
const ZONE: &str = "zone-a";

/// Sends a heartbeat of a server without routes; returns the address that the response names for later heartbeats.
async fn send_heartbeat(control: SocketAddr, service: &str, seq: u64) -> Option<SocketAddr> {
    let body = json!({
        "backend": service,
        "address": "127.0.0.9:9",
        "zone": ZONE,
        "generation": "v1",
        "slots": 1,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": seq,
    });
    let target = format!("/api/instances/i-{service}/heartbeat");
    let answer = call(
        control,
        &Call::post(target, body.to_string()),
        HEARTBEAT_TIMEOUT,
    )
    .await
    .ok()?;
    let answer: Value = serde_json::from_slice(&answer.body).ok()?;
    answer["beat_addr"].as_str()?.parse().ok()
}

/// The two gateways of [`ZONE`]: first a core member, then a gateway without a disk.
fn zone_gateways(scene: &Scene) -> [usize; 2] {
    [
        machines_of(scene, Role::Core)[0],
        machines_of(scene, Role::Gateway)[0],
    ]
}

/// Waits until the gateway at `control` names `aggregator` for the service's heartbeats.
async fn wait_until_named(control: SocketAddr, service: &str, aggregator: SocketAddr) {
    let deadline = Instant::now() + READY_TIMEOUT;
    let mut seq = 100;
    loop {
        seq += 1;
        let named = send_heartbeat(control, service, seq).await;
        if named == Some(aggregator) {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "{control} names {named:?}, not {aggregator}"
        );
        sleep(POLL_INTERVAL).await;
    }
}

/// Finds a service for which all gateways name the gateway `machine` as load aggregator of the zone.
async fn service_aggregated_by(scene: &Scene, machine: usize) -> String {
    let controls = scene.system.controls();
    let aggregators: Vec<SocketAddr> = zone_gateways(scene)
        .into_iter()
        .map(|machine| scene.system.control(machine))
        .collect();
    for number in 0.. {
        let service = format!("service-{number}");
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let mut named = Vec::new();
            for control in &controls {
                named.push(send_heartbeat(*control, &service, 1).await);
            }
            if let Some(aggregator) =
                named[0].filter(|aggregator| named.iter().all(|other| *other == Some(*aggregator)))
            {
                assert!(
                    aggregators.contains(&aggregator),
                    "{aggregator} is not in the zone"
                );
                if aggregator == scene.system.control(machine) {
                    return service;
                }
                break;
            }
            assert!(Instant::now() < deadline, "{service}: {named:?}");
        }
    }
    unreachable!("some service name is assigned to each gateway")
}

#[tokio::test]
async fn a_killed_load_aggregator_is_replaced_by_the_other_gateway_and_takes_over_again() {
    let mut scene = serving_scene(ScenePlan::default()).await;
    let [other, aggregator] = zone_gateways(&scene);
    let service = service_aggregated_by(&scene, aggregator).await;
    let (aggregator_control, other_control) = (
        scene.system.control(aggregator),
        scene.system.control(other),
    );
    let other_member_control = scene.system.control(machines_of(&scene, Role::Core)[1]);
    scene.system.machine(aggregator).kill();
    wait_until_named(other_member_control, &service, other_control).await;
    wait_until_named(other_control, &service, other_control).await;
    scene.system.restart(aggregator).unwrap();
    wait_until_named(other_member_control, &service, aggregator_control).await;
    wait_until_named(aggregator_control, &service, aggregator_control).await;
    expect_no_violation(&scene);
}

#[tokio::test]
async fn a_draining_gateway_is_no_load_aggregator_while_it_still_serves() {
    let mut scene = serving_scene(ScenePlan::default()).await;
    let [other, aggregator] = zone_gateways(&scene);
    let service = service_aggregated_by(&scene, aggregator).await;
    for engine in &scene.engines {
        engine.server.gate.close();
    }
    let turn = hold_turn(&scene, aggregator).await;
    scene.terminate(aggregator).unwrap();
    let other_member_control = scene.system.control(machines_of(&scene, Role::Core)[1]);
    wait_until_named(other_member_control, &service, scene.system.control(other)).await;
    assert!(
        scene.system.machine(aggregator).is_running(),
        "the draining gateway was named until its end"
    );
    for engine in &scene.engines {
        engine.server.gate.open();
    }
    assert!(turn.await.unwrap(), "the stream should be completed");
    expect_no_violation(&scene);
}

/// Starts a turn through the gateway `machine` that a server holds.
async fn hold_turn(scene: &Scene, machine: usize) -> tokio::task::JoinHandle<bool> {
    let request = scene.turn_request();
    let (client, front) = (scene.client.clone(), scene.system.front(machine));
    let turn = tokio::spawn(async move { client.send_to(front, &request).await.succeeded() });
    engine_of_a_turn(scene).await;
    turn
}

#[tokio::test]
async fn a_server_drains_in_time_while_its_load_aggregator_is_frozen() {
    // After three engines, the next server is placed in the zone with two gateways.
    let mut scene = serving_scene(ScenePlan {
        engines: 3,
        ..ScenePlan::default()
    })
    .await;
    let [_, aggregator] = zone_gateways(&scene);
    let service = service_aggregated_by(&scene, aggregator).await;
    let address = scene.system.server_address().unwrap();
    let server = scene.add_plain_at(address, &service).await.unwrap();
    assert_eq!(scene.plains[server].server.handle.identity.zone, ZONE);
    scene.plains[server].registration.known().await;
    scene.system.machine(aggregator).freeze().unwrap();
    let started_at = Instant::now();
    scene.plains[server].registration.drain().await;
    let took = started_at.elapsed();
    scene.system.machine(aggregator).thaw().unwrap();
    assert!(took < OPERATOR_REQUEST_LIMIT, "{took:?}");
    expect_no_violation(&scene);
}

#[tokio::test]
async fn servers_whose_load_aggregator_has_lost_the_core_go_elsewhere() {
    let mut scene = serving_scene(ScenePlan::default()).await;
    let [_, aggregator] = zone_gateways(&scene);
    let service = service_aggregated_by(&scene, aggregator).await;
    for core in machines_of(&scene, Role::Core) {
        scene.system.machine(core).freeze().unwrap();
    }
    let control = scene.system.control(aggregator);
    let deadline = Instant::now() + READY_TIMEOUT;
    while send_heartbeat(control, &service, 200).await.is_some() {
        assert!(
            Instant::now() < deadline,
            "the gateway still acknowledges heartbeats without contact with the core"
        );
        sleep(POLL_INTERVAL).await;
    }
    for core in machines_of(&scene, Role::Core) {
        scene.system.machine(core).thaw().unwrap();
    }
    wait_until_named(control, &service, control).await;
}
