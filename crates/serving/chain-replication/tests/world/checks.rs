//! Checks of a world's state.

use super::{CheckResult, World, CLOCK_START};
use dunespur_chain_replication::{Member, Millis, View};

impl World {
    /// Watches for the commit of payloads that are submitted from now on.
    pub fn watch_new_payloads(&mut self) {
        self.watched_payloads.clear();
        self.watched_since = self.now;
        self.watched_committed_at = None;
    }

    pub fn committed_count(&self) -> usize {
        self.sequence.len()
    }

    /// The longest time without a commit, from `since` until now.
    pub fn longest_commit_gap(&self, since: Millis) -> Millis {
        let times = self
            .commit_times
            .iter()
            .copied()
            .filter(|at| *at > since)
            .chain([self.now]);
        let mut last = since;
        let gap = |at: Millis| at - std::mem::replace(&mut last, at);
        times.map(gap).max().unwrap_or_default()
    }

    pub fn is_in_chain(&self, index: usize) -> bool {
        self.newest_view()
            .is_some_and(|view| view.chain.contains(&self.id(index)))
    }

    pub fn newest_view(&self) -> Option<&View> {
        self.views.values().next_back()
    }

    /// Whether the member has a quorum, by its own clock.
    pub fn has_quorum(&self, index: usize) -> bool {
        let process = self.machines[index].process.as_ref();
        process.is_some_and(|process| {
            process
                .member
                .has_quorum(self.now - process.started_at + CLOCK_START)
        })
    }

    pub fn member(&self, index: usize) -> Option<&Member> {
        self.machines[index]
            .process
            .as_ref()
            .map(|process| &process.member)
    }

    /// Checks that all running machines are in the chain of the newest view, know that view, have a quorum, and lack at most
    /// `max_behind` commits.
    pub fn check_complete(&self, max_behind: u64) -> CheckResult {
        let newest = self.newest_view().ok_or("no view was installed")?;
        for index in self.running() {
            let member = self.member(index).ok_or("not running")?;
            let view = member
                .view()
                .ok_or_else(|| format!("m{index} knows no view"))?;
            let applied = self.machines[index]
                .process
                .as_ref()
                .map_or(0, |process| process.applied);
            if view != newest {
                return Err(self.describe(format!(
                    "m{index} is in view {}, not {}",
                    view.number, newest.number
                )));
            }
            if !view.chain.contains(&self.id(index)) {
                return Err(self.describe(format!(
                    "m{index} is not in the chain of view {}",
                    view.number
                )));
            }
            if !self.has_quorum(index) {
                return Err(self.describe(format!("m{index} has no quorum")));
            }
            if applied + max_behind < self.sequence.len() as u64 {
                return Err(self.describe(format!(
                    "m{index} has {applied} of {} commits",
                    self.sequence.len()
                )));
            }
        }
        Ok(())
    }

    /// Prefixes a text with the seed and the time.
    pub fn describe(&self, text: String) -> String {
        format!("seed {} at {} ms: {text}", self.setup.seed, self.now)
    }
}
