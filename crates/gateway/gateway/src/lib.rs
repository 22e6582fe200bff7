//! Starts the gateway and ends it. Owns the configuration, the signals and the exit. It must never touch an
//! invocation, and never report ready before clients can be served.

mod clock;
mod counter;
mod discovery;
mod fault;
mod fleet;
mod front;
mod hub;
mod lending;
mod log;
mod message;
mod operators;
mod reducer;
mod stats;
mod upstream;

pub use crate::clock::clock;
pub use crate::fleet::Work;

use crate::fault::Fault;
use crate::hub::{Clock, Hub};
use crate::reducer::Event;
use dunespur_settings::SettingsDocument;
use serde_json::Value;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Clients keep coming for up to 0.4 s after SIGTERM; what comes over 0.7 s after it may not be answered.
const CLIENT_MOVE_TIME: Duration = Duration::from_millis(500);

/// Ready once discovery has sent its endpoint list, or at the latest after this time.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Fewer descriptors than this leave nothing for clients beside what the program itself holds.
const MIN_SOCKETS: usize = 32;

/// Descriptors of the process itself: streams, queues of events, signals, the listener, two watches, a file.
const OWN_SOCKETS: usize = 16;

/// Less memory than this leaves nothing for bodies beside what the program itself takes.
const LEAST_MEMORY: usize = 8 * 1024 * 1024;

struct Config {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    counter: Option<SocketAddr>,
    sockets: usize,
    /// Bytes that the process may have.
    memory: usize,
    known: Value,
    read: SettingsDocument,
    seed: u64,
    /// The fleet's part; none where no operators' file asks for it.
    fleet: Option<operators::Plan>,
}

fn read_config(path: Option<String>) -> Result<Config, Fault> {
    let path = path.ok_or_else(|| Fault::Config("RELAY_CONFIG names no file".into()))?;
    let text = std::fs::read_to_string(&path).map_err(|e| Fault::Config(format!("{path}: {e}")))?;
    let v: Value =
        serde_json::from_str(&text).map_err(|e| Fault::Config(format!("{path}: {e}")))?;
    let address = |key: &str| match v[key].as_str().map(str::parse) {
        Some(Ok(address)) => Ok(address),
        _ => Err(Fault::Config(format!("{key} is no address with a port"))),
    };
    let seed = u64::from_str_radix(v["seed"].as_str().unwrap_or(""), 16)
        .map_err(|_| Fault::Config("seed is no hexadecimal number".into()))?;
    let sockets = v["limits"]["sockets"].as_u64().unwrap_or(1024) as usize;
    if sockets < MIN_SOCKETS {
        return Err(Fault::Config(format!(
            "limits.sockets is under {MIN_SOCKETS}"
        )));
    }
    let memory = v["limits"]["memory_mb"].as_u64().unwrap_or(192) as usize * 1024 * 1024;
    if memory < LEAST_MEMORY {
        return Err(Fault::Config(format!(
            "limits.memory_mb is under {}",
            LEAST_MEMORY >> 20
        )));
    }
    let name = v["name"].as_str().unwrap_or("gateway").to_owned();
    let read = dunespur_settings::read(&v["settings"], seed);
    let read = read.map_err(|error| Fault::Config(error.to_string()))?;
    let fleet = operators::plan(
        &name,
        &read.zones,
        read.settings.zone,
        read.settings.counter_timeout,
    )?;
    Ok(Config {
        name,
        listen: address("listen")?,
        discovery: address("discovery")?,
        counter: if v["counter"].is_null() {
            None
        } else {
            Some(address("counter")?)
        },
        sockets,
        memory,
        known: v["known"].clone(),
        read,
        seed,
        fleet,
    })
}

fn fail(what: &'static str) -> impl Fn(std::io::Error) -> Fault {
    move |e| Fault::Config(format!("{what}: {e}"))
}

/// The signals. Handlers are installed before anything else: without one a SIGHUP would end the process.
struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
    usr1: Signal,
}

