//! Measures what followers of the control state cost a core member. A real system of three core members runs; many
//! simulated gateways in this process follow one of the members by the same watch requests as real gateways, and each
//! renews a lease.
//!
//! Each number of followers is measured twice: while they pass on heartbeats of the registered servers, and while
//! servers also register and leave, of which every follower is notified.
//!
//! `cargo run --release -p dunespur-emulator --example control_followers -- PROGRAM SECONDS SERVERS FOLLOWERS...`

use anyhow::Context;
use dunespur::messages::{decode, encode, LeaseRenewals, NodeLease, Reply, Request, WatchRequest};
use dunespur_control_state::{Operation, ServerReport, ServerState};
use dunespur_emulator::system::{MachinePlan, Role, System, SystemPlan, Usage};
use dunespur_rpc::Client;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, Instant};

const CORE_MEMBERS: usize = 3;
const HEARTBEAT_MS: u64 = 1_200;
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for the followers to start before the measurement.
const WARM_UP: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Number of servers that are registered concurrently.
const CONCURRENT_REGISTRATIONS: u64 = 64;
/// Number of times that an idle watch is answered within a heartbeat interval.
const WATCHES_PER_HEARTBEAT: usize = 3;
/// Interval between two registrations or departures of servers.
const CHURN_INTERVAL: Duration = Duration::from_millis(100);

/// Counters of all followers.
#[derive(Default)]
struct FollowerCounters {
    answers: Cell<u64>,
    changes: Cell<u64>,
    bytes: Cell<u64>,
    failures: Cell<u64>,
}

/// Number of followers, and of servers whose heartbeats they pass on.
#[derive(Clone, Copy)]
struct Load {
    followers: usize,
    servers: u64,
}

fn main() -> anyhow::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let program = PathBuf::from(arguments.next().context("PROGRAM")?);
    let seconds: u64 = arguments.next().context("SECONDS")?.parse()?;
    let servers: u64 = arguments.next().context("SERVERS")?.parse()?;
    let followers = arguments
        .map(|text| text.parse())
        .collect::<Result<Vec<usize>, _>>()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(
        &runtime,
        measure_all(program, Duration::from_secs(seconds), servers, followers),
    )
}

async fn measure_all(
    program: PathBuf,
    span: Duration,
    servers: u64,
    follower_counts: Vec<usize>,
) -> anyhow::Result<()> {
    println!("{servers} servers\nfollowers | changes/s | processor of the member, thousandths of a core | peak kB | answers/s | B/s a follower | failures");
    for followers in follower_counts {
        let machines = (0..CORE_MEMBERS)
            .map(|_| MachinePlan::new(Role::Core, "a"))
            .collect();
        let plan = SystemPlan {
            program: program.clone(),
            machines,
            heartbeat_ms: HEARTBEAT_MS,
            tolerated_losses: 1,
        };
        let mut system = System::start(plan)?;
        let internal = internal_addresses(&mut system).await?;
        register(internal[0], servers).await;
        measure(&system, &internal, Load { followers, servers }, span).await;
    }
    Ok(())
}

/// Internal addresses of the members, once a view contains all of them. The seeds in the settings are `control`
/// addresses; the internal port is the first port of the range.
async fn internal_addresses(system: &mut System) -> anyhow::Result<Vec<SocketAddr>> {
    let text = std::fs::read_to_string(system.machine(0).settings_path())?;
    let settings: serde_json::Value = serde_json::from_str(&text)?;
    let port = settings["port_range"][0].as_u64().context("a port range")?;
    let port = u16::try_from(port)?;
    let first = SocketAddr::new(system.machine(0).ip(), port);
    let client = Client::new(first);
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        if let Some(Reply::View(Some(view))) = call(&client, &Request::QueryView).await {
            if view.members.len() == CORE_MEMBERS {
                return Ok(view.members.iter().map(|peer| peer.address).collect());
            }
        }
        anyhow::ensure!(
            Instant::now() < deadline,
            "no view contains all members within {READY_TIMEOUT:?}\n{}",
            system.log_tails()
        );
        sleep(Duration::from_millis(50)).await;
    }
}

async fn call(client: &Rc<Client>, request: &Request) -> Option<Reply> {
    let bytes = client.call(encode(request), CALL_TIMEOUT).await.ok()?;
    decode(&bytes)
}

/// Registers servers with the core.
async fn register(member: SocketAddr, servers: u64) {
    let client = Client::new(member);
    for first in (0..servers).step_by(CONCURRENT_REGISTRATIONS as usize) {
        let calls = (first..servers.min(first + CONCURRENT_REGISTRATIONS)).map(|number| {
            let client = client.clone();
            spawn_local(async move {
                let request = Request::Execute(Operation::Server(report(server_id(number))));
                while !matches!(call(&client, &request).await, Some(Reply::Executed(_))) {
                    sleep(CHURN_INTERVAL).await;
                }
            })
        });
        for registered in calls.collect::<Vec<_>>() {
            let _ = registered.await;
        }
    }
}

