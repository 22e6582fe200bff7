//! The load aggregator of one service in one zone: sums what subscribers and other zones' aggregators report, and
//! updates each with what is new to it.
//!
//! Any gateway that gets reports acts as an aggregator for as long as it has subscribers; that two do so at a time,
//! while gateways differ about the membership, only splits what each of them knows.

use crate::loads::{by_server, to_server_loads, Load, LoadsByServer};
use crate::membership::Membership;
use crate::message::{KnownVersion, Report, Reporter, ServerLoad, Update};
use crate::Millis;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A table becomes stale this long after its reporter was last seen: more than two of its renewals.
const STALE_AFTER_MS: u64 = 2_500;
/// Reporters at a time. Bounds memory against names without end.
const MAX_REPORTERS: usize = 1_024;
/// Servers that are counted at a time. Bounds memory against ids without end.
const MAX_SERVERS: usize = 4_096;
/// Servers that one table may name. Bounds memory.
const MAX_TABLE_LOADS: usize = 1_024;

/// The last table of one reporter.
#[derive(Debug)]
struct ReporterState {
    incarnation: u64,
    version: u64,
    loads: LoadsByServer,
    last_seen_at: Millis,
}

impl ReporterState {
    /// Orders the tables of one reporter.
    fn is_newer_than(&self, other: &ReporterState) -> bool {
        (self.incarnation, self.version) > (other.incarnation, other.version)
    }
}

/// The sum on one server.
#[derive(Debug, Default)]
struct Total {
    load: Load,
    /// The aggregator's version that changed it last.
    changed: u64,
}

/// The loads of an update.
struct UpdateLoads {
    /// Whether these are all, not only those that have changed.
    complete: bool,
    loads: Vec<ServerLoad>,
}

/// The loads by server, as many as one table may have.
fn bounded(loads: &[ServerLoad]) -> LoadsByServer {
    by_server(&loads[..loads.len().min(MAX_TABLE_LOADS)])
}

/// One service's aggregator.
#[derive(Debug)]
pub(crate) struct Aggregator {
    incarnation: u64,
    /// Increases with each change.
    version: u64,
    /// A reporter that knows an older version gets a complete update.
    min_incremental_version: u64,
    reporters: BTreeMap<Reporter, ReporterState>,
    totals: BTreeMap<Rc<str>, Total>,
}

impl Aggregator {
    /// An aggregator in this incarnation of the gateway's process.
    pub(crate) fn new(incarnation: u64) -> Aggregator {
        Aggregator {
            incarnation,
            version: 1,
            min_incremental_version: 0,
            reporters: BTreeMap::new(),
            totals: BTreeMap::new(),
        }
    }

    /// Takes a report and answers it.
    pub(crate) fn handle_report(&mut self, report: &Report, now: Millis) -> Update {
        self.expire(now);
        let wants_table = !self.record_report(report, now);
        let UpdateLoads { complete, loads } = match &report.reporter {
            Reporter::Subscriber { .. } => self.update_for_subscriber(report.known),
            Reporter::Aggregator { .. } => self.update_for_aggregator(report.known),
        };
        Update {
            incarnation: self.incarnation,
            version: self.version,
            complete,
            loads,
            wants_table,
        }
    }

    /// What all gateways have together, as far as it is new.
    fn update_for_subscriber(&self, known: KnownVersion) -> UpdateLoads {
        let incremental =
            known.incarnation == self.incarnation && known.version >= self.min_incremental_version;
        if incremental {
            UpdateLoads {
                complete: false,
                loads: self.changed_since(known.version),
            }
        } else {
            UpdateLoads {
                complete: true,
                loads: self.all(),
            }
        }
    }

    /// What the subscribers have together, complete if it may be new.
    fn update_for_aggregator(&self, known: KnownVersion) -> UpdateLoads {
        let current = KnownVersion {
            incarnation: self.incarnation,
            version: self.version,
        };
        if known == current {
            UpdateLoads {
                complete: false,
                loads: Vec::new(),
            }
        } else {
            UpdateLoads {
                complete: true,
                loads: self.subscriber_loads(),
            }
        }
    }

    /// Takes another zone's aggregator's update as its table.
    pub(crate) fn apply_peer_update(&mut self, reporter: Reporter, update: &Update, now: Millis) {
        self.expire(now);
        if !update.complete {
            if let Some(state) = self.reporters.get_mut(&reporter) {
                state.last_seen_at = now;
            }
            return;
        }
        let state = ReporterState {
            incarnation: update.incarnation,
            version: update.version,
            loads: bounded(&update.loads),
            last_seen_at: now,
        };
        self.replace(reporter, state);
    }