impl Signals {
    fn install() -> Result<Self, Fault> {
        Ok(Signals {
            term: signal(SignalKind::terminate()).map_err(fail("SIGTERM"))?,
            int: signal(SignalKind::interrupt()).map_err(fail("SIGINT"))?,
            hup: signal(SignalKind::hangup()).map_err(fail("SIGHUP"))?,
            usr1: signal(SignalKind::user_defined1()).map_err(fail("SIGUSR1"))?,
        })
    }

    /// SIGTERM or SIGINT.
    async fn leave(term: &mut Signal, int: &mut Signal) {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    }
}

/// How the descriptors are shared out.
struct Sockets {
    clients: usize,
    servers: usize,
    calls: usize,
}

impl Sockets {
    /// Five eighths serve clients, a quarter servers. Guards against fewer descriptors than those and all else
    /// need together: then the listener takes nobody, and neither discovery nor the counter is reached.
    fn share(sockets: usize) -> Self {
        // A counter holds no more than 32 of one gateway, and may see the end of one late.
        let calls = (sockets / 32).clamp(1, 16);
        // After a reload the old connections to the counter bring the answers they owe.
        let left = sockets - OWN_SOCKETS - 2 * calls;
        let servers = (sockets / 4).min(left * 2 / 7);
        Sockets {
            clients: (sockets * 5 / 8).min(left - servers),
            servers,
            calls,
        }
    }
}

/// Reads the configuration and serves until it has left.
async fn run() -> Result<(), Fault> {
    let mut signals = Signals::install()?;
    let mut config = read_config(std::env::var("RELAY_CONFIG").ok())?;
    let clock = Clock::start();
    let read = &config.read;
    let names = reducer::names(read);
    let known = match &config.known {
        Value::Null => None,
        list => Some(message::decode_endpoints(list, &names)?),
    };
    let revision = known.as_ref().map_or(0, |k| k.revision);
    let seconds = |s: f64, what: &str| {
        Duration::try_from_secs_f64(s).map_err(|e| Fault::Config(format!("settings: {what}: {e}")))
    };
    let dial = seconds(read.connect_timeout, "dialTimeoutS")?;
    let idle_time = seconds(read.idle_timeout, "keepaliveS")?;
    let Sockets {
        clients,
        servers,
        calls,
    } = Sockets::share(config.sockets);
    let reducer = reducer::Reducer::new(&read.settings, clock.now());
    let hub = Hub::new(
        clock,
        names,
        reducer,
        // A quarter of the memory holds bodies; each may lie there twice while it is read.
        front::Front::new(clients, config.memory / 4),
        upstream::Upstream::new(dial, read.idle_timeout * 0.75, servers),
        counter::Counter::new(config.counter, dial, calls),
        discovery::Discovery::new(
            config.discovery,
            read.settings.endpoints_on_request,
            revision,
        ),
    );
    if let Some(known) = known {
        hub.tell(Event::Endpoints(known));
    }
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(fail("listen"))?;
    let (tell, told) = mpsc::unbounded_channel();
    let fleet = match config.fleet.take() {
        None => None,
        Some(plan) => {
            hub.discovery.observer(tell.clone());
            fleet::start(
                hub.clone(),
                plan,
                config.name.clone(),
                config.seed,
                tell.clone(),
                told,
            )
            .await?;
            Some(tell)
        }
    };
    spawn_restarting(&hub, "time", Hub::run_timer);
    (0..hub.counter.connections()).for_each(|at| {
        spawn_restarting(&hub, "counter", move |hub| counter::Counter::run(hub, at));
    });
    spawn_restarting(&hub, "discovery", discovery::Discovery::run);
    let listening = tokio::task::spawn_local(front::Front::serve(hub.clone(), listener));
    ::log::info!("{} serves on {}", config.name, config.listen);
    spawn_restarting(&hub, "clients' sweep", |hub| async move {
        run_periodically(front::SWEEP_INTERVAL, || hub.front.sweep(hub.clock.now())).await
    });
    let idle_sweep = (idle_time / 8).clamp(Duration::from_millis(10), Duration::from_secs(1));
    spawn_restarting(&hub, "servers' sweep", move |hub| async move {
        run_periodically(idle_sweep, || hub.upstream.sweep(hub.clock.now())).await
    });
    let opening = hub.clone();
    tokio::task::spawn_local(async move {
        sleep(FIRST_LIST_TIMEOUT).await;
        opening.front.open();
    });
    // Signals mean the same while it leaves, but for another one to leave: that changes nothing.
    let mut leaving = pin!(None);
    loop {
        tokio::select! {
            () = Signals::leave(&mut signals.term, &mut signals.int), if leaving.is_none() => {
                leaving.set(Some(shut_down(&hub, fleet.as_ref(), &listening)));
            }
            _ = signals.hup.recv() => reload(&hub),
            _ = signals.usr1.recv() => {
                ::log::info!("{}", hub.reducer.borrow().stats);
                if let Some(fleet) = &fleet {
                    let _ = fleet.send(fleet::FleetEvent::Report);
                }
            }
            () = async { leaving.as_mut().as_pin_mut().expect("polled only while leaving").await }, if leaving.is_some() => break,
        }
    }
    ::log::info!("{}", hub.reducer.borrow().stats);
    Ok(())
}

