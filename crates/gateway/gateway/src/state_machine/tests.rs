//! Checks the state machine against a model of its obligations to clients.

use super::*;
use crate::protocol::{decode_request, Endpoint};
use bytes::Bytes;
use dunespur_decisions::types::{
    Effect as OperationEffect, OperationSettings, PlanSettings, TokenScope,
};
use std::collections::HashSet;

const ATTEMPT_RESULTS: [AttemptResult; 5] = [
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
    let tokened = OperationEffect::Tokened {
        scope: TokenScope::All,
        window: 2.5,
    };
    let effects = [
        OperationEffect::Idempotent,
        tokened,
        OperationEffect::NonIdempotent,
    ];
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

fn client_request(operation: u64, customer: u64) -> Rc<ClientRequest> {
    let names = ConfiguredNames {
        plans: vec!["p".into()],
        operations: ["0", "1", "2"].map(String::from).into(),
        zones: vec!["a".into()],
        fleet_size: 2,
        max_units: 1.0,
    };
    let request = hyper::Request::get("/api")
        .header("x-request-id", "1")
        .header("x-priority-class", operation.to_string())
        .header("x-tariff", "p")
        .header("x-timeout-ms", "1000")
        .header("x-weight", "units=1,spread=2,first=0")
        .header("cookie", format!("account={customer:016x}"));
    let (parts, ()) = request.body(()).unwrap().into_parts();
    Rc::new(decode_request(parts, Bytes::new(), &names).unwrap())
}

/// Generates events and checks the effects: a minimal model of clients, servers and the counter.
struct Model {
    random: u64,
    now: f64,
    state_machine: StateMachine,
    /// Invocations whose clients still wait.
    waiting: HashSet<u64>,
    /// Whether each server is live.
    live: Vec<bool>,
    /// Attempts in flight.
    open_attempts: Vec<Attempt>,
    /// Counter calls in flight.
    counter_calls: Vec<u64>,
}

impl Model {
    fn new(seed: u64) -> Self {
        let now = 1000.0;
        Model {
            random: seed.wrapping_mul(0x9E3779B97F4A7C15) | 1,
            now,
            state_machine: StateMachine::new(&settings(), now),
            waiting: HashSet::new(),
            live: vec![true; 4],
            open_attempts: Vec::new(),
            counter_calls: Vec::new(),
        }
    }

    fn random_below(&mut self, limit: usize) -> usize {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 33) as usize % limit
    }

    /// Returns the next event; while `draining`, no new invocations arrive.
    fn next_event(&mut self, step: u64, draining: bool) -> Event {
        match self.random_below(8) {
            0 | 1 if !draining => {
                self.waiting.insert(step);
                let (customer, operation) =
                    (self.random_below(3) as u64, self.random_below(3) as u64);
                Event::RequestReceived {
                    invocation_id: step,
                    request: client_request(customer, operation),
                }
            }
            2 | 3 if !self.open_attempts.is_empty() => {
                let index = self.random_below(self.open_attempts.len());
                let attempt = self.open_attempts.remove(index);
                Event::AttemptEnded {
                    invocation_id: attempt.invocation_id,
                    attempt: attempt.index,
                    response: ServerResponse::without_response(
                        ATTEMPT_RESULTS[self.random_below(5)],
                    ),
                }
            }
            4 if !self.counter_calls.is_empty() => {
                let total = CounterReply::Total(self.random_below(60) as f64);
                let reply = [total, CounterReply::Refused][self.random_below(2)];
                let index = self.random_below(self.counter_calls.len());
                Event::CounterReplied {
                    call: self.counter_calls.remove(index),
                    reply,
                }
            }
            5 if !self.waiting.is_empty() && self.random_below(4) == 0 => {
                let invocation_id = *self.waiting.iter().min().unwrap();
                self.waiting.remove(&invocation_id);
                Event::ClientDisconnected { invocation_id }
            }
            6 if self.random_below(20) == 0 => self.toggle_server(step),
            _ => {
                self.now +=
                    self.random_below(40) as f64 / 1000.0 * if draining { 10.0 } else { 1.0 };
                Event::TimerExpired
            }
        }
    }

    /// Withdraws a server or brings it back.
    fn toggle_server(&mut self, step: u64) -> Event {
        let server = self.random_below(4);
        self.live[server] = !self.live[server];
        let endpoint = |server: usize| Endpoint {
            id: server.to_string(),
            address: ([127, 0, 0, 1], 80 + server as u16).into(),
            zone: 0,
            cell: 0,
            started_at: 0.0,
            readiness: if self.live[server] {
                Readiness::Live
            } else {
                Readiness::Draining
            },
        };
        Event::EndpointsUpdated(EndpointUpdate {
            revision: step,
            complete: false,
            endpoints: (0..4).map(endpoint).collect(),
            all_decoded: true,
        })
    }

    fn step(&mut self, step: u64, draining: bool) {
        let mut effects = Vec::new();
        let event = self.next_event(step, draining);
        self.state_machine.handle(event, self.now, &mut effects);
        while !effects.is_empty() {
            for effect in std::mem::take(&mut effects) {
                self.perform(effect, &mut effects);
            }
        }
        let waiting = &self.waiting;
        assert!(
            self.open_attempts
                .iter()
                .all(|attempt| waiting.contains(&attempt.invocation_id)),
            "attempt in flight for a finished invocation"
        );
    }

    fn perform(&mut self, effect: Effect, effects: &mut Vec<Effect>) {
        let now = self.now;
        match effect {
            Effect::SendAttempt(attempt) => {
                let wanted =
                    self.waiting.contains(&attempt.invocation_id) && self.live[attempt.server];
                assert!(
                    wanted,
                    "attempt sent without a waiting client or to a withdrawn server"
                );
                let only_attempt = self
                    .open_attempts
                    .iter()
                    .all(|open| open.invocation_id != attempt.invocation_id);
                assert!(only_attempt, "two attempts in flight for one invocation");
                assert!(
                    attempt.deadline <= now + 1.0
                        && self.state_machine.is_still_wanted(&attempt, now)
                );
                self.open_attempts.push(attempt);
            }
            Effect::CancelAttempt {
                invocation_id,
                attempt,
                result,
            } => {
                self.open_attempts
                    .retain(|open| (open.invocation_id, open.index) != (invocation_id, attempt));
                let response = ServerResponse::without_response(result);
                let ended = Event::AttemptEnded {
                    invocation_id,
                    attempt,
                    response,
                };
                self.state_machine.handle(ended, now, effects);
            }
            Effect::Respond { invocation_id, .. } => {
                assert!(
                    self.waiting.remove(&invocation_id),
                    "response to an invocation whose client does not wait"
                )
            }
            Effect::CallCounter { call, .. } => self.counter_calls.push(call),
            Effect::AbandonCounterCall { call } => {
                self.counter_calls.retain(|open| *open != call);
                let reply = CounterReply::NoReply;
                let timed_out = Event::CounterReplied { call, reply };
                self.state_machine.handle(timed_out, now, effects);
            }
            Effect::RetireConnections { .. } | Effect::OpenWatch => {}
        }
    }
}

/// Each invocation gets exactly one response, and none after its client has disconnected. It has at most one attempt
/// in flight, none after the response and none at a withdrawn server. At the end no state is left.
#[test]
fn every_invocation_gets_one_response_and_no_state_is_left() {
    let (mut succeeded, mut timed_out) = (0, 0);
    for seed in 0..60u64 {
        let mut model = Model::new(seed);
        (0..3000u64).for_each(|step| model.step(step, step >= 1500));
        let Model {
            waiting,
            state_machine,
            ..
        } = &model;
        assert!(
            waiting.is_empty() && state_machine.pending_count() == 0,
            "{} invocations are left",
            state_machine.pending_count()
        );
        assert!(
            state_machine.counter_calls.is_empty() && state_machine.timers.is_empty(),
            "timers or counter calls are left"
        );
        succeeded += state_machine.stats.succeeded;
        timed_out += state_machine.stats.attempt_results[AttemptResult::Timeout as usize];
    }
    assert!(
        succeeded > 1000 && timed_out > 50,
        "{succeeded} succeeded, {timed_out} timed out"
    );
}
