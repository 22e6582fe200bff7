//! A control state near its bounds, in real processes: what makes it so is refused in time, and a member that lost its
//! disk is given all of it while changes go on.
//!
//! `LARGE_STATE_PROGRAMS` and `LARGE_STATE_NAME_BYTES` in the environment have other numbers of programs counted, with
//! names of another length.

mod support;

use dunespur::messages::{decode, encode, Reply, Request};
use dunespur_budget::{CounterChange, CounterReply, CounterRequest, LimiterId};
use dunespur_control_state::{Operation, Outcome, ServerReport, ServerState};
use dunespur_emulator::client::RequestKind;
use dunespur_emulator::configuration::{patch, RoutePlan};
use dunespur_emulator::scene::{Scene, ScenePlan, HOST, TOOLS};
use dunespur_emulator::system::{Ports, Role};
use dunespur_rpc::Client;
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use support::{add_route, expect_no_violation, machines_of, programs_for, stage, RECOVERY};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{sleep, Instant};

/// Programs counted unless the environment says otherwise: more than fit.
const PROGRAMS: u64 = 33_000;
/// Bytes of a program's name: long ones fill the state sooner.
const NAME_BYTES: u64 = 230;
const ROUTES: u64 = 2_000;
const SERVERS: u64 = 1_000;
/// Operations at one time.
const CONCURRENCY: usize = 256;
/// The largest deployments give a member so long to catch up.
const CATCH_UP_LARGE: Duration = Duration::from_secs(6);
/// Between two looks at the status of a member.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

fn from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn internal(scene: &Scene, machine: usize) -> SocketAddr {
    let ip = scene.system.machines()[machine].ip();
    SocketAddr::new(ip, Ports::default().first_internal)
}

/// Executes an operation at a core member, again until it is done.
async fn execute(core: &Rc<Client>, operation: &Operation) -> Outcome {
    let payload = encode(&Request::Execute(operation.clone()));
    let until = Instant::now() + RECOVERY;
    loop {
        let answer = core.call(payload.clone(), CALL_TIMEOUT).await;
        if let Some(Reply::Executed(outcome)) = answer.ok().and_then(|bytes| decode(&bytes)) {
            return outcome;
        }
        assert!(Instant::now() < until, "no answer to an operation");
        sleep(POLL_INTERVAL).await;
    }
}

fn program_name(number: u64) -> String {
    let name_bytes = from_environment("LARGE_STATE_NAME_BYTES").unwrap_or(NAME_BYTES);
    format!("{number:0width$}", width = name_bytes as usize)
}

fn lease(number: u64, sequence: u64) -> Operation {
    Operation::Budget(CounterRequest {
        program: program_name(number),
        budget: 10_000,
        limiter: LimiterId {
            node: "front-test".to_owned(),
            incarnation: 1,
        },
        sequence,
        used: 0,
        change: CounterChange::Lease {
            needed: 10,
            wanted: 10,
            returned: 0,
        },
        at_ms: 1_000,
    })
}

/// Executes many operations, some at the same time; the outcomes in no order.
async fn execute_all(core: &Rc<Client>, operations: Vec<Operation>) -> Vec<Outcome> {
    let operations = Rc::new(operations);
    let mut workers = JoinSet::new();
    for first in 0..CONCURRENCY {
        let (core, operations) = (core.clone(), operations.clone());
        workers.spawn_local(async move {
            let mut outcomes = Vec::new();
            for operation in operations.iter().skip(first).step_by(CONCURRENCY) {
                outcomes.push(execute(&core, operation).await);
            }
            outcomes
        });
    }
    workers.join_all().await.into_iter().flatten().collect()
}

/// Asks for a lease of each program; how many get one.
async fn count_programs(core: &Rc<Client>, programs: u64) -> u64 {
    let operations = (0..programs).map(|number| lease(number, 1)).collect();
    let outcomes = execute_all(core, operations).await.into_iter();
    let granted = outcomes.filter(|outcome| match outcome {
        Outcome::Budget(CounterReply::Granted { .. }) => true,
        Outcome::Budget(CounterReply::LeasedElsewhere { leased: 0 }) => false,
        other => panic!("{other:?}"),
    });
    granted.count() as u64
}

