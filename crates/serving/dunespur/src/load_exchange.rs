//! Exchange of service loads: sends the reports of [`LoadDistribution`] to other gateways, and passes their loads to
//! the balancer.
//!
//! The exchange is idle while no request is in flight here and no other gateway reports.

use crate::clock::Clock;
use crate::directory::Directory;
use crate::messages::{encode, Reply, Request};
use dunespur_control_state::GatewayEntry;
use dunespur_load_distribution::{
    Call, Gateway, Identity, LoadDistribution, RemoteLoads, Report, ServerLoad, Update,
    REPORT_TIMEOUT_MS,
};
use dunespur_routing::{Balancer, LoadReport};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// Minimum interval between two readings of this gateway's loads, in milliseconds.
const EXCHANGE_INTERVAL_MS: u64 = 250;

/// This gateway's part in the exchange of service loads, which are soft state: nothing of them is stored.
pub struct LoadExchange {
    clock: Clock,
    directory: Rc<Directory>,
    balancer: Rc<RefCell<Balancer>>,
    distribution: RefCell<LoadDistribution>,
    /// Notified when a request has started or ended, or another gateway has reported.
    active: Notify,
    /// Notified when the time of the next call may have changed.
    rescheduled: Notify,
}

impl LoadExchange {
    /// Starts the exchange.
    pub fn start(
        identity: Identity,
        directory: Rc<Directory>,
        balancer: Rc<RefCell<Balancer>>,
        clock: Clock,
    ) -> Rc<LoadExchange> {
        let load_exchange = Rc::new(LoadExchange {
            clock,
            directory,
            balancer,
            distribution: RefCell::new(LoadDistribution::new(identity)),
            active: Notify::new(),
            rescheduled: Notify::new(),
        });
        spawn_local(drive_exchange(load_exchange.clone()));
        load_exchange
    }

    /// Notes that a request has started or ended at this gateway.
    pub fn report_activity(&self) {
        self.active.notify_one();
    }

    /// Applies the core's changed list of gateways.
    pub fn gateways_changed(&self) {
        let gateways = self
            .directory
            .known()
            .gateways
            .values()
            .map(gateway)
            .collect();
        self.distribution.borrow_mut().set_gateways(gateways);
        self.rescheduled.notify_one();
    }

    /// Internal address of the load aggregator of a service in a zone.
    pub fn aggregator_address(&self, service: &str, zone: &str) -> Option<SocketAddr> {
        self.distribution
            .borrow()
            .membership()
            .aggregator(service, zone)
            .map(|aggregator| aggregator.address)
    }

    /// Handles the report of another gateway and returns the update for it.
    pub fn receive_report(&self, report: &Report) -> Update {
        let update = self
            .distribution
            .borrow_mut()
            .handle_report(report, self.clock.now());
        self.active.notify_one();
        update
    }

    /// Reads this gateway's loads and makes the due calls to other gateways.
    fn exchange(self: &Rc<Self>) {
        let now = self.clock.now();
        for (service, loads) in self.own_loads() {
            self.distribution
                .borrow_mut()
                .set_own_loads(&service, &loads, now);
        }
        loop {
            let call = self.distribution.borrow_mut().poll(now);
            let Some(call) = call else { break };
            spawn_local(self.clone().call(call));
        }
        self.apply_updates();
    }

    /// Loads that this gateway has in flight, by service; services that were busy before are included even if idle now.
    fn own_loads(&self) -> BTreeMap<Rc<str>, Vec<ServerLoad>> {
        let busy_before = self.distribution.borrow().busy_services();
        let mut services: BTreeMap<Rc<str>, Vec<ServerLoad>> = busy_before
            .into_iter()
            .map(|service| (service, Vec::new()))
            .collect();
        let known = self.directory.known();
        for load in self.loads() {
            let Some(server) = known.servers.get(&*load.server) else {
                continue;
            };
            match services.get_mut(&*server.backend) {
                Some(loads) => loads.push(load),
                None => {
                    services.insert(server.backend.as_str().into(), vec![load]);
                }
            }
        }
        services
    }

    /// Loads of all servers at which this gateway has requests in flight or sees faults.
    fn loads(&self) -> Vec<ServerLoad> {
        let balancer = self.balancer.borrow();
        let mut loads: Vec<ServerLoad> = balancer
            .load_reports()
            .into_iter()
            .map(server_load)
            .collect();
        for server in balancer.ejected_for_faults(self.clock.now()) {
            match loads.iter_mut().find(|load| load.server == server) {
                Some(load) => load.ejected_by = 1,
                None => loads.push(ServerLoad {
                    server,
                    in_flight: 0,
                    prefill_tokens: 0,
                    ejected_by: 1,
                }),
            }
        }
        loads
    }

    async fn call(self: Rc<Self>, call: Call) {
        let payload = encode(&Request::LoadReport(call.report));
        let timeout = Duration::from_millis(REPORT_TIMEOUT_MS);
        let reply = self.directory.call(call.address, payload, timeout).await;
        let now = self.clock.now();
        match reply {
            Ok(Reply::LoadUpdate(update)) => {
                self.distribution
                    .borrow_mut()
                    .handle_update(call.number, &update, now)
            }
            _ => self
                .distribution
                .borrow_mut()
                .handle_failure(call.number, now),
        }
        self.apply_updates();
        self.rescheduled.notify_one();
    }

    /// Passes the loads of other gateways to the balancer.
    fn apply_updates(&self) {
        let remote = self.distribution.borrow_mut().take_remote_loads();
        for remote in remote {
            self.apply_fault_hints(&remote);
            let reports: Vec<LoadReport> = remote.loads.into_iter().map(load_report).collect();
            self.balancer
                .borrow_mut()
                .apply_peer_load(&reports, &remote.service, self.clock.now());
        }
    }

    /// Passes the servers at which other gateways see faults to the balancer.
    fn apply_fault_hints(&self, remote: &RemoteLoads) {
        let known = self.directory.known();
        let servers = known
            .servers
            .values()
            .filter(|server| *server.backend == *remote.service)
            .count();
        for server in remote.ejected(servers) {
            self.balancer
                .borrow_mut()
                .hint_fault(&server, self.clock.now());
        }
    }
}

fn gateway(entry: &GatewayEntry) -> Gateway {
    Gateway {
        name: entry.name.as_str().into(),
        zone: entry.zone.as_str().into(),
        address: entry.address,
        incarnation: entry.incarnation,
    }
}

fn server_load(report: LoadReport) -> ServerLoad {
    ServerLoad {
        server: report.server,
        in_flight: report.in_flight,
        prefill_tokens: report.prefill_tokens,
        ejected_by: 0,
    }
}

fn load_report(load: ServerLoad) -> LoadReport {
    LoadReport {
        server: load.server,
        in_flight: load.in_flight,
        prefill_tokens: load.prefill_tokens,
    }
}

async fn drive_exchange(load_exchange: Rc<LoadExchange>) {
    loop {
        load_exchange.exchange();
        let next_exchange = load_exchange.clock.now() + EXCHANGE_INTERVAL_MS;
        let next_call = load_exchange.distribution.borrow().next_due();
        let call_due = async {
            match next_call {
                Some(next_call) => sleep_until(load_exchange.clock.instant(next_call).into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = call_due => {}
            () = load_exchange.rescheduled.notified() => {}
            () = load_exchange.active.notified() => sleep_until(load_exchange.clock.instant(next_exchange).into()).await,
        }
    }
}
