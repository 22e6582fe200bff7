//! The load aggregator of one service in one zone. It sums the loads that subscribers and other zones' aggregators
//! report, and answers each reporter with the loads that are new to it.
//!
//! Any gateway that gets reports acts as an aggregator while it has subscribers. While gateways disagree about the
//! membership, there may be two aggregators, each of which knows only a part of the loads.

use crate::loads::{by_server, to_server_loads, Load, LoadsByServer};
use crate::membership::Membership;
use crate::message::{KnownVersion, Report, Reporter, ServerLoad, Update};
use crate::Millis;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Time without a report after which a reporter's table is removed; more than two renewal intervals.
const STALE_AFTER_MS: u64 = 2_500;
/// Maximum number of reporters. Bounds memory against an unlimited number of names.
const MAX_REPORTERS: usize = 1_024;
/// Maximum number of servers with a total. Bounds memory against an unlimited number of ids.
const MAX_SERVERS: usize = 4_096;
/// Maximum number of servers in one table. Bounds memory.
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
    /// Whether this is a newer table of the same reporter.
    fn is_newer_than(&self, other: &ReporterState) -> bool {
        (self.incarnation, self.version) > (other.incarnation, other.version)
    }
}

/// The sum of all reporters' loads on one server.
#[derive(Debug, Default)]
struct ServerTotal {
    load: Load,
    /// The aggregator's version at the last change of this sum.
    changed_version: u64,
}

/// The part of an update that lists loads.
struct UpdateLoads {
    /// Whether all loads are listed, not only those that have changed.
    complete: bool,
    loads: Vec<ServerLoad>,
}

/// The loads by server, truncated to the maximum size of a table.
fn truncated_loads(loads: &[ServerLoad]) -> LoadsByServer {
    by_server(&loads[..loads.len().min(MAX_TABLE_LOADS)])
}

/// The load aggregator of one service.
#[derive(Debug)]
pub(crate) struct Aggregator {
    incarnation: u64,
    /// Increases with each change of the totals.
    version: u64,
    /// The oldest version from which an incremental update is possible.
    min_incremental_version: u64,
    reporters: BTreeMap<Reporter, ReporterState>,
    totals: BTreeMap<Rc<str>, ServerTotal>,
}

impl Aggregator {
    /// Creates an empty aggregator; `incarnation` is that of the gateway's process.
    pub(crate) fn new(incarnation: u64) -> Aggregator {
        Aggregator {
            incarnation,
            version: 1,
            min_incremental_version: 0,
            reporters: BTreeMap::new(),
            totals: BTreeMap::new(),
        }
    }

    /// Handles a report, and returns the update with which to answer it.
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

    /// The total loads of all gateways that have changed since the known version; all loads if that version is too old.
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
                loads: self.all_loads(),
            }
        }
    }

    /// The sum of this zone's subscribers' loads, or no loads if the known version is the current one.
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

    /// Stores the update of another zone's aggregator as its table.
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
            loads: truncated_loads(&update.loads),
            last_seen_at: now,
        };
        self.replace_table(reporter, state);
    }

    /// The sum of this zone's subscribers' loads.
    pub(crate) fn subscriber_loads(&self) -> Vec<ServerLoad> {
        let mut sum = LoadsByServer::new();
        for (reporter, state) in &self.reporters {
            if matches!(reporter, Reporter::Aggregator { .. }) {
                continue;
            }
            for (server, load) in &state.loads {
                let total = sum.entry(server.clone()).or_default();
                *total = total.plus(*load);
            }
        }
        to_server_loads(&sum)
    }

    /// Whether any subscriber has reported a load.
    pub(crate) fn has_subscriber_load(&self) -> bool {
        self.reporters.iter().any(|(reporter, state)| {
            matches!(reporter, Reporter::Subscriber { .. }) && !state.loads.is_empty()
        })
    }

    /// The version of the totals, which increases with each change within one incarnation.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Removes the tables of reporters that have not reported lately.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.remove_where(|_, state| now.saturating_sub(state.last_seen_at) >= STALE_AFTER_MS);
    }

    /// Removes the tables of gateways that have departed or that have restarted with a new incarnation.
    pub(crate) fn retain_members(&mut self, membership: &Membership) {
        self.remove_where(|reporter, state| {
            // A newer incarnation than the membership's is kept: the membership does not list it yet.
            membership
                .find(reporter.gateway())
                .is_none_or(|gateway| state.incarnation < gateway.incarnation)
        });
    }

    /// Stores the table of a report, if the report has one that is not outdated. Returns whether the reporter's newest
    /// table is stored.
    fn record_report(&mut self, report: &Report, now: Millis) -> bool {
        let stored = self.reporters.get_mut(&report.reporter);
        let current = stored.filter(|state| {
            (state.incarnation, state.version) >= (report.incarnation, report.version)
        });
        if let Some(state) = current {
            // Late and duplicate reports change no loads; those of this incarnation show that the reporter is alive.
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
            loads: truncated_loads(&table.loads),
            last_seen_at: now,
        };
        self.replace_table(report.reporter.clone(), state);
        true
    }

    /// Replaces a reporter's table and updates the totals, unless the stored table is newer or a new reporter would
    /// exceed [`MAX_REPORTERS`].
    fn replace_table(&mut self, reporter: Reporter, state: ReporterState) {
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
            self.add_loads(&state.loads);
        }
        let previous = self.reporters.insert(reporter, state);
        if let Some(previous) = previous.filter(|_| !unchanged) {
            self.subtract_loads(&previous.loads);
        }
    }

    /// Removes the tables for which `removed` is true, and updates the totals.
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
            self.subtract_loads(loads);
        }
    }

    fn add_loads(&mut self, loads: &LoadsByServer) {
        for (server, load) in loads {
            if self.totals.len() >= MAX_SERVERS && !self.totals.contains_key(server) {
                continue;
            }
            let total = self.totals.entry(server.clone()).or_default();
            total.load = total.load.plus(*load);
            total.changed_version = self.version;
        }
    }

    fn subtract_loads(&mut self, loads: &LoadsByServer) {
        for (server, load) in loads {
            if let Some(total) = self.totals.get_mut(server) {
                total.load = total.load.minus(*load);
                total.changed_version = self.version;
            }
        }
    }

    /// Removes servers without load if the totals would exceed their maximum. Until then these servers stay stored, so
    /// that incremental updates can list them.
    fn reclaim_capacity(&mut self, servers: usize) {
        if self.totals.len() + servers > MAX_SERVERS {
            self.totals.retain(|_, total| !total.load.is_zero());
            self.min_incremental_version = self.version;
        }
    }

    /// Loads that have changed since a version, including those that have become zero.
    fn changed_since(&self, version: u64) -> Vec<ServerLoad> {
        let changed = self
            .totals
            .iter()
            .filter(|(_, total)| total.changed_version > version);
        changed
            .map(|(server, total)| total.load.to_server_load(server.clone()))
            .collect()
    }

    /// All loads that are not zero.
    fn all_loads(&self) -> Vec<ServerLoad> {
        let busy = self
            .totals
            .iter()
            .filter(|(_, total)| !total.load.is_zero());
        busy.map(|(server, total)| total.load.to_server_load(server.clone()))
            .collect()
    }
}
