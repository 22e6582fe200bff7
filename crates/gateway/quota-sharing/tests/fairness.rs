//! A busy limiter and a thin one of the same customer, over its quota: the module with the counter alone, and
//! the same module with a broker in the counter's place.

use dunespur_decisions::types::{
    Action, AddContext, Arrival, AttemptResult, CounterReply, Effect, Invocation,
    OperationSettings, Outcome, PlanSettings,
};
use dunespur_decisions::types::{Readiness, Server, Settings};
use dunespur_decisions::Limiter;
use dunespur_quota_sharing::{
    self as quota_sharing, Broker, BrokerAnswer, CounterCall, LeaseRequest, Output,
};
use std::collections::BTreeMap;

struct Rig {
    now: f64,
    gates: Vec<Limiter>,
    counter: BTreeMap<u64, f64>,
    calls: u64,
    broker: Option<Broker>,
    pending: BTreeMap<u64, (usize, Invocation)>,
    sent: BTreeMap<u64, usize>,
}

impl Rig {
    fn new(broker: bool) -> Self {
        let plan = PlanSettings {
            rate: 26.0,
            burst: 26.0,
            beyond_quota_cost: 1.0,
            price: 1.0,
            ..Default::default()
        };
        let operation = OperationSettings {
            effect: Effect::Idempotent,
            latency_target: 0.6,
            integration_timeout: 2.0,
            billed_value: 1.0,
            late_share: 0.0,
        };
        let now = 1000.0;
        let gate = |slot: u32| {
            let mut limiter = Limiter::new(
                &Settings {
                    seed: 7 + u64::from(slot),
                    fleet_index: slot,
                    fleet_size: 2,
                    zone: 0,
                    operations: vec![operation.clone()],
                    plans: vec![plan.clone()],
                    has_counter: true,
                    counter_timeout: 0.05,
                    call_price: 0.02,
                    max_retry_after: 0.5,
                    max_attempts: 6,
                    warm_up_from: 0.2,
                    warm_up_time: 10.0,
                    overload_multiple: 3.0,
                    response_slack: 0.02,
                    endpoints_on_request: false,
                },
                now,
            );
            let server = |tgt| Server {
                index: tgt,
                zone: 0,
                cell: 0,
                started_at: 0.0,
                readiness: Readiness::Live,
            };
            limiter.update_endpoints(&[0, 1, 2, 3].map(server), true, now);
            limiter
        };
        let settings = quota_sharing::Settings {
            max_lead: 1.0,
            demand_window: 4.0,
            counter_timeout: 0.04,
            reread_interval: 2.0,
            near_limit_interval: 0.25,
            broker_backoff: 1.0,
            max_names: 100,
            max_waiting: 100,
            max_borrowers: 10,
        };
        let broker = broker.then(|| Broker::new(settings, 0));
        let (gates, counter, pending) = (vec![gate(0), gate(1)], BTreeMap::new(), BTreeMap::new());
        Rig {
            now,
            gates,
            counter,
            calls: 0,
            broker,
            pending,
            sent: BTreeMap::new(),
        }
    }

    fn count(&mut self, name: u64, add: f64) -> f64 {
        self.calls += 1;
        let total = self.counter.entry(name).or_default();
        *total = (*total + add).max(0.0);
        *total
    }

    /// The total that an add is answered with, by the broker where there is one.
    fn add(
        &mut self,
        gate: usize,
        name: u64,
        add: f64,
        lifetime: f64,
        a: AddContext,
    ) -> CounterReply {
        let Some(mut broker) = self.broker.take() else {
            return CounterReply::Total(self.count(name, add));
        };
        let request = LeaseRequest::new(
            CounterCall {
                call: 1,
                name,
                add,
                lifetime,
            },
            &a,
            self.now - a.window_start,
        );
        let mut out = Vec::new();
        broker.request(&format!("g{gate}"), 1, 0, request, self.now, &mut out);
        let mut told = CounterReply::Refused;
        while !out.is_empty() {
            let mut next = Vec::new();
            for o in out {
                match o {
                    Output::Respond {
                        answer: BrokerAnswer::Total(total),
                        ..
                    } => told = CounterReply::Total(total),
                    Output::CallCounter {
                        call, name, add, ..
                    } => {
                        let total = self.count(name, add);
                        broker.counter_answered(
                            call,
                            CounterReply::Total(total),
                            self.now,
                            &mut next,
                        );
                    }
                    _ => {}
                }
            }
            out = next;
        }
        self.broker = Some(broker);
        told
    }

    fn pump(&mut self, gate: usize) {
        while let Some(action) = self.gates[gate].next_action() {
            match action {
                Action::AddToCounter {
                    name,
                    add,
                    lifetime,
                    context: about,
                } => {
                    let counted = self.add(gate, name, add, lifetime, about);
                    self.gates[gate].counter_answered(name, counted, 0.001, self.now);
                }
                Action::Place(num) => self.place(num),
                _ => {}
            }
        }
    }

    fn place(&mut self, num: u64) {
        let Some((gate, mut inv)) = self.pending.remove(&num) else {
            return;
        };
        match self.gates[gate].place(&mut inv, self.now) {
            dunespur_decisions::types::Decision::Send(_) => {
                self.sent.insert(num, gate);
                let outcome = Outcome {
                    attempt: 0,
                    result: AttemptResult::Succeeded,
                    duration: 0.02,
                    answered: true,
                    usage: None,
                    settled_units: None,
                };
                self.gates[gate].attempt_ended(&mut inv, &outcome, self.now);
            }
            dunespur_decisions::types::Decision::Hold => _ = self.pending.insert(num, (gate, inv)),
            _ => {}
        }
        self.pump(gate);
    }

    /// Sixty seconds of 50 invocations a second at one limiter and 2 at the other; what each sent.
    fn play(&mut self) -> (usize, usize) {
        let mut num = 0;
        for step in 0..6000u64 {
            self.now += 0.01;
            for gate in 0..2 {
                let every = [2, 50][gate];
                if step % every == 0 {
                    num += 1;
                    let until = self.now + 2.0;
                    let inv = Invocation::from(Arrival {
                        id: num,
                        customer: 9,
                        plan: 0,
                        operation: 0,
                        units: 1.0,
                        first_gateway: 0,
                        gateways: 2,
                        arrived_at: self.now,
                        client_deadline: until,
                    });
                    self.pending.insert(num, (gate, inv));
                    self.place(num);
                }
            }
        }
        let of = |gate| self.sent.values().filter(|g| **g == gate).count();
        (of(0), of(1))
    }
}

#[test]
fn a_thin_limiter_gets_its_fair_share_beside_a_busy_one() {
    let mut alone = Rig::new(false);
    let (busy, thin) = alone.play();
    // What the module and the counter alone make of it: recorded, so that a change shows.
    assert!(
        busy > 1500 && thin < 30,
        "with the counter alone {busy} and {thin}"
    );
    let mut shared = Rig::new(true);
    let (busy, thin) = shared.play();
    assert!(thin >= 80, "with a broker {busy} and {thin} of 120");
    let all = 26.0 * 60.0 + 26.0;
    assert!(
        (busy + thin) as f64 <= all + 1.0,
        "{busy} and {thin} are over the quota of {all}"
    );
    assert!(
        (busy + thin) as f64 >= 0.95 * all,
        "{busy} and {thin} of {all}"
    );
    assert!(
        shared.calls * 5 < alone.calls,
        "{} calls, {} with the counter alone",
        shared.calls,
        alone.calls
    );
}
