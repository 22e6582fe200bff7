//! The measured results of a simulation.

use super::scenario::TARGET_MS;

/// The measured results of one or several simulations.
#[derive(Debug, Clone, Default)]
pub struct ScenarioResult {
    pub turns: usize,
    /// Turns without attempts or time left.
    pub failed: usize,
    /// Attempts rejected by a full engine.
    pub rejected: usize,
    /// Decisions of a router to retry later.
    pub deferred: usize,
    /// Attempts without a first event in time.
    pub timed_out: usize,
    /// Requests preempted by engines.
    pub preempted: u64,
    /// Times from the start of a turn to its first event.
    pub first_ms: Vec<f64>,
    /// Durations of the completed turns.
    pub turn_ms: Vec<f64>,
    pub prefilled_tokens: u64,
    /// Tokens dispatched for the first time.
    pub new_tokens: u64,
    /// Attempts accepted by an engine of another zone.
    pub cross_zone: usize,
    /// Attempts accepted by another engine than the conversation's last one.
    pub migrated: usize,
}

impl ScenarioResult {
    /// Adds the results of another simulation.
    pub fn add(&mut self, other: ScenarioResult) {
        self.turns += other.turns;
        self.failed += other.failed;
        self.rejected += other.rejected;
        self.deferred += other.deferred;
        self.timed_out += other.timed_out;
        self.preempted += other.preempted;
        self.first_ms.extend(other.first_ms);
        self.turn_ms.extend(other.turn_ms);
        self.prefilled_tokens += other.prefilled_tokens;
        self.new_tokens += other.new_tokens;
        self.cross_zone += other.cross_zone;
        self.migrated += other.migrated;
    }

    pub fn mean_first_ms(&self) -> f64 {
        self.first_ms.iter().sum::<f64>() / self.first_ms.len().max(1) as f64
    }

    /// A quantile of the times to the first event.
    pub fn first_ms_at(&self, quantile: f64) -> f64 {
        let mut sorted = self.first_ms.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[((sorted.len() - 1) as f64 * quantile) as usize]
    }

    pub fn mean_turn_ms(&self) -> f64 {
        self.turn_ms.iter().sum::<f64>() / self.turn_ms.len().max(1) as f64
    }

    /// Tokens that were prefilled although some engine had prefilled them before.
    pub fn recomputed_tokens(&self) -> u64 {
        self.prefilled_tokens.saturating_sub(self.new_tokens)
    }

    /// Ratio of the turns that failed or whose first event missed the latency target.
    pub fn late_ratio(&self) -> f64 {
        let late = self
            .first_ms
            .iter()
            .filter(|first_ms| **first_ms > TARGET_MS as f64)
            .count()
            + self.failed;
        late as f64 / self.turns.max(1) as f64
    }
}

impl std::fmt::Display for ScenarioResult {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            out,
            "turns {} failed {} rejected {} deferred {} timed out {} preempted {}; first token mean {:.1} p95 {:.1} p99 {:.1} ms; \
             turn {:.1} ms; late {:.2} %; recomputed {} k of {} k; other zone {:.0} %, migrated {:.0} %",
            self.turns,
            self.failed,
            self.rejected,
            self.deferred,
            self.timed_out,
            self.preempted,
            self.mean_first_ms(),
            self.first_ms_at(0.95),
            self.first_ms_at(0.99),
            self.mean_turn_ms(),
            100.0 * self.late_ratio(),
            self.recomputed_tokens() / 1000,
            self.prefilled_tokens / 1000,
            100.0 * self.cross_zone as f64 / self.turns.max(1) as f64,
            100.0 * self.migrated as f64 / self.turns.max(1) as f64,
        )
    }
}
