//! One gateway's role in the distribution of all services' loads: it reports its own, and sums those of its zone for
//! the services whose aggregator it is.

use crate::aggregator::Aggregator;
use crate::loads::{by_server, LoadsByServer};
use crate::membership::{Gateway, Membership};
use crate::message::{Report, Reporter, ServerLoad, Update};
use crate::subscription::{OutgoingReport, Subscription, SubscriptionSettings};
use crate::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// A subscriber reports to its aggregator at most this often.
const SUBSCRIBER_INTERVAL_MS: u64 = 250;
/// Aggregators of one service report to each other at most this often.
const AGGREGATOR_INTERVAL_MS: u64 = 500;
/// Of two aggregators the one whose zone has the higher name waits so much longer, and so mostly gets a report, which
/// makes its own one unnecessary.
const AGGREGATOR_STAGGER_MS: u64 = 60;
/// An aggregator publishes its subscribers' sum at most this often.
const PUBLISH_INTERVAL_MS: u64 = 250;
/// Faults are believed of this percentage of a service's servers at most.
const MAX_EJECTED_PERCENT: usize = 34;
/// Services that have a state here. Bounds memory against names without end.
const MAX_SERVICES: usize = 256;

/// This gateway.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The machine's name.
    pub name: Rc<str>,
    /// Its failure domain.
    pub zone: Rc<str>,
    /// The incarnation of its process.
    pub incarnation: u64,
}

/// A report for another gateway. Its update goes to [`LoadDistribution::handle_update`]; without one within
/// [`crate::REPORT_TIMEOUT_MS`], [`LoadDistribution::handle_failure`] is to be called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Identifies the call.
    pub number: u64,
    /// Where the gateway is reached.
    pub address: SocketAddr,
    /// What is reported.
    pub report: Report,
}

/// What the other gateways have on a service's servers; it replaces what was known before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemoteLoads {
    /// The service.
    pub service: Rc<str>,
    /// Servers on which they have nothing are left out.
    pub loads: Vec<ServerLoad>,
}

impl RemoteLoads {
    /// Which of the service's `servers` other gateways have ejected for faults. Where that is reported of many, the
    /// reporters are more likely at fault, and none is named: against a gateway that is partitioned from servers that
    /// the others reach.
    #[must_use]
    pub fn ejected(&self, servers: usize) -> Vec<Rc<str>> {
        let ejected = self.loads.iter().filter(|load| load.ejected_by > 0);
        let ejected: Vec<Rc<str>> = ejected.map(|load| load.server.clone()).collect();
        if ejected.len() * 100 > servers * MAX_EJECTED_PERCENT {
            Vec::new()
        } else {
            ejected
        }
    }
}

/// One service's state on this gateway.
#[derive(Debug)]
struct Service {
    subscription: Subscription,
    /// The table that this gateway sums if it gets reports as the aggregator.
    aggregator: Aggregator,
    /// What it reports to the aggregators in other zones as an aggregator, by zone.
    peers: BTreeMap<Rc<str>, Subscription>,
    /// The aggregator's version up to which the sum is published to the peers.
    published_version: u64,
    published_at: Millis,
}

/// A call whose update is awaited.
#[derive(Debug)]
struct PendingCall {
    service: Rc<str>,
    /// The other zone whose aggregator was called; none for the own zone's.
    peer_zone: Option<Rc<str>>,
    gateway: Rc<str>,
    /// The version of the reported table.
    version: u64,
}

/// One gateway's role in the distribution of all services' loads.
#[derive(Debug)]
pub struct LoadDistribution {
    own: Identity,
    membership: Membership,
    services: BTreeMap<Rc<str>, Service>,
    calls: BTreeMap<u64, PendingCall>,
    last_number: u64,
    last_version: u64,
    remote_loads: Vec<RemoteLoads>,
}

impl LoadDistribution {
    /// A gateway that knows of no other.
    #[must_use]
    pub fn new(own: Identity) -> LoadDistribution {
        LoadDistribution {
            own,
            membership: Membership::default(),
            services: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_number: 0,
            last_version: 0,
            remote_loads: Vec::new(),
        }
    }

