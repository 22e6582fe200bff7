//! Collects the status of a process from its components.

mod process_usage;

use crate::budgets::Budgets;
use crate::core::Coordinator;
use crate::data_plane::DataPlane;
use crate::directory::Directory;
use crate::settings::{Role, Settings};
use crate::status::report::{
    ControlStatus, FrontStatus, GatewayEntryStatus, MemberStatus, ProgramStatus, ServerStatus,
    ServiceStatus, Status, StoreStatus, ViewStatus,
};
use dunespur_chain_replication::View;
use dunespur_control_state::{ServerReport, ServerState};
use dunespur_proxy::{Counters, Node, ProxyServer};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Maximum number of items per array, so that a status does not take more memory than the rest of the process.
const MAX_LISTED: usize = 4_096;

/// The fields of a status that processes of all roles report.
pub fn common_status(settings: &Settings, role: Role, directory: &Directory) -> Status {
    Status {
        node: settings.node.clone(),
        role: role.name().to_owned(),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        zone: settings.zone.clone(),
        up_ms: directory.clock().now(),
        process: process_usage::read(),
        link: directory.link_counters(),
        control: control_status(directory),
        view: directory.view().as_ref().map(view_status),
        gateways: gateway_statuses(directory),
        stores: store_statuses(directory),
        ..Status::default()
    }
}

/// The components of a gateway that its status reports on.
pub struct GatewayStatus {
    /// The settings of the process.
    pub settings: Settings,
    /// The known control state.
    pub directory: Rc<Directory>,
    /// The core member; only on a machine with a disk that counts for the quorum.
    pub coordinator: Option<Rc<Coordinator>>,
    /// The data plane.
    pub data_plane: Rc<DataPlane>,
    /// The leases on programs' budgets.
    pub budgets: Rc<Budgets>,
    /// The proxy that serves clients.
    pub proxy: Rc<ProxyServer<DataPlane>>,
}

impl GatewayStatus {
    /// Collects the status, including the budget of `program` if given.
    #[must_use]
    pub fn status(&self, program: Option<&str>) -> Status {
        let mut status = common_status(&self.settings, Role::Gateway, &self.directory);
        if let Some(member_view) = self
            .coordinator
            .as_ref()
            .and_then(|coordinator| coordinator.view())
        {
            status.view = Some(view_status(&member_view));
        }
        status.core = self
            .coordinator
            .as_ref()
            .map(|coordinator| coordinator.status(MAX_LISTED));
        status.services = self.service_statuses();
        status.front = Some(front_status(
            self.proxy.counters(),
            self.data_plane.is_ready(),
        ));
        status.budgets = Some(self.budgets.status());
        status.program = program.map(|name| self.program_status(name));
        status
    }

    fn service_statuses(&self) -> Vec<ServiceStatus> {
        let loads: HashMap<String, u32> = self
            .data_plane
            .loads()
            .into_iter()
            .map(|load| (load.server.to_string(), load.in_flight))
            .collect();
        let known = self.directory.known();
        let mut services: BTreeMap<&str, Vec<ServerStatus>> = BTreeMap::new();
        for report in known.servers.values().take(MAX_LISTED) {
            let in_flight = loads.get(&report.id).copied().unwrap_or(0);
            services
                .entry(&report.backend)
                .or_default()
                .push(server_status(report, in_flight));
        }
        let services = services.into_iter();
        services
            .map(|(name, servers)| ServiceStatus {
                name: name.to_owned(),
                servers,
            })
            .collect()
    }

    fn program_status(&self, name: &str) -> ProgramStatus {
        let usage = self
            .coordinator
            .as_ref()
            .map(|coordinator| coordinator.budget_usage(name));
        ProgramStatus {
            name: name.to_owned(),
            leased_here: Some(self.budgets.leased(name)),
            used: usage.map(|usage| usage.used),
            leased: usage.map(|usage| usage.leased),
        }
    }
}

fn control_status(directory: &Directory) -> ControlStatus {
    let known = directory.known();
    ControlStatus {
        index: known.index,
        generation: known.table.as_ref().map(|table| table.generation()),
        in_touch: directory.has_contact(),
        silent_ms: directory.silent_ms(),
        follows: directory.followed_member(),
    }
}

fn view_status(view: &View) -> ViewStatus {
    let chain_position = |node| view.chain.iter().position(|id| *id == node);
    let members = view.members.iter().map(|peer| MemberStatus {
        node: peer.id.node.clone(),
        address: peer.address,
        chain_position: chain_position(peer.id.clone()),
    });
    ViewStatus {
        number: view.number,
        members: members.collect(),
    }
}

fn gateway_statuses(directory: &Directory) -> Vec<GatewayEntryStatus> {
    let known = directory.known();
    let gateways = known.gateways.values().take(MAX_LISTED);
    gateways
        .map(|gateway| GatewayEntryStatus {
            name: gateway.name.clone(),
            address: gateway.address,
            zone: gateway.zone.clone(),
        })
        .collect()
}

fn store_statuses(directory: &Directory) -> Vec<StoreStatus> {
    let known = directory.known();
    let stores = known.stores.values().take(MAX_LISTED);
    stores
        .map(|store| StoreStatus {
            name: store.name.clone(),
            address: store.address,
            zone: store.zone.clone(),
            present: store.present,
            complete: store.complete,
            retiring: store.retiring,
            retired: store.retired,
        })
        .collect()
}

fn server_status(report: &ServerReport, in_flight: u32) -> ServerStatus {
    ServerStatus {
        id: report.id.clone(),
        address: report.address,
        zone: report.zone.clone(),
        slots: report.slots,
        draining: report.state == ServerState::Draining,
        in_flight,
    }
}

fn front_status(counters: Counters, ready: bool) -> FrontStatus {
    FrontStatus {
        ready,
        connections: counters.connections,
        accepted: counters.accepted,
        requests: counters.requests,
        refused: counters.rejected,
        failed: counters.failed,
        server_connections: counters.endpoint_connections,
        server_connections_opened: counters.endpoint_connections_opened,
        body_bytes: counters.body_bytes,
    }
}
