//! Whether a server is worth asking, judged by what became of the requests sent to it.

use crate::types::Millis;

/// Failures in a row after which a server is avoided.
const FAILURES_IN_A_ROW: u32 = 3;
/// Share of recent requests that failed from which a server is avoided.
const FAILED_SHARE: f64 = 0.5;
/// Weight of recent requests from which that share is trusted.
const FEWEST_FOR_SHARE: f64 = 5.0;
/// Share of its weight that a request keeps with each later one.
const FADE: f64 = 0.9;
/// The first time that a failing server is avoided.
const FAILING_MS: u64 = 1_000;
/// The first time that an unreachable server is avoided.
const UNREACHABLE_MS: u64 = 500;
/// The first time that a silent server is avoided.
const SILENT_MS: u64 = 1_000;
/// The first time that a full server is avoided.
const FULL_MS: u64 = 60;
/// Requests in a row that an engine may turn away before it is avoided. A full engine is left by the estimate: to
/// avoid it at once would scatter the programs that it holds, and reading their prompts anew elsewhere takes more
/// than is gained. This is against an engine that takes nothing at all.
const ENGINE_FULL_IN_A_ROW: u32 = 8;
/// Doublings of a time at most.
const MOST_DOUBLINGS: u32 = 3;
/// A returning server's share of its places at first.
const FIRST_SHARE: f64 = 0.2;
/// A server returns over this many times the time that it was avoided for.
const RETURN_FACTOR: u64 = 2;

/// What one request told about its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sign {
    /// A whole answer.
    Success,
    /// An error, a reset or a broken answer.
    Failure,
    /// Nothing in time.
    Silence,
    /// No connection.
    Unreachable,
    /// Turned away, as all places were taken.
    Full,
    /// The address is another instance's.
    Moved,
}

/// How a server is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Asked like any other.
    Good,
    /// Not asked until then, unless nothing better is left.
    Avoided { until: Millis, for_ms: u64 },
    /// Asked again, at first for few of its places.
    Returning { since: Millis, over_ms: u64 },
    /// Never asked again: its address is another's.
    Gone,
}

/// The record of one server.
#[derive(Debug)]
pub(crate) struct Health {
    standing: Standing,
    failures_in_a_row: u32,
    full_in_a_row: u32,
    full_tolerated: u32,
    times_avoided: u32,
    /// It was last avoided for a fault, not as it was full.
    at_fault: bool,
    recent: f64,
    recent_failed: f64,
}

impl Health {
    /// A plain server.
    pub(crate) fn of_server() -> Self {
        Self::new(0)
    }

    /// A model engine.
    pub(crate) fn of_engine() -> Self {
        Self::new(ENGINE_FULL_IN_A_ROW)
    }

    fn new(full_tolerated: u32) -> Self {
        Self {
            full_tolerated,
            standing: Standing::Good,
            failures_in_a_row: 0,
            full_in_a_row: 0,
            times_avoided: 0,
            at_fault: false,
            recent: 0.0,
            recent_failed: 0.0,
        }
    }

    /// The standing as of now.
    pub(crate) fn standing(&self, now: Millis) -> Standing {
        match self.standing {
            Standing::Avoided { until, for_ms } if now >= until => Standing::Returning {
                since: until,
                over_ms: for_ms * RETURN_FACTOR,
            }
            .settled(now),
            standing => standing.settled(now),
        }
    }

    /// Whether the server is to be avoided.
    pub(crate) fn is_avoided(&self, now: Millis) -> bool {
        matches!(self.standing(now), Standing::Avoided { .. })
    }

    /// Whether the server is to be avoided for faults.
    pub(crate) fn is_in_trouble(&self, now: Millis) -> bool {
        self.at_fault && self.is_avoided(now)
    }

    /// Whether the server must never be asked.
    pub(crate) fn is_gone(&self) -> bool {
        self.standing == Standing::Gone
    }

