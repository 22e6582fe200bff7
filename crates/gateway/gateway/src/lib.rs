//! Starts and stops the gateway. Owns the configuration, signal handling and the exit. It handles no invocations, and
//! the gateway is not reported ready before clients can be served.

mod client_listener;
mod clock;
mod counter_client;
mod counter_router;
mod discovery_watch;
mod error;
mod event_loop;
mod fleet;
mod log;
mod operators_file;
mod protocol;
mod server_connections;
mod state_machine;
mod stats;

pub use crate::clock::clock;
pub use crate::fleet::Work;

use crate::client_listener::ClientListener;
use crate::counter_client::CounterClient;
use crate::discovery_watch::DiscoveryWatch;
use crate::error::GatewayError;
use crate::event_loop::{EventLoop, UnixClock};
use crate::server_connections::ServerConnections;
use crate::state_machine::{Event, StateMachine};
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

/// Time from SIGTERM to the close of the listener. Clients may connect until 0.4 s after SIGTERM; requests that
/// arrive later than 0.7 s after it need not be answered.
const CLIENT_MOVE_TIME: Duration = Duration::from_millis(500);

/// The gateway is ready once discovery has sent its endpoint list, or after this time at the latest.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// With fewer descriptors, none are left for clients beside those of the program itself.
const MIN_SOCKETS: usize = 32;

/// Descriptors of the process itself: standard streams, event queues, signals, the listener, two watches, a file.
const OWN_SOCKETS: usize = 16;

/// With less memory, none is left for request bodies beside what the program itself uses.
const MIN_MEMORY_BYTES: usize = 8 * 1024 * 1024;

struct Config {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    counter: Option<SocketAddr>,
    sockets: usize,
    /// Memory limit of the process, in bytes.
    memory: usize,
    initial_endpoints: Value,
    settings_document: SettingsDocument,
    seed: u64,
    /// The fleet configuration; `None` without an operators' file that has a `fleet` section.
    fleet: Option<operators_file::FleetConfig>,
}

fn read_config(path: Option<String>) -> Result<Config, GatewayError> {
    let path = path.ok_or_else(|| {
        GatewayError::Config(
            "RELAY_CONFIG is not set; set it to the path of the configuration file".into(),
        )
    })?;
    let text =
        std::fs::read_to_string(&path).map_err(|e| GatewayError::Config(format!("{path}: {e}")))?;
    let document: Value =
        serde_json::from_str(&text).map_err(|e| GatewayError::Config(format!("{path}: {e}")))?;
    let address = |key: &str| match document[key].as_str().map(str::parse) {
        Some(Ok(address)) => Ok(address),
        _ => Err(GatewayError::Config(format!(
            "{key} is not an address with a port"
        ))),
    };
    let seed = u64::from_str_radix(document["seed"].as_str().unwrap_or(""), 16)
        .map_err(|_| GatewayError::Config("seed is not a hexadecimal number".into()))?;
    let sockets = document["limits"]["sockets"].as_u64().unwrap_or(1024) as usize;
    if sockets < MIN_SOCKETS {
        return Err(GatewayError::Config(format!(
            "limits.sockets is {sockets}, must be at least {MIN_SOCKETS}"
        )));
    }
    let memory = document["limits"]["memory_mb"].as_u64().unwrap_or(192) as usize * 1024 * 1024;
    if memory < MIN_MEMORY_BYTES {
        return Err(GatewayError::Config(format!(
            "limits.memory_mb must be at least {}",
            MIN_MEMORY_BYTES >> 20
        )));
    }
    let name = document["name"].as_str().unwrap_or("gateway").to_owned();
    let settings_document = dunespur_settings::read(&document["settings"], seed);
    let settings_document =
        settings_document.map_err(|error| GatewayError::Config(error.to_string()))?;
    let fleet = operators_file::load(
        &name,
        &settings_document.zones,
        settings_document.settings.zone,
        settings_document.settings.counter_timeout,
    )?;
    Ok(Config {
        name,
        listen: address("listen")?,
        discovery: address("discovery")?,
        counter: if document["counter"].is_null() {
            None
        } else {
            Some(address("counter")?)
        },
        sockets,
        memory,
        initial_endpoints: document["known"].clone(),
        settings_document,
        seed,
        fleet,
    })
}

fn config_error(resource: &'static str) -> impl Fn(std::io::Error) -> GatewayError {
    move |e| GatewayError::Config(format!("{resource}: {e}"))
}

/// Signal handlers, installed before anything else: without a handler, SIGHUP would end the process.
struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
    usr1: Signal,
}

