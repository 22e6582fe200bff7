//! Callers of the members: operators who change and read the configuration, and followers. A call times out after a
//! second, and a request without a definite answer is repeated, unchanged, to any machine.

use super::history::{CallKind, RequestId};
use super::links::Endpoint;
use super::machines::Arrival;
use super::{Event, World};
use dunespur_chain_replication::Millis;
use dunespur_control_state::{ConfigurationRequest, ConfigurationRequestKind};

const OPERATORS: usize = 3;
const FOLLOWERS: usize = 2;
const RETIREMENT_OPERATORS: usize = 1;
/// A call without an answer is given up after this.
const CALL_TIMEOUT: Millis = 1_000;
/// An operator thinks this long at most between two calls.
const MAX_THINK_TIME: Millis = 500;
/// An operator without a definite answer abandons a request after so many calls at most.
const MAX_ATTEMPTS: u32 = 25;
/// Of a hundred answers so many are lost on their way.
const LOST_PERCENT: u32 = 10;
/// A follower polls at this interval.
const WATCH_EVERY: Millis = 200;
/// What a member shows to followers is no older than this: what was acknowledged earlier is in it.
pub const MAX_STALENESS: Millis = 2_000;

/// One call of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallId {
    pub caller: usize,
    pub number: u64,
}

#[derive(Clone, Debug)]
pub enum Question {
    Configure(ConfigurationRequest),
    Configuration,
    Watch,
    /// To have a store emptied.
    Retire(String),
}

/// What a call is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 200 to a configuration request.
    Accepted,
    /// 412: another version is current.
    Current { generation: u64 },
    /// 400.
    Invalid,
    /// 200 or 404 to a read.
    Configuration(Option<(u64, String)>),
    /// 200 to a request to retire a store.
    Retired,
    /// 404 or 409.
    NotRetired,
    /// To a follower.
    Watched { generation: u64 },
    /// 503.
    Indefinite,
}

/// Why a caller wakes up.
#[derive(Clone, Debug)]
pub enum Wake {
    Next,
    Timeout { number: u64 },
    Answered { number: u64, answer: Answer },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Operator,
    Follower,
    RetirementOperator,
}

/// A request that an operator wants decided.
#[derive(Clone, Copy, Debug)]
struct Wanted {
    request: RequestId,
    attempts_left: u32,
}

/// A call that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Open {
    number: u64,
    entry: Option<usize>,
}

pub struct Caller {
    role: Role,
    machine: usize,
    next_number: u64,
    open: Option<Open>,
    /// The newest generation that it has learned of.
    known: u64,
    wanted: Option<Wanted>,
    requests: Vec<RequestId>,
}

impl World {
    pub fn add_callers(&mut self) {
        let roles = [Role::Operator; OPERATORS]
            .into_iter()
            .chain([Role::Follower; FOLLOWERS]);
        let roles = roles.chain([Role::RetirementOperator; RETIREMENT_OPERATORS]);
        for (caller, role) in roles.enumerate() {
            self.callers.push(Caller {
                role,
                machine: caller % self.setup.machines,
                next_number: 1,
                open: None,
                known: 0,
                wanted: None,
                requests: Vec::new(),
            });
            self.schedule(
                1_000,
                Event::Caller {
                    caller,
                    wake: Wake::Next,
                },
            );
        }
    }

    pub fn caller_wakes(&mut self, caller: usize, wake: Wake) {
        match wake {
            Wake::Next if self.callers[caller].open.is_none() => self.next_call(caller),
            Wake::Next => {}
            Wake::Timeout { number } => self.call_ended(caller, number, None),
            Wake::Answered { number, answer } => self.call_ended(caller, number, Some(answer)),
        }
    }

    fn next_call(&mut self, caller: usize) {
        match self.callers[caller].role {
            Role::Follower => self.call(caller, Question::Watch, None),
            Role::Operator => self.next_of_operator(caller),
            Role::RetirementOperator => self.next_retirement_call(caller),
        }
    }

    fn next_of_operator(&mut self, caller: usize) {
        self.choose_machine(caller);
        if self.callers[caller].wanted.is_none() {
            self.callers[caller].wanted = self.next_request(caller);
        }
        match self.callers[caller].wanted {
            Some(wanted) => {
                let question = Question::Configure(self.history.request(wanted.request));
                self.call(caller, question, Some(CallKind::Configure(wanted.request)));
            }
            None => self.call(caller, Question::Configuration, Some(CallKind::Read)),
        }
    }

    /// Mostly another machine than before.
    pub fn choose_machine(&mut self, caller: usize) {
        if self.rng.u32(0..3) > 0 {
            self.callers[caller].machine = self.rng.usize(..self.setup.machines);
        }
    }

    /// Another request, an old one again, or none: then it reads.
    fn next_request(&mut self, caller: usize) -> Option<Wanted> {
        let attempts_left = 1 + self.rng.u32(0..MAX_ATTEMPTS);
        let choice = self.rng.u32(0..10);
        let known = self.callers[caller].known;
        let old = self.callers[caller].requests.len();
        let (ahead, behind) = (self.rng.u64(1..3), self.rng.u64(1..4));
        let request = match choice {
            0..=2 => return None,
            3 if old > 0 => self.callers[caller].requests[self.rng.usize(..old)],
            // On a generation that isn't reached yet, and on one that is over.
            4 => self.new_request(caller, known + ahead),
            5 => self.new_request(caller, known.saturating_sub(behind)),
            _ => self.new_request(caller, known),
        };
        Some(Wanted {
            request,
            attempts_left,
        })
    }

