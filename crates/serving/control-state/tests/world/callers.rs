//! Callers of the members: operators, who change and read the configuration, and followers. A call times out after a
//! second, and a request without a definite answer is repeated unchanged at any machine.

use super::history::{CallKind, RequestId};
use super::links::Endpoint;
use super::machines::Arrival;
use super::{Event, Simulation};
use dunespur_chain_replication::Millis;
use dunespur_control_state::{ConfigurationRequest, ConfigurationRequestKind};

const OPERATORS: usize = 3;
const FOLLOWERS: usize = 2;
const RETIREMENT_OPERATORS: usize = 1;
/// Time after which a caller abandons a call without an answer.
const CALL_TIMEOUT: Millis = 1_000;
/// Maximum pause of an operator between two calls.
const MAX_PAUSE: Millis = 500;
/// Maximum number of calls for one request before an operator abandons it.
const MAX_ATTEMPTS: u32 = 25;
/// Percentage of answers that are lost.
const LOST_PERCENT: u32 = 10;
/// Polling interval of followers.
const POLL_INTERVAL: Millis = 200;
/// Maximum staleness of the state that a member shows to followers: it includes all changes acknowledged earlier.
pub const MAX_STALENESS: Millis = 2_000;

/// One call of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallId {
    pub caller: usize,
    pub number: u64,
}

/// The request that a call sends to a member.
#[derive(Clone, Debug)]
pub enum CallContent {
    Configure(ConfigurationRequest),
    Configuration,
    Watch,
    /// Retires the named store.
    Retire(String),
}

/// A member's answer, with the status that the program would return.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAnswer {
    /// Status 200 to a configuration request.
    Accepted,
    /// Status 412 to a configuration request: another generation is current.
    Current { generation: u64 },
    /// Status 400 to a configuration request.
    Invalid,
    /// Status 200 or 404 to a read.
    Configuration(Option<(u64, String)>),
    /// Status 200 to a request to retire a store.
    Retired,
    /// Status 404 or 409 to a request to retire a store.
    NotRetired,
    /// The generation that a member shows to a follower.
    Watched { generation: u64 },
    /// Status 503: no definite answer.
    Indefinite,
}

/// Why a caller wakes up.
#[derive(Clone, Debug)]
pub enum Wake {
    Next,
    Timeout { number: u64 },
    Answered { number: u64, answer: CallAnswer },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Operator,
    Follower,
    RetirementOperator,
}

/// A request without a definite answer yet, which the operator repeats.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    request: RequestId,
    attempts_left: u32,
}

/// A call that awaits its answer.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    number: u64,
    /// The call's index in the history, if it is recorded there.
    history_index: Option<usize>,
}

pub struct Caller {
    role: Role,
    machine: usize,
    next_number: u64,
    open_call: Option<OpenCall>,
    /// The newest generation that the caller knows.
    known: u64,
    pending_request: Option<PendingRequest>,
    requests: Vec<RequestId>,
}

impl Simulation {
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
                open_call: None,
                known: 0,
                pending_request: None,
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

    pub fn wake_caller(&mut self, caller: usize, wake: Wake) {
        match wake {
            Wake::Next if self.callers[caller].open_call.is_none() => self.next_call(caller),
            Wake::Next => {}
            Wake::Timeout { number } => self.call_ended(caller, number, None),
            Wake::Answered { number, answer } => self.call_ended(caller, number, Some(answer)),
        }
    }

    fn next_call(&mut self, caller: usize) {
        match self.callers[caller].role {
            Role::Follower => self.call(caller, CallContent::Watch, None),
            Role::Operator => self.next_operator_call(caller),
            Role::RetirementOperator => self.next_retirement_call(caller),
        }
    }

    fn next_operator_call(&mut self, caller: usize) {
        self.choose_machine(caller);
        if self.callers[caller].pending_request.is_none() {
            self.callers[caller].pending_request = self.next_request(caller);
        }
        match self.callers[caller].pending_request {
            Some(pending_request) => {
                let content = CallContent::Configure(self.history.request(pending_request.request));
                self.call(
                    caller,
                    content,
                    Some(CallKind::Configure(pending_request.request)),
                );
            }
            None => self.call(caller, CallContent::Configuration, Some(CallKind::Read)),
        }
    }