    /// The gateways that are present.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Replaces the membership.
    pub fn set_gateways(&mut self, gateways: Vec<Gateway>) {
        self.membership = Membership::new(gateways);
        let zones = self.membership.zones();
        for service in self.services.values_mut() {
            service.aggregator.retain_members(&self.membership);
            service.subscription.retain_members(&self.membership);
            service.peers.retain(|zone, _| zones.contains(zone));
            for peer in service.peers.values_mut() {
                peer.retain_members(&self.membership);
            }
        }
    }

    /// Replaces what this gateway has in flight on the servers of a service.
    pub fn set_own_loads(&mut self, service: &Rc<str>, loads: &[ServerLoad], now: Millis) {
        let loads = by_server(loads);
        let unknown = !self.services.contains_key(service);
        if unknown && loads.is_empty() {
            return;
        }
        self.last_version += 1;
        let version = self.last_version;
        let Some(service) = self.service(service) else {
            return;
        };
        if *service.subscription.loads() != loads {
            service.subscription.set(loads, version, now);
        }
    }

    /// Services on whose servers this gateway has anything in flight.
    #[must_use]
    pub fn busy_services(&self) -> Vec<Rc<str>> {
        let busy = self
            .services
            .iter()
            .filter(|(_, service)| !service.subscription.is_empty());
        busy.map(|(name, _)| name.clone()).collect()
    }

    /// Takes another gateway's report and answers it.
    #[must_use = "the update is to be sent to the reporter"]
    pub fn handle_report(&mut self, report: &Report, now: Millis) -> Update {
        let incarnation = self.own.incarnation;
        let Some(service) = self.service(&report.service) else {
            return Update {
                incarnation,
                version: 0,
                complete: true,
                loads: Vec::new(),
                wants_table: false,
            };
        };
        let update = service.aggregator.handle_report(report, now);
        if let Reporter::Aggregator { zone, gateway } = &report.reporter {
            self.peer_updated(&report.service, zone, gateway, now);
        }
        update
    }

    /// An aggregator of another zone got an update, and so knows what this zone's subscribers have.
    fn peer_updated(&mut self, service: &Rc<str>, zone: &Rc<str>, gateway: &Rc<str>, now: Millis) {
        self.publish_sum(service, now);
        let service = self.services.get_mut(service);
        if let Some(peer) = service.and_then(|service| service.peers.get_mut(zone)) {
            peer.acknowledge(gateway, now);
        }
    }

    /// The next call that is to be made now.
    #[must_use = "a call is pending until its update or its failure is handled"]
    pub fn poll(&mut self, now: Millis) -> Option<Call> {
        let names: Vec<Rc<str>> = self.services.keys().cloned().collect();
        names
            .into_iter()
            .find_map(|name| self.poll_service(&name, now))
    }

    /// Takes the update of a call.
    pub fn handle_update(&mut self, number: u64, update: &Update, now: Millis) {
        let Some(call) = self.calls.remove(&number) else {
            return;
        };
        let Some(service) = self.services.get_mut(&call.service) else {
            return;
        };
        let Some(zone) = call.peer_zone else {
            let subscription = &mut service.subscription;
            if subscription.handle_update(number, call.version, update, now) {
                let loads = subscription.remote_loads();
                self.remote_loads.push(RemoteLoads {
                    service: call.service,
                    loads,
                });
            }
            return;
        };
        let Some(peer) = service.peers.get_mut(&zone) else {
            return;
        };
        if peer.handle_update(number, call.version, update, now) {
            let reporter = Reporter::Aggregator {
                zone,
                gateway: call.gateway,
            };
            service.aggregator.apply_peer_update(reporter, update, now);
        }
    }

    /// A call got no update.
    pub fn handle_failure(&mut self, number: u64, now: Millis) {
        let Some(call) = self.calls.remove(&number) else {
            return;
        };
        let Some(service) = self.services.get_mut(&call.service) else {
            return;
        };
        match &call.peer_zone {
            None => service.subscription.handle_failure(number, now),
            Some(zone) => {
                if let Some(peer) = service.peers.get_mut(zone) {
                    peer.handle_failure(number, now);
                }
            }
        }
    }

    /// When [`LoadDistribution::poll`] is to be called again at the latest.
    #[must_use]
    pub fn next_due(&self) -> Option<Millis> {
        self.services.values().filter_map(Service::next_due).min()
    }

    /// Takes what is new of the other gateways' loads.
    #[must_use = "what is taken is not returned again"]
    pub fn take_remote_loads(&mut self) -> Vec<RemoteLoads> {
        std::mem::take(&mut self.remote_loads)
    }

