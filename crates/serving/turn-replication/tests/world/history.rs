//! The history of a simulation: all turns that were ever written, and when they were acknowledged.

use std::collections::{BTreeMap, VecDeque};

use dunespur_turn_replication::turn::Turn;

use super::RETENTION_MS;

/// All turns that were ever written, and when they were acknowledged.
#[derive(Debug, Default)]
pub struct History {
    pub turns: BTreeMap<String, Turn>,
    pub acknowledged_at_ms: BTreeMap<String, u64>,
    /// Acknowledged turns that may still be guaranteed, oldest first.
    recent: VecDeque<String>,
    pub last_id: u64,
}

impl History {
    /// Whether the turn was acknowledged less than [`RETENTION_MS`] ago.
    pub(super) fn is_guaranteed(&self, id: &str, now_ms: u64) -> bool {
        let acknowledged_at_ms = self.acknowledged_at_ms.get(id);
        acknowledged_at_ms.is_some_and(|at_ms| now_ms < at_ms + RETENTION_MS)
    }

    pub(super) fn acknowledged(&mut self, id: &str, now_ms: u64) {
        self.acknowledged_at_ms.insert(id.to_owned(), now_ms);
        self.recent.push_back(id.to_owned());
    }

    /// All turns that a read is guaranteed to find.
    pub(super) fn guaranteed(&mut self, now_ms: u64) -> &VecDeque<String> {
        while let Some(id) = self.recent.front() {
            if self.is_guaranteed(id, now_ms) {
                break;
            }
            self.recent.pop_front();
        }
        &self.recent
    }

    /// The chain that ends in `id`, oldest first.
    pub(super) fn chain(&self, id: &str) -> Vec<&Turn> {
        let mut chain = Vec::new();
        let mut next = Some(id);
        while let Some(id) = next {
            let turn = &self.turns[id];
            chain.push(turn);
            next = turn.previous.as_deref();
        }
        chain.reverse();
        chain
    }
}