    /// Chooses a random machine for the next call in two of three cases.
    pub fn choose_machine(&mut self, caller: usize) {
        if self.rng.u32(0..3) > 0 {
            self.callers[caller].machine = self.rng.usize(..self.setup.machines);
        }
    }

    /// Chooses a new request, an earlier request again, or `None` for a read.
    fn next_request(&mut self, caller: usize) -> Option<PendingRequest> {
        let attempts_left = 1 + self.rng.u32(0..MAX_ATTEMPTS);
        let choice = self.rng.u32(0..10);
        let known = self.callers[caller].known;
        let old = self.callers[caller].requests.len();
        let (ahead, behind) = (self.rng.u64(1..3), self.rng.u64(1..4));
        let request = match choice {
            0..=2 => return None,
            3 if old > 0 => self.callers[caller].requests[self.rng.usize(..old)],
            // The request builds on a future generation.
            4 => self.new_request(caller, known + ahead),
            // The request builds on an earlier generation.
            5 => self.new_request(caller, known.saturating_sub(behind)),
            _ => self.new_request(caller, known),
        };
        Some(PendingRequest {
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

    pub fn call(&mut self, caller: usize, content: CallContent, kind: Option<CallKind>) {
        let history_index = kind.map(|kind| self.history.begin(kind, self.now));
        let number = self.callers[caller].next_number;
        self.callers[caller].next_number += 1;
        self.callers[caller].open_call = Some(OpenCall {
            number,
            history_index,
        });
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
                    answer: CallAnswer::Indefinite,
                };
                self.schedule(at, Event::Caller { caller, wake });
            }
            return;
        }
        let run = self.machines[machine].run;
        let arrival = Arrival::Call {
            call: CallId { caller, number },
            content,
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

    /// Sends a machine's answer to a call; the answer may be lost.
    pub fn send_answer(&mut self, machine: usize, call: CallId, answer: CallAnswer) {
        if let CallAnswer::Watched { generation } = answer {
            self.check_staleness(machine, generation);
        }
        if answer == CallAnswer::Accepted {
            if let Some(fault) = self.fault_at_next_acknowledgement.take() {
                self.schedule(self.now, Event::Fault(fault.on_machine(machine)));
            }
        }
        self.digest.hash_answer(self.now, machine, call, &answer);
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

    /// Checks that the generation that a member shows to followers is not too old.
    fn check_staleness(&mut self, machine: usize, generation: u64) {
        let Some(since) = self.history.acknowledged_beyond(generation) else {
            return;
        };
        let staleness = self.now - since;
        self.history.max_staleness = self.history.max_staleness.max(staleness);
        if staleness > MAX_STALENESS {
            self.report_violation(format!(
                "m{machine} shows generation {generation} as current, {staleness} ms after a newer one was accepted"
            ));
        }
    }

    fn call_ended(&mut self, caller: usize, number: u64, answer: Option<CallAnswer>) {
        let Some(open_call) = self.callers[caller]
            .open_call
            .take_if(|open_call| open_call.number == number)
        else {
            return;
        };
        self.log(|| {
            format!(
                "caller {caller} at m{}: {answer:?}",
                self.callers[caller].machine
            )
        });
        if let (Some(index), Some(answer)) = (open_call.history_index, &answer) {
            self.history.end(index, self.now, answer.clone());
        }
        let definite = answer.filter(|answer| *answer != CallAnswer::Indefinite);
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
        POLL_INTERVAL
    }

    fn request_ended(&mut self, caller: usize, definite: Option<CallAnswer>) -> Millis {
        let learned = match &definite {
            Some(CallAnswer::Accepted) => self.callers[caller]
                .pending_request
                .map(|pending_request| self.history.generation_of(pending_request.request)),
            Some(CallAnswer::Current { generation }) => Some(*generation),
            Some(CallAnswer::Configuration(configuration)) => {
                configuration.as_ref().map(|(generation, _)| *generation)
            }
            _ => None,
        };
        let operator = &mut self.callers[caller];
        operator.known = operator.known.max(learned.unwrap_or(0));
        let done = match &mut operator.pending_request {
            Some(pending_request) => {
                pending_request.attempts_left -= 1;
                definite.is_some() || pending_request.attempts_left == 0
            }
            None => true,
        };
        if done {
            operator.pending_request = None;
        }
        1 + self.rng.u64(0..MAX_PAUSE)
    }
}
