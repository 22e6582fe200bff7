//! The `gateway` process: data plane, control interface and, on machines with a disk, a core member.

use crate::budgets::Budgets;
use crate::clock::{wall_clock_ms, Clock};
use crate::control_api::{self, ControlApi};
use crate::core::{Coordinator, CoreIdentity};
use crate::core_membership::maintain_core_membership;
use crate::data_plane::DataPlane;
use crate::directory::Directory;
use crate::founding::Founding;
use crate::registration::GatewayRegistration;
use crate::service::GatewayService;
use crate::settings::{Role, Settings};
use crate::signals;
use crate::sockets::listen;
use crate::status_collection::GatewayStatus;
use dunespur_budget::LimiterId;
use dunespur_load_distribution::Identity;
use dunespur_proxy::{serve_readiness, ProxyServer, ProxySettings};
use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// File descriptors reserved for files, internal connections and the control interface.
const RESERVED_DESCRIPTORS: u64 = 500;
/// Minimum number of sockets for clients and servers, even if the machine grants fewer descriptors.
const MIN_SOCKETS: u64 = 64;
/// Maximum time for draining; the platform kills the process shortly afterwards.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(7_000);
/// Maximum time for returning leases on programs' budgets.
const BUDGET_RETURN_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs the process until SIGTERM or SIGINT, and then until it has drained.
///
/// # Errors
///
/// If its data folder can't be opened, or one of its addresses can't be bound.
pub async fn run(settings: Settings, path: PathBuf) -> anyhow::Result<()> {
    let gateway = Gateway::assemble(settings)?;
    gateway.start_internal().await?;
    gateway.start_control().await?;
    gateway.start_client_listeners().await?;
    gateway.start_core_membership();
    let registration = gateway.register();
    spawn_local(gateway.directory.clone().follow());
    spawn_local(signals::follow_settings(
        path,
        Role::Gateway,
        gateway.directory.clone(),
    ));
    log::info!("{} has started", gateway.settings.node);

    signals::termination_requested().await?;
    log::info!("{} is shutting down", gateway.settings.node);
    gateway.data_plane.leave();
    registration.leave();
    gateway.drain().await;
    Ok(())
}

/// The parts of a gateway process.
struct Gateway {
    settings: Settings,
    clock: Clock,
    /// Identifies this start of the process.
    incarnation: u64,
    directory: Rc<Directory>,
    /// The core member; only on a machine with a disk that counts for the quorum.
    coordinator: Option<Rc<Coordinator>>,
    budgets: Rc<Budgets>,
    data_plane: Rc<DataPlane>,
    proxy: Rc<ProxyServer<DataPlane>>,
}

impl Gateway {
    fn assemble(settings: Settings) -> anyhow::Result<Gateway> {
        let clock = Clock::start();
        let directory = Directory::new(clock, settings.seed_addresses());
        let coordinator = start_core(&settings, clock)?;
        let incarnation = wall_clock_ms();
        let limiter = LimiterId {
            node: settings.node.clone(),
            incarnation,
        };
        let budgets = Budgets::start(limiter, directory.clone(), clock);
        let identity = Identity {
            name: settings.node.as_str().into(),
            zone: settings.zone.as_str().into(),
            incarnation,
        };
        let replicas = settings.required_replicas();
        let data_plane = DataPlane::new(
            directory.clone(),
            identity,
            budgets.clone(),
            replicas,
            clock,
        );
        let proxy = ProxyServer::new(data_plane.clone(), proxy_settings(&settings));
        Ok(Gateway {
            settings,
            clock,
            incarnation,
            directory,
            coordinator,
            budgets,
            data_plane,
            proxy,
        })
    }

    fn status(&self) -> GatewayStatus {
        GatewayStatus {
            settings: self.settings.clone(),
            directory: self.directory.clone(),
            coordinator: self.coordinator.clone(),
            data_plane: self.data_plane.clone(),
            budgets: self.budgets.clone(),
            proxy: self.proxy.clone(),
        }
    }

