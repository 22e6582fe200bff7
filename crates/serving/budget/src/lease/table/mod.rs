//! The limiter side: the leases a limiter holds and the turns it admits out of them.

mod admission;
mod demand;
mod exchange;
mod program;
mod schedule;
mod settings;
mod verdict;

pub use admission::{Admission, Refusal, TurnOutcome};
pub use settings::LeaseSettings;

use crate::messages::MAX_PROGRAM_NAME;
use crate::{CounterChange, CounterReply, CounterRequest, LimiterId, Millis};
use program::{ProgramLease, Step};
use schedule::Schedule;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// A turn that runs or waits.
#[derive(Clone, Debug)]
struct Turn {
    program: Arc<str>,
    budget: u64,
    /// The most that a try of it uses.
    most: u64,
    /// Units reserved for it and not used yet.
    left: u64,
    /// Whether a try of it was admitted.
    admitted: bool,
}

impl Turn {
    /// What is still to be reserved for its next try.
    fn lacking(&self) -> u64 {
        self.most.saturating_sub(self.left)
    }
}

/// A limiter's leases on the budgets of the programs that are active on its node.
///
/// The caller sends what [`admit`](Self::admit), [`replied`](Self::replied), [`due`](Self::due) and
/// [`outcomes`](Self::outcomes) hand out, and calls `due` at [`next_due`](Self::next_due).
#[derive(Clone, Debug)]
pub struct LeaseBook {
    limiter: LimiterId,
    settings: LeaseSettings,
    last_sequence: u64,
    programs: BTreeMap<Arc<str>, ProgramLease>,
    turns: BTreeMap<u64, Turn>,
    schedule: Schedule,
    /// Verdicts on turns that waited, not handed out yet.
    outcomes: VecDeque<TurnOutcome>,
}

impl LeaseBook {
    /// A book with the default settings.
    pub fn new(limiter: LimiterId) -> Self {
        Self::with_settings(limiter, LeaseSettings::default())
    }

    /// A book with settings of the caller's.
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

    /// Decides on a turn, or on a further try of one that runs here: what earlier tries used stays used, and the
    /// turn's most is reserved anew. `turn` is the caller's key.
    pub fn admit(
        &mut self,
        program: &str,
        budget: u64,
        most: u64,
        turn: u64,
        now: Millis,
    ) -> Admission {
        if !self.enrol(program, budget, most, turn, now) {
            return Admission::Refused(Refusal::Crowded);
        }
        let admission = self.decide(turn, now);
        self.reschedule(program);
        admission
    }

    /// Takes the counter's answer to a request, `None` if it is known that none will come. The verdicts on the
    /// turns that waited for it are handed out.
    pub fn replied(
        &mut self,
        request: &CounterRequest,
        reply: Option<&CounterReply>,
        now: Millis,
    ) -> Vec<TurnOutcome> {
        let Some(lease) = self.programs.get_mut(request.program.as_str()) else {
            return Vec::new();
        };
        match reply {
            None => lease.exchange.failed(request.sequence, now, &self.settings),
            Some(reply) if lease.exchange.end(request.sequence) => {
                lease.answered(now);
                take_reply(lease, request, reply, now, &self.settings);
                self.serve_waiting(&request.program, now);
            }
            Some(_) => {}
        }
        self.reschedule(&request.program);
        self.outcomes()
    }

    /// Counts units that a turn handed its client.
    pub fn used(&mut self, turn: u64, units: u64) {
        let Some(turn) = self.turns.get_mut(&turn) else {
            return;
        };
        let Some(lease) = self.programs.get_mut(&turn.program) else {
            return;
        };
        let beyond = units.saturating_sub(turn.left);
        turn.left = turn.left.saturating_sub(units);
        lease.used(units, beyond);
    }

    /// Ends a turn, running or waiting, and frees what it reserved and did not use. Turns that wait may be
    /// admitted by it; see [`outcomes`](Self::outcomes).
    pub fn finish(&mut self, turn: u64, now: Millis) {
        let Some(program) = self.strike(turn, now) else {
            return;
        };
        self.serve_waiting(&program, now);
        self.reschedule(&program);
    }

    /// When [`due`](Self::due) is to be called next.
    pub fn next_due(&self) -> Option<Millis> {
        self.schedule.next()
    }

