//! A subscription to a load aggregator. It sends reports to the aggregator and stores the total loads that the
//! aggregator returns.
//!
//! No reports are sent while the reporter has no load, because it then needs no loads of other gateways.

use crate::failover::Failover;
use crate::loads::{by_server, to_server_loads, LoadsByServer};
use crate::membership::{Gateway, Membership};
use crate::message::{KnownVersion, LoadTable, Report, Reporter, ServerLoad, Update};
use crate::Millis;
use std::rc::Rc;

/// Time after which an unchanged load is reported again, so that it does not become stale at the aggregator.
const RENEWAL_INTERVAL_MS: u64 = 1_000;

/// The service, reporter, destination and minimum report interval of a subscription.
#[derive(Clone, Debug)]
pub(crate) struct SubscriptionSettings {
    /// The service whose loads are reported.
    pub(crate) service: Rc<str>,
    /// The zone whose aggregator gets the reports.
    pub(crate) zone: Rc<str>,
    /// The sender of the reports.
    pub(crate) reporter: Reporter,
    /// The incarnation of the reporter's process.
    pub(crate) incarnation: u64,
    /// Minimum interval between two reports.
    pub(crate) min_interval_ms: u64,
}

/// What a subscription does next.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Has nothing to report.
    Idle,
    /// Sends the next report at this time.
    Due { at: Millis },
    /// Waits for the update that answers report `number`.
    AwaitingUpdate {
        number: u64,
        aggregator: Rc<str>,
        aggregator_incarnation: u64,
    },
}

/// A version, and the aggregator with which it was exchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct AggregatorVersion<T> {
    aggregator: Option<Rc<str>>,
    version: T,
}

/// A report with the gateway to which it is sent.
#[derive(Debug)]
pub(crate) struct OutgoingReport {
    pub(crate) to: Gateway,
    pub(crate) report: Report,
}

