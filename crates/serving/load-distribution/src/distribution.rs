//! One gateway's part in the distribution of all services' loads: it reports its own loads, and sums its zone's loads
//! for the services of which it is the aggregator.

use crate::aggregator::Aggregator;
use crate::loads::{by_server, LoadsByServer};
use crate::membership::{Gateway, Membership};
use crate::message::{Report, Reporter, ServerLoad, Update};
use crate::subscription::{OutgoingReport, Subscription, SubscriptionSettings};
use crate::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Minimum interval between a subscriber's reports to its aggregator.
const SUBSCRIBER_INTERVAL_MS: u64 = 250;
/// Minimum interval between the reports of one aggregator to another one of the same service.
const AGGREGATOR_INTERVAL_MS: u64 = 500;
/// Added to [`AGGREGATOR_INTERVAL_MS`] for one of each pair of aggregators: the one whose zone has the greater name. It
/// mostly gets the report of the other one first, which makes its own report unnecessary.
const AGGREGATOR_STAGGER_MS: u64 = 60;
/// Minimum interval at which an aggregator publishes the sum of its subscribers' loads.
const PUBLISH_INTERVAL_MS: u64 = 250;
/// Maximum percentage of a service's servers for which ejections by other gateways are trusted.
const MAX_EJECTED_PERCENT: usize = 34;
/// Maximum number of services with state on this gateway. Bounds memory against an unlimited number of names.
const MAX_SERVICES: usize = 256;

/// The identity of this gateway.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The name of the gateway's machine.
    pub name: Rc<str>,
    /// The failure domain of the machine.
    pub zone: Rc<str>,
    /// The incarnation of the gateway's process.
    pub incarnation: u64,
}

/// A report to be sent to another gateway. The caller passes the update to [`LoadDistribution::handle_update`]. If no
/// update comes within [`crate::REPORT_TIMEOUT_MS`], the caller calls [`LoadDistribution::handle_failure`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Identifies the call.
    pub number: u64,
    /// The address of the other gateway.
    pub address: SocketAddr,
    /// The report to send.
    pub report: Report,
}

/// The total loads of the other gateways on a service's servers. Replaces all earlier loads of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemoteLoads {
    /// Name of the service.
    pub service: Rc<str>,
    /// Loads by server; servers without load are left out.
    pub loads: Vec<ServerLoad>,
}

impl RemoteLoads {
    /// Returns the servers that other gateways have ejected for faults; `servers` is the service's number of servers.
    /// If too many are reported, the result is empty, because the reporters are more likely at fault: a gateway may be
    /// partitioned from servers that the other gateways reach.
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

/// The state of one service on this gateway.
#[derive(Debug)]
struct Service {
    subscription: Subscription,
    /// The aggregator with which this gateway answers reports, if it gets any.
    aggregator: Aggregator,
    /// The reports of this gateway, as an aggregator, to the aggregators in other zones, by zone.
    peers: BTreeMap<Rc<str>, Subscription>,
    /// The aggregator's version whose sum was last published to the peers.
    published_version: u64,
    published_at: Millis,
}

/// A call that awaits its update.
#[derive(Debug)]
struct PendingCall {
    service: Rc<str>,
    /// The other zone whose aggregator was called; `None` for this gateway's zone.
    peer_zone: Option<Rc<str>>,
    gateway: Rc<str>,
    /// The version of the reporter's table.
    version: u64,
}

/// One gateway's part in the distribution of all services' loads.
#[derive(Debug)]
pub struct LoadDistribution {
    identity: Identity,
    membership: Membership,
    services: BTreeMap<Rc<str>, Service>,
    calls: BTreeMap<u64, PendingCall>,
    last_call_number: u64,
    last_table_version: u64,
    remote_loads: Vec<RemoteLoads>,
}

impl LoadDistribution {
    /// Creates the state of a gateway that knows no other gateways.
    #[must_use]
    pub fn new(identity: Identity) -> LoadDistribution {
        LoadDistribution {
            identity,
            membership: Membership::default(),
            services: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call_number: 0,
            last_table_version: 0,
            remote_loads: Vec::new(),
        }
    }

    /// The gateways that are present.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Replaces the gateways that are present.
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

    /// Replaces this gateway's loads on the servers of a service.
    pub fn set_own_loads(&mut self, service: &Rc<str>, loads: &[ServerLoad], now: Millis) {
        let loads = by_server(loads);
        let is_new = !self.services.contains_key(service);
        if is_new && loads.is_empty() {
            return;
        }
        self.last_table_version += 1;
        let version = self.last_table_version;
        let Some(service) = self.service_mut(service) else {
            return;
        };
        if *service.subscription.loads() != loads {
            service.subscription.set_loads(loads, version, now);
        }
    }

    /// Services on whose servers this gateway has any load.
    #[must_use]
    pub fn busy_services(&self) -> Vec<Rc<str>> {
        let busy = self
            .services
            .iter()
            .filter(|(_, service)| !service.subscription.is_empty());
        busy.map(|(name, _)| name.clone()).collect()
    }

    /// Handles another gateway's report, and returns the update with which to answer it.
    #[must_use = "the update must be sent to the reporter"]
    pub fn handle_report(&mut self, report: &Report, now: Millis) -> Update {
        let incarnation = self.identity.incarnation;
        let Some(service) = self.service_mut(&report.service) else {
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
            self.acknowledge_peer(&report.service, zone, gateway, now);
        }
        update
    }

