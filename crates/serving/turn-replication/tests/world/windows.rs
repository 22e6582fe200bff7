//! How long after a loss there is no spare: until every set of so many further losses as are tolerated leaves a
//! copy of every turn that was answered whole.

use super::{Event, FaultKind, World};

/// How often the copies are counted while a spare is missing.
const LOOK_MS: u64 = 20;

/// A loss, and how long it took until there was a spare again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Window {
    pub after: FaultKind,
    pub lasted_ms: u64,
}

/// A loss after which some turn has no spare copy yet.
#[derive(Debug)]
pub struct OpenWindow {
    after: FaultKind,
    since_ms: u64,
}

impl World {
    /// A machine and what its disk held are gone.
    pub(super) fn open_window(&mut self, after: FaultKind) {
        if self.open_windows.is_empty() {
            self.after(0, Event::LookForSpares);
        }
        self.open_windows.push(OpenWindow {
            after,
            since_ms: self.now_ms,
        });
    }

    pub(super) fn look_for_spares(&mut self) {
        // Mostly the turn that had no spare the last time has none yet.
        let known = self
            .without_spare
            .take()
            .filter(|id| self.truth.is_owed(id, self.now_ms) && !self.has_spare(id));
        self.without_spare = known.or_else(|| self.find_without_spare());
        if self.without_spare.is_some() {
            return self.after(LOOK_MS, Event::LookForSpares);
        }
        for open in std::mem::take(&mut self.open_windows) {
            let lasted_ms = self.now_ms - open.since_ms;
            self.seen.windows.push(Window {
                after: open.after,
                lasted_ms,
            });
        }
    }

    /// A turn that is owed and of whose chain some turn lies on too few disks.
    fn find_without_spare(&mut self) -> Option<String> {
        let owed: Vec<String> = self.truth.owed(self.now_ms).iter().cloned().collect();
        owed.into_iter().find(|id| !self.has_spare(id))
    }

    fn has_spare(&self, id: &str) -> bool {
        let copies = |id: &str| {
            self.machines
                .iter()
                .filter(|machine| machine.disk.turns.contains_key(id))
                .count()
        };
        self.truth
            .chain(id)
            .into_iter()
            .all(|turn| copies(&turn.id) > self.plan.tolerated)
    }
}