fn server_id(number: u64) -> String {
    format!("i-{number:010x}")
}

async fn measure(system: &System, internal: &[SocketAddr], load: Load, span: Duration) {
    let number = load.followers;
    let member = internal[0];
    let counters = Rc::new(FollowerCounters::default());
    let followers: Vec<JoinHandle<()>> = (0..number)
        .map(|which| spawn_local(follow(member, which, load, counters.clone())))
        .collect();
    sleep(WARM_UP).await;
    measure_span(system, member, number, span, &counters, "heartbeats alone").await;
    let churn = spawn_local(churn(member));
    measure_span(
        system,
        member,
        number,
        span,
        &counters,
        "heartbeats, servers come and go",
    )
    .await;
    churn.abort();
    for follower in followers {
        follower.abort();
    }
}

async fn measure_span(
    system: &System,
    member: SocketAddr,
    number: usize,
    span: Duration,
    counters: &FollowerCounters,
    label: &str,
) {
    let (answers, changes) = (counters.answers.get(), counters.changes.get());
    let (bytes, failures) = (counters.bytes.get(), counters.failures.get());
    let started = Instant::now();
    let before = usage(system, member);
    sleep(span).await;
    let took = started.elapsed().as_secs_f64();
    let used = usage(system, member).since(before);
    let processor_share = used.processor_ms as f64 / took;
    let per_follower = number.max(1) as f64;
    println!(
        "{number} | {:.1} ({label}) | {processor_share:.1} | {} | {:.0} | {:.0} | {}",
        (counters.changes.get() - changes) as f64 / took / per_follower,
        used.peak_memory_kb,
        (counters.answers.get() - answers) as f64 / took,
        (counters.bytes.get() - bytes) as f64 / took / per_follower,
        counters.failures.get() - failures,
    );
}

fn usage(system: &System, member: SocketAddr) -> Usage {
    let machine = system
        .machines()
        .iter()
        .find(|machine| machine.ip() == member.ip());
    machine.map(|machine| machine.usage()).unwrap_or_default()
}

/// Follows the control state as a gateway does.
async fn follow(member: SocketAddr, which: usize, load: Load, counters: Rc<FollowerCounters>) {
    let client = Client::new(member);
    let lease = NodeLease {
        name: format!("simulated-{which}"),
        incarnation: 1,
    };
    let (mut last_index, mut view) = (None, 0);
    let watched: Vec<String> = (which as u64..load.servers)
        .step_by(load.followers)
        .map(server_id)
        .collect();
    let batch_size = watched.len().div_ceil(WATCHES_PER_HEARTBEAT).max(1);
    // The first batch contains all servers, as servers that were registered long ago would lapse without a heartbeat.
    let mut batches = std::iter::once(watched.as_slice()).chain(watched.chunks(batch_size).cycle());
    loop {
        let renewed_servers = batches.next().unwrap_or_default();
        let renewals = LeaseRenewals {
            servers: renewed_servers.to_vec(),
            nodes: vec![lease.clone()],
        };
        let request = encode(&Request::Watch(WatchRequest {
            after: last_index,
            view,
            renewals,
        }));
        let request_bytes = request.len();
        let Ok(bytes) = client.call(request, CALL_TIMEOUT).await else {
            counters.failures.set(counters.failures.get() + 1);
            sleep(CHURN_INTERVAL).await;
            continue;
        };
        let Some(Reply::StateUpdate(update)) = decode::<Reply>(&bytes) else {
            counters.failures.set(counters.failures.get() + 1);
            sleep(CHURN_INTERVAL).await;
            continue;
        };
        counters.answers.set(counters.answers.get() + 1);
        counters
            .changes
            .set(counters.changes.get() + update.changes.len() as u64);
        counters
            .bytes
            .set(counters.bytes.get() + (request_bytes + bytes.len()) as u64);
        last_index = Some(update.index);
        view = update.view.map_or(view, |newer| newer.number);
    }
}

/// Registers servers and lets them leave, by operations at the core.
async fn churn(member: SocketAddr) {
    let client = Client::new(member);
    for number in 0u64.. {
        let id = format!("i-churn-{:04x}", number / 2);
        let operation = if number % 2 == 0 {
            Operation::Server(report(id))
        } else {
            Operation::ServerLeft { id }
        };
        let _ = call(&client, &Request::Execute(operation)).await;
        sleep(CHURN_INTERVAL).await;
    }
}

fn report(id: String) -> ServerReport {
    ServerReport {
        id,
        backend: "service-a".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 8080)),
        zone: "a".to_owned(),
        generation: "g1".to_owned(),
        slots: 24,
        state: ServerState::Ready,
        sequence: 1,
    }
}
