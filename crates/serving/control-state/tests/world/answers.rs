//! A member's answers to calls, which match those of the real program.

use super::callers::{CallAnswer, CallContent, CallId};
use super::machines::Arrival;
use super::{Event, Simulation};
use dunespur_chain_replication::{Input, Millis};
use dunespur_control_state::{ConfigurationRequest, Operation, Outcome, RetirementOutcome};

const TOLERATED_LOSSES: u32 = 1;
/// Time after which a member answers an undecided call without a definite answer.
const CALL_LIMIT: Millis = 850;

/// A call that the member has not answered yet.
pub struct PendingCall {
    content: CallContent,
    since: Millis,
}

impl Simulation {
    pub fn handle_call(&mut self, index: usize, call: CallId, content: CallContent) {
        let clock = self.clock(index);
        let process = self.process(index);
        process.pending.insert(
            call,
            PendingCall {
                content: content.clone(),
                since: clock,
            },
        );
        let run = self.machines[index].run;
        let at = self.now + CALL_LIMIT;
        self.schedule(
            at,
            Event::Arrive {
                machine: index,
                run,
                arrival: Arrival::Deadline { call },
            },
        );
        match content {
            CallContent::Configure(_) | CallContent::Retire(_) => {
                self.execute(index, call, &content, 0)
            }
            CallContent::Configuration => {
                let ticket = self.take_ticket();
                self.process(index).tickets.insert(ticket, call);
                self.step(index, Input::Read { ticket });
            }
            CallContent::Watch => {
                let process = self.process(index);
                let generation = process
                    .state
                    .configuration()
                    .map_or(0, |document| document.generation());
                let is_up_to_date = process.member.is_up_to_date(clock);
                let answer = if is_up_to_date {
                    CallAnswer::Watched { generation }
                } else {
                    CallAnswer::Indefinite
                };
                self.answer(index, call, answer);
            }
        }
    }

    fn execute(&mut self, index: usize, call: CallId, content: &CallContent, fencing_token: u64) {
        let Some(operation) = operation(content, fencing_token) else {
            return;
        };
        let clock = self.clock(index);
        let rejects_unconfirmed = self.setup.safeguards.rejects_unconfirmed;
        let process = self.process(index);
        if rejects_unconfirmed {
            let outcome = process.state.clone().apply(&operation, &mut Vec::new());
            if matches!(
                outcome,
                Outcome::GenerationConflict { .. } | Outcome::Invalid(_)
            ) {
                return self.answer_outcome(index, call, outcome);
            }
        }
        if !process.member.can_commit(clock) {
            return self.answer(index, call, CallAnswer::Indefinite);
        }
        let payload = postcard::to_stdvec(&operation).expect("the operation is encodable");
        let ticket = self.take_ticket();
        self.process(index).tickets.insert(ticket, call);
        self.step(index, Input::Submit { ticket, payload });
    }

    pub fn answer_outcome(&mut self, index: usize, call: CallId, outcome: Outcome) {
        match outcome {
            Outcome::Accepted => self.answer(index, call, CallAnswer::Accepted),
            Outcome::GenerationConflict {
                current: generation,
            } => self.answer(index, call, CallAnswer::Current { generation }),
            Outcome::Invalid(_) => self.answer(index, call, CallAnswer::Invalid),
            Outcome::Fenced { fencing_token } => {
                let content = self
                    .process(index)
                    .pending
                    .get(&call)
                    .map(|pending| pending.content.clone());
                if let Some(content) = content {
                    self.execute(index, call, &content, fencing_token);
                }
            }
            Outcome::Retire(RetirementOutcome::Accepted) => {
                self.answer(index, call, CallAnswer::Retired)
            }
            Outcome::Retire(_) => self.answer(index, call, CallAnswer::NotRetired),
            _ => self.answer(index, call, CallAnswer::Indefinite),
        }
    }

    pub fn read_ready(&mut self, index: usize, ticket: u64) {
        let process = self.process(index);
        let Some(call) = process.tickets.remove(&ticket) else {
            return;
        };
        let document = process.state.configuration();
        let configuration = document.map(|document| (document.generation(), document.to_json()));
        self.answer(index, call, CallAnswer::Configuration(configuration));
    }

    /// Answers a call. If the answer is late, for example because the process was suspended, it is `Indefinite`.
    pub fn answer(&mut self, index: usize, call: CallId, answer: CallAnswer) {
        let clock = self.clock(index);
        let Some(pending) = self.process(index).pending.remove(&call) else {
            return;
        };
        let late = clock > pending.since + CALL_LIMIT;
        let answer = if late { CallAnswer::Indefinite } else { answer };
        self.send_answer(index, call, answer);
    }

    /// Submits a filler payload, which has no effect on the state.
    pub fn submit_filler(&mut self, index: usize) {
        let node = "-".repeat(self.setup.filler_bytes);
        self.submit(
            index,
            &Operation::RetireDone {
                node,
                incarnation: 0,
                epoch: 0,
            },
        );
    }

    /// Submits an operation whose outcome no caller awaits.
    pub fn submit(&mut self, index: usize, operation: &Operation) {
        if self.machines[index].process.is_none() || self.machines[index].frozen {
            return;
        }
        let payload = postcard::to_stdvec(operation);
        let ticket = self.take_ticket();
        self.step(
            index,
            Input::Submit {
                ticket,
                payload: payload.expect("the operation is encodable"),
            },
        );
    }
}

/// The operation that a call submits, if any.
fn operation(content: &CallContent, fencing_token: u64) -> Option<Operation> {
    match content {
        CallContent::Configure(request) => Some(Operation::Configure(ConfigurationRequest {
            fencing_token,
            ..request.clone()
        })),
        CallContent::Retire(node) => Some(Operation::RetireStart {
            node: node.clone(),
            tolerated_losses: TOLERATED_LOSSES,
            fencing_token,
        }),
        CallContent::Configuration | CallContent::Watch => None,
    }
}
