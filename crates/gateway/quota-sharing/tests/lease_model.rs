//! Checks quota sharing with a model: due to a stale view, two brokers serve one counter name. Two limiters call either
//! broker or the counter; messages are delayed, reordered, duplicated or lost; a broker that loses its slot returns its
//! block. The model runs the production code of `Broker` and `Borrower`. A second test disables one safeguard at a time
//! and requires that the checker then finds a history in which more than the limit is admitted. Time does not advance
//! in the model: names with a growing limit, the pace near the limit and fairness between borrowers are not covered.

use dunespur_decisions::types::CounterReply;
use dunespur_quota_sharing::{
    Borrower, Broker, BrokerAnswer, CounterCall, LeaseRequest, Output, Settings,
};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::hash::{Hash, Hasher};

/// The counter name that all requests use at the brokers.
const NAME: u64 = 7;
/// Limit of the counter name, units.
const LIMIT: f64 = 2.0;
/// Maximum number of requests in a history.
const MAX_REQUESTS: u8 = 3;
/// Maximum number of lost messages and lost slots in a history.
const MAX_LOST: u8 = 1;
/// Maximum number of duplicated answers in a history.
const MAX_DUPLICATED: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Safeguards {
    /// A broker grants only units that the counter has confirmed.
    grants_only_counted: bool,
    /// A call without a reply adds nothing to the block.
    unanswered_call_adds_nothing: bool,
    /// A borrower accepts one answer for each request.
    accepts_one_answer: bool,
}

const ALL: Safeguards = Safeguards {
    grants_only_counted: true,
    unanswered_call_adds_nothing: true,
    accepts_one_answer: true,
};

#[derive(Clone, Debug)]
struct State {
    brokers: Vec<Broker>,
    limiters: Vec<Borrower>,
    /// The counter's total, units.
    counter_total: f64,
    /// Calls in transit to the counter: broker, number, add.
    calls: Vec<(usize, u64, f64)>,
    /// Replies in transit from the counter: broker, number, total.
    replies: Vec<(usize, u64, f64)>,
    /// Brokers' answers in transit: limiter, request number, answer.
    answers: Vec<(usize, u64, BrokerAnswer)>,
    /// Number of requests and direct calls so far.
    requests: u8,
    /// Number of lost messages and lost slots so far.
    lost: u8,
    /// Number of duplicated answers so far.
    duplicated: u8,
    /// Units admitted by all limiters.
    admitted: f64,
}

impl State {
    fn key(&self) -> String {
        format!("{self:?}")
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, to: &mut H) {
        self.key().hash(to);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Request {
        limiter: usize,
        broker: usize,
    },
    /// A limiter without a broker calls the counter itself.
    CallDirectly,
    DeliverCall(usize),
    DeliverReply(usize),
    /// A call is lost and times out; the counter has not added its units.
    LoseCall(usize),
    /// A reply is lost and the call times out; the counter has added its units.
    LoseReply(usize),
    DeliverAnswer(usize),
    DuplicateAnswer(usize),
    /// The broker no longer holds the slot of the name, and returns its block.
    LoseSlot(usize),
}

struct QuotaSharing(Safeguards);

impl QuotaSharing {
    /// Puts the calls and answers of a broker in transit.
    fn collect_outputs(&self, state: &mut State, broker: usize, out: Vec<Output>) {
        for output in out {
            match output {
                // Only a total can admit an invocation.
                Output::Respond {
                    to,
                    seq,
                    answer: answer @ BrokerAnswer::Total(_),
                    ..
                } => {
                    state.answers.push((usize::from(to == "b"), seq, answer));
                }
                Output::CallCounter { call, add, .. } => {
                    state.calls.push((broker, call, add));
                    if !self.0.grants_only_counted {
                        // Without the safeguard the broker grants at once, as if the counter had confirmed the units.
                        let mut next = Vec::new();
                        state.brokers[broker].counter_answered(
                            call,
                            CounterReply::Total(state.counter_total + add),
                            0.0,
                            &mut next,
                        );
                        self.collect_outputs(state, broker, next);
                    }
                }
                Output::Respond { .. } | Output::AbandonCall { .. } => {}
            }
        }
    }

