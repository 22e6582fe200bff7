//! `dunespur status`: what processes report of themselves, as JSON and as tables.

mod running;
mod support;

use dunespur_emulator::program::{play, ProgramEnd};
use dunespur_emulator::scene::{usual_program, Scene, ScenePlan, MODELS, READY_TIMEOUT, TOOLS};
use dunespur_emulator::system::{AddressBlock, Ports, Role, TemporaryFolder};
use running::Running;
use serde_json::{json, Value};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Command, Output, Stdio};
use support::{conversation_of, machines_of, program, stage};
use tokio::time::Instant;

const ANSWERED: i32 = 0;
const NO_ANSWER: i32 = 1;

/// The output of `dunespur status`. Servers and clients of the scene go on meanwhile.
async fn query(address: SocketAddr, arguments: &[&str]) -> Output {
    let mut command = Command::new(program());
    command
        .env_clear()
        .stdin(Stdio::null())
        .arg("status")
        .args(arguments)
        .arg(address.to_string());
    tokio::task::spawn_blocking(move || command.output().unwrap())
        .await
        .unwrap()
}

fn internal(scene: &Scene, machine: usize) -> SocketAddr {
    SocketAddr::new(
        scene.system.machines()[machine].ip(),
        Ports::default().first_internal,
    )
}

