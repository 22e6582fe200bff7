//! The answers of a member to calls, which are those of the program.

use super::callers::{Answer, CallId, Question};
use super::machines::Arrival;
use super::{Event, World};
use dunespur_chain_replication::{Input, Millis};
use dunespur_control_state::{ConfigurationRequest, Operation, Outcome, RetirementOutcome};

const TOLERATED_LOSSES: u32 = 1;
/// A call that is not decided after this time is answered without a definite answer.
const CALL_LIMIT: Millis = 850;

/// A call that is not answered yet.
pub struct PendingCall {
    question: Question,
    since: Millis,
}

impl World {
    pub fn called(&mut self, index: usize, call: CallId, question: Question) {
        let clock = self.clock(index);
        let process = self.process(index);
        process.pending.insert(
            call,
            PendingCall {
                question: question.clone(),
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
        match question {
            Question::Configure(_) | Question::Retire(_) => self.execute(index, call, &question, 0),
            Question::Configuration => {
                let ticket = self.take_ticket();
                self.process(index).tickets.insert(ticket, call);
                self.step(index, Input::Read { ticket });
            }
            Question::Watch => {
                let process = self.process(index);
                let generation = process
                    .state
                    .configuration()
                    .map_or(0, |document| document.generation());
                let follows = process.member.is_up_to_date(clock);
                let answer = if follows {
                    Answer::Watched { generation }
                } else {
                    Answer::Indefinite
                };
                self.answer(index, call, answer);
            }
        }
    }

    fn execute(&mut self, index: usize, call: CallId, question: &Question, fencing_token: u64) {
        let Some(operation) = operation(question, fencing_token) else {
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
                return self.decided(index, call, outcome);
            }
        }
        if !process.member.can_commit(clock) {
            return self.answer(index, call, Answer::Indefinite);
        }
        let payload = postcard::to_stdvec(&operation).expect("an operation");
        let ticket = self.take_ticket();
        self.process(index).tickets.insert(ticket, call);
        self.step(index, Input::Submit { ticket, payload });
    }

    pub fn decided(&mut self, index: usize, call: CallId, outcome: Outcome) {
        match outcome {
            Outcome::Accepted => self.answer(index, call, Answer::Accepted),
            Outcome::GenerationConflict {
                current: generation,
            } => self.answer(index, call, Answer::Current { generation }),
            Outcome::Invalid(_) => self.answer(index, call, Answer::Invalid),
            Outcome::Fenced { fencing_token } => {
                let question = self
                    .process(index)
                    .pending
                    .get(&call)
                    .map(|pending| pending.question.clone());
                if let Some(question) = question {
                    self.execute(index, call, &question, fencing_token);
                }
            }
            Outcome::Retire(RetirementOutcome::Accepted) => {
                self.answer(index, call, Answer::Retired)
            }
            Outcome::Retire(_) => self.answer(index, call, Answer::NotRetired),
            _ => self.answer(index, call, Answer::Indefinite),
        }
    }

    pub fn read_ready(&mut self, index: usize, ticket: u64) {
        let process = self.process(index);
        let Some(call) = process.tickets.remove(&ticket) else {
            return;
        };
        let document = process.state.configuration();
        let configuration = document.map(|document| (document.generation(), document.to_json()));
        self.answer(index, call, Answer::Configuration(configuration));
    }

    /// Answers a call, without a definite answer if that took too long: the process may have been suspended.
    pub fn answer(&mut self, index: usize, call: CallId, answer: Answer) {
        let clock = self.clock(index);
        let Some(pending) = self.process(index).pending.remove(&call) else {
            return;
        };
        let late = clock > pending.since + CALL_LIMIT;
        let answer = if late { Answer::Indefinite } else { answer };
        self.send_answer(index, call, answer);
    }

    /// A payload that means nothing.
    pub fn submit_filling(&mut self, index: usize) {
        let node = "-".repeat(self.setup.filling);
        self.submit(
            index,
            &Operation::RetireDone {
                node,
                incarnation: 0,
                epoch: 0,
            },
        );
    }

    /// An operation whose outcome nobody awaits.
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
                payload: payload.expect("an operation"),
            },
        );
    }
}

/// The operation that a call submits.
fn operation(question: &Question, fencing_token: u64) -> Option<Operation> {
    match question {
        Question::Configure(request) => Some(Operation::Configure(ConfigurationRequest {
            fencing_token,
            ..request.clone()
        })),
        Question::Retire(node) => Some(Operation::RetireStart {
            node: node.clone(),
            tolerated_losses: TOLERATED_LOSSES,
            fencing_token,
        }),
        Question::Configuration | Question::Watch => None,
    }
}
