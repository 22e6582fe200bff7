//! One gateway's part in the distribution of all services' soft state.

use crate::home::Home;
use crate::loads::{by_server, ByServer};
use crate::message::{Answer, Ask, ServerLoad, Speaker};
use crate::roster::{Gateway, Roster};
use crate::subscription::{Outgoing, Subject, Subscription};
use crate::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// A subscriber asks its home at most this often.
const SUBSCRIBER_PERIOD_MS: u64 = 250;
/// Homes of one service ask each other at most this often.
const HOME_PERIOD_MS: u64 = 500;
/// Of two homes the one whose zone has the higher name waits so much longer, and so is mostly told before it asks.
const HOME_STAGGER_MS: u64 = 60;
/// A home sums its subscribers' loads up at most this often.
const SUM_PERIOD_MS: u64 = 250;
/// Trouble is believed of this share of a service's servers at most, in hundredths.
const MOST_IN_TROUBLE_PERCENT: usize = 34;
/// Services that are told of. Bounds memory against names without end.
const MOST_SERVICES: usize = 256;

/// Who this gateway is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The machine's name.
    pub name: Rc<str>,
    /// Where it stands.
    pub zone: Rc<str>,
    /// The life of its process.
    pub life: u64,
}

/// An ask for another gateway. Its answer goes to [`Distribution::answered`]; without one within
/// [`crate::ASK_TIMEOUT_MS`], [`Distribution::failed`] is to be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Names the call.
    pub number: u64,
    /// Where the gateway is reached.
    pub address: SocketAddr,
    /// What it is asked.
    pub ask: Ask,
}

/// What the other gateways have on a service's servers; it replaces what was known before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    /// The service.
    pub service: Rc<str>,
    /// Servers on which they have nothing are left out.
    pub others: Vec<ServerLoad>,
}

impl News {
    /// Which of the service's `servers` other gateways find in trouble. Where that is said of many, it says more of
    /// those who say it, and none is named: against a gateway that is cut off from servers that the others reach.
    pub fn in_trouble(&self, servers: usize) -> Vec<Rc<str>> {
        let named = self.others.iter().filter(|load| load.in_trouble > 0);
        let named: Vec<Rc<str>> = named.map(|load| load.server.clone()).collect();
        match named.len() * 100 > servers * MOST_IN_TROUBLE_PERCENT {
            true => Vec::new(),
            false => named,
        }
    }
}

/// One service's state on this gateway.
#[derive(Debug)]
struct Service {
    subscription: Subscription,
    /// The table that this gateway gathers if it is asked as the home.
    home: Home,
    /// What it tells the homes in other zones as a home, by zone.
    neighbours: BTreeMap<Rc<str>, Subscription>,
    /// The home's version up to which they are told.
    summed_version: u64,
    summed_at: Millis,
}

/// A call under way.
#[derive(Debug)]
struct UnderWay {
    service: Rc<str>,
    /// The other zone whose home is asked; none for the own home.
    neighbour: Option<Rc<str>>,
    gateway: Rc<str>,
    version: u64,
}

/// The whole of it.
#[derive(Debug)]
pub struct Distribution {
    own: Identity,
    roster: Roster,
    services: BTreeMap<Rc<str>, Service>,
    calls: BTreeMap<u64, UnderWay>,
    last_number: u64,
    last_version: u64,
    news: Vec<News>,
}

impl Distribution {
    /// A gateway that knows of no other.
    pub fn new(own: Identity) -> Distribution {
        Distribution {
            own,
            roster: Roster::default(),
            services: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_number: 0,
            last_version: 0,
            news: Vec::new(),
        }
    }

    /// The gateways that are there.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Takes the whole list of gateways.
    pub fn set_gateways(&mut self, gateways: Vec<Gateway>) {
        self.roster = Roster::new(gateways);
        let zones = self.roster.zones();
        for service in self.services.values_mut() {
            service.home.keep(&self.roster);
            service.subscription.keep(&self.roster);
            service.neighbours.retain(|zone, _| zones.contains(zone));
            service
                .neighbours
                .values_mut()
                .for_each(|neighbour| neighbour.keep(&self.roster));
        }
    }

