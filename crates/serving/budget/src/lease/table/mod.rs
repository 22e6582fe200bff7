//! The leases of a limiter: its interface.

mod decisions;
mod timers;

use super::admission::{Admission, TurnOutcome};
use super::program_lease::ProgramLease;
use super::schedule::Schedule;
use crate::{CounterReply, CounterRequest, LeaseSettings, LimiterId, Millis};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// A turn that runs or waits.
#[derive(Clone, Debug)]
struct Turn {
    program: Arc<str>,
    budget: u64,
    /// The maximum that an attempt of it uses.
    max_units: u64,
    /// Units reserved for it and not used yet.
    reserved: u64,
    /// Whether an attempt of it was admitted.
    admitted: bool,
}

impl Turn {
    /// What is still to be reserved for its next attempt.
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
    /// Decisions on turns that waited, not returned yet.
    outcomes: VecDeque<TurnOutcome>,
}

impl LeaseTable {
    /// A table with the default settings.
    #[must_use]
    pub fn new(limiter: LimiterId) -> Self {
        Self::with_settings(limiter, LeaseSettings::default())
    }

    /// A table with the caller's settings.
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

    /// Decides on a turn, or on a retry of one that runs here: what earlier attempts used stays used, and the turn's
    /// maximum is reserved again. `turn` is the caller's key.
    pub fn admit(
        &mut self,
        program: &str,
        budget: u64,
        max_units: u64,
        turn: u64,
        now: Millis,
    ) -> Admission {
        if let Err(rejection) = self.register(program, budget, max_units, turn, now) {
            return Admission::Rejected(rejection);
        }
        let admission = self.decide(turn, now);
        self.reschedule(program);
        admission
    }

    /// Applies the counter's reply to a request, `None` if it is known that there will be none. Returns the decisions
    /// on the turns that waited for it.
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

    /// Counts units that a turn delivered to its client.
    pub fn record_use(&mut self, turn: u64, units: u64) {
        let Some(turn) = self.turns.get_mut(&turn) else {
            return;
        };
        let Some(lease) = self.programs.get_mut(&turn.program) else {
            return;
        };
        let beyond = units.saturating_sub(turn.reserved);
        turn.reserved = turn.reserved.saturating_sub(units);
        lease.record_use(units, beyond);
    }

    /// Ends a turn, running or waiting, and frees what it reserved and did not use. Waiting turns may be admitted by
    /// it; see [`take_outcomes`](Self::take_outcomes).
    pub fn finish(&mut self, turn: u64, now: Millis) {
        let Some(program) = self.remove_turn(turn, now) else {
            return;
        };
        self.decide_waiting(&program, now);
        self.reschedule(&program);
    }

    /// When [`handle_timeout`](Self::handle_timeout) is to be called next.
    #[must_use]
    pub fn next_timeout(&self) -> Option<Millis> {
        self.schedule.next()
    }

    /// Does what is due and returns the requests to send: repeated ones, returned units, reports. Turns that waited
    /// too long are rejected; see [`take_outcomes`](Self::take_outcomes).
    pub fn handle_timeout(&mut self, now: Millis) -> Vec<CounterRequest> {
        let mut requests = Vec::new();
        while let Some(program) = self.schedule.pop(now) {
            if let Some(lease) = self.programs.get_mut(&program) {
                lease.due_at = None;
            }
            requests.extend(self.step(&program, now));
            self.reschedule(&program);
        }
        requests
    }

    /// Returns the decisions that [`handle_timeout`](Self::handle_timeout) and [`finish`](Self::finish) have made
    /// since the last call; to be called after them.
    pub fn take_outcomes(&mut self) -> Vec<TurnOutcome> {
        self.outcomes.drain(..).collect()
    }

    /// The limiter is about to end: units are returned as soon as no turn of their program runs here.
    pub fn close(&mut self, now: Millis) -> Vec<CounterRequest> {
        self.settings.idle_return_ms = 0;
        self.settings.batch_ms = 1;
        let programs: Vec<Arc<str>> = self.programs.keys().cloned().collect();
        for program in programs {
            self.reschedule(&program);
        }
        self.handle_timeout(now)
    }

    /// How many programs are known here.
    #[must_use]
    pub fn programs(&self) -> usize {
        self.programs.len()
    }

    /// Units of the program on lease here, those reserved for turns included.
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
