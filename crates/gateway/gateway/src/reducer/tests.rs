//! Tests of the reducer beside a model of what the front promises.

use super::*;
use crate::message::{decode_asked, Member};
use bytes::Bytes;
use dunespur_decisions::types::{Effect as Run, OperationSettings, PlanSettings, TokenScope};
use std::collections::HashSet;

const ENDINGS: [AttemptResult; 5] = [
    AttemptResult::Succeeded,
    AttemptResult::Error,
    AttemptResult::Overloaded,
    AttemptResult::ConnectFailed,
    AttemptResult::Reset,
];

pub fn settings() -> Settings {
    let operation = |effect| OperationSettings {
        effect,
        latency_target: 0.6,
        integration_timeout: 2.0,
        billed_value: 1.0,
        late_share: 0.0,
    };
    let tokened = Run::Tokened {
        scope: TokenScope::All,
        window: 2.5,
    };
    let effects = [Run::Idempotent, tokened, Run::NonIdempotent];
    Settings {
        seed: 1,
        fleet_index: 0,
        fleet_size: 2,
        zone: 0,
        operations: effects.into_iter().map(operation).collect(),
        plans: vec![PlanSettings {
            rate: 20.0,
            burst: 20.0,
            beyond_quota_cost: 1.0,
            price: 1.0,
            ..Default::default()
        }],
        has_counter: true,
        counter_timeout: 0.05,
        call_price: 0.02,
        max_retry_after: 0.5,
        max_attempts: 6,
        warm_up_from: 0.2,
        warm_up_time: 10.0,
        overload_multiple: 4.0,
        response_slack: 0.016,
        endpoints_on_request: false,
    }
}

fn asked(operation: u64, customer: u64) -> Rc<Asked> {
    let names = Names {
        plans: vec!["p".into()],
        operations: ["0", "1", "2"].map(String::from).into(),
        zones: vec!["a".into()],
        fleet: 2,
        most_units: 1.0,
    };
    let request = hyper::Request::get("/api")
        .header("x-request-id", "1")
        .header("x-priority-class", operation.to_string())
        .header("x-tariff", "p")
        .header("x-timeout-ms", "1000")
        .header("x-weight", "units=1,spread=2,first=0")
        .header("cookie", format!("account={customer:016x}"));
    let (parts, ()) = request.body(()).unwrap().into_parts();
    Rc::new(decode_asked(parts, Bytes::new(), &names).unwrap())
}

/// A plain model of the front's duties beside generated events.
struct Model {
    random: u64,
    now: f64,
    reducer: Reducer,
    /// Invocations whose clients wait.
    waiting: HashSet<u64>,
    /// Which servers are not withdrawn.
    live: Vec<bool>,
    /// Deliveries that are out.
    open: Vec<Delivery>,
    /// Calls to the counter that are out.
    calls: Vec<u64>,
}

impl Model {
    fn new(seed: u64) -> Self {
        let now = 1000.0;
        Model {
            random: seed.wrapping_mul(0x9E3779B97F4A7C15) | 1,
            now,
            reducer: Reducer::new(&settings(), now),
            waiting: HashSet::new(),
            live: vec![true; 4],
            open: Vec::new(),
            calls: Vec::new(),
        }
    }