    /// Does what time has brought and hands out the requests to send: repeated ones, units that go back, reports.
    /// Turns that waited too long are refused; see [`outcomes`](Self::outcomes).
    pub fn due(&mut self, now: Millis) -> Vec<CounterRequest> {
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

    /// Hands out the verdicts that [`due`](Self::due) and [`finish`](Self::finish) have brought since the last
    /// call; to be called after them.
    pub fn outcomes(&mut self) -> Vec<TurnOutcome> {
        self.outcomes.drain(..).collect()
    }

    /// The limiter is about to end: units go back as soon as no turn of their program runs here.
    pub fn close(&mut self, now: Millis) -> Vec<CounterRequest> {
        self.settings.idle_return_ms = 0;
        self.settings.batch_ms = 1;
        let programs: Vec<Arc<str>> = self.programs.keys().cloned().collect();
        for program in programs {
            self.reschedule(&program);
        }
        self.due(now)
    }

    /// How many programs are known here.
    pub fn programs(&self) -> usize {
        self.programs.len()
    }

    /// Units of the program held here, those reserved for turns included.
    pub fn held(&self, program: &str) -> u64 {
        let free = self.programs.get(program).map_or(0, |lease| lease.free);
        let turns = self.turns.values().filter(|turn| &*turn.program == program);
        turns.fold(free, |sum, turn| sum.saturating_add(turn.left))
    }

    /// Writes a turn down as waiting; false if there is no room for it.
    fn enrol(&mut self, program: &str, budget: u64, most: u64, turn: u64, now: Millis) -> bool {
        let known = self.turns.get(&turn);
        if known.is_some_and(|known| &*known.program != program) {
            self.finish(turn, now);
        }
        if !self.turns.contains_key(&turn) && !self.enrol_new(program, turn, now) {
            return false;
        }
        let Some(entry) = self.turns.get_mut(&turn) else {
            return false;
        };
        entry.budget = budget;
        entry.most = most;
        if let Some(lease) = self.programs.get_mut(program) {
            lease.turn_came(most);
        }
        true
    }

    fn enrol_new(&mut self, program: &str, turn: u64, now: Millis) -> bool {
        if self.turns.len() >= self.settings.max_turns {
            return false;
        }
        let Some(program) = self.enrol_program(program, now) else {
            return false;
        };
        self.turns.insert(
            turn,
            Turn {
                program,
                budget: 0,
                most: 0,
                left: 0,
                admitted: false,
            },
        );
        true
    }

    /// The program's name as it is kept here; none if there is no room for a new one.
    fn enrol_program(&mut self, program: &str, now: Millis) -> Option<Arc<str>> {
        if let Some((name, _)) = self.programs.get_key_value(program) {
            let name = name.clone();
            self.programs.get_mut(program)?.turns += 1;
            return Some(name);
        }
        if self.programs.len() >= self.settings.max_programs || program.len() > MAX_PROGRAM_NAME {
            return None;
        }
        let name: Arc<str> = program.into();
        let mut lease = ProgramLease::new(now);
        lease.turns = 1;
        self.programs.insert(name.clone(), lease);
        Some(name)
    }

    /// The verdict on a turn as things stand: out of the lease if that covers it, else the counter is asked.
    fn decide(&mut self, turn: u64, now: Millis) -> Admission {
        let silent = Admission::Refused(Refusal::Silent);
        let Some(entry) = self.turns.get_mut(&turn) else {
            return silent;
        };
        let Some(lease) = self.programs.get_mut(&entry.program) else {
            return silent;
        };
        let lacking = entry.lacking();
        if lease.reserve(lacking, now) {
            entry.left += lacking;
            entry.admitted = true;
            lease.wait_no_more(turn);
            return Admission::Admitted;
        }
        if let Some(refusal) = lease.verdicts.on(lacking, entry.budget, now) {
            return self.refuse(turn, refusal, now);
        }
        if lease.waited_out(turn, now, &self.settings) {
            return self.refuse(turn, Refusal::Silent, now);
        }
        lease.wait(turn, now);
        if lease.exchange.asked().is_some() {
            return Admission::Waiting;
        }
        self.ask(turn, now)
    }

    fn refuse(&mut self, turn: u64, refusal: Refusal, now: Millis) -> Admission {
        self.strike(turn, now);
        Admission::Refused(refusal)
    }

    /// Asks the counter for a lease that covers a turn.
    fn ask(&mut self, turn: u64, now: Millis) -> Admission {
        let silent = Admission::Refused(Refusal::Silent);
        let Some(entry) = self.turns.get(&turn) else {
            return silent;
        };
        let (program, budget, needed) = (entry.program.clone(), entry.budget, entry.lacking());
        let Some(lease) = self.programs.get_mut(&program) else {
            return silent;
        };
        let wanted = lease.demand.refill(now).max(needed);
        let returned = lease.take_free();
        let change = CounterChange::Lease {
            needed,
            wanted,
            returned,
        };
        Admission::Ask(self.begin(&program, budget, change, now))
    }

    /// Begins an exchange with the program's counter; the request is to be sent.
    fn begin(
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
            lease.exchange.begin(request.clone(), now, &self.settings);
        }
        request
    }

