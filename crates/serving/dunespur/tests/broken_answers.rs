//! Servers in trouble send responses with broken heads while processes are stopped, frozen and killed and the
//! configuration changes. No client may get such a response, over new connections or open ones.
//!
//! Rules with a time bound (configuration, draining, planned shutdown) are not judged while the soak's traffic runs: its
//! processes are out of contact most of the time.
//!
//! `DUNESPUR_SOAK_SEEDS=1..50` soaks with these seeds in place of the usual ones.

mod support;

use dunespur_emulator::client::{Client, ClientConnection, RequestKind, RequestSpec};
use dunespur_emulator::judge::Span;
use dunespur_emulator::program::play;
use dunespur_emulator::record::{AttemptOutcome, Fate};
use dunespur_emulator::scene::{usual_program, Scene, ScenePlan, HOST, RECORD};
use dunespur_emulator::server::{ServerFault, ServerHandle};
use dunespur_emulator::system::{MachinePlan, Role};
use dunespur_test_fixtures::response_heads::{
    ResponseHead, BROKEN_LENGTHS, BROKEN_LINES, BROKEN_STATUS_LINES,
};
use std::ops::Range;
use std::time::Duration;
use support::{
    add_route, expect_no_violation, lookup_request, machines_of, run_programs_for, serving_scene,
    CATCH_UP_TIME,
};
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// Environment variable with the seeds of the soak, as `FIRST..END`.
const SOAK_SEEDS: &str = "DUNESPUR_SOAK_SEEDS";
/// The usual seeds.
const USUAL_SEEDS: Range<u64> = 1..3;
/// Duration of one soak's traffic.
const TRAFFIC: Duration = Duration::from_secs(15);
/// Longest pause between two faults.
const MAX_PAUSE_MS: u64 = 120;
/// Longest time for which a process is frozen or stays killed.
const MAX_OUTAGE_MS: u64 = 1_500;
/// Clients of each kind that send requests one after the other.
const CLIENTS: usize = 3;
/// Pause after a connection could not be opened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Time after SIGTERM within which a process ends.
const GRACE: Duration = Duration::from_secs(8);

fn broken_heads() -> Vec<&'static ResponseHead> {
    let heads = [BROKEN_LENGTHS, BROKEN_LINES, BROKEN_STATUS_LINES];
    heads.into_iter().flatten().collect()
}

fn record_request() -> RequestSpec {
    RequestSpec::post(HOST, &format!("{RECORD}x"), RequestKind::Mutating, "once")
}

#[tokio::test]
async fn no_broken_response_reaches_a_client() {
    let scene = serving_scene(ScenePlan::default()).await;
    let turn = scene.turn_request();
    for head in broken_heads() {
        let fault = ServerFault::BreakHead(head);
        for server in scene.servers() {
            server.faults.always(Some(fault));
        }
        for request in [&record_request(), &turn] {
            let served = scene.client.send(request).await;
            assert_eq!(served.status(), Some(502), "{fault:?}: {served:?}");
            let runs = scene.record.observations_of(served.request);
            let ran = runs.iter().filter(|run| run.fate == Fate::Run).count();
            assert_eq!(ran, 1, "{fault:?}: {served:?}");
        }
    }
    for server in scene.servers() {
        server.faults.always(None);
    }
    expect_no_violation(&scene);
}

#[tokio::test]
async fn an_idempotent_request_is_served_despite_a_broken_response() {
    let scene = serving_scene(ScenePlan::default()).await;
    for head in broken_heads() {
        let fault = ServerFault::BreakHead(head);
        scene.plains[0].server.handle.faults.once(fault);
        for _ in 0..2 {
            let served = scene.client.send(&lookup_request()).await;
            assert!(served.succeeded(), "{fault:?}: {served:?}");
        }
    }
    expect_no_violation(&scene);
}

/// Sends lookups and records over one connection after the other; keeps each until it closes.
async fn use_open_connections(client: Client, fronts: Vec<std::net::SocketAddr>, first: usize) {
    for front in fronts.iter().cycle().skip(first) {
        let Some(mut connection) = ClientConnection::open(*front).await else {
            sleep(RECONNECT_PAUSE).await;
            continue;
        };
        for request in [lookup_request(), record_request()].iter().cycle() {
            client.send_over(&mut connection, request).await;
            if !connection.is_open() {
                break;
            }
        }
    }
}

