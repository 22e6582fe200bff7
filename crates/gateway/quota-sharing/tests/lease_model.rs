//! The lending under a model checker: two brokers for one name by a stale view, two limiters that ask either
//! of them or the counter itself, calls and answers that come late, in any order, twice or never, a broker that
//! gives its rest back. The model drives the text that serves, `Broker` and `Borrower`. Each guard is then taken
//! out in turn, and the checker has to find a history that lets in more than the name holds. Time stands still
//! in it: names that grow, the pace near the limit and shares between borrowers are not covered.

use dunespur_decisions::types::CounterReply;
use dunespur_quota_sharing::{
    Borrower, Broker, BrokerAnswer, CounterCall, LeaseRequest, Output, Settings,
};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::hash::{Hash, Hasher};

/// Units that the name holds, and asks in all.
const FULL: f64 = 2.0;
const ASKS: u8 = 3;

#[derive(Clone, Copy, PartialEq)]
struct Safeguards {
    /// A broker lends only what the counter has said that it counted.
    counted_first: bool,
    /// A call that nobody knows the end of adds nothing to the block.
    silent_is_none: bool,
    /// A borrower takes one answer to each ask.
    once: bool,
}

const ALL: Safeguards = Safeguards {
    counted_first: true,
    silent_is_none: true,
    once: true,
};

#[derive(Clone, Debug)]
struct State {
    brokers: Vec<Broker>,
    limiters: Vec<Borrower>,
    total: f64,
    /// Calls on their way to the counter: broker, number, add.
    calls: Vec<(usize, u64, f64)>,
    /// Answers on their way back.
    totals: Vec<(usize, u64, f64)>,
    /// Brokers' answers on their way: to which limiter, to which of its asks.
    told: Vec<(usize, u64, BrokerAnswer)>,
    requests: u8,
    lost: u8,
    twice: u8,
    let_in: f64,
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
enum Act {
    Ask {
        limiter: usize,
        broker: usize,
    },
    /// A limiter that hears no broker.
    Direct,
    Count(usize),
    Total(usize),
    /// The call, or its answer, is lost; the broker learns that nobody knows.
    LoseCall(usize),
    LoseTotal(usize),
    Told(usize),
    ToldTwice(usize),
    /// The broker has the duty no more.
    Ended(usize),
}

struct Lending(Safeguards);

impl Lending {
    fn drive(&self, s: &mut State, broker: usize, out: Vec<Output>) {
        for o in out {
            match o {
                // Only totals let anyone in.
                Output::Respond {
                    to,
                    seq,
                    answer: answer @ BrokerAnswer::Total(_),
                    ..
                } => {
                    s.told.push((usize::from(to == "b"), seq, answer));
                }
                Output::CallCounter { call, add, .. } => {
                    s.calls.push((broker, call, add));
                    if !self.0.counted_first {
                        // Taken out: it goes by what the counter will surely say.
                        let mut next = Vec::new();
                        s.brokers[broker].counter_answered(
                            call,
                            CounterReply::Total(s.total + add),
                            0.0,
                            &mut next,
                        );
                        self.drive(s, broker, next);
                    }
                }
                Output::Respond { .. } | Output::AbandonCall { .. } => {}
            }
        }
    }

