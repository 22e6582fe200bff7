//! A busy limiter and one with little traffic for the same customer, which exceeds its quota: first with the counter
//! alone, then with a broker in the counter's place.

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

struct Harness {
    now: f64,
    limiters: Vec<Limiter>,
    counter: BTreeMap<u64, f64>,
    calls: u64,
    broker: Option<Broker>,
    /// Held invocations by id, with their gateway.
    pending: BTreeMap<u64, (usize, Invocation)>,
    /// The gateway that sent each invocation, by id.
    sent: BTreeMap<u64, usize>,
}

impl Harness {
    fn new(with_broker: bool) -> Self {
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
        let gateway = |slot: u32| {
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
            let server = |index| Server {
                index,
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
        let broker = with_broker.then(|| Broker::new(settings, 0));
        let (limiters, counter, pending) = (
            vec![gateway(0), gateway(1)],
            BTreeMap::new(),
            BTreeMap::new(),
        );
        Harness {
            now,
            limiters,
            counter,
            calls: 0,
            broker,
            pending,
            sent: BTreeMap::new(),
        }
    }

    fn add_at_counter(&mut self, name: u64, add: f64) -> f64 {
        self.calls += 1;
        let total = self.counter.entry(name).or_default();
        *total = (*total + add).max(0.0);
        *total
    }

    /// The reply to an add, by the broker if there is one, else by the counter.
    fn add(
        &mut self,
        gateway: usize,
        name: u64,
        add: f64,
        lifetime: f64,
        context: AddContext,
    ) -> CounterReply {
        let Some(mut broker) = self.broker.take() else {
            return CounterReply::Total(self.add_at_counter(name, add));
        };
        let request = LeaseRequest::new(
            CounterCall {
                call: 1,
                name,
                add,
                lifetime,
            },
            &context,
            self.now - context.window_start,
        );
        let mut out = Vec::new();
        broker.request(&format!("g{gateway}"), 1, 0, request, self.now, &mut out);
        let mut reply = CounterReply::Refused;
        while !out.is_empty() {
            let mut next = Vec::new();
            for output in out {
                match output {
                    Output::Respond {
                        answer: BrokerAnswer::Total(total),
                        ..
                    } => reply = CounterReply::Total(total),
                    Output::CallCounter {
                        call, name, add, ..
                    } => {
                        let total = self.add_at_counter(name, add);
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
        reply
    }

    fn run_actions(&mut self, gateway: usize) {
        while let Some(action) = self.limiters[gateway].next_action() {
            match action {
                Action::AddToCounter {
                    name,
                    add,
                    lifetime,
                    context,
                } => {
                    let reply = self.add(gateway, name, add, lifetime, context);
                    self.limiters[gateway].counter_answered(name, reply, 0.001, self.now);
                }
                Action::Place(id) => self.place(id),
                _ => {}
            }
        }
    }

    fn place(&mut self, id: u64) {
        let Some((gateway, mut invocation)) = self.pending.remove(&id) else {
            return;
        };
        match self.limiters[gateway].place(&mut invocation, self.now) {
            dunespur_decisions::types::Decision::Send(_) => {
                self.sent.insert(id, gateway);
                let outcome = Outcome {
                    attempt: 0,
                    result: AttemptResult::Succeeded,
                    duration: 0.02,
                    answered: true,
                    usage: None,
                    settled_units: None,
                };
                self.limiters[gateway].attempt_ended(&mut invocation, &outcome, self.now);
            }
            dunespur_decisions::types::Decision::Hold => {
                _ = self.pending.insert(id, (gateway, invocation))
            }
            _ => {}
        }
        self.run_actions(gateway);
    }

    /// Runs sixty seconds of 50 invocations a second at one limiter and 2 at the other; returns the sends of each.
    fn run(&mut self) -> (usize, usize) {
        let mut id = 0;
        for step in 0..6000u64 {
            self.now += 0.01;
            for gateway in 0..2 {
                let interval = [2, 50][gateway];
                if step % interval == 0 {
                    id += 1;
                    let client_deadline = self.now + 2.0;
                    let invocation = Invocation::from(Arrival {
                        id,
                        customer: 9,
                        plan: 0,
                        operation: 0,
                        units: 1.0,
                        first_gateway: 0,
                        gateways: 2,
                        arrived_at: self.now,
                        client_deadline,
                    });
                    self.pending.insert(id, (gateway, invocation));
                    self.place(id);
                }
            }
        }
        let sent_by = |gateway| {
            let owners = self.sent.values();
            owners.filter(|owner| **owner == gateway).count()
        };
        (sent_by(0), sent_by(1))
    }
}

#[test]
fn a_limiter_with_little_traffic_gets_its_fair_share_beside_a_busy_one() {
    let mut alone = Harness::new(false);
    let (busy, quiet) = alone.run();
    // Records the unfair result without a broker, so that a change of it shows.
    assert!(
        busy > 1500 && quiet < 30,
        "with the counter alone the busy limiter sent {busy} and the quiet one {quiet}"
    );
    let mut shared = Harness::new(true);
    let (busy, quiet) = shared.run();
    assert!(
        quiet >= 80,
        "with a broker the busy limiter sent {busy} and the quiet one {quiet} of 120"
    );
    let all = 26.0 * 60.0 + 26.0;
    assert!(
        (busy + quiet) as f64 <= all + 1.0,
        "{busy} and {quiet} sent exceed the quota of {all}"
    );
    assert!(
        (busy + quiet) as f64 >= 0.95 * all,
        "{busy} and {quiet} sent of a quota of {all}"
    );
    assert!(
        shared.calls * 5 < alone.calls,
        "{} counter calls with a broker, {} with the counter alone",
        shared.calls,
        alone.calls
    );
}