/// The subscription of one reporter to the aggregator of one service in one zone.
#[derive(Debug)]
pub(crate) struct Subscription {
    settings: SubscriptionSettings,
    state: State,
    failover: Failover,
    /// When the last report was sent or made unnecessary by an aggregator's report. `None` if the next report is due at
    /// once: there was none yet, the last one failed, or the aggregator asked for the table.
    reported_at: Option<Millis>,
    version: u64,
    loads: LoadsByServer,
    /// The version of the newest table that an aggregator has acknowledged, and this aggregator.
    acknowledged: AggregatorVersion<u64>,
    /// The loads of the last report.
    reported_loads: LoadsByServer,
    /// The version of `totals`, and the aggregator that sent them. Reports carry this version, so that the aggregator
    /// sends only changes.
    known_totals: AggregatorVersion<KnownVersion>,
    /// The total loads from the aggregator's updates.
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
            acknowledged: AggregatorVersion::default(),
            reported_loads: LoadsByServer::new(),
            known_totals: AggregatorVersion::default(),
            totals: LoadsByServer::new(),
        }
    }

    /// Replaces the reporter's loads; `version` increases with each change.
    pub(crate) fn set_loads(&mut self, loads: LoadsByServer, version: u64, now: Millis) {
        self.loads = loads;
        self.version = version;
        self.reschedule(now);
    }

    /// The reporter's loads.
    pub(crate) fn loads(&self) -> &LoadsByServer {
        &self.loads
    }

    /// Whether the reporter has no load.
    pub(crate) fn is_empty(&self) -> bool {
        self.loads.is_empty()
    }

    /// The time of the next report; `None` while the subscription is idle or awaits an update, as the update or its
    /// failure ends the wait.
    pub(crate) fn next_due(&self) -> Option<Millis> {
        match self.state {
            State::Due { at } => Some(at),
            State::Idle | State::AwaitingUpdate { .. } => None,
        }
    }

    /// Returns the next report if it is due. `number` identifies the report until its update or its failure is handled.
    pub(crate) fn poll(
        &mut self,
        number: u64,
        membership: &Membership,
        now: Millis,
    ) -> Option<OutgoingReport> {
        let is_due = self.next_due().is_some_and(|at| at <= now);
        if !is_due {
            return None;
        }
        let ranked = membership.ranked(&self.settings.service, &self.settings.zone);
        let Some(aggregator) = self.failover.choose(&ranked, now) else {
            // Retries at the end of the first backoff, or after the renewal interval if no gateway is present.
            let retry_at = self.failover.next_retry(&ranked);
            let at = retry_at.unwrap_or(now + RENEWAL_INTERVAL_MS);
            self.set_state(State::Due {
                at: at.max(now + 1),
            });
            return None;
        };
        let outgoing = OutgoingReport {
            to: aggregator.clone(),
            report: self.build_report(&aggregator.name),
        };
        self.reported_at = Some(now);
        self.reported_loads.clone_from(&self.loads);
        self.set_state(State::AwaitingUpdate {
            number,
            aggregator: aggregator.name.clone(),
            aggregator_incarnation: aggregator.incarnation,
        });
        Some(outgoing)
    }

    /// Handles the update that answers report `number`; `reported_version` is the version of the reporter's loads in
    /// that report. Ignores an update that is not awaited, and returns false for it.
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
                number: awaited_number,
                aggregator,
                ..
            } if *awaited_number == number => aggregator.clone(),
            _ => return false,
        };
        self.acknowledged = if update.wants_table {
            AggregatorVersion::default()
        } else {
            AggregatorVersion {
                aggregator: Some(aggregator.clone()),
                version: reported_version,
            }
        };
        self.known_totals = AggregatorVersion {
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
        self.set_state(State::Idle);
        self.reschedule(now);
        true
    }

    /// Handles the failure of report `number`: the aggregator goes into backoff, and the next gateway in rendezvous
    /// order gets a report at once.
    pub(crate) fn handle_failure(&mut self, number: u64, now: Millis) {
        let State::AwaitingUpdate {
            number: awaited_number,
            aggregator,
            aggregator_incarnation,
        } = self.state.clone()
        else {
            return;
        };
        if awaited_number != number {
            return;
        }
        self.failover
            .record_failure(&aggregator, aggregator_incarnation, now);
        self.acknowledged = AggregatorVersion::default();
        self.reported_at = None;
        self.set_state(State::Idle);
        self.reschedule(now);
    }

    /// Records that an aggregator has sent a report to this gateway. The update that answers it contains this
    /// reporter's loads, so they need no report of their own.
    pub(crate) fn acknowledge(&mut self, aggregator: &Rc<str>, now: Millis) {
        let acknowledged_by_another = self
            .acknowledged
            .aggregator
            .as_ref()
            .is_some_and(|acknowledged| acknowledged != aggregator);
        if acknowledged_by_another || matches!(self.state, State::AwaitingUpdate { .. }) {
            return;
        }
        self.acknowledged = AggregatorVersion {
            aggregator: Some(aggregator.clone()),
            version: self.version,
        };
        self.reported_at = Some(now);
        self.reschedule(now);
    }

    /// Applies a new membership.
    pub(crate) fn retain_members(&mut self, membership: &Membership) {
        self.failover.retain_members(membership);
    }

    /// The total loads without the reporter's own loads.
    pub(crate) fn remote_loads(&self) -> Vec<ServerLoad> {
        let mut remote = self.totals.clone();
        for (server, own) in &self.reported_loads {
            if let Some(load) = remote.get_mut(server) {
                *load = load.minus(*own);
            }
        }
        to_server_loads(&remote)
    }

    /// Builds a report, with a table unless this aggregator has acknowledged it.
    fn build_report(&self, aggregator: &Rc<str>) -> Report {
        let current = AggregatorVersion {
            aggregator: Some(aggregator.clone()),
            version: self.version,
        };
        let table = (self.acknowledged != current).then(|| LoadTable {
            version: self.version,
            loads: to_server_loads(&self.loads),
        });
        let known = if self.known_totals.aggregator.as_ref() == Some(aggregator) {
            self.known_totals.version
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

    /// Whether the current loads have not been acknowledged by an aggregator.
    fn has_unacknowledged_loads(&self) -> bool {
        match self.acknowledged.aggregator {
            Some(_) => self.acknowledged.version != self.version,
            None => !self.loads.is_empty(),
        }
    }

    /// Sets the time of the next report, unless an update is awaited.
    fn reschedule(&mut self, now: Millis) {
        if matches!(self.state, State::AwaitingUpdate { .. }) {
            return;
        }
        let interval_ms = if self.has_unacknowledged_loads() {
            self.settings.min_interval_ms
        } else if !self.loads.is_empty() {
            RENEWAL_INTERVAL_MS
        } else {
            return self.set_state(State::Idle);
        };
        let at = self
            .reported_at
            .map_or(now, |reported_at| reported_at + interval_ms);
        self.set_state(State::Due { at });
    }

    fn set_state(&mut self, state: State) {
        self.state = state;
    }
}