    fn time_out(&self, state: &mut State, broker: usize, call: u64, add: f64) {
        let mut out = Vec::new();
        let reply = match self.0.unanswered_call_adds_nothing {
            true => CounterReply::NoReply,
            false => CounterReply::Total(state.counter_total + add),
        };
        state.brokers[broker].counter_answered(call, reply, 0.0, &mut out);
        self.collect_outputs(state, broker, out);
    }
}

impl Model for QuotaSharing {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let settings = Settings {
            max_lead: 1.0,
            demand_window: 4.0,
            counter_timeout: 0.04,
            reread_interval: 3.0,
            near_limit_interval: 0.25,
            broker_backoff: 1.0,
            max_names: 4,
            max_waiting: 4,
            max_borrowers: 4,
        };
        vec![State {
            brokers: vec![
                Broker::new(settings.clone(), 0),
                Broker::new(settings.clone(), 1000),
            ],
            limiters: vec![Borrower::new(&settings), Borrower::new(&settings)],
            counter_total: 0.0,
            calls: vec![],
            replies: vec![],
            answers: vec![],
            requests: 0,
            lost: 0,
            duplicated: 0,
            admitted: 0.0,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.requests < MAX_REQUESTS {
            for limiter in 0..2 {
                (0..2).for_each(|broker| steps.push(Step::Request { limiter, broker }));
            }
            steps.push(Step::CallDirectly);
        }
        for n in 0..state.calls.len() {
            steps.push(Step::DeliverCall(n));
            if state.lost < MAX_LOST {
                steps.push(Step::LoseCall(n));
            }
        }
        for n in 0..state.replies.len() {
            steps.push(Step::DeliverReply(n));
            if state.lost < MAX_LOST {
                steps.push(Step::LoseReply(n));
            }
        }
        for n in 0..state.answers.len() {
            steps.push(Step::DeliverAnswer(n));
            if state.duplicated < MAX_DUPLICATED {
                steps.push(Step::DuplicateAnswer(n));
            }
        }
        (0..2)
            .filter(|broker| state.brokers[*broker].name_count() > 0 && state.lost < MAX_LOST)
            .for_each(|broker| steps.push(Step::LoseSlot(broker)));
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        let mut out = Vec::new();
        match step {
            Step::Request { limiter, broker } => {
                state.requests += 1;
                let seq = u64::from(state.requests);
                // At the borrower each request uses a counter name of its own, so that the borrower has no broker on
                // record and the model chooses one. At the brokers all requests use `NAME`.
                state.limiters[limiter].route(
                    CounterCall {
                        call: seq,
                        name: seq,
                        add: 1.0,
                        lifetime: 60.0,
                    },
                    0,
                    true,
                    0.0,
                );
                let request = LeaseRequest {
                    seq,
                    name: NAME,
                    customer: 1,
                    add: 1.0,
                    requested: 1.0,
                    minimum: 1.0,
                    lifetime: 60.0,
                    limit: LIMIT,
                    limit_rate: 0.0,
                    elapsed: 1.0,
                    remaining: 1.0,
                };
                state.brokers[broker].request(["a", "b"][limiter], 1, 0, request, 0.0, &mut out);
                self.collect_outputs(&mut state, broker, out);
            }
            Step::CallDirectly => {
                state.requests += 1;
                state.counter_total += 1.0;
                state.admitted += if state.counter_total <= LIMIT {
                    1.0
                } else {
                    0.0
                };
            }
            Step::DeliverCall(n) => {
                let (broker, call, add) = state.calls.remove(n);
                state.counter_total = (state.counter_total + add).max(0.0);
                state.replies.push((broker, call, state.counter_total));
            }
            Step::DeliverReply(n) => {
                let (broker, call, total) = state.replies.remove(n);
                state.brokers[broker].counter_answered(
                    call,
                    CounterReply::Total(total),
                    0.0,
                    &mut out,
                );
                self.collect_outputs(&mut state, broker, out);
            }
            Step::LoseCall(n) => {
                state.lost += 1;
                let (broker, call, add) = state.calls.remove(n);
                self.time_out(&mut state, broker, call, add);
            }
            Step::LoseReply(n) => {
                state.lost += 1;
                let (broker, call, _) = state.replies.remove(n);
                self.time_out(&mut state, broker, call, 0.0);
            }
            Step::DeliverAnswer(n) | Step::DuplicateAnswer(n) => {
                let (limiter, seq, answer) = match step {
                    Step::DeliverAnswer(_) => state.answers.remove(n),
                    _ => state.answers[n],
                };
                state.duplicated += u8::from(matches!(step, Step::DuplicateAnswer(_)));
                let taken = state.limiters[limiter].broker_answered(seq, answer, 0.5, 0.0);
                let total = match (taken, answer, self.0.accepts_one_answer) {
                    (Some(CounterReply::Total(total)), _, _)
                    | (None, BrokerAnswer::Total(total), false) => total,
                    _ => return Some(state),
                };
                // The limiter admits if the total, with its add, is within the limit.
                state.admitted += if total <= LIMIT { 1.0 } else { 0.0 };
            }
            Step::LoseSlot(broker) => {
                state.lost += 1;
                state.brokers[broker].slot_lost(0, &mut out);
                self.collect_outputs(&mut state, broker, out);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("limit never exceeded", |_, state: &State| {
                state.admitted <= LIMIT
            }),
            Property::sometimes("limit reached", |_, state: &State| state.admitted == LIMIT),
        ]
    }
}

/// Result of an exploration of the model.
struct Exploration {
    limit_exceeded: bool,
    limit_reached: bool,
    /// Number of different states explored.
    states: usize,
}

fn explore(safeguards: Safeguards) -> Exploration {
    let checker = QuotaSharing(safeguards)
        .checker()
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let found = |name: &'static str| checker.discovery(name).is_some();
    Exploration {
        limit_exceeded: found("limit never exceeded"),
        limit_reached: found("limit reached"),
        states: checker.unique_state_count(),
    }
}

#[test]
fn two_brokers_and_direct_calls_never_admit_more_than_the_limit() {
    let Exploration {
        limit_exceeded,
        limit_reached,
        states,
    } = explore(ALL);
    assert!(
        !limit_exceeded,
        "the model admits more than the limit of {LIMIT} units"
    );
    assert!(
        limit_reached && states > 1_000,
        "limit reached: {limit_reached}, {states} states explored, more than 1000 expected"
    );
}

#[test]
fn without_any_one_safeguard_the_limit_is_exceeded() {
    for safeguards in [
        Safeguards {
            grants_only_counted: false,
            ..ALL
        },
        Safeguards {
            unanswered_call_adds_nothing: false,
            ..ALL
        },
        Safeguards {
            accepts_one_answer: false,
            ..ALL
        },
    ] {
        assert!(
            explore(safeguards).limit_exceeded,
            "the limit holds with {safeguards:?}: the model does not show that the disabled safeguard is needed"
        );
    }
}