async fn play_programs(client: Client) {
    loop {
        play(&client, &usual_program()).await;
    }
}

async fn send_requests(client: Client) {
    for request in [lookup_request(), record_request()].iter().cycle() {
        client.send(request).await;
        // A request that no gateway accepts ends at once.
        tokio::task::yield_now().await;
    }
}

/// Starts clients that send requests until the set is dropped.
fn start_traffic(scene: &Scene) -> JoinSet<()> {
    let mut traffic = JoinSet::new();
    for number in 0..CLIENTS {
        traffic.spawn(play_programs(scene.client.clone()));
        traffic.spawn(send_requests(scene.client.clone()));
        let fronts = scene.system.fronts();
        traffic.spawn(use_open_connections(scene.client.clone(), fronts, number));
    }
    traffic
}

/// A process that was frozen, terminated or killed, and when it goes on.
struct Outage {
    machine: usize,
    kind: OutageKind,
    until: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutageKind {
    Frozen,
    Terminated,
    Killed,
}

/// The faults of one soak, drawn from its seed.
struct Soak {
    random: fastrand::Rng,
    outages: Vec<Outage>,
    /// No core member is lost before this time, as the last one may not have caught up.
    next_core_loss: Instant,
    version: u64,
}

impl Soak {
    fn new(seed: u64) -> Soak {
        Soak {
            random: fastrand::Rng::with_seed(seed),
            outages: Vec::new(),
            next_core_loss: Instant::now(),
            version: 1,
        }
    }

    /// Injects one fault after the other until the traffic's time is over; then ends all of them.
    async fn run(&mut self, scene: &mut Scene) {
        let end = Instant::now() + TRAFFIC;
        while Instant::now() < end {
            sleep(Duration::from_millis(self.random.u64(0..=MAX_PAUSE_MS))).await;
            self.end_outages(scene, Instant::now()).await;
            match self.random.u8(0..12) {
                0 => self.lose(scene, Role::Gateway, OutageKind::Frozen),
                1 => self.lose(scene, Role::Gateway, OutageKind::Terminated),
                2 => self.lose(scene, Role::Gateway, OutageKind::Killed),
                3 => self.lose_core_member(scene),
                4 => self.version = add_route(scene, self.version).await,
                _ => self.break_responses(scene),
            }
        }
        let last = self.outages.iter().map(|outage| outage.until).max();
        self.end_outages(scene, last.unwrap_or(end)).await;
    }

    /// Has one server mishandle its next requests, mostly by broken heads.
    fn break_responses(&mut self, scene: &Scene) {
        let servers: Vec<&ServerHandle> = scene.servers().collect();
        let server = servers[self.random.usize(..servers.len())];
        let heads = broken_heads();
        for _ in 0..self.random.u8(1..=4) {
            let fault = match self.random.u8(0..10) {
                0 => ServerFault::Surplus,
                1 => ServerFault::LateSurplus,
                2 => ServerFault::TruncateBody { after: 10 },
                3 => ServerFault::Close,
                _ => ServerFault::BreakHead(heads[self.random.usize(..heads.len())]),
            };
            server.faults.once(fault);
        }
    }

    fn lose_core_member(&mut self, scene: &mut Scene) {
        let now = Instant::now();
        if now < self.next_core_loss {
            return;
        }
        let kinds = [
            OutageKind::Frozen,
            OutageKind::Terminated,
            OutageKind::Killed,
        ];
        let kind = kinds[self.random.usize(..kinds.len())];
        self.next_core_loss = now + GRACE + CATCH_UP_TIME;
        self.lose(scene, Role::Core, kind);
    }