    fn any(&mut self, most: usize) -> usize {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 33) as usize % most
    }

    /// The next event; `last` where no invocation comes any more.
    fn event(&mut self, step: u64, last: bool) -> Event {
        match self.any(8) {
            0 | 1 if !last => {
                self.waiting.insert(step);
                let (customer, operation) = (self.any(3) as u64, self.any(3) as u64);
                Event::Taken {
                    num: step,
                    asked: asked(customer, operation),
                }
            }
            2 | 3 if !self.open.is_empty() => {
                let at = self.any(self.open.len());
                let delivery = self.open.remove(at);
                Event::Ended {
                    num: delivery.num,
                    n: delivery.n,
                    answered: Answered::none(ENDINGS[self.any(5)]),
                }
            }
            4 if !self.calls.is_empty() => {
                let total = CounterReply::Total(self.any(60) as f64);
                let counted = [total, CounterReply::Refused][self.any(2)];
                let at = self.any(self.calls.len());
                Event::Counted {
                    call: self.calls.remove(at),
                    counted,
                }
            }
            5 if !self.waiting.is_empty() && self.any(4) == 0 => {
                let num = *self.waiting.iter().min().unwrap();
                self.waiting.remove(&num);
                Event::ClientGone { num }
            }
            6 if self.any(20) == 0 => self.endpoints(step),
            _ => {
                self.now += self.any(40) as f64 / 1000.0 * if last { 10.0 } else { 1.0 };
                Event::Due
            }
        }
    }

    /// One server is withdrawn or comes back.
    fn endpoints(&mut self, step: u64) -> Event {
        let tgt = self.any(4);
        self.live[tgt] = !self.live[tgt];
        let member = |tgt: usize| Member {
            id: tgt.to_string(),
            address: ([127, 0, 0, 1], 80 + tgt as u16).into(),
            zone: 0,
            cell: 0,
            started_at: 0.0,
            readiness: if self.live[tgt] {
                Readiness::Live
            } else {
                Readiness::Draining
            },
        };
        Event::Endpoints(News {
            revision: step,
            complete: false,
            members: (0..4).map(member).collect(),
            whole: true,
        })
    }

    fn step(&mut self, step: u64, last: bool) {
        let mut out = Vec::new();
        let event = self.event(step, last);
        self.reducer.reduce(event, self.now, &mut out);
        while !out.is_empty() {
            for effect in std::mem::take(&mut out) {
                self.carry_out(effect, &mut out);
            }
        }
        let waiting = &self.waiting;
        assert!(
            self.open.iter().all(|d| waiting.contains(&d.num)),
            "out for one that is done"
        );
    }

    fn carry_out(&mut self, effect: Effect, out: &mut Vec<Effect>) {
        let now = self.now;
        match effect {
            Effect::Send(d) => {
                let wanted = self.waiting.contains(&d.num) && self.live[d.tgt];
                assert!(wanted, "sent with no need");
                let alone = self.open.iter().all(|o| o.num != d.num);
                assert!(alone, "two deliveries out");
                assert!(d.until <= now + 1.0 && self.reducer.holds(&d, now));
                self.open.push(d);
            }
            Effect::Abandon { num, n, ending } => {
                self.open.retain(|d| (d.num, d.n) != (num, n));
                let answered = Answered::none(ending);
                let ended = Event::Ended { num, n, answered };
                self.reducer.reduce(ended, now, out);
            }
            Effect::Reply { num, .. } => {
                assert!(self.waiting.remove(&num), "answered twice or none")
            }
            Effect::Count { call, .. } => self.calls.push(call),
            Effect::AbandonCount { call } => {
                self.calls.retain(|c| *c != call);
                let counted = CounterReply::NoReply;
                let silent = Event::Counted { call, counted };
                self.reducer.reduce(silent, now, out);
            }
            Effect::Retire { .. } | Effect::Watch => {}
        }
    }
}

/// One answer each and none to who has left, one delivery out at a time, none after the answer or to a server
/// withdrawn, nothing kept.
#[test]
fn every_invocation_gets_one_answer_and_nothing_is_kept() {
    let (mut succeeded, mut timed_out) = (0, 0);
    for seed in 0..60u64 {
        let mut model = Model::new(seed);
        (0..3000u64).for_each(|step| model.step(step, step >= 1500));
        let Model {
            waiting, reducer, ..
        } = &model;
        assert!(
            waiting.is_empty() && reducer.in_hand() == 0,
            "{} kept",
            reducer.in_hand()
        );
        assert!(
            reducer.calls.is_empty() && reducer.timers.is_empty(),
            "timers or calls kept"
        );
        succeeded += reducer.stats.succeeded;
        timed_out += reducer.stats.endings[AttemptResult::Timeout as usize];
    }
    assert!(
        succeeded > 1000 && timed_out > 50,
        "{succeeded} succeeded, {timed_out} timed out"
    );
}
