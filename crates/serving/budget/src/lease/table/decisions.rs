//! Decisions on turns: from the lease, from a cached rejection, or by a request to the counter.

use super::{LeaseTable, Turn};
use crate::lease::admission::{Admission, Rejection, TurnOutcome};
use crate::lease::program_lease::ProgramLease;
use crate::messages::MAX_PROGRAM_NAME_BYTES;
use crate::{CounterChange, CounterRequest, Millis};
use std::sync::Arc;

impl LeaseTable {
    /// Records a turn before the decision on it, unless the table is at capacity.
    pub(super) fn register_turn(
        &mut self,
        program: &str,
        budget: u64,
        max_units: u64,
        turn: u64,
        now: Millis,
    ) -> Result<(), Rejection> {
        let known = self.turns.get(&turn);
        if known.is_some_and(|known| &*known.program != program) {
            self.finish(turn, now);
        }
        if !self.turns.contains_key(&turn) {
            self.add_turn(program, turn, now)?;
        }
        let entry = self.turns.get_mut(&turn).ok_or(Rejection::AtCapacity)?;
        entry.budget = budget;
        entry.max_units = max_units;
        if let Some(lease) = self.programs.get_mut(program) {
            lease.turn_arrived(max_units);
        }
        Ok(())
    }

    fn add_turn(&mut self, program: &str, turn: u64, now: Millis) -> Result<(), Rejection> {
        if self.turns.len() >= self.settings.max_turns {
            return Err(Rejection::AtCapacity);
        }
        let program = self.register_program(program, now)?;
        let entry = Turn {
            program,
            budget: 0,
            max_units: 0,
            reserved: 0,
            admitted: false,
        };
        self.turns.insert(turn, entry);
        Ok(())
    }

    /// Counts a new turn of a program, which is added if needed; returns the shared copy of the program's name.
    fn register_program(&mut self, program: &str, now: Millis) -> Result<Arc<str>, Rejection> {
        if let Some((name, _)) = self.programs.get_key_value(program) {
            let name = name.clone();
            if let Some(lease) = self.programs.get_mut(program) {
                lease.turns += 1;
            }
            return Ok(name);
        }
        let at_capacity = self.programs.len() >= self.settings.max_programs;
        if at_capacity || program.len() > MAX_PROGRAM_NAME_BYTES {
            return Err(Rejection::AtCapacity);
        }
        let name: Arc<str> = program.into();
        let mut lease = ProgramLease::new(now);
        lease.turns = 1;
        self.programs.insert(name.clone(), lease);
        Ok(name)
    }

    /// Decides on a turn: admits it if the lease covers it, else rejects it or lets it wait for the counter.
    pub(super) fn decide(&mut self, turn: u64, now: Millis) -> Admission {
        let counter_timeout = Admission::Rejected(Rejection::CounterTimeout);
        let Some(entry) = self.turns.get_mut(&turn) else {
            return counter_timeout;
        };
        let Some(lease) = self.programs.get_mut(&entry.program) else {
            return counter_timeout;
        };
        let shortfall = entry.shortfall();
        if lease.try_reserve(shortfall, now) {
            entry.reserved += shortfall;
            entry.admitted = true;
            lease.stop_waiting(turn);
            return Admission::Admitted;
        }
        if let Some(rejection) = lease.rejections.find(shortfall, entry.budget, now) {
            return self.reject(turn, rejection, now);
        }
        if lease.has_timed_out(turn, now, &self.settings) {
            return self.reject(turn, Rejection::CounterTimeout, now);
        }
        lease.add_waiting(turn, now);
        if lease.request.in_flight().is_some() {
            return Admission::Waiting;
        }
        self.request_lease(turn, now)
    }

    fn reject(&mut self, turn: u64, rejection: Rejection, now: Millis) -> Admission {
        self.remove_turn(turn, now);
        Admission::Rejected(rejection)
    }

    /// Requests a lease that covers a turn.
    fn request_lease(&mut self, turn: u64, now: Millis) -> Admission {
        let counter_timeout = Admission::Rejected(Rejection::CounterTimeout);
        let Some(entry) = self.turns.get(&turn) else {
            return counter_timeout;
        };
        let (program, budget) = (entry.program.clone(), entry.budget);
        let needed = entry.shortfall();
        let Some(lease) = self.programs.get_mut(&program) else {
            return counter_timeout;
        };
        let wanted = lease.demand.refill_size(now).max(needed);
        let returned = lease.take_available();
        let change = CounterChange::Lease {
            needed,
            wanted,
            returned,
        };
        Admission::Request(self.begin_request(&program, budget, change, now))
    }

    /// Creates the program's next request, records it as in flight and returns it for sending.
    pub(super) fn begin_request(
        &mut self,
        program: &str,
        budget: u64,
        change: CounterChange,
        now: Millis,
    ) -> CounterRequest {
        self.last_sequence += 1;
        let lease = self.programs.get_mut(program);
        let used = lease.map_or(0, ProgramLease::take_unreported);
        let request = CounterRequest {
            program: program.to_owned(),
            budget,
            limiter: self.limiter.clone(),
            sequence: self.last_sequence,
            used,
            change,
            at_ms: now,
        };
        if let Some(lease) = self.programs.get_mut(program) {
            lease.request.begin(request.clone(), now, &self.settings);
        }
        request
    }

    /// Decides on the waiting turns in order, until one has to keep waiting.
    pub(super) fn decide_waiting(&mut self, program: &str, now: Millis) {
        while let Some(turn) = self.first_waiting(program) {
            let admission = self.decide(turn, now);
            let is_final = matches!(admission, Admission::Admitted | Admission::Rejected(_));
            if admission != Admission::Waiting {
                self.outcomes.push_back(TurnOutcome { turn, admission });
            }
            if !is_final {
                return;
            }
        }
    }

    fn first_waiting(&self, program: &str) -> Option<u64> {
        self.programs.get(program)?.first_waiting()
    }

    /// Removes a turn and frees its reserved units; returns its program.
    pub(super) fn remove_turn(&mut self, turn: u64, now: Millis) -> Option<Arc<str>> {
        let entry = self.turns.remove(&turn)?;
        let lease = self.programs.get_mut(&entry.program)?;
        lease.stop_waiting(turn);
        lease.turns -= 1;
        if entry.admitted {
            lease.turn_ended(entry.reserved, now);
        }
        Some(entry.program)
    }
}