    /// The share of its places that the server is offered.
    pub(crate) fn share(&self, now: Millis) -> f64 {
        match self.standing(now) {
            Standing::Good => 1.0,
            Standing::Avoided { .. } => FIRST_SHARE,
            Standing::Returning { since, over_ms } => {
                let passed = now.saturating_sub(since) as f64 / over_ms as f64;
                (FIRST_SHARE + (1.0 - FIRST_SHARE) * passed).min(1.0)
            }
            Standing::Gone => 0.0,
        }
    }

    /// How long the server is still avoided: the least bad one has the least.
    pub(crate) fn avoided_for(&self, now: Millis) -> u64 {
        match self.standing(now) {
            Standing::Avoided { until, .. } => until.saturating_sub(now),
            Standing::Gone => u64::MAX,
            Standing::Good | Standing::Returning { .. } => 0,
        }
    }

    /// Takes in what a request told.
    pub(crate) fn note(&mut self, sign: Sign, now: Millis) {
        let standing = self.standing(now);
        self.enter(standing);
        if standing == Standing::Gone {
            return;
        }
        match sign {
            Sign::Success => self.note_success(),
            Sign::Failure => self.note_failure(now),
            Sign::Silence => self.avoid_for_fault(SILENT_MS, now),
            Sign::Unreachable => self.avoid_for_fault(UNREACHABLE_MS, now),
            Sign::Full => self.note_full(now),
            Sign::Moved => self.enter(Standing::Gone),
        }
    }

    fn note_success(&mut self) {
        self.count(0.0);
        self.failures_in_a_row = 0;
        self.full_in_a_row = 0;
        if self.standing == Standing::Good {
            self.times_avoided = 0;
        }
    }

    fn note_failure(&mut self, now: Millis) {
        self.count(1.0);
        self.failures_in_a_row += 1;
        let returning =
            matches!(self.standing, Standing::Returning { .. }) && self.times_avoided > 0;
        let in_a_row = self.failures_in_a_row >= FAILURES_IN_A_ROW;
        let share =
            self.recent >= FEWEST_FOR_SHARE && self.recent_failed >= FAILED_SHARE * self.recent;
        if returning || in_a_row || share {
            self.avoid(FAILING_MS, now);
        }
    }

    fn avoid_for_fault(&mut self, first_ms: u64, now: Millis) {
        self.count(1.0);
        self.failures_in_a_row += 1;
        self.avoid(first_ms, now);
    }

    /// Several requests that fail together are one fault: while the server is avoided, the time doesn't grow.
    fn avoid(&mut self, first_ms: u64, now: Millis) {
        if matches!(self.standing, Standing::Avoided { .. }) {
            return;
        }
        let for_ms = first_ms << self.times_avoided.min(MOST_DOUBLINGS);
        self.times_avoided += 1;
        self.at_fault = true;
        self.enter(Standing::Avoided {
            until: now + for_ms,
            for_ms,
        });
    }

    fn note_full(&mut self, now: Millis) {
        if matches!(self.standing, Standing::Avoided { .. }) {
            return;
        }
        self.full_in_a_row += 1;
        if self.full_in_a_row <= self.full_tolerated {
            return;
        }
        self.at_fault = false;
        let doublings = self.full_in_a_row - self.full_tolerated - 1;
        let for_ms = FULL_MS << doublings.min(MOST_DOUBLINGS);
        self.enter(Standing::Avoided {
            until: now + for_ms,
            for_ms,
        });
    }

    fn count(&mut self, failed: f64) {
        self.recent = self.recent * FADE + 1.0;
        self.recent_failed = self.recent_failed * FADE + failed;
    }

    /// The one place where the standing changes.
    fn enter(&mut self, standing: Standing) {
        self.standing = standing;
    }
}

impl Standing {
    /// A server that has returned long enough is as good as any.
    fn settled(self, now: Millis) -> Self {
        match self {
            Standing::Returning { since, over_ms } if now >= since + over_ms => Standing::Good,
            standing => standing,
        }
    }
}

#[cfg(test)]
mod tests;
