//! The side that reports to an aggregator, and gets what is new there.
//!
//! There are no reports while there is nothing to report: a gateway with nothing in flight needs no loads of others.

use crate::failover::Failover;
use crate::loads::{by_server, to_server_loads, LoadsByServer};
use crate::membership::{Gateway, Membership};
use crate::message::{KnownVersion, LoadTable, Report, Reporter, ServerLoad, Update};
use crate::Millis;
use std::rc::Rc;

/// What has not changed is reported again after this time, so that it goes on counting.
const RENEWAL_INTERVAL_MS: u64 = 1_000;

/// What a subscription reports on, as whom, to which zone, and how often at most.
#[derive(Clone, Debug)]
pub(crate) struct SubscriptionSettings {
    pub(crate) service: Rc<str>,
    /// The zone whose aggregator gets the reports.
    pub(crate) zone: Rc<str>,
    pub(crate) reporter: Reporter,
    /// The incarnation of the reporter's process.
    pub(crate) incarnation: u64,
    pub(crate) min_interval_ms: u64,
}

/// What a subscription waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Something to report.
    Idle,
    /// The time of the next report.
    Due { at: Millis },
    /// An update.
    AwaitingUpdate {
        number: u64,
        aggregator: Rc<str>,
        aggregator_incarnation: u64,
    },
}

/// A version that was exchanged with one aggregator.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct AtAggregator<T> {
    aggregator: Option<Rc<str>>,
    version: T,
}

/// A report for a gateway.
#[derive(Debug)]
pub(crate) struct OutgoingReport {
    pub(crate) to: Gateway,
    pub(crate) report: Report,
}

/// One subscription.
#[derive(Debug)]
pub(crate) struct Subscription {
    settings: SubscriptionSettings,
    state: State,
    failover: Failover,
    reported_at: Option<Millis>,
    version: u64,
    loads: LoadsByServer,
    /// The version of the newest table that an aggregator has acknowledged.
    acknowledged: AtAggregator<u64>,
    /// The loads of the last report.
    reported_loads: LoadsByServer,
    /// Up to where the aggregator's table is known.
    known: AtAggregator<KnownVersion>,
    /// The aggregator's table.
    totals: LoadsByServer,
}

impl Subscription {
    pub(crate) fn new(settings: SubscriptionSettings) -> Subscription {
        Subscription {
            settings,
            state: State::Idle,
            failover: Failover::default(),
            reported_at: None,
            version: 0,
            loads: LoadsByServer::new(),
            acknowledged: AtAggregator::default(),
            reported_loads: LoadsByServer::new(),
            known: AtAggregator::default(),
            totals: LoadsByServer::new(),
        }
    }

    /// The reporter has these loads now; `version` increases with each change.
    pub(crate) fn set(&mut self, loads: LoadsByServer, version: u64, now: Millis) {
        self.loads = loads;
        self.version = version;
        self.reschedule(now);
    }

    /// What the reporter has.
    pub(crate) fn loads(&self) -> &LoadsByServer {
        &self.loads
    }

    /// Whether the reporter has nothing.
    pub(crate) fn is_empty(&self) -> bool {
        self.loads.is_empty()
    }

    /// When the next report is due; none while an update is awaited, as that ends by itself.
    pub(crate) fn next_due(&self) -> Option<Millis> {
        match self.state {
            State::Due { at } => Some(at),
            State::Idle | State::AwaitingUpdate { .. } => None,
        }
    }

    /// The next report, if it is due; `number` identifies it until its update comes or it has failed.
    pub(crate) fn poll(
        &mut self,
        number: u64,
        membership: &Membership,
        now: Millis,
    ) -> Option<OutgoingReport> {
        let due = self.next_due().is_some_and(|at| at <= now);
        if !due {
            return None;
        }
        let ranked = membership.ranked(&self.settings.service, &self.settings.zone);
        let Some(aggregator) = self.failover.choose(&ranked, now) else {
            let retry_at = self.failover.next_retry(&ranked);
            let at = retry_at.unwrap_or(now + RENEWAL_INTERVAL_MS);
            self.enter(State::Due {
                at: at.max(now + 1),
            });
            return None;
        };
        let outgoing = OutgoingReport {
            to: aggregator.clone(),
            report: self.report(&aggregator.name),
        };
        self.reported_at = Some(now);
        self.reported_loads.clone_from(&self.loads);
        self.enter(State::AwaitingUpdate {
            number,
            aggregator: aggregator.name.clone(),
            aggregator_incarnation: aggregator.incarnation,
        });
        Some(outgoing)
    }