    /// Takes what this gateway has in flight on the servers of a service.
    pub fn set_own(&mut self, service: &Rc<str>, loads: &[ServerLoad], now: Millis) {
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

    /// Services of which something in flight was stated.
    pub fn busy(&self) -> Vec<Rc<str>> {
        let busy = self
            .services
            .iter()
            .filter(|(_, service)| !service.subscription.is_empty());
        busy.map(|(name, _)| name.clone()).collect()
    }

    /// Another gateway asks.
    pub fn asked(&mut self, ask: &Ask, now: Millis) -> Answer {
        let life = self.own.life;
        let Some(service) = self.service(&ask.service) else {
            let wants_statement = false;
            return Answer {
                life,
                version: 0,
                whole: true,
                loads: Vec::new(),
                wants_statement,
            };
        };
        let answer = service.home.asked(ask, now);
        if let Speaker::Home { zone, gateway } = &ask.speaker {
            self.answered_neighbour(&ask.service, zone, gateway, now);
        }
        answer
    }

    /// A home of another zone was answered, and so told what this zone's subscribers have.
    fn answered_neighbour(
        &mut self,
        name: &Rc<str>,
        zone: &Rc<str>,
        gateway: &Rc<str>,
        now: Millis,
    ) {
        self.sum_up(name, now);
        let service = self.services.get_mut(name);
        if let Some(neighbour) = service.and_then(|service| service.neighbours.get_mut(zone)) {
            neighbour.was_told(gateway, now);
        }
    }

    /// The next call that is to be made now.
    pub fn poll(&mut self, now: Millis) -> Option<Call> {
        let names: Vec<Rc<str>> = self.services.keys().cloned().collect();
        names
            .into_iter()
            .find_map(|name| self.poll_service(&name, now))
    }

    /// A call was answered.
    pub fn answered(&mut self, number: u64, answer: &Answer, now: Millis) {
        let Some(call) = self.calls.remove(&number) else {
            return;
        };
        let Some(service) = self.services.get_mut(&call.service) else {
            return;
        };
        let Some(zone) = call.neighbour else {
            if service
                .subscription
                .answered(number, call.version, answer, now)
            {
                let others = service.subscription.others();
                self.news.push(News {
                    service: call.service,
                    others,
                });
            }
            return;
        };
        let Some(neighbour) = service.neighbours.get_mut(&zone) else {
            return;
        };
        if neighbour.answered(number, call.version, answer, now) {
            service.home.told(
                Speaker::Home {
                    zone,
                    gateway: call.gateway,
                },
                answer,
                now,
            );
        }
    }

    /// A call got no answer.
    pub fn failed(&mut self, number: u64, now: Millis) {
        let Some(call) = self.calls.remove(&number) else {
            return;
        };
        let Some(service) = self.services.get_mut(&call.service) else {
            return;
        };
        match &call.neighbour {
            None => service.subscription.failed(number, now),
            Some(zone) => {
                if let Some(neighbour) = service.neighbours.get_mut(zone) {
                    neighbour.failed(number, now);
                }
            }
        }
    }

    /// When [`Distribution::poll`] is to be asked again at the latest.
    pub fn next_due(&self) -> Option<Millis> {
        self.services.values().filter_map(Service::next_due).min()
    }

    /// What is new of the other gateways' loads.
    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    fn poll_service(&mut self, name: &Rc<str>, now: Millis) -> Option<Call> {
        if let Some(call) = self.poll_subscription(name, None, now) {
            return Some(call);
        }
        let service = self.services.get_mut(name)?;
        service.home.age(now);
        if service.sum_due().is_some_and(|at| at <= now) {
            self.sum_up(name, now);
        }
        let zones: Vec<Rc<str>> = self
            .services
            .get(name)?
            .neighbours
            .keys()
            .cloned()
            .collect();
        zones
            .into_iter()
            .find_map(|zone| self.poll_subscription(name, Some(zone), now))
    }

    fn poll_subscription(
        &mut self,
        name: &Rc<str>,
        zone: Option<Rc<str>>,
        now: Millis,
    ) -> Option<Call> {
        let number = self.last_number + 1;
        let service = self.services.get_mut(name)?;
        let subscription = match &zone {
            None => &mut service.subscription,
            Some(zone) => service.neighbours.get_mut(zone)?,
        };
        let Outgoing { to, ask } = subscription.poll(number, &self.roster, now)?;
        self.last_number = number;
        let is_own = to.name == self.own.name;
        let call = UnderWay {
            service: name.clone(),
            neighbour: zone,
            gateway: to.name,
            version: ask.version,
        };
        self.calls.insert(number, call);
        if is_own {
            let answer = self.asked(&ask, now);
            self.answered(number, &answer, now);
            return None;
        }
        Some(Call {
            number,
            address: to.address,
            ask,
        })
    }

    /// As a home: what this zone's subscribers have together is to be told to the other zones' homes.
    fn sum_up(&mut self, name: &Rc<str>, now: Millis) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        service.summed_version = service.home.version();
        service.summed_at = now;
        if service.neighbours.is_empty() && !service.home.serves() {
            return;
        }
        let sum: ByServer = by_server(&service.home.of_subscribers());
        for zone in self
            .roster
            .zones()
            .into_iter()
            .filter(|zone| *zone != self.own.zone)
        {
            let subject = neighbour_subject(&self.own, name, &zone);
            let neighbour = service
                .neighbours
                .entry(zone)
                .or_insert_with(|| Subscription::new(subject));
            if *neighbour.loads() != sum {
                neighbour.set(sum.clone(), service.summed_version, now);
            }
        }
    }