    /// Records that another zone's aggregator is answered with an update, which contains the sum of this zone's loads.
    fn acknowledge_peer(
        &mut self,
        service: &Rc<str>,
        zone: &Rc<str>,
        gateway: &Rc<str>,
        now: Millis,
    ) {
        self.publish_sum(service, now);
        let service = self.services.get_mut(service);
        if let Some(peer) = service.and_then(|service| service.peers.get_mut(zone)) {
            peer.acknowledge(gateway, now);
        }
    }

    /// Returns the next call that is due, if there is one.
    #[must_use = "a call is pending until its update or its failure is handled"]
    pub fn poll(&mut self, now: Millis) -> Option<Call> {
        let names: Vec<Rc<str>> = self.services.keys().cloned().collect();
        names
            .into_iter()
            .find_map(|name| self.poll_service(&name, now))
    }

    /// Handles the update that answers a call.
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

    /// Handles a call that got no update in time.
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

    /// The time at which [`LoadDistribution::poll`] must be called next; `None` if no call is planned.
    #[must_use]
    pub fn next_due(&self) -> Option<Millis> {
        self.services.values().filter_map(Service::next_due).min()
    }

    /// Takes the new loads of the other gateways.
    #[must_use = "the loads are not returned again"]
    pub fn take_remote_loads(&mut self) -> Vec<RemoteLoads> {
        std::mem::take(&mut self.remote_loads)
    }

    /// Returns the next call of one service that is due.
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

    /// Returns the next call of one subscription: to the aggregator of this gateway's zone, or, as an aggregator, to
    /// the one of `peer_zone`. Reports of this gateway to itself are handled at once, without a call.
    fn poll_subscription(
        &mut self,
        name: &Rc<str>,
        peer_zone: Option<Rc<str>>,
        now: Millis,
    ) -> Option<Call> {
        let number = self.last_call_number + 1;
        let service = self.services.get_mut(name)?;
        let subscription = match &peer_zone {
            None => &mut service.subscription,
            Some(zone) => service.peers.get_mut(zone)?,
        };
        let OutgoingReport { to, report } = subscription.poll(number, &self.membership, now)?;
        self.last_call_number = number;
        let is_self = to.name == self.identity.name;
        let call = PendingCall {
            service: name.clone(),
            peer_zone,
            gateway: to.name,
            version: report.version,
        };
        self.calls.insert(number, call);
        if is_self {
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

    /// Publishes the sum of this zone's loads to the subscriptions that report to the other zones' aggregators.
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
        for zone in zones.into_iter().filter(|zone| *zone != self.identity.zone) {
            let settings = peer_settings(&self.identity, name, &zone);
            let peer = service
                .peers
                .entry(zone)
                .or_insert_with(|| Subscription::new(settings));
            if *peer.loads() != sum {
                peer.set_loads(sum.clone(), service.published_version, now);
            }
        }
    }

    /// Returns the state of a service, which is created if it is new; `None` if there are too many services.
    fn service_mut(&mut self, name: &Rc<str>) -> Option<&mut Service> {
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(name) {
            return None;
        }
        let identity = &self.identity;
        let service = self
            .services
            .entry(name.clone())
            .or_insert_with(|| Service {
                subscription: Subscription::new(subscriber_settings(identity, name)),
                aggregator: Aggregator::new(identity.incarnation),
                peers: BTreeMap::new(),
                published_version: 0,
                published_at: 0,
            });
        Some(service)
    }
}

impl Service {
    /// The time of the next report or publication of this service.
    fn next_due(&self) -> Option<Millis> {
        let peers = self.peers.values().filter_map(Subscription::next_due);
        self.subscription
            .next_due()
            .into_iter()
            .chain(self.publish_due())
            .chain(peers)
            .min()
    }

    /// The time at which a changed sum is published to the peers; `None` if the sum has not changed.
    fn publish_due(&self) -> Option<Millis> {
        let changed = self.aggregator.version() != self.published_version;
        changed.then_some(self.published_at + PUBLISH_INTERVAL_MS)
    }
}

/// Settings of this gateway's subscription to its zone's aggregator.
fn subscriber_settings(identity: &Identity, service: &Rc<str>) -> SubscriptionSettings {
    SubscriptionSettings {
        service: service.clone(),
        zone: identity.zone.clone(),
        reporter: Reporter::Subscriber {
            gateway: identity.name.clone(),
        },
        incarnation: identity.incarnation,
        min_interval_ms: SUBSCRIBER_INTERVAL_MS,
    }
}

/// Settings of the reports of this gateway, as an aggregator, to the aggregator in another zone.
fn peer_settings(identity: &Identity, service: &Rc<str>, zone: &Rc<str>) -> SubscriptionSettings {
    let stagger_ms = if identity.zone > *zone {
        AGGREGATOR_STAGGER_MS
    } else {
        0
    };
    SubscriptionSettings {
        service: service.clone(),
        zone: zone.clone(),
        reporter: Reporter::Aggregator {
            zone: identity.zone.clone(),
            gateway: identity.name.clone(),
        },
        incarnation: identity.incarnation,
        min_interval_ms: AGGREGATOR_INTERVAL_MS + stagger_ms,
    }
}