    /// Decides on the turns that wait, in their order, until one has to go on waiting.
    fn serve_waiting(&mut self, program: &str, now: Millis) {
        while let Some(turn) = self.first_waiting(program) {
            let admission = self.decide(turn, now);
            let goes_on = matches!(admission, Admission::Admitted | Admission::Refused(_));
            if admission != Admission::Waiting {
                self.outcomes.push_back(TurnOutcome { turn, admission });
            }
            if !goes_on {
                return;
            }
        }
    }

    fn first_waiting(&self, program: &str) -> Option<u64> {
        self.programs.get(program)?.first_waiting()
    }

    /// Takes a turn out; gives its program.
    fn strike(&mut self, turn: u64, now: Millis) -> Option<Arc<str>> {
        let entry = self.turns.remove(&turn)?;
        let lease = self.programs.get_mut(&entry.program)?;
        lease.wait_no_more(turn);
        lease.turns -= 1;
        if entry.admitted {
            lease.turn_ended(entry.left, now);
        }
        Some(entry.program)
    }

    /// Does a program's next step if its time has come.
    fn step(&mut self, program: &str, now: Millis) -> Option<CounterRequest> {
        let lease = self.programs.get_mut(program)?;
        let planned = lease.planned(&self.settings)?;
        if planned.at > now {
            return None;
        }
        match planned.step {
            Step::RefuseWaiting => {
                self.serve_waiting(program, now);
                None
            }
            Step::Resend => lease.exchange.resend(now, &self.settings),
            Step::GiveBack => {
                let units = lease.take_free();
                Some(self.begin(program, 0, CounterChange::Return { units }, now))
            }
            Step::Report => Some(self.begin(program, 0, CounterChange::Return { units: 0 }, now)),
            Step::Forget => {
                self.programs.remove(program);
                None
            }
        }
    }

    /// Puts a program where it belongs in the schedule.
    fn reschedule(&mut self, program: &str) {
        let Some((name, lease)) = self.programs.get_key_value(program) else {
            return;
        };
        let at = lease.planned(&self.settings).map(|planned| planned.at);
        let before = lease.due_at;
        self.schedule.set(name, before, at);
        if let Some(lease) = self.programs.get_mut(program) {
            lease.due_at = at;
        }
    }
}

/// Takes what the counter's answer brings to the lease.
fn take_reply(
    lease: &mut ProgramLease,
    request: &CounterRequest,
    reply: &CounterReply,
    now: Millis,
    settings: &LeaseSettings,
) {
    let CounterChange::Lease { needed, .. } = request.change else {
        return;
    };
    match *reply {
        CounterReply::Granted { units, left } => lease.granted(units, left, now, settings),
        CounterReply::Spent => {
            lease
                .verdicts
                .spent(needed, request.budget, now + settings.spent_kept_ms)
        }
        CounterReply::Elsewhere { .. } => {
            let refusal = Refusal::Elsewhere {
                retry_after_ms: settings.retry_after_ms,
            };
            lease
                .verdicts
                .put_off(refusal, needed, request.budget, now + settings.put_off_ms);
        }
        CounterReply::Returned | CounterReply::Stale => {
            lease.verdicts.put_off(
                Refusal::Silent,
                needed,
                request.budget,
                now + settings.put_off_ms,
            );
        }
    }
}