async fn json_of(address: SocketAddr, arguments: &[&str]) -> Value {
    let output = query(address, &[&["--json"], arguments].concat()).await;
    assert_eq!(
        output.status.code(),
        Some(ANSWERED),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    serde_json::from_slice(&output.stdout).unwrap()
}

/// The status as soon as it is as wanted: what a process knows of others comes a moment later.
async fn json_that(
    address: SocketAddr,
    arguments: &[&str],
    wanted: impl Fn(&Value) -> bool,
) -> Value {
    let until = Instant::now() + READY_TIMEOUT;
    loop {
        let status = json_of(address, arguments).await;
        if wanted(&status) {
            return status;
        }
        assert!(Instant::now() < until, "{status:#}");
    }
}

async fn table_of(address: SocketAddr) -> String {
    let output = query(address, &[]).await;
    assert_eq!(
        output.status.code(),
        Some(ANSWERED),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8(output.stdout).unwrap()
}

/// The tables as soon as all these words stand in them.
async fn table_with(address: SocketAddr, words: &[&str]) {
    let until = Instant::now() + READY_TIMEOUT;
    loop {
        let table = table_of(address).await;
        let Some(missing) = words.iter().find(|word| !table.contains(**word)) else {
            return;
        };
        assert!(Instant::now() < until, "{missing}: {table}");
    }
}

fn names(items: &Value, field: &str) -> Vec<String> {
    items
        .as_array()
        .unwrap()
        .iter()
        .map(|item| item[field].as_str().unwrap().to_owned())
        .collect()
}

#[tokio::test]
async fn every_process_reports_its_status() {
    let scene = stage(ScenePlan::default()).await;
    for _ in 0..2 {
        assert_eq!(
            play(&scene.client, &usual_program()).await.end,
            ProgramEnd::Finished
        );
    }
    let sent_turns = 2 * u64::from(usual_program().turns);
    let mut requests = 0;
    for machine in 0..scene.system.machines().len() {
        expect_process_status(&scene, machine).await;
        if scene.system.machines()[machine].plan().role != Role::Store {
            requests += requests_at_gateway(&scene, machine).await;
        }
    }
    assert!(requests >= sent_turns, "{requests}");
    for core in machines_of(&scene, Role::Core) {
        expect_core_status(&scene, core).await;
    }
    let mut persisted = 0;
    for store in machines_of(&scene, Role::Store) {
        let status = json_of(internal(&scene, store), &[]).await;
        persisted += status["turns"]["turns"].as_u64().unwrap();
    }
    let replicas = u64::from(scene.plan.tolerated_losses) + 1;
    assert!(persisted >= sent_turns * replicas, "{persisted}");
}

/// What processes of all roles report, once they know all members, all stores and the configuration.
async fn expect_process_status(scene: &Scene, machine: usize) {
    let core_names: Vec<&str> = machines_of(scene, Role::Core)
        .iter()
        .map(|core| scene.system.machines()[*core].name())
        .collect();
    let stores = machines_of(scene, Role::Store).len();
    let knows_all = |status: &Value| {
        let mut members = names(&status["view"]["members"], "node");
        members.sort();
        let is_known = members == core_names && names(&status["stores"], "name").len() == stores;
        is_known && status["control"]["in_touch"] == true && status["control"]["generation"] == 1
    };
    let status = json_that(internal(scene, machine), &[], knows_all).await;
    let machine = &scene.system.machines()[machine];
    let role = machine.plan().role;
    assert_eq!(status["node"], machine.name());
    assert_eq!(status["role"], role.command());
    assert_eq!(status["zone"], *machine.plan().zone);
    let process = &status["process"];
    assert!(process["peak_memory_kb"].as_u64().unwrap() > 0, "{status}");
    assert!(process["descriptors"].as_u64().unwrap() > 3, "{status}");
    assert!(status["link"]["calls"].as_u64().unwrap() > 0, "{status}");
    assert_eq!(status["front"].is_null(), role == Role::Store);
    assert_eq!(status["turns"].is_null(), role != Role::Store);
    assert_eq!(status["core"].is_null(), role != Role::Core);
}

/// The requests that a gateway reports, once it knows all servers and is ready.
async fn requests_at_gateway(scene: &Scene, gateway: usize) -> u64 {
    let serves_all = |status: &Value| {
        let servers = status["services"][0]["servers"]
            .as_array()
            .map_or(0, Vec::len);
        let is_served = names(&status["services"], "name") == [MODELS, TOOLS];
        is_served && servers == scene.engines.len() && status["front"]["ready"] == true
    };
    let status = json_that(internal(scene, gateway), &[], serves_all).await;
    status["front"]["requests"].as_u64().unwrap()
}

/// What a core member reports, once it follows and knows all leases.
async fn expect_core_status(scene: &Scene, core: usize) {
    let stores = machines_of(scene, Role::Store).len();
    let has_all = |status: &Value| {
        let leases = names(&status["core"]["leases"], "holder").len();
        status["core"]["follows"] == true && leases >= scene.servers().count() + stores
    };
    let status = json_that(internal(scene, core), &[], has_all).await;
    assert!(status["core"]["committed"].as_u64().unwrap() > 0);
    assert!(status["core"]["disk"]["done"].as_u64().unwrap() > 0);
}

#[tokio::test]
async fn tables_name_what_there_is() {
    let scene = stage(ScenePlan::default()).await;
    let core = machines_of(&scene, Role::Core)[0];
    let mut wanted = vec![
        "in contact",
        "front: ready",
        "core member: follows",
        "configuration 1",
    ];
    wanted.extend(["GATEWAY", "SERVICE", "STORE", "LEASE"]);
    wanted.extend(scene.system.machines().iter().map(|machine| machine.name()));
    wanted.extend(
        scene
            .servers()
            .map(|server| server.identity.instance.as_str()),
    );
    table_with(internal(&scene, core), &wanted).await;
    let store = machines_of(&scene, Role::Store)[0];
    table_with(internal(&scene, store), &["turns: ", "in contact"]).await;
}

#[tokio::test]
async fn the_budget_of_one_program_is_reported() {
    let scene = stage(ScenePlan::default()).await;
    let conversation = conversation_of(&scene, 1).await;
    let name = conversation.program().to_owned();
    let core = machines_of(&scene, Role::Core)[0];
    let counted = |status: &Value| {
        let of_program = |field: &str| status["program"][field].as_u64().unwrap();
        of_program("used") + of_program("held") > 0
    };
    let status = json_that(internal(&scene, core), &["--program", &name], counted).await;
    assert_eq!(status["program"]["name"], *name);
    let gateway = machines_of(&scene, Role::Gateway)[0];
    let status = json_of(internal(&scene, gateway), &["--program", &name]).await;
    assert!(
        status["program"]["held_here"].is_u64() && status["program"]["used"].is_null(),
        "{status}"
    );
}

#[tokio::test]
async fn a_process_that_lost_contact_reports_it() {
    let folder = TemporaryFolder::new("dunespur-status").unwrap();
    let mut addresses = AddressBlock::reserve(Ports::default()).unwrap();
    let ip = addresses.next_address().unwrap();
    let port = Ports::default().first_internal;
    let settings = folder.path().join("node.json");
    std::fs::write(
        &settings,
        json!({"node": "front-1", "ip": ip, "port_range": [port, port]}).to_string(),
    )
    .unwrap();
    let mut alone = Running::start(&[], &settings);
    assert!(alone.line().contains("serves"));
    let table = table_of(SocketAddr::new(ip, port)).await;
    assert!(
        table.contains("OUT OF CONTACT") && table.contains("NOT READY"),
        "{table}"
    );
}

#[tokio::test]
async fn no_answer_is_exit_code_1() {
    let nobody = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 255, 255, 1)), 1);
    let output = query(nobody, &[]).await;
    assert_eq!(output.status.code(), Some(NO_ANSWER));
    assert!(String::from_utf8_lossy(&output.stderr).starts_with(&nobody.to_string()));
}
