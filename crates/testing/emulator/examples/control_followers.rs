//! What following the control state costs a core member: a real system of three core members, and many simulated
//! gateways in this process that follow one of them by the watch of real ones, and renew a lease each.
//!
//! Each number of followers is measured while they pass on heartbeats of the known servers, and while servers come and
//! depart besides; every follower is notified of each.
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
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Followers come up over this time before anything is measured.
const WARM_UP: Duration = Duration::from_secs(2);
const CALL_LIMIT: Duration = Duration::from_millis(2_000);
/// Servers that are made known at once.
const REGISTERED_AT_ONCE: u64 = 64;
/// How often an idle watch is answered within a heartbeat interval.
const WATCHES_A_HEARTBEAT: usize = 3;
/// Pause between two servers that come or go.
const CHURN_INTERVAL: Duration = Duration::from_millis(100);

/// What the followers saw.
#[derive(Default)]
struct Counted {
    answers: Cell<u64>,
    changes: Cell<u64>,
    bytes: Cell<u64>,
    failures: Cell<u64>,
}

/// What each follower stands for.
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
    numbers: Vec<usize>,
) -> anyhow::Result<()> {
    println!("{servers} servers\nfollowers | changes/s | processor of the member, thousandths of a core | peak kB | answers/s | B/s a follower | failures");
    for number in numbers {
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
        measure(
            &system,
            &internal,
            Load {
                followers: number,
                servers,
            },
            span,
        )
        .await;
    }
    Ok(())
}

/// Internal ports of the members, once a view stands. Settings name `control` ports as seeds; the internal port is
/// the first of the range.
async fn internal_addresses(system: &mut System) -> anyhow::Result<Vec<SocketAddr>> {
    let text = std::fs::read_to_string(system.machine(0).settings_path())?;
    let settings: serde_json::Value = serde_json::from_str(&text)?;
    let port = settings["port_range"][0].as_u64().context("a port range")?;
    let port = u16::try_from(port)?;
    let first = SocketAddr::new(system.machine(0).ip(), port);
    let client = Client::new(first);
    let until = Instant::now() + READY_LIMIT;
    loop {
        if let Some(Reply::View(Some(view))) = call(&client, &Request::QueryView).await {
            if view.members.len() == CORE_MEMBERS {
                return Ok(view.members.iter().map(|peer| peer.address).collect());
            }
        }
        anyhow::ensure!(
            Instant::now() < until,
            "no view of all members\n{}",
            system.log_tails()
        );
        sleep(Duration::from_millis(50)).await;
    }
}

async fn call(client: &Rc<Client>, request: &Request) -> Option<Reply> {
    let bytes = client.call(encode(request), CALL_LIMIT).await.ok()?;
    decode(&bytes)
}

/// Makes servers known to the core.
async fn register(member: SocketAddr, servers: u64) {
    let client = Client::new(member);
    for first in (0..servers).step_by(REGISTERED_AT_ONCE as usize) {
        let calls = (first..servers.min(first + REGISTERED_AT_ONCE)).map(|number| {
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
    let counted = Rc::new(Counted::default());
    let followers: Vec<JoinHandle<()>> = (0..number)
        .map(|which| spawn_local(follow(member, which, load, counted.clone())))
        .collect();
    sleep(WARM_UP).await;
    measure_span(system, member, number, span, &counted, "heartbeats alone").await;
    let churn = spawn_local(churn(member));
    measure_span(
        system,
        member,
        number,
        span,
        &counted,
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
    counted: &Counted,
    label: &str,
) {
    let (answers, changes) = (counted.answers.get(), counted.changes.get());
    let (bytes, failures) = (counted.bytes.get(), counted.failures.get());
    let began = Instant::now();
    let before = usage(system, member);
    sleep(span).await;
    let took = began.elapsed().as_secs_f64();
    let used = usage(system, member).since(before);
    let processor_share = used.processor_ms as f64 / took;
    let per_follower = number.max(1) as f64;
    println!(
        "{number} | {:.1} ({label}) | {processor_share:.1} | {} | {:.0} | {:.0} | {}",
        (counted.changes.get() - changes) as f64 / took / per_follower,
        used.peak_memory_kb,
        (counted.answers.get() - answers) as f64 / took,
        (counted.bytes.get() - bytes) as f64 / took / per_follower,
        counted.failures.get() - failures,
    );
}

fn usage(system: &System, member: SocketAddr) -> Usage {
    let machine = system
        .machines()
        .iter()
        .find(|machine| machine.ip() == member.ip());
    machine.map(|machine| machine.usage()).unwrap_or_default()
}

/// The watch of a gateway.
async fn follow(member: SocketAddr, which: usize, load: Load, counted: Rc<Counted>) {
    let client = Client::new(member);
    let lease = NodeLease {
        name: format!("simulated-{which}"),
        incarnation: 1,
    };
    let (mut after, mut view) = (None, 0);
    let watched: Vec<String> = (which as u64..load.servers)
        .step_by(load.followers)
        .map(server_id)
        .collect();
    let third = watched.len().div_ceil(WATCHES_A_HEARTBEAT).max(1);
    // All at first: a server that was registered long ago and not heard of since would lapse.
    let mut batches = std::iter::once(watched.as_slice()).chain(watched.chunks(third).cycle());
    loop {
        let beating = batches.next().unwrap_or_default();
        let renewals = LeaseRenewals {
            servers: beating.to_vec(),
            nodes: vec![lease.clone()],
        };
        let request = encode(&Request::Watch(WatchRequest {
            after,
            view,
            renewals,
        }));
        let request_bytes = request.len();
        let Ok(bytes) = client.call(request, CALL_LIMIT).await else {
            counted.failures.set(counted.failures.get() + 1);
            sleep(CHURN_INTERVAL).await;
            continue;
        };
        let Some(Reply::StateUpdate(update)) = decode::<Reply>(&bytes) else {
            counted.failures.set(counted.failures.get() + 1);
            sleep(CHURN_INTERVAL).await;
            continue;
        };
        counted.answers.set(counted.answers.get() + 1);
        counted
            .changes
            .set(counted.changes.get() + update.changes.len() as u64);
        counted
            .bytes
            .set(counted.bytes.get() + (request_bytes + bytes.len()) as u64);
        after = Some(update.index);
        view = update.view.map_or(view, |newer| newer.number);
    }
}

/// Servers that come and go by operations at the core.
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
