//! Exchange of service loads: carries the reports of [`LoadDistribution`] to other gateways, and brings the loads of
//! the others to the balancer.
//!
//! Nothing is done while no request is in flight here and no other gateway reports.

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

/// This gateway's loads are read this often at most, in milliseconds.
const EXCHANGE_INTERVAL_MS: u64 = 250;

/// This gateway's part in the exchange of service loads, which are soft state.
pub struct LoadExchange {
    clock: Clock,
    directory: Rc<Directory>,
    balancer: Rc<RefCell<Balancer>>,
    distribution: RefCell<LoadDistribution>,
    /// Notified when a request has begun or ended, or another gateway has reported.
    active: Notify,
    /// Notified when the time of the next call has changed.
    rescheduled: Notify,
}

impl LoadExchange {
    /// Takes part from now on.
    pub fn start(
        own: Identity,
        directory: Rc<Directory>,
        balancer: Rc<RefCell<Balancer>>,
        clock: Clock,
    ) -> Rc<LoadExchange> {
        let load_exchange = Rc::new(LoadExchange {
            clock,
            directory,
            balancer,
            distribution: RefCell::new(LoadDistribution::new(own)),
            active: Notify::new(),
            rescheduled: Notify::new(),
        });
        spawn_local(drive_exchange(load_exchange.clone()));
        load_exchange
    }

    /// A request has begun or ended here.
    pub fn report_activity(&self) {
        self.active.notify_one();
    }

    /// The core knows other gateways than before.
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

    /// Where the load aggregator of a service in a zone listens for other gateways.
    pub fn aggregator_address(&self, service: &str, zone: &str) -> Option<SocketAddr> {
        self.distribution
            .borrow()
            .membership()
            .aggregator(service, zone)
            .map(|aggregator| aggregator.address)
    }

    /// Answers the report of another gateway.
    pub fn receive_report(&self, report: &Report) -> Update {
        let update = self
            .distribution
            .borrow_mut()
            .handle_report(report, self.clock.now());
        self.active.notify_one();
        update
    }

    /// Reports this gateway's loads, and makes the calls that are due.
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

    /// What this gateway has in flight, by service; services that were busy before are listed as well.
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

    /// Servers on which this gateway has anything in flight, or at which it sees faults.
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

    /// Passes on to the balancer what the other gateways have in flight.
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

    /// Passes on to the balancer at which servers other gateways see faults.
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
        let due = load_exchange.distribution.borrow().next_due();
        let due = async {
            match due {
                Some(at) => sleep_until(load_exchange.clock.instant(at).into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due => {}
            () = load_exchange.rescheduled.notified() => {}
            () = load_exchange.active.notified() => sleep_until(load_exchange.clock.instant(next_exchange).into()).await,
        }
    }
}