    /// Takes the update for the report of this number, which had the table of `reported_version`. False for a late one,
    /// which is ignored.
    #[must_use]
    pub(crate) fn handle_update(
        &mut self,
        number: u64,
        reported_version: u64,
        update: &Update,
        now: Millis,
    ) -> bool {
        let aggregator = match &self.state {
            State::AwaitingUpdate {
                number: awaited,
                aggregator,
                ..
            } if *awaited == number => aggregator.clone(),
            _ => return false,
        };
        self.acknowledged = if update.wants_table {
            AtAggregator::default()
        } else {
            AtAggregator {
                aggregator: Some(aggregator.clone()),
                version: reported_version,
            }
        };
        self.known = AtAggregator {
            aggregator: Some(aggregator),
            version: KnownVersion {
                incarnation: update.incarnation,
                version: update.version,
            },
        };
        let loads = by_server(&update.loads);
        if update.complete {
            self.totals = loads;
        } else {
            self.totals.extend(loads);
        }
        self.totals.retain(|_, load| !load.is_zero());
        if update.wants_table {
            self.reported_at = None;
        }
        self.enter(State::Idle);
        self.reschedule(now);
        true
    }

    /// The report of this number got no update: the next gateway gets one, at once.
    pub(crate) fn handle_failure(&mut self, number: u64, now: Millis) {
        let State::AwaitingUpdate {
            number: awaited,
            aggregator,
            aggregator_incarnation,
        } = self.state.clone()
        else {
            return;
        };
        if awaited != number {
            return;
        }
        self.failover
            .record_failure(&aggregator, aggregator_incarnation, now);
        self.acknowledged = AtAggregator::default();
        self.reported_at = None;
        self.enter(State::Idle);
        self.reschedule(now);
    }

    /// The other side's aggregator has reported to this gateway, and its update had what the reporter has: there is no
    /// need to report the same.
    pub(crate) fn acknowledge(&mut self, aggregator: &Rc<str>, now: Millis) {
        let at_another = self
            .acknowledged
            .aggregator
            .as_ref()
            .is_some_and(|acknowledged| acknowledged != aggregator);
        if at_another || matches!(self.state, State::AwaitingUpdate { .. }) {
            return;
        }
        self.acknowledged = AtAggregator {
            aggregator: Some(aggregator.clone()),
            version: self.version,
        };
        self.reported_at = Some(now);
        self.reschedule(now);
    }

    /// The membership has changed.
    pub(crate) fn retain_members(&mut self, membership: &Membership) {
        self.failover.retain_members(membership);
    }

    /// The aggregator's table without the reporter's own loads.
    pub(crate) fn remote_loads(&self) -> Vec<ServerLoad> {
        let mut remote = self.totals.clone();
        for (server, own) in &self.reported_loads {
            if let Some(load) = remote.get_mut(server) {
                *load = load.minus(*own);
            }
        }
        to_server_loads(&remote)
    }

    fn report(&self, aggregator: &Rc<str>) -> Report {
        let current = AtAggregator {
            aggregator: Some(aggregator.clone()),
            version: self.version,
        };
        let table = (self.acknowledged != current).then(|| LoadTable {
            version: self.version,
            loads: to_server_loads(&self.loads),
        });
        let known = if self.known.aggregator.as_ref() == Some(aggregator) {
            self.known.version
        } else {
            KnownVersion::default()
        };
        Report {
            service: self.settings.service.clone(),
            reporter: self.settings.reporter.clone(),
            incarnation: self.settings.incarnation,
            version: self.version,
            table,
            known,
        }
    }

    /// Whether there is something that no aggregator has acknowledged.
    fn has_unacknowledged(&self) -> bool {
        match self.acknowledged.aggregator {
            Some(_) => self.acknowledged.version != self.version,
            None => !self.loads.is_empty(),
        }
    }

    /// Finds the time of the next report while no update is awaited.
    fn reschedule(&mut self, now: Millis) {
        if matches!(self.state, State::AwaitingUpdate { .. }) {
            return;
        }
        let interval_ms = if self.has_unacknowledged() {
            self.settings.min_interval_ms
        } else if !self.loads.is_empty() {
            RENEWAL_INTERVAL_MS
        } else {
            return self.enter(State::Idle);
        };
        let at = self
            .reported_at
            .map_or(now, |reported_at| reported_at + interval_ms);
        self.enter(State::Due { at });
    }

    /// The one function that changes the state.
    fn enter(&mut self, state: State) {
        self.state = state;
    }
}
