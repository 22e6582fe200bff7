//! The `gateway` process: data plane, control interface, and the core's part on machines with a disk.

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

/// Descriptors reserved for files, internal connections and the control interface.
const SPARE_DESCRIPTORS: u64 = 500;
/// Sockets of clients and servers, however few descriptors the machine grants.
const MIN_SOCKETS: u64 = 64;
/// A draining process ends after this time at the latest; the platform kills it a little later.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(7_000);
/// Units of programs' budgets are given back within this time.
const BUDGET_RETURN_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs the process until it is asked to end and has drained.
///
/// # Errors
///
/// If its data folder can't be opened, or one of its addresses can't be listened on.
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
    log::info!("{} serves", gateway.settings.node);

    signals::termination_requested().await?;
    log::info!("{} leaves", gateway.settings.node);
    gateway.data_plane.leave();
    registration.leave();
    gateway.drain().await;
    Ok(())
}

/// The parts of a gateway process.
struct Gateway {
    settings: Settings,
    clock: Clock,
    /// Names this run of the process.
    incarnation: u64,
    directory: Rc<Directory>,
    /// On a machine with a disk.
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
        let own = Identity {
            name: settings.node.as_str().into(),
            zone: settings.zone.as_str().into(),
            incarnation,
        };
        let replicas = settings.required_replicas();
        let data_plane = DataPlane::new(directory.clone(), own, budgets.clone(), replicas, clock);
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
            front: self.proxy.clone(),
        }
    }

    /// Listens for the other processes of the system.
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

    /// Listens for servers and the operator.
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

    /// Listens for readiness checks and clients.
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

    /// Starts draining, leaves the chain, waits for the requests in flight, and returns the leases on budgets. Each
    /// wait is bounded.
    async fn drain(&self) {
        let node = &self.settings.node;
        self.proxy.drain();
        if let Some(coordinator) = &self.coordinator {
            coordinator.leave();
        }
        if timeout(DRAIN_TIMEOUT, self.proxy.drained()).await.is_err() {
            log::warn!(
                "{node} ends with requests in flight: {:?}",
                self.proxy.counters()
            );
        }
        if timeout(BUDGET_RETURN_TIMEOUT, self.budgets.close())
            .await
            .is_err()
        {
            log::warn!("{node} ends without having given all units back");
        }
    }
}

fn start_core(settings: &Settings, clock: Clock) -> anyhow::Result<Option<Rc<Coordinator>>> {
    let Some(data) = settings.core_disk() else {
        return Ok(None);
    };
    let identity = CoreIdentity {
        node: settings.node.clone(),
        address: settings.internal_address(),
        bootstrap: settings.bootstrap,
        heartbeat_ms: settings.heartbeat_ms,
    };
    Coordinator::start(identity, data, clock).map(Some)
}

fn proxy_settings(settings: &Settings) -> ProxySettings {
    let spare = settings.limits.max_fds.saturating_sub(SPARE_DESCRIPTORS);
    let sockets = spare.max(MIN_SOCKETS) as usize;
    let memory = (settings.limits.memory_mb as usize) << 20;
    ProxySettings {
        max_connections: sockets / 2,
        max_endpoint_connections: sockets / 2,
        body_memory_bytes: memory / 4,
        ..ProxySettings::default()
    }
}
