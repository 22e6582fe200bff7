//! Measures how long there is no spare replica after a loss: until any further losses, as many as are tolerated, would
//! leave at least one replica of every acknowledged turn.

use super::{Event, FaultKind, World};

/// Interval between counts of the replicas while a spare replica is missing, in milliseconds.
const COUNT_INTERVAL_MS: u64 = 20;

/// A loss, and the time until there was a spare replica again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExposureWindow {
    pub fault: FaultKind,
    pub duration_ms: u64,
    /// Time from the start of the machine that replaces the lost machine until no turn was on a single disk.
    pub second_replica_after_start_ms: u64,
}

/// A loss since which some turn has no spare replica.
#[derive(Debug)]
pub struct OpenExposure {
    fault: FaultKind,
    since_ms: u64,
    successor_starts_at_ms: u64,
    /// Time from which no turn is on a single disk.
    second_replica_at_ms: Option<u64>,
}

impl World {
    /// Records the loss of a machine and its disk; the successor starts after `successor_starts_after_ms`.
    pub(super) fn open_exposure(&mut self, fault: FaultKind, successor_starts_after_ms: u64) {
        if self.open_exposures.is_empty() {
            self.schedule_after(0, Event::CountSpares);
        }
        self.open_exposures.push(OpenExposure {
            fault,
            since_ms: self.now_ms,
            successor_starts_at_ms: self.now_ms + successor_starts_after_ms,
            second_replica_at_ms: None,
        });
    }

    pub(super) fn count_spares(&mut self) {
        self.count_second_replicas();
        let spare = self.plan.tolerated_losses + 1;
        // The turn without a spare replica at the previous count usually has none yet, so it is checked first.
        let known = self.turn_without_spare.take();
        self.turn_without_spare = self.find_turn_on_fewer(spare, known);
        if self.turn_without_spare.is_some() {
            return self.schedule_after(COUNT_INTERVAL_MS, Event::CountSpares);
        }
        for open in std::mem::take(&mut self.open_exposures) {
            let second_replica_at_ms = open.second_replica_at_ms.unwrap_or(self.now_ms);
            self.statistics.exposure_windows.push(ExposureWindow {
                fault: open.fault,
                duration_ms: self.now_ms - open.since_ms,
                second_replica_after_start_ms: second_replica_at_ms
                    .saturating_sub(open.successor_starts_at_ms),
            });
        }
    }

    /// Records the losses after which no turn is on a single disk any more.
    fn count_second_replicas(&mut self) {
        let mut awaited = self.open_exposures.iter();
        if self.plan.tolerated_losses < 2 || awaited.all(|open| open.second_replica_at_ms.is_some())
        {
            return;
        }
        let known = self.turn_on_one_disk.take();
        self.turn_on_one_disk = self.find_turn_on_fewer(2, known);
        if self.turn_on_one_disk.is_none() {
            for open in &mut self.open_exposures {
                open.second_replica_at_ms.get_or_insert(self.now_ms);
            }
        }
    }

    /// Finds a guaranteed turn with a turn in its chain that is on fewer than `disks` disks; checks `known` first.
    fn find_turn_on_fewer(&mut self, disks: usize, known: Option<String>) -> Option<String> {
        let guaranteed = self.history.guaranteed(self.now_ms).clone();
        let known = known.filter(|id| self.history.is_guaranteed(id, self.now_ms));
        let mut candidates = known.into_iter().chain(guaranteed);
        candidates.find(|id| !self.chain_is_on(id, disks))
    }

    /// Whether all turns of the chain that ends in `id` are on at least `disks` disks.
    fn chain_is_on(&self, id: &str, disks: usize) -> bool {
        let chain = self.history.chain(id);
        let mut turns = chain.into_iter();
        turns.all(|turn| self.count_replicas(&turn.id) >= disks)
    }

    /// Number of disks that hold the turn.
    pub(super) fn count_replicas(&self, id: &str) -> usize {
        let machines = self.machines.iter();
        machines
            .filter(|machine| machine.disk.turns.contains_key(id))
            .count()
    }
}