    /// What this zone's subscribers have together.
    pub(crate) fn subscriber_loads(&self) -> Vec<ServerLoad> {
        let mut sum = LoadsByServer::new();
        for (reporter, state) in &self.reporters {
            if matches!(reporter, Reporter::Aggregator { .. }) {
                continue;
            }
            for (server, load) in &state.loads {
                let entry = sum.entry(server.clone()).or_default();
                *entry = entry.plus(*load);
            }
        }
        to_server_loads(&sum)
    }

    /// Whether subscribers have anything in flight.
    pub(crate) fn has_subscriber_load(&self) -> bool {
        self.reporters.iter().any(|(reporter, state)| {
            matches!(reporter, Reporter::Subscriber { .. }) && !state.loads.is_empty()
        })
    }

    /// Increases with each change, within one incarnation.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Removes stale tables.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.remove_where(|_, state| now.saturating_sub(state.last_seen_at) >= STALE_AFTER_MS);
    }

    /// Removes the tables of gateways that have departed or have a new incarnation.
    pub(crate) fn retain_members(&mut self, membership: &Membership) {
        self.remove_where(|reporter, state| {
            // An incarnation that is newer than the membership's is one that the membership does not name yet.
            membership
                .find(reporter.gateway())
                .is_none_or(|gateway| state.incarnation < gateway.incarnation)
        });
    }

    /// Takes the table of a report, if there is one and it is not an old one. True if the newest table is stored.
    fn record_report(&mut self, report: &Report, now: Millis) -> bool {
        let stored = self.reporters.get_mut(&report.reporter);
        let current = stored.filter(|state| {
            (state.incarnation, state.version) >= (report.incarnation, report.version)
        });
        if let Some(state) = current {
            // Late and duplicate reports change nothing; those of this incarnation show that the reporter is alive.
            if state.incarnation == report.incarnation {
                state.last_seen_at = now;
            }
            return true;
        }
        let Some(table) = &report.table else {
            return false;
        };
        let state = ReporterState {
            incarnation: report.incarnation,
            version: report.version,
            loads: bounded(&table.loads),
            last_seen_at: now,
        };
        self.replace(report.reporter.clone(), state);
        true
    }

    /// The one function that replaces a reporter's table.
    fn replace(&mut self, reporter: Reporter, state: ReporterState) {
        let stored = self.reporters.get(&reporter);
        if stored.is_some_and(|stored| stored.is_newer_than(&state)) {
            return;
        }
        if stored.is_none() && self.reporters.len() >= MAX_REPORTERS {
            return;
        }
        let unchanged = stored.is_some_and(|stored| stored.loads == state.loads);
        if !unchanged {
            self.version += 1;
            self.reclaim_capacity(state.loads.len());
            self.add(&state.loads);
        }
        let before = self.reporters.insert(reporter, state);
        if let Some(before) = before.filter(|_| !unchanged) {
            self.subtract(&before.loads);
        }
    }

    fn remove_where(&mut self, removed: impl Fn(&Reporter, &ReporterState) -> bool) {
        let mut removed_loads = Vec::new();
        self.reporters.retain(|reporter, state| {
            let retained = !removed(reporter, state);
            if !retained {
                removed_loads.push(std::mem::take(&mut state.loads));
            }
            retained
        });
        for loads in removed_loads.iter().filter(|loads| !loads.is_empty()) {
            self.version += 1;
            self.subtract(loads);
        }
    }

    fn add(&mut self, loads: &LoadsByServer) {
        for (server, load) in loads {
            if self.totals.len() >= MAX_SERVERS && !self.totals.contains_key(server) {
                continue;
            }
            let total = self.totals.entry(server.clone()).or_default();
            total.load = total.load.plus(*load);
            total.changed = self.version;
        }
    }

    fn subtract(&mut self, loads: &LoadsByServer) {
        for (server, load) in loads {
            if let Some(total) = self.totals.get_mut(server) {
                total.load = total.load.minus(*load);
                total.changed = self.version;
            }
        }
    }

    /// Servers without any load are stored while there is capacity, so that incremental updates can name them.
    fn reclaim_capacity(&mut self, servers: usize) {
        if self.totals.len() + servers > MAX_SERVERS {
            self.totals.retain(|_, total| !total.load.is_zero());
            self.min_incremental_version = self.version;
        }
    }

    fn changed_since(&self, version: u64) -> Vec<ServerLoad> {
        let changed = self
            .totals
            .iter()
            .filter(|(_, total)| total.changed > version);
        changed
            .map(|(server, total)| total.load.on_server(server.clone()))
            .collect()
    }

    fn all(&self) -> Vec<ServerLoad> {
        let busy = self
            .totals
            .iter()
            .filter(|(_, total)| !total.load.is_zero());
        busy.map(|(server, total)| total.load.on_server(server.clone()))
            .collect()
    }
}