    fn new_request(&mut self, caller: usize, base: u64) -> RequestId {
        let valid = self.rng.u32(0..12) > 0;
        let generation = if valid {
            base + self.rng.u64(1..4)
        } else {
            base
        };
        let number = self.history.requests();
        let body =
            format!(r#"{{"generation":{generation},"routes":[],"services":[],"by":{number}}}"#);
        let kind = ConfigurationRequestKind::Replace;
        let request = ConfigurationRequest {
            kind,
            base,
            body: body.into_bytes(),
            fencing_token: 0,
        };
        let id = self.history.add_request(request, generation, valid);
        self.callers[caller].requests.push(id);
        id
    }

    pub fn call(&mut self, caller: usize, question: Question, kind: Option<CallKind>) {
        let entry = kind.map(|kind| self.history.begin(kind, self.now));
        let number = self.callers[caller].next_number;
        self.callers[caller].next_number += 1;
        self.callers[caller].open = Some(Open { number, entry });
        self.schedule(
            self.now + CALL_TIMEOUT,
            Event::Caller {
                caller,
                wake: Wake::Timeout { number },
            },
        );
        let machine = self.callers[caller].machine;
        if self
            .links
            .is_partitioned(Endpoint::Caller(caller), Endpoint::Machine(machine))
        {
            return;
        }
        let at = self.now + self.rng.u64(1..4);
        if self.machines[machine].process.is_none() {
            if self.machines[machine].powered {
                let wake = Wake::Answered {
                    number,
                    answer: Answer::Indefinite,
                };
                self.schedule(at, Event::Caller { caller, wake });
            }
            return;
        }
        let run = self.machines[machine].run;
        let arrival = Arrival::Call {
            call: CallId { caller, number },
            question,
        };
        self.schedule(
            at,
            Event::Arrive {
                machine,
                run,
                arrival,
            },
        );
    }

    /// A machine answers a call.
    pub fn send_answer(&mut self, machine: usize, call: CallId, answer: Answer) {
        if let Answer::Watched { generation } = answer {
            self.check_age(machine, generation);
        }
        if answer == Answer::Accepted {
            if let Some(fault) = self.at_next_acknowledgement.take() {
                self.schedule(self.now, Event::Fault(fault.at(machine)));
            }
        }
        self.digest.answer(self.now, machine, call, &answer);
        let CallId { caller, number } = call;
        let lost = self.rng.u32(0..100) < LOST_PERCENT;
        if lost
            || self
                .links
                .is_partitioned(Endpoint::Machine(machine), Endpoint::Caller(caller))
        {
            return;
        }
        let at = self.now + self.rng.u64(1..4);
        let wake = Wake::Answered { number, answer };
        self.schedule(at, Event::Caller { caller, wake });
    }

    /// Whether what a member shows to those who follow it is too old.
    fn check_age(&mut self, machine: usize, generation: u64) {
        let Some(since) = self.history.acknowledged_beyond(generation) else {
            return;
        };
        let age = self.now - since;
        self.history.max_staleness = self.history.max_staleness.max(age);
        if age > MAX_STALENESS {
            self.violate(format!(
                "m{machine} shows {generation} as current, {age} ms after another was accepted"
            ));
        }
    }

    fn call_ended(&mut self, caller: usize, number: u64, answer: Option<Answer>) {
        let Some(open) = self.callers[caller]
            .open
            .take_if(|open| open.number == number)
        else {
            return;
        };
        self.log(|| {
            format!(
                "caller {caller} at m{}: {answer:?}",
                self.callers[caller].machine
            )
        });
        if let (Some(entry), Some(answer)) = (open.entry, &answer) {
            self.history.end(entry, self.now, answer.clone());
        }
        let definite = answer.filter(|answer| *answer != Answer::Indefinite);
        let delay = match self.callers[caller].role {
            Role::Follower => self.watch_ended(caller, definite.is_some()),
            Role::Operator => self.request_ended(caller, definite),
            Role::RetirementOperator => self.retirement_call_ended(definite),
        };
        self.schedule(
            self.now + delay,
            Event::Caller {
                caller,
                wake: Wake::Next,
            },
        );
    }

    fn watch_ended(&mut self, caller: usize, answered: bool) -> Millis {
        if !answered {
            self.callers[caller].machine = self.rng.usize(..self.setup.machines);
        }
        WATCH_EVERY
    }

    fn request_ended(&mut self, caller: usize, definite: Option<Answer>) -> Millis {
        let learned = match &definite {
            Some(Answer::Accepted) => self.callers[caller]
                .wanted
                .map(|wanted| self.history.generation_of(wanted.request)),
            Some(Answer::Current { generation }) => Some(*generation),
            Some(Answer::Configuration(configuration)) => {
                configuration.as_ref().map(|(generation, _)| *generation)
            }
            _ => None,
        };
        let operator = &mut self.callers[caller];
        operator.known = operator.known.max(learned.unwrap_or(0));
        let done = match &mut operator.wanted {
            Some(wanted) => {
                wanted.attempts_left -= 1;
                definite.is_some() || wanted.attempts_left == 0
            }
            None => true,
        };
        if done {
            operator.wanted = None;
        }
        1 + self.rng.u64(0..MAX_THINK_TIME)
    }
}