    fn service(&mut self, name: &Rc<str>) -> Option<&mut Service> {
        if self.services.len() >= MOST_SERVICES && !self.services.contains_key(name) {
            return None;
        }
        let own = &self.own;
        let service = self
            .services
            .entry(name.clone())
            .or_insert_with(|| Service {
                subscription: Subscription::new(subscriber_subject(own, name)),
                home: Home::new(own.life),
                neighbours: BTreeMap::new(),
                summed_version: 0,
                summed_at: 0,
            });
        Some(service)
    }
}

impl Service {
    /// When this gateway has something to do for the service.
    fn next_due(&self) -> Option<Millis> {
        let neighbours = self.neighbours.values().filter_map(Subscription::next_due);
        self.subscription
            .next_due()
            .into_iter()
            .chain(self.sum_due())
            .chain(neighbours)
            .min()
    }

    /// When the neighbours are to be told of a changed table.
    fn sum_due(&self) -> Option<Millis> {
        let changed = self.home.version() != self.summed_version;
        changed.then_some(self.summed_at + SUM_PERIOD_MS)
    }
}

fn subscriber_subject(own: &Identity, service: &Rc<str>) -> Subject {
    Subject {
        service: service.clone(),
        zone: own.zone.clone(),
        speaker: Speaker::Subscriber {
            gateway: own.name.clone(),
        },
        life: own.life,
        period_ms: SUBSCRIBER_PERIOD_MS,
    }
}

fn neighbour_subject(own: &Identity, service: &Rc<str>, zone: &Rc<str>) -> Subject {
    let stagger = if own.zone > *zone { HOME_STAGGER_MS } else { 0 };
    Subject {
        service: service.clone(),
        zone: zone.clone(),
        speaker: Speaker::Home {
            zone: own.zone.clone(),
            gateway: own.name.clone(),
        },
        life: own.life,
        period_ms: HOME_PERIOD_MS + stagger,
    }
}
