//! The public interface of a limiter's leases.

mod decisions;
mod timers;

use super::admission::{Admission, TurnOutcome};
use super::program_lease::ProgramLease;
use super::schedule::Schedule;
use crate::{CounterReply, CounterRequest, LeaseSettings, LimiterId, Millis};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// A running or waiting turn.
#[derive(Clone, Debug)]
struct Turn {
    program: Arc<str>,
    budget: u64,
    /// Maximum units that one attempt of the turn uses.
    max_units: u64,
    /// Units reserved for the turn and not used yet.
    reserved: u64,
    /// Whether any attempt of the turn was admitted.
    admitted: bool,
}

impl Turn {
    /// Units that must still be reserved for the turn's next attempt.
    fn shortfall(&self) -> u64 {
        self.max_units.saturating_sub(self.reserved)
    }
}

/// A limiter's leases on the budgets of the programs that are active on its node.
///
/// The caller sends the requests that [`admit`](Self::admit), [`handle_reply`](Self::handle_reply),
/// [`handle_timeout`](Self::handle_timeout) and [`take_outcomes`](Self::take_outcomes) return, and calls
/// `handle_timeout` at [`next_timeout`](Self::next_timeout).
#[derive(Clone, Debug)]
pub struct LeaseTable {
    limiter: LimiterId,
    settings: LeaseSettings,
    last_sequence: u64,
    programs: BTreeMap<Arc<str>, ProgramLease>,
    turns: BTreeMap<u64, Turn>,
    schedule: Schedule,
    /// Decisions on waiting turns that the caller has not taken yet.
    outcomes: VecDeque<TurnOutcome>,
}

impl LeaseTable {
    /// Creates a table with the default settings.
    #[must_use]
    pub fn new(limiter: LimiterId) -> Self {
        Self::with_settings(limiter, LeaseSettings::default())
    }

    /// Creates a table with the given settings.
    #[must_use]
    pub fn with_settings(limiter: LimiterId, settings: LeaseSettings) -> Self {
        Self {
            limiter,
            settings,
            last_sequence: 0,
            programs: BTreeMap::new(),
            turns: BTreeMap::new(),
            schedule: Schedule::default(),
            outcomes: VecDeque::new(),
        }
    }

    /// Decides whether to admit a turn or another attempt of a known turn. Units used by earlier attempts stay used,
    /// and the turn's maximum is reserved again. `turn` is the caller's key for the turn.
    pub fn admit(
        &mut self,
        program: &str,
        budget: u64,
        max_units: u64,
        turn: u64,
        now: Millis,
    ) -> Admission {
        if let Err(rejection) = self.register_turn(program, budget, max_units, turn, now) {
            return Admission::Rejected(rejection);
        }
        let admission = self.decide(turn, now);
        self.reschedule(program);
        admission
    }

    /// Applies the counter's reply to a request, or `None` if the request is known to have failed. Returns decisions on
    /// waiting turns.
    pub fn handle_reply(
        &mut self,
        request: &CounterRequest,
        reply: Option<&CounterReply>,
        now: Millis,
    ) -> Vec<TurnOutcome> {
        let Some(lease) = self.programs.get_mut(request.program.as_str()) else {
            return Vec::new();
        };
        match reply {
            None => lease.request.fail(request.sequence, now, &self.settings),
            Some(reply) if lease.request.complete(request.sequence) => {
                lease.apply_reply(request, reply, now, &self.settings);
                self.decide_waiting(&request.program, now);
            }
            Some(_) => {}
        }
        self.reschedule(&request.program);
        self.take_outcomes()
    }

    /// Records units that a turn delivered to its client.
    pub fn record_use(&mut self, turn: u64, units: u64) {
        let Some(turn) = self.turns.get_mut(&turn) else {
            return;
        };
        let Some(lease) = self.programs.get_mut(&turn.program) else {
            return;
        };
        let excess = units.saturating_sub(turn.reserved);
        turn.reserved = turn.reserved.saturating_sub(units);
        lease.record_use(units, excess);
    }

    /// Ends a running or waiting turn and frees its unused reserved units, which may admit waiting turns; see
    /// [`take_outcomes`](Self::take_outcomes).
    pub fn finish(&mut self, turn: u64, now: Millis) {
        let Some(program) = self.remove_turn(turn, now) else {
            return;
        };
        self.decide_waiting(&program, now);
        self.reschedule(&program);
    }

    /// The time at which to call [`handle_timeout`](Self::handle_timeout) next.
    #[must_use]
    pub fn next_timeout(&self) -> Option<Millis> {
        self.schedule.next()
    }

    /// Runs all due steps and returns the requests to send: resends, returns of units and reports of use. Rejects turns
    /// that waited too long; see [`take_outcomes`](Self::take_outcomes).
    pub fn handle_timeout(&mut self, now: Millis) -> Vec<CounterRequest> {
        let mut requests = Vec::new();
        while let Some(program) = self.schedule.pop(now) {
            if let Some(lease) = self.programs.get_mut(&program) {
                lease.due_at = None;
            }
            requests.extend(self.run_due_step(&program, now));
            self.reschedule(&program);
        }
        requests
    }

    /// Takes the decisions that [`handle_timeout`](Self::handle_timeout) and [`finish`](Self::finish) made since the
    /// last call. Call it after either.
    pub fn take_outcomes(&mut self) -> Vec<TurnOutcome> {
        self.outcomes.drain(..).collect()
    }

    /// Prepares the limiter's shutdown: from now on, units are returned as soon as no turn of their program runs on
    /// this limiter. Returns the requests to send now.
    pub fn close(&mut self, now: Millis) -> Vec<CounterRequest> {
        self.settings.idle_return_ms = 0;
        self.settings.batch_ms = 1;
        let programs: Vec<Arc<str>> = self.programs.keys().cloned().collect();
        for program in programs {
            self.reschedule(&program);
        }
        self.handle_timeout(now)
    }

    /// The number of programs in the table.
    #[must_use]
    pub fn programs(&self) -> usize {
        self.programs.len()
    }

    /// Units of the program that this limiter has leased, including those reserved for turns.
    #[must_use]
    pub fn leased(&self, program: &str) -> u64 {
        let available = self
            .programs
            .get(program)
            .map_or(0, ProgramLease::available);
        self.turns
            .values()
            .filter(|turn| &*turn.program == program)
            .fold(available, |sum, turn| sum.saturating_add(turn.reserved))
    }
}
