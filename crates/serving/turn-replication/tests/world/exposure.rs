//! How long after a loss there is no spare replica: until every set of as many further losses as are tolerated
//! leaves a replica of every turn that was acknowledged.

use super::{Event, FaultKind, World};

/// How often the replicas are counted while a spare one is missing.
const COUNT_INTERVAL_MS: u64 = 20;

/// A loss, and how long it took until there was a spare replica again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExposureWindow {
    pub after: FaultKind,
    pub lasted_ms: u64,
}

/// A loss after which some turn has no spare replica yet.
#[derive(Debug)]
pub struct OpenExposure {
    after: FaultKind,
    since_ms: u64,
}

impl World {
    /// A machine and what its disk held are lost.
    pub(super) fn open_exposure(&mut self, after: FaultKind) {
        if self.open_exposures.is_empty() {
            self.after(0, Event::CountSpares);
        }
        self.open_exposures.push(OpenExposure {
            after,
            since_ms: self.now_ms,
        });
    }

    pub(super) fn count_spares(&mut self) {
        // Mostly the turn that had no spare the last time has none yet.
        let known = self
            .turn_without_spare
            .take()
            .filter(|id| self.history.is_guaranteed(id, self.now_ms) && !self.has_spare(id));
        self.turn_without_spare = known.or_else(|| self.find_turn_without_spare());
        if self.turn_without_spare.is_some() {
            return self.after(COUNT_INTERVAL_MS, Event::CountSpares);
        }
        for open in std::mem::take(&mut self.open_exposures) {
            self.statistics.exposure_windows.push(ExposureWindow {
                after: open.after,
                lasted_ms: self.now_ms - open.since_ms,
            });
        }
    }

    /// A guaranteed turn with a chain of which some turn is on too few disks.
    fn find_turn_without_spare(&mut self) -> Option<String> {
        let guaranteed = self.history.guaranteed(self.now_ms);
        let guaranteed: Vec<String> = guaranteed.iter().cloned().collect();
        guaranteed.into_iter().find(|id| !self.has_spare(id))
    }

    fn has_spare(&self, id: &str) -> bool {
        self.history
            .chain(id)
            .into_iter()
            .all(|turn| self.count_replicas(&turn.id) > self.plan.tolerated)
    }

    /// Number of disks that the turn is on.
    pub(super) fn count_replicas(&self, id: &str) -> usize {
        let machines = self.machines.iter();
        machines
            .filter(|machine| machine.disk.turns.contains_key(id))
            .count()
    }
}
