//! One name of the counter, as a broker holds it: what is known of it, the block leased, who waits for it.

use crate::lend::{Answer, Ask, Output, Settings};
use crate::{Name, Slot};
use std::collections::{BTreeMap, VecDeque};

/// Part of a window's units that are lent at its beginning, where the one before was used up; the rest comes
/// evenly until it ends.
const FIRST: f64 = 0.5;

/// An ask that waits for its name.
#[derive(Clone, Debug)]
pub(super) struct Waits {
    pub(super) from: Name,
    pub(super) run: u64,
    pub(super) slot: Slot,
    pub(super) ask: Ask,
    pub(super) at: f64,
    /// It knows that the counter is asked.
    pub(super) told: bool,
}

impl Waits {
    pub(super) fn not(self) -> Output {
        Output::Tell {
            to: self.from,
            run: self.run,
            slot: self.slot,
            seq: self.ask.seq,
            answer: Answer::Not,
        }
    }
}

/// A counter's name, as the broker holds it.
#[derive(Clone, Debug, Default)]
pub(super) struct Held {
    pub(super) customer: u64,
    /// The counter's total when it last answered, and when that was.
    pub(super) known: Option<f64>,
    pub(super) read: f64,
    /// Units that the counter has counted and nobody was lent; under 0 where refused ones stand in for it.
    pub(super) block: f64,
    /// The call that is out: its number and its add.
    pub(super) out: Option<(u64, f64)>,
    pub(super) waiting: VecDeque<Waits>,
    pub(super) slot: Slot,
    pub(super) life: f64,
    /// When it is full, as last heard, and by how much that grows.
    pub(super) full: f64,
    pub(super) rate: f64,
    pub(super) left: f64,
    pub(super) length: f64,
    pub(super) touched: f64,
    /// Adds that were refused and that their borrowers are about to take back; no part of the total yet.
    pub(super) limbo: BTreeMap<Name, f64>,
    /// What it has to hold at least when it is first read: the backlog of the customer's name before it.
    pub(super) least: Option<f64>,
    /// A window that was found full, and one that follows such a one: it is lent evenly over its time.
    pub(super) was_full: bool,
    pub(super) even: bool,
}

impl Held {
    /// What is left of the limit, if it was ever read.
    pub(super) fn room(&self, now: f64) -> Option<f64> {
        Some(self.full + self.rate * (now - self.touched).max(0.0) - (self.known? - self.block))
    }

    /// The total that this ask gets now; none where the counter has to be asked first. `full` is when the
    /// name is full now, `others` what this asker has to leave there, if it has had its part.
    pub(super) fn answer(
        &mut self,
        from: &str,
        ask: &Ask,
        full: f64,
        others: Option<f64>,
        s: &Settings,
        now: f64,
    ) -> Option<f64> {
        let before = self.known? - self.block;
        // Guards against two that are refused at once: each would take back what the other was about to.
        // What was refused counts from its correction on, and lowers nothing that others added.
        if let Some(refused) = self.limbo.remove(from).filter(|_| ask.asked <= 0.0) {
            let stays = (refused + ask.add).max(0.0);
            self.block -= stays;
            return Some(before + stays);
        }
        let rest = ask.add - ask.asked;
        let no_room = before + rest + ask.needs > full;
        // Guards against a call for each unit that comes free, and leaves those without a broker their turn.
        let little = before + rest + ask.needs + ask.rate * s.pace > full;
        let soon = little && others.is_some() && ask.add > self.block && now < self.read + s.pace;
        let others = others.unwrap_or(0.0);
        // Guards against a window that is used up in its first moment, and shut for the rest of it.
        self.was_full |= no_room;
        let early =
            self.even && before + rest + ask.needs > (full * (FIRST + ask.elapsed)).min(full);
        let barred = soon || early || (others > 0.0 && before + rest + ask.needs + others > full);
        if ask.asked <= 0.0 || !(no_room || barred) {
            // A return fills the block, an ask is lent out of it; what is left to others it does not see.
            let covered = ask.add <= self.block || ask.add <= 0.0;
            self.block -= if covered { ask.add } else { 0.0 };
            let unseen = if ask.asked > 0.0 { others } else { 0.0 };
            return covered.then_some(before + unseen + ask.add);
        }
        // Full: it is answered from what is known, and read again now and then.
        if no_room && now >= self.read + s.again {
            return None;
        }
        // Where the limit grows the asker takes back what it was refused; in a window that ends it does not.
        if ask.rate > 0.0 && self.limbo.len() < s.borrowers {
            self.limbo.insert(from.to_owned(), ask.add);
        } else {
            self.block -= rest;
        }
        Some(if no_room {
            before + ask.add
        } else {
            (full + ask.asked).max(before + ask.add)
        })
    }
}