async fn register_servers(core: &Rc<Client>) {
    let reports = (0..SERVERS).map(|number| ServerReport {
        id: format!("server-{number}"),
        backend: "unused".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 1_024 + number as u16)),
        zone: "zone-a".to_owned(),
        generation: "1".to_owned(),
        slots: 8,
        state: ServerState::Ready,
        sequence: 1,
    });
    execute_all(core, reports.map(Operation::Server).collect()).await;
}

/// One change of the configuration that adds all the routes.
async fn add_routes(scene: &mut Scene) -> u64 {
    let generation = 4;
    let routes: Vec<RoutePlan> = (0..ROUTES)
        .map(|number| {
            let name = format!("many-{number}");
            RoutePlan::new(
                &name,
                HOST,
                &format!("/{name}/"),
                RequestKind::ReadOnly,
                TOOLS,
            )
        })
        .collect();
    let plan = scene.configurations.last().unwrap();
    let plan = plan.patched(generation, &routes, &[]);
    scene.configurations.push(plan);
    let body = patch(generation, &routes, &[]);
    let answer = scene.operator.patch(1, &body, RECOVERY).await.unwrap();
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert_eq!(answer.status, 200, "{text}");
    generation
}

async fn core_status(address: SocketAddr) -> Option<Value> {
    let client = Client::new(address);
    let payload = encode(&Request::Status { program: None });
    let bytes = client.call(payload, CALL_TIMEOUT).await.ok()?;
    let Reply::Status(json) = decode(&bytes)? else {
        return None;
    };
    let status: Value = serde_json::from_str(&json).ok()?;
    status.get("core").cloned()
}

/// How long until the member follows the chain and has committed that much.
async fn time_to_follow(address: SocketAddr, committed: u64) -> Duration {
    let begun = Instant::now();
    loop {
        if let Some(core) = core_status(address).await {
            let reached = core["committed"].as_u64().unwrap_or(0) >= committed;
            if core["follows"] == true && reached {
                return begun.elapsed();
            }
        }
        assert!(begun.elapsed() < RECOVERY, "it does not follow");
        sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test]
async fn a_state_near_its_bounds_is_handed_over_and_grows_no_further() {
    LocalSet::new().run_until(play_large_state()).await;
}

async fn play_large_state() {
    let mut scene = stage(ScenePlan::default()).await;
    let version = add_routes(&mut scene).await;
    let members = machines_of(&scene, Role::Core);
    let core = Client::new(internal(&scene, members[0]));
    register_servers(&core).await;
    let asked = from_environment("LARGE_STATE_PROGRAMS").unwrap_or(PROGRAMS);
    let begun = Instant::now();
    let counted = count_programs(&core, asked).await;
    eprintln!("{counted} of {asked} programs in {:?}", begun.elapsed());
    let status = core_status(internal(&scene, members[0])).await.unwrap();
    eprintln!("{status}");
    let (bytes, bound) = (&status["counter_bytes"], &status["max_counter_bytes"]);
    assert!(bytes.as_u64() <= bound.as_u64().map(|bound| bound + 1_024));
    if asked == PROGRAMS {
        assert!(counted < asked, "new programs are refused at the bound");
    }
    let committed = status["committed"].as_u64().unwrap();

    scene.system.wipe(members[1]).unwrap();
    let took = time_to_follow(internal(&scene, members[1]), committed).await;
    eprintln!("the wiped member follows after {took:?}");
    assert!(took < CATCH_UP_LARGE, "{took:?}");
    let newest = add_route(&mut scene, version).await;
    assert_eq!(newest, support::generation(&mut scene).await);

    // A known program goes on.
    let again = execute(&core, &lease(0, 2)).await;
    let is_granted = matches!(again, Outcome::Budget(CounterReply::Granted { .. }));
    assert!(is_granted, "{again:?}");
    if counted == asked {
        programs_for(&scene, Duration::from_millis(500)).await;
    }
    expect_no_violation(&scene);
}