impl Signals {
    fn install() -> Result<Self, GatewayError> {
        Ok(Signals {
            term: signal(SignalKind::terminate()).map_err(config_error("SIGTERM"))?,
            int: signal(SignalKind::interrupt()).map_err(config_error("SIGINT"))?,
            hup: signal(SignalKind::hangup()).map_err(config_error("SIGHUP"))?,
            usr1: signal(SignalKind::user_defined1()).map_err(config_error("SIGUSR1"))?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    async fn wait_for_termination(term: &mut Signal, int: &mut Signal) {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    }
}

/// Division of the descriptors among the uses of connections.
struct SocketShares {
    client_connections: usize,
    server_connections: usize,
    counter_connections: usize,
}

impl SocketShares {
    /// Clients get up to five eighths of the descriptors, servers up to a quarter. Both get fewer if the total would
    /// not leave enough for everything else: the listener could then accept nobody, and neither discovery nor the
    /// counter could be reached.
    fn divide(sockets: usize) -> Self {
        // The counter accepts at most 32 connections from one gateway, and may notice a closed one late.
        let counter_connections = (sockets / 32).clamp(1, 16);
        // After a reload, the old connections to the counter stay open until their outstanding replies arrive.
        let available = sockets - OWN_SOCKETS - 2 * counter_connections;
        let server_connections = (sockets / 4).min(available * 2 / 7);
        SocketShares {
            client_connections: (sockets * 5 / 8).min(available - server_connections),
            server_connections,
            counter_connections,
        }
    }
}

/// Reads the configuration and serves until the shutdown is complete.
async fn run() -> Result<(), GatewayError> {
    let mut signals = Signals::install()?;
    let mut config = read_config(std::env::var("RELAY_CONFIG").ok())?;
    let clock = UnixClock::start();
    let settings_document = &config.settings_document;
    let names = state_machine::configured_names(settings_document);
    let initial_endpoints = match &config.initial_endpoints {
        Value::Null => None,
        list => Some(protocol::decode_endpoints(list, &names)?),
    };
    let revision = initial_endpoints
        .as_ref()
        .map_or(0, |update| update.revision);
    let seconds = |value: f64, key: &str| {
        Duration::try_from_secs_f64(value)
            .map_err(|e| GatewayError::Config(format!("settings: {key}: {e}")))
    };
    let connect_timeout = seconds(settings_document.connect_timeout, "dialTimeoutS")?;
    let idle_timeout = seconds(settings_document.idle_timeout, "keepaliveS")?;
    let SocketShares {
        client_connections,
        server_connections,
        counter_connections,
    } = SocketShares::divide(config.sockets);
    let state_machine = StateMachine::new(&settings_document.settings, clock.now());
    let event_loop = EventLoop::new(
        clock,
        names,
        state_machine,
        // A quarter of the memory holds request bodies; each may be held twice while it is read.
        ClientListener::new(client_connections, config.memory / 4),
        ServerConnections::new(
            connect_timeout,
            settings_document.idle_timeout * 0.75,
            server_connections,
        ),
        CounterClient::new(config.counter, connect_timeout, counter_connections),
        DiscoveryWatch::new(
            config.discovery,
            settings_document.settings.endpoints_on_request,
            revision,
        ),
    );
    if let Some(update) = initial_endpoints {
        event_loop.handle(Event::EndpointsUpdated(update));
    }
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(config_error("listen"))?;
    let (fleet_event_sender, fleet_events) = mpsc::unbounded_channel();
    let fleet = match config.fleet.take() {
        None => None,
        Some(fleet_config) => {
            event_loop
                .discovery_watch
                .set_observer(fleet_event_sender.clone());
            fleet::start(
                event_loop.clone(),
                fleet_config,
                config.name.clone(),
                config.seed,
                fleet_event_sender.clone(),
                fleet_events,
            )
            .await?;
            Some(fleet_event_sender)
        }
    };
    spawn_restarting(&event_loop, "timer", EventLoop::run_timer);
    (0..event_loop.counter_client.connection_count()).for_each(|queue_index| {
        spawn_restarting(&event_loop, "counter", move |event_loop| {
            CounterClient::run(event_loop, queue_index)
        });
    });
    spawn_restarting(&event_loop, "discovery", DiscoveryWatch::run);
    let accept_task = tokio::task::spawn_local(ClientListener::serve(event_loop.clone(), listener));
    ::log::info!("{} listens on {}", config.name, config.listen);
    spawn_sweeps(&event_loop, idle_timeout);
    open_after_timeout(&event_loop);
    // Signals keep their meaning during the shutdown, except that further SIGTERM or SIGINT have no effect.
    let mut shutdown = pin!(None);
    loop {
        tokio::select! {
            () = Signals::wait_for_termination(&mut signals.term, &mut signals.int), if shutdown.is_none() => {
                shutdown.set(Some(shut_down(&event_loop, fleet.as_ref(), &accept_task)));
            }
            _ = signals.hup.recv() => reload(&event_loop),
            _ = signals.usr1.recv() => {
                ::log::info!("{}", event_loop.state_machine.borrow().stats);
                if let Some(fleet) = &fleet {
                    let _ = fleet.send(fleet::FleetEvent::Report);
                }
            }
            () = async { shutdown.as_mut().as_pin_mut().expect("polled only during the shutdown").await }, if shutdown.is_some() => break,
        }
    }
    ::log::info!("{}", event_loop.state_machine.borrow().stats);
    Ok(())
}

/// Spawns the tasks that look for overdue client connections and expired idle server connections.
fn spawn_sweeps(event_loop: &Rc<EventLoop>, idle_timeout: Duration) {
    spawn_restarting(
        event_loop,
        "client connection sweep",
        |event_loop| async move {
            run_periodically(client_listener::SWEEP_INTERVAL, || {
                event_loop.client_listener.sweep(event_loop.clock.now())
            })
            .await
        },
    );
    let idle_sweep = (idle_timeout / 8).clamp(Duration::from_millis(10), Duration::from_secs(1));
    spawn_restarting(
        event_loop,
        "server connection sweep",
        move |event_loop| async move {
            run_periodically(idle_sweep, || {
                event_loop.server_connections.sweep(event_loop.clock.now())
            })
            .await
        },
    );
}

/// Opens the client listener after `FIRST_LIST_TIMEOUT`, even without an endpoint list from discovery.
fn open_after_timeout(event_loop: &Rc<EventLoop>) {
    let event_loop = event_loop.clone();
    tokio::task::spawn_local(async move {
        sleep(FIRST_LIST_TIMEOUT).await;
        event_loop.client_listener.open();
    });
}

/// Shuts down: lets clients move to other gateways, answers the requests in flight and closes the connections.
async fn shut_down(
    event_loop: &Rc<EventLoop>,
    fleet: Option<&mpsc::UnboundedSender<fleet::FleetEvent>>,
    accept_task: &tokio::task::JoinHandle<()>,
) {
    ::log::info!(
        "shutting down with {} invocations in flight",
        event_loop.state_machine.borrow().pending_count()
    );
    // Roles are handed over first; the shutdown does not wait for their new owners.
    if let Some(fleet) = fleet {
        let _ = fleet.send(fleet::FleetEvent::Leave);
    }
    event_loop.client_listener.start_shutdown();
    sleep(CLIENT_MOVE_TIME).await;
    event_loop.client_listener.close(event_loop.clock.now());
    // Each connection closes after its response, after an incomplete message times out, or when its client does not
    // read the response in time.
    while !accept_task.is_finished() || event_loop.client_listener.connection_count() > 0 {
        sleep(Duration::from_millis(20)).await;
        event_loop.client_listener.sweep(event_loop.clock.now());
    }
}

/// Calls `action` once per interval, forever.
async fn run_periodically(interval: Duration, action: impl Fn()) {
    loop {
        sleep(interval).await;
        action();
    }
}

/// Handles SIGHUP: reads the addresses of discovery and the counter from the configuration file; other keys need a
/// restart. If the file is invalid, perhaps because it is partially written, the old addresses stay.
fn reload(event_loop: &Rc<EventLoop>) {
    match read_config(std::env::var("RELAY_CONFIG").ok()) {
        Ok(config) => {
            ::log::info!(
                "configuration reloaded: discovery at {}, counter at {:?}",
                config.discovery,
                config.counter
            );
            event_loop.discovery_watch.set_address(config.discovery);
            event_loop.counter_client.set_address(config.counter);
        }
        Err(error) => ::log::warn!("configuration not reloaded, the old one stays in use: {error}"),
    }
}

/// Spawns a permanent task; a panic in it is logged and the task is restarted.
fn spawn_restarting<F, R>(event_loop: &Rc<EventLoop>, name: &'static str, run: R)
where
    F: Future<Output = ()> + 'static,
    R: Fn(Rc<EventLoop>) -> F + 'static,
{
    let event_loop = event_loop.clone();
    tokio::task::spawn_local(async move {
        while let Err(e) = tokio::task::spawn_local(run(event_loop.clone())).await {
            ::log::error!("{name} task panicked and is restarted: {e}");
        }
    });
}

/// Entry point: reads the configuration that the environment names and serves until a signal ends it. The exit code
/// is 2 if the configuration is invalid.
#[must_use]
pub fn main() -> ExitCode {
    log::start(std::env::var("RELAY_LOG").ok().as_deref());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => tokio::task::LocalSet::new().block_on(&runtime, run()),
        Err(e) => Err(GatewayError::Config(format!(
            "the runtime cannot be started: {e}"
        ))),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunespur-gateway: {error}");
            ExitCode::from(2)
        }
    }
}