    fn silent(&self, s: &mut State, broker: usize, call: u64, add: f64) {
        let mut out = Vec::new();
        let counted = match self.0.silent_is_none {
            true => CounterReply::NoReply,
            false => CounterReply::Total(s.total + add),
        };
        s.brokers[broker].counter_answered(call, counted, 0.0, &mut out);
        self.drive(s, broker, out);
    }
}

impl Model for Lending {
    type State = State;
    type Action = Act;

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
            total: 0.0,
            calls: vec![],
            totals: vec![],
            told: vec![],
            requests: 0,
            lost: 0,
            twice: 0,
            let_in: 0.0,
        }]
    }

    fn actions(&self, s: &State, acts: &mut Vec<Act>) {
        if s.requests < ASKS {
            for limiter in 0..2 {
                (0..2).for_each(|broker| acts.push(Act::Ask { limiter, broker }));
            }
            acts.push(Act::Direct);
        }
        for n in 0..s.calls.len() {
            acts.push(Act::Count(n));
            if s.lost < 1 {
                acts.push(Act::LoseCall(n));
            }
        }
        for n in 0..s.totals.len() {
            acts.push(Act::Total(n));
            if s.lost < 1 {
                acts.push(Act::LoseTotal(n));
            }
        }
        for n in 0..s.told.len() {
            acts.push(Act::Told(n));
            if s.twice < 1 {
                acts.push(Act::ToldTwice(n));
            }
        }
        (0..2)
            .filter(|b| s.brokers[*b].name_count() > 0 && s.lost < 1)
            .for_each(|b| acts.push(Act::Ended(b)));
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut s = last.clone();
        let mut out = Vec::new();
        match act {
            Act::Ask { limiter, broker } => {
                s.requests += 1;
                let seq = u64::from(s.requests);
                // Each ask on its own name at the borrower: where it goes is drawn here, not by its trust.
                s.limiters[limiter].route(
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
                let (name, customer, add, requested, minimum) = (7, 1, 1.0, 1.0, 1.0);
                let (lifetime, limit, limit_rate, elapsed) = (60.0, FULL, 0.0, 1.0);
                let request = LeaseRequest {
                    seq,
                    name,
                    customer,
                    add,
                    requested,
                    minimum,
                    lifetime,
                    limit,
                    limit_rate,
                    elapsed,
                    remaining: 1.0,
                };
                s.brokers[broker].request(["a", "b"][limiter], 1, 0, request, 0.0, &mut out);
                self.drive(&mut s, broker, out);
            }
            Act::Direct => {
                s.requests += 1;
                s.total += 1.0;
                s.let_in += if s.total <= FULL { 1.0 } else { 0.0 };
            }
            Act::Count(n) => {
                let (broker, call, add) = s.calls.remove(n);
                s.total = (s.total + add).max(0.0);
                s.totals.push((broker, call, s.total));
            }
            Act::Total(n) => {
                let (broker, call, total) = s.totals.remove(n);
                s.brokers[broker].counter_answered(call, CounterReply::Total(total), 0.0, &mut out);
                self.drive(&mut s, broker, out);
            }
            Act::LoseCall(n) => {
                s.lost += 1;
                let (broker, call, add) = s.calls.remove(n);
                self.silent(&mut s, broker, call, add);
            }
            Act::LoseTotal(n) => {
                s.lost += 1;
                let (broker, call, _) = s.totals.remove(n);
                self.silent(&mut s, broker, call, 0.0);
            }
            Act::Told(n) | Act::ToldTwice(n) => {
                let (limiter, seq, answer) = match act {
                    Act::Told(_) => s.told.remove(n),
                    _ => s.told[n],
                };
                s.twice += u8::from(matches!(act, Act::ToldTwice(_)));
                let taken = s.limiters[limiter].broker_answered(seq, answer, 0.5, 0.0);
                let total = match (taken, answer, self.0.once) {
                    (Some(CounterReply::Total(t)), _, _)
                    | (None, BrokerAnswer::Total(t), false) => t,
                    _ => return Some(s),
                };
                // The module's rule: what it added fits under what the name holds.
                s.let_in += if total <= FULL { 1.0 } else { 0.0 };
            }
            Act::Ended(broker) => {
                s.lost += 1;
                s.brokers[broker].slot_lost(0, &mut out);
                self.drive(&mut s, broker, out);
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never over", |_, s: &State| s.let_in <= FULL),
            Property::sometimes("all of it", |_, s: &State| s.let_in == FULL),
        ]
    }
}

fn explore(safeguards: Safeguards) -> (bool, bool, usize) {
    let checker = Lending(safeguards)
        .checker()
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let found = |name: &'static str| checker.discovery(name).is_some();
    (
        found("never over"),
        found("all of it"),
        checker.unique_state_count(),
    )
}

#[test]
fn two_brokers_and_limiters_without_one_admit_no_more_than_the_name_allows() {
    let (exceeded, all, states) = explore(ALL);
    assert!(!exceeded, "let in too much");
    assert!(all && states > 1_000, "{states} states");
}

#[test]
fn each_guard_taken_out_lets_in_too_much() {
    for safeguards in [
        Safeguards {
            counted_first: false,
            ..ALL
        },
        Safeguards {
            silent_is_none: false,
            ..ALL
        },
        Safeguards { once: false, ..ALL },
    ] {
        assert!(explore(safeguards).0);
    }
}
