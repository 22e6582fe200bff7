//! One program's lease at this limiter.

use super::demand::Demand;
use super::exchange::Exchange;
use super::verdict::Verdicts;
use crate::{LeaseSettings, Millis};
use std::collections::VecDeque;

/// Near the limit: nobody-held units below this many turns' most. Units no longer reserved then go back at once.
const TIGHT_TURNS: u64 = 4;

/// What a program wants next, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Planned {
    pub(crate) at: Millis,
    pub(crate) step: Step,
}

/// A step that time brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// The counter has been silent too long for the turns that wait.
    RefuseWaiting,
    /// The request under way is sent again.
    Resend,
    /// Units go back, together with the report of what was used.
    GiveBack,
    /// The counter is told what was used.
    Report,
    /// Nothing is held, awaited or running any more.
    Forget,
}

/// A turn that waits for the counter.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    turn: u64,
    since: Millis,
}

/// The lease: units held for a program, and the exchange with its counter.
#[derive(Clone, Debug)]
pub(crate) struct ProgramLease {
    /// Units held and not reserved.
    pub(crate) free: u64,
    /// Units used since the last request to the counter.
    pub(crate) unreported: u64,
    /// Turns running or waiting.
    pub(crate) turns: usize,
    /// Turns that wait, in the order in which they came.
    waiting: VecDeque<Waiter>,
    pub(crate) exchange: Exchange,
    pub(crate) verdicts: Verdicts,
    pub(crate) demand: Demand,
    /// Where the schedule has the program.
    pub(crate) due_at: Option<Millis>,
    /// The most of the last turn.
    last_most: u64,
    /// Whether the counter was near its limit at the last grant.
    tight: bool,
    lapses_at: Millis,
    /// When a turn last ended, if that was after the last grant.
    freed_at: Option<Millis>,
    last_end: Millis,
    /// When the last exchange ended.
    reported_at: Millis,
}