    fn poll_service(&mut self, name: &Rc<str>, now: Millis) -> Option<Call> {
        if let Some(call) = self.poll_subscription(name, None, now) {
            return Some(call);
        }
        let service = self.services.get_mut(name)?;
        service.aggregator.expire(now);
        if service.publish_due().is_some_and(|at| at <= now) {
            self.publish_sum(name, now);
        }
        let zones: Vec<Rc<str>> = self.services.get(name)?.peers.keys().cloned().collect();
        zones
            .into_iter()
            .find_map(|zone| self.poll_subscription(name, Some(zone), now))
    }

    fn poll_subscription(
        &mut self,
        name: &Rc<str>,
        peer_zone: Option<Rc<str>>,
        now: Millis,
    ) -> Option<Call> {
        let number = self.last_number + 1;
        let service = self.services.get_mut(name)?;
        let subscription = match &peer_zone {
            None => &mut service.subscription,
            Some(zone) => service.peers.get_mut(zone)?,
        };
        let OutgoingReport { to, report } = subscription.poll(number, &self.membership, now)?;
        self.last_number = number;
        let is_own = to.name == self.own.name;
        let call = PendingCall {
            service: name.clone(),
            peer_zone,
            gateway: to.name,
            version: report.version,
        };
        self.calls.insert(number, call);
        if is_own {
            let update = self.handle_report(&report, now);
            self.handle_update(number, &update, now);
            return None;
        }
        Some(Call {
            number,
            address: to.address,
            report,
        })
    }

    /// As an aggregator: what this zone's subscribers have together is to be reported to the other zones' aggregators.
    fn publish_sum(&mut self, name: &Rc<str>, now: Millis) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        service.published_version = service.aggregator.version();
        service.published_at = now;
        if service.peers.is_empty() && !service.aggregator.has_subscriber_load() {
            return;
        }
        let sum: LoadsByServer = by_server(&service.aggregator.subscriber_loads());
        let zones = self.membership.zones();
        for zone in zones.into_iter().filter(|zone| *zone != self.own.zone) {
            let settings = peer_settings(&self.own, name, &zone);
            let peer = service
                .peers
                .entry(zone)
                .or_insert_with(|| Subscription::new(settings));
            if *peer.loads() != sum {
                peer.set(sum.clone(), service.published_version, now);
            }
        }
    }

    fn service(&mut self, name: &Rc<str>) -> Option<&mut Service> {
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(name) {
            return None;
        }
        let own = &self.own;
        let service = self
            .services
            .entry(name.clone())
            .or_insert_with(|| Service {
                subscription: Subscription::new(subscriber_settings(own, name)),
                aggregator: Aggregator::new(own.incarnation),
                peers: BTreeMap::new(),
                published_version: 0,
                published_at: 0,
            });
        Some(service)
    }
}

impl Service {
    /// When this gateway has something to do for the service.
    fn next_due(&self) -> Option<Millis> {
        let peers = self.peers.values().filter_map(Subscription::next_due);
        self.subscription
            .next_due()
            .into_iter()
            .chain(self.publish_due())
            .chain(peers)
            .min()
    }

    /// When a changed sum is to be published to the peers.
    fn publish_due(&self) -> Option<Millis> {
        let changed = self.aggregator.version() != self.published_version;
        changed.then_some(self.published_at + PUBLISH_INTERVAL_MS)
    }
}

fn subscriber_settings(own: &Identity, service: &Rc<str>) -> SubscriptionSettings {
    SubscriptionSettings {
        service: service.clone(),
        zone: own.zone.clone(),
        reporter: Reporter::Subscriber {
            gateway: own.name.clone(),
        },
        incarnation: own.incarnation,
        min_interval_ms: SUBSCRIBER_INTERVAL_MS,
    }
}

fn peer_settings(own: &Identity, service: &Rc<str>, zone: &Rc<str>) -> SubscriptionSettings {
    let stagger_ms = if own.zone > *zone {
        AGGREGATOR_STAGGER_MS
    } else {
        0
    };
    SubscriptionSettings {
        service: service.clone(),
        zone: zone.clone(),
        reporter: Reporter::Aggregator {
            zone: own.zone.clone(),
            gateway: own.name.clone(),
        },
        incarnation: own.incarnation,
        min_interval_ms: AGGREGATOR_INTERVAL_MS + stagger_ms,
    }
}