/// Shuts down: clients move on, requests in flight are answered, the connections end.
async fn shut_down(
    hub: &Rc<Hub>,
    fleet: Option<&mpsc::UnboundedSender<fleet::FleetEvent>>,
    listening: &tokio::task::JoinHandle<()>,
) {
    ::log::info!("leaving with {} in hand", hub.reducer.borrow().in_hand());
    // Roles are handed over before anything else; nothing here waits for whoever takes them.
    if let Some(fleet) = fleet {
        let _ = fleet.send(fleet::FleetEvent::Leave);
    }
    hub.front.leave();
    sleep(CLIENT_MOVE_TIME).await;
    hub.front.close(hub.clock.now());
    // Each connection ends by itself: after its response, after a message that stays incomplete, or when a response is
    // not read in its client's time.
    while !listening.is_finished() || hub.front.clients() > 0 {
        sleep(Duration::from_millis(20)).await;
        hub.front.sweep(hub.clock.now());
    }
}

/// Runs this periodically.
async fn run_periodically(interval: Duration, act: impl Fn()) {
    loop {
        sleep(interval).await;
        act();
    }
}

/// SIGHUP: takes the addresses of discovery and the counter from the file; other keys need a restart. Guards against a
/// file that can't be used, perhaps half written: then the old addresses stay.
fn reload(hub: &Rc<Hub>) {
    match read_config(std::env::var("RELAY_CONFIG").ok()) {
        Ok(config) => {
            ::log::info!(
                "discovery at {}, counter at {:?}",
                config.discovery,
                config.counter
            );
            hub.discovery.move_to(config.discovery);
            hub.counter.move_to(config.counter);
        }
        Err(fault) => ::log::warn!("{fault}; the old one holds"),
    }
}

/// Spawns one of the lasting tasks; a panic in it is logged and it starts again.
fn spawn_restarting<F, R>(hub: &Rc<Hub>, name: &'static str, run: R)
where
    F: Future<Output = ()> + 'static,
    R: Fn(Rc<Hub>) -> F + 'static,
{
    let hub = hub.clone();
    tokio::task::spawn_local(async move {
        while let Err(e) = tokio::task::spawn_local(run(hub.clone())).await {
            ::log::error!("{name}: {e}");
        }
    });
}

/// Entry point: reads the configuration that the environment names and serves until a signal ends it. The exit code is 2
/// where the configuration can't be used.
#[must_use]
pub fn main() -> ExitCode {
    log::start(std::env::var("RELAY_LOG").ok().as_deref());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let ended = match runtime {
        Ok(runtime) => tokio::task::LocalSet::new().block_on(&runtime, run()),
        Err(e) => Err(Fault::Config(format!("no runtime: {e}"))),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("dunespur-gateway: {fault}");
            ExitCode::from(2)
        }
    }
}