impl ProgramLease {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            free: 0,
            unreported: 0,
            turns: 0,
            waiting: VecDeque::new(),
            exchange: Exchange::Quiet,
            verdicts: Verdicts::default(),
            demand: Demand::new(now),
            due_at: None,
            last_most: 0,
            tight: false,
            lapses_at: 0,
            freed_at: None,
            last_end: now,
            reported_at: now,
        }
    }

    /// A turn of this size came.
    pub(crate) fn turn_came(&mut self, most: u64) {
        self.last_most = most;
    }

    /// Reserves units if the lease covers them and has not lapsed.
    pub(crate) fn reserve(&mut self, units: u64, now: Millis) -> bool {
        if units == 0 {
            return true;
        }
        if now >= self.lapses_at || self.free < units {
            return false;
        }
        self.free -= units;
        true
    }

    pub(crate) fn granted(&mut self, units: u64, left: u64, now: Millis, settings: &LeaseSettings) {
        self.free = self.free.saturating_add(units);
        self.lapses_at = now + settings.lease_ms;
        self.tight = left < self.last_most.saturating_mul(TIGHT_TURNS);
        self.freed_at = None;
        self.verdicts.units_came();
    }

    /// A turn that had been admitted ended and freed what it had reserved and not used.
    pub(crate) fn turn_ended(&mut self, units: u64, now: Millis) {
        self.free = self.free.saturating_add(units);
        self.last_end = now;
        self.freed_at = Some(now);
        if units > 0 {
            self.verdicts.units_came();
        }
    }

    /// A turn used units: `beyond` of them it had not reserved, which other units make good as far as they go.
    pub(crate) fn used(&mut self, units: u64, beyond: u64) {
        self.free = self.free.saturating_sub(beyond);
        self.unreported = self.unreported.saturating_add(units);
        self.demand.add(units);
    }

    /// Takes out the units that a request gives back.
    pub(crate) fn take_free(&mut self) -> u64 {
        self.freed_at = None;
        std::mem::take(&mut self.free)
    }

    pub(crate) fn take_unreported(&mut self) -> u64 {
        std::mem::take(&mut self.unreported)
    }

    /// The counter answered.
    pub(crate) fn answered(&mut self, now: Millis) {
        self.reported_at = now;
    }

    /// Puts a turn behind those that wait, unless it waits already.
    pub(crate) fn wait(&mut self, turn: u64, now: Millis) {
        if !self.waiting.iter().any(|waiter| waiter.turn == turn) {
            self.waiting.push_back(Waiter { turn, since: now });
        }
    }

    /// The turn waits no longer.
    pub(crate) fn wait_no_more(&mut self, turn: u64) {
        self.waiting.retain(|waiter| waiter.turn != turn);
    }

    pub(crate) fn first_waiting(&self) -> Option<u64> {
        self.waiting.front().map(|waiter| waiter.turn)
    }

    /// Whether a turn may not wait any longer: the counter is silent, or the turn has waited for the bound, maybe
    /// through several answers.
    pub(crate) fn waited_out(&self, turn: u64, now: Millis, settings: &LeaseSettings) -> bool {
        let waiter = self.waiting.iter().find(|waiter| waiter.turn == turn);
        let since = waiter.map_or(now, |waiter| waiter.since);
        now >= self.wait_ends(since, settings)
    }

    /// Until when a turn that waits since then may wait.
    fn wait_ends(&self, since: Millis, settings: &LeaseSettings) -> Millis {
        let own_end = since + settings.turn_wait_ms;
        let silent_at = self
            .exchange
            .asked()
            .map(|asked| asked.since + settings.silent_after_ms);
        silent_at.map_or(own_end, |silent_at| silent_at.min(own_end))
    }

    /// When the turn that has waited longest is refused.
    fn refuse_waiting(&self, settings: &LeaseSettings) -> Option<Planned> {
        let first = self.waiting.front()?;
        Some(Planned {
            at: self.wait_ends(first.since, settings),
            step: Step::RefuseWaiting,
        })
    }

    /// The next step, if nothing else happens before.
    pub(crate) fn planned(&self, settings: &LeaseSettings) -> Option<Planned> {
        match self.exchange.asked() {
            Some(asked) => {
                let resend = Planned {
                    at: asked.resend_at,
                    step: Step::Resend,
                };
                earliest([self.refuse_waiting(settings), Some(resend)])
            }
            None if self.turns > 0 => earliest([
                self.give_back_while_running(settings),
                Some(self.report(settings)),
            ]),
            None => Some(self.planned_at_rest(settings)),
        }
    }

    /// Between turns: what is held goes back after a while, at once near the limit.
    fn planned_at_rest(&self, settings: &LeaseSettings) -> Planned {
        if self.free == 0 && self.unreported == 0 {
            return Planned {
                at: settings.batched(self.last_end + settings.forget_ms),
                step: Step::Forget,
            };
        }
        if self.tight {
            return Planned {
                at: self.last_end,
                step: Step::GiveBack,
            };
        }
        let mut at = self.last_end + settings.idle_return_ms;
        if self.free > 0 {
            at = at.min(self.lapses_at);
        }
        Planned {
            at: settings.batched(at),
            step: Step::GiveBack,
        }
    }

    /// While turns run: what is free goes back when the lease lapses, at once near the limit if a turn freed it.
    fn give_back_while_running(&self, settings: &LeaseSettings) -> Option<Planned> {
        if self.free == 0 {
            return None;
        }
        let lapse = settings.batched(self.lapses_at);
        let freed_at = self.freed_at.filter(|_| self.tight);
        let at = freed_at.map_or(lapse, |freed_at| freed_at.min(lapse));
        Some(Planned {
            at,
            step: Step::GiveBack,
        })
    }

    fn report(&self, settings: &LeaseSettings) -> Planned {
        Planned {
            at: settings.batched(self.reported_at + settings.report_ms),
            step: Step::Report,
        }
    }
}

fn earliest<const N: usize>(planned: [Option<Planned>; N]) -> Option<Planned> {
    planned
        .into_iter()
        .flatten()
        .min_by_key(|planned| planned.at)
}