    /// Freezes, terminates or kills a process of this role that is in service, if there is one.
    fn lose(&mut self, scene: &mut Scene, role: Role, kind: OutageKind) {
        let is_lost = |machine: &usize| self.outages.iter().any(|lost| lost.machine == *machine);
        let machines: Vec<usize> = machines_of(scene, role)
            .into_iter()
            .filter(|machine| !is_lost(machine))
            .collect();
        // One gateway of each role stays in service.
        if machines.len() < 2 {
            return;
        }
        let machine = machines[self.random.usize(..machines.len())];
        let outage = Duration::from_millis(self.random.u64(100..=MAX_OUTAGE_MS));
        match kind {
            OutageKind::Frozen => scene.system.machine(machine).freeze().unwrap(),
            OutageKind::Terminated => scene.terminate(machine).unwrap(),
            OutageKind::Killed => scene.system.machine(machine).kill(),
        }
        self.outages.push(Outage {
            machine,
            kind,
            until: Instant::now() + outage,
        });
    }

    /// Ends the outages that are due at `now`. Further faults wait until a terminated process has ended.
    async fn end_outages(&mut self, scene: &mut Scene, now: Instant) {
        let outages = std::mem::take(&mut self.outages);
        for outage in outages {
            if outage.until > now {
                self.outages.push(outage);
                continue;
            }
            match outage.kind {
                OutageKind::Frozen => scene.system.machine(outage.machine).thaw().unwrap(),
                OutageKind::Killed => scene.system.restart(outage.machine).unwrap(),
                OutageKind::Terminated => {
                    scene
                        .system
                        .machine(outage.machine)
                        .wait(GRACE)
                        .await
                        .unwrap();
                    scene.system.restart(outage.machine).unwrap();
                }
            }
        }
        scene.client.set_fronts(scene.system.fronts());
    }
}

/// Two gateways without a disk more than usual.
fn soak_plan(seed: u64) -> ScenePlan {
    let mut plan = ScenePlan {
        seed,
        ..ScenePlan::default()
    };
    for zone in ["zone-b", "zone-c"] {
        plan.machines.push(MachinePlan::new(Role::Gateway, zone));
    }
    plan
}

async fn soak(seed: u64) {
    let mut scene = serving_scene(soak_plan(seed)).await;
    let from_ms = scene.clock.now_ms();
    let mut traffic = start_traffic(&scene);
    Soak::new(seed).run(&mut scene).await;
    traffic.shutdown().await;
    for server in scene.servers() {
        server.faults.clear();
    }
    let to_ms = scene.clock.now_ms() + CATCH_UP_TIME.as_millis() as u64;
    scene.wait_until_serving().await.unwrap();
    sleep(CATCH_UP_TIME).await;
    run_programs_for(&scene, Duration::from_secs(1)).await;
    let violations = scene.violations_except(vec![Span { from_ms, to_ms }]);
    let violations: Vec<String> = violations.iter().map(ToString::to_string).collect();
    assert!(
        violations.is_empty(),
        "seed {seed}: {}",
        violations.join("\n")
    );
    assert!(!scene.record.overflowed(), "seed {seed}");
    report_extent(&scene, seed);
}

/// Prints how much the soak has tried. A soak without broken responses or without successes would show nothing.
fn report_extent(scene: &Scene, seed: u64) {
    let attempts = scene.record.attempts();
    let is_success = |outcome: &AttemptOutcome| match outcome {
        AttemptOutcome::Answered(answered) => answered.status == 200,
        _ => false,
    };
    let successes = attempts
        .iter()
        .filter(|attempt| is_success(&attempt.outcome))
        .count();
    let observations = scene.record.observations();
    let broken = observations.iter().filter(|run| run.faulted).count();
    println!(
        "seed {seed}: {} attempts, {successes} of them with success, {broken} broken responses",
        attempts.len()
    );
    assert!(successes > 0 && broken > 0, "seed {seed} has tried nothing");
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var(SOAK_SEEDS) else {
        return USUAL_SEEDS;
    };
    let (first, end) = text.split_once("..").expect("seeds are FIRST..END");
    first.parse().unwrap()..end.parse().unwrap()
}

#[tokio::test]
async fn no_broken_response_reaches_a_client_in_a_soak() {
    for seed in seeds() {
        soak(seed).await;
    }
}
