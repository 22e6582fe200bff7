//! The `gateway` process: data plane, control interface, and the core's part on machines with a disk.

use crate::budgets::Budgets;
use crate::clock::{wall_clock_ms, Clock};
use crate::control_api::{self, ControlApi};
use crate::core::{Coordinator, CoreIdentity};
use crate::core_membership::maintain_core_membership;
use crate::data_plane::DataPlane;
use crate::directory::Directory;
use crate::founding::Founding;
use crate::load_exchange::LoadExchange;
use crate::registration::GatewayRegistration;
use crate::service::GatewayService;
use crate::settings::{Role, Settings};
use crate::signals;
use crate::status::GatewayStatus;
use anyhow::Context;
use dunespur_budget::LimiterId;
use dunespur_load_distribution::Identity;
use dunespur_proxy::{serve_readiness, ProxyServer, ProxySettings};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Descriptors kept for files, internal connections and the control interface.
const SPARE_DESCRIPTORS: u64 = 500;
/// A leaving process ends after this time at the latest; the platform kills it a little later.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(7_000);
/// Units of programs' budgets are given back within this time.
const BUDGET_RETURN_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs the process until it is asked to leave and has left.
pub async fn run(settings: Settings, path: PathBuf) -> anyhow::Result<()> {
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
        life: incarnation,
    };
    let data_plane = DataPlane::new(
        directory.clone(),
        own,
        budgets.clone(),
        settings.required_replicas(),
        clock,
    );
    let front = ProxyServer::new(data_plane.clone(), front_settings(&settings));

    let status = GatewayStatus {
        settings: settings.clone(),
        directory: directory.clone(),
        coordinator: coordinator.clone(),
        data_plane: data_plane.clone(),
        budgets: budgets.clone(),
        front: front.clone(),
    };
    start_internal(&settings, clock, status).await?;
    start_control(&settings, &directory, data_plane.load_exchange()).await?;
    if let Some(ready) = settings.listen.ready {
        spawn_local(serve_readiness(data_plane.clone(), listen(ready).await?));
    }
    if let Some(address) = settings.listen.front {
        spawn_local(front.clone().serve(listen(address).await?));
    }
    if let Some(coordinator) = &coordinator {
        spawn_local(maintain_core_membership(
            coordinator.clone(),
            directory.clone(),
            settings.clone(),
        ));
    }
    let registration = GatewayRegistration::start(&settings, incarnation, directory.clone());
    spawn_local(directory.clone().follow());
    spawn_local(signals::follow_settings(path, Role::Gateway, directory));
    log::info!("{} serves", settings.node);

    signals::termination_requested().await?;
    log::info!("{} leaves", settings.node);
    data_plane.leave();
    registration.leave();
    front.drain();
    if let Some(coordinator) = &coordinator {
        coordinator.leave();
    }
    if timeout(DRAIN_TIMEOUT, front.drained()).await.is_err() {
        log::warn!(
            "{} ends with requests in hand: {:?}",
            settings.node,
            front.counters()
        );
    }
    if timeout(BUDGET_RETURN_TIMEOUT, budgets.close())
        .await
        .is_err()
    {
        log::warn!("{} ends without having given all units back", settings.node);
    }
    Ok(())
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

async fn start_internal(
    settings: &Settings,
    clock: Clock,
    status: GatewayStatus,
) -> anyhow::Result<()> {
    let address = settings.internal_address();
    let founds = settings.bootstrap && settings.seed_addresses().first() == Some(&address);
    let founding = founds.then(|| RefCell::new(Founding::new(clock.now())));
    let directory = status.directory.clone();
    let coordinator = status.coordinator.clone();
    let load_exchange = status.data_plane.load_exchange();
    let service = GatewayService {
        clock,
        directory,
        coordinator,
        load_exchange,
        founding,
        status,
    };
    spawn_local(dunespur_rpc::serve(
        listen(address).await?,
        Rc::new(service),
    ));
    Ok(())
}

async fn start_control(
    settings: &Settings,
    directory: &Rc<Directory>,
    load_exchange: Rc<LoadExchange>,
) -> anyhow::Result<()> {
    let Some(address) = settings.listen.control else {
        return Ok(());
    };
    let api = ControlApi {
        directory: directory.clone(),
        load_exchange,
        control_port: address.port(),
        tolerated_losses: settings.fault_tolerance.machines,
    };
    spawn_local(control_api::serve(Rc::new(api), listen(address).await?));
    Ok(())
}

fn front_settings(settings: &Settings) -> ProxySettings {
    let sockets = settings
        .limits
        .max_fds
        .saturating_sub(SPARE_DESCRIPTORS)
        .max(64) as usize;
    let memory = (settings.limits.memory_mb as usize) << 20;
    ProxySettings {
        max_connections: sockets / 2,
        max_endpoint_connections: sockets / 2,
        body_memory_bytes: memory / 4,
        ..ProxySettings::default()
    }
}

/// Opens a listening socket.
pub async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("listening on {address}"))
}