    /// Starts the listener for the other processes of the system.
    async fn start_internal(&self) -> anyhow::Result<()> {
        let address = self.settings.internal_address();
        let first_seed = self.settings.seed_addresses().first().copied();
        let is_founder = self.settings.bootstrap && first_seed == Some(address);
        let service = GatewayService {
            clock: self.clock,
            directory: self.directory.clone(),
            coordinator: self.coordinator.clone(),
            load_exchange: self.data_plane.load_exchange(),
            founding: is_founder.then(|| RefCell::new(Founding::new(self.clock.now()))),
            status: self.status(),
        };
        spawn_local(dunespur_rpc::serve(
            listen(address).await?,
            Rc::new(service),
        ));
        Ok(())
    }

    /// Starts the listener for servers and operators.
    async fn start_control(&self) -> anyhow::Result<()> {
        let Some(address) = self.settings.listen.control else {
            return Ok(());
        };
        let api = ControlApi {
            directory: self.directory.clone(),
            load_exchange: self.data_plane.load_exchange(),
            control_port: address.port(),
            tolerated_losses: self.settings.fault_tolerance.machines,
        };
        spawn_local(control_api::serve(Rc::new(api), listen(address).await?));
        Ok(())
    }

    /// Starts the listeners for readiness checks and clients.
    async fn start_client_listeners(&self) -> anyhow::Result<()> {
        if let Some(address) = self.settings.listen.ready {
            spawn_local(serve_readiness(
                self.data_plane.clone(),
                listen(address).await?,
            ));
        }
        if let Some(address) = self.settings.listen.front {
            spawn_local(self.proxy.clone().serve(listen(address).await?));
        }
        Ok(())
    }

    fn start_core_membership(&self) {
        if let Some(coordinator) = &self.coordinator {
            let (directory, settings) = (self.directory.clone(), self.settings.clone());
            spawn_local(maintain_core_membership(
                coordinator.clone(),
                directory,
                settings,
            ));
        }
    }

    fn register(&self) -> Rc<GatewayRegistration> {
        GatewayRegistration::start(&self.settings, self.incarnation, self.directory.clone())
    }

    /// Drains the proxy, leaves the chain, waits for requests in flight, and returns the leases on budgets. Each wait
    /// is bounded.
    async fn drain(&self) {
        let node = &self.settings.node;
        self.proxy.drain();
        if let Some(coordinator) = &self.coordinator {
            coordinator.leave();
        }
        if timeout(DRAIN_TIMEOUT, self.proxy.drained()).await.is_err() {
            log::warn!(
                "{node}: drain timeout passed, ending with requests in flight: {:?}",
                self.proxy.counters()
            );
        }
        if timeout(BUDGET_RETURN_TIMEOUT, self.budgets.close())
            .await
            .is_err()
        {
            log::warn!("{node}: ending before all leases on budgets were returned");
        }
    }
}

fn start_core(settings: &Settings, clock: Clock) -> anyhow::Result<Option<Rc<Coordinator>>> {
    let Some(data_dir) = settings.core_data_dir() else {
        return Ok(None);
    };
    let identity = CoreIdentity {
        node: settings.node.clone(),
        address: settings.internal_address(),
        bootstrap: settings.bootstrap,
        heartbeat_ms: settings.heartbeat_ms,
    };
    Coordinator::start(identity, data_dir, clock).map(Some)
}

fn proxy_settings(settings: &Settings) -> ProxySettings {
    let available = settings.limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS);
    let sockets = available.max(MIN_SOCKETS) as usize;
    let memory_bytes = (settings.limits.memory_mb as usize) << 20;
    ProxySettings {
        max_connections: sockets / 2,
        max_endpoint_connections: sockets / 2,
        body_memory_bytes: memory_bytes / 4,
        ..ProxySettings::default()
    }
}
