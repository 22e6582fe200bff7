//! A test harness: several limiters, a counter and servers. The counter replies at once unless `immediate_replies` is
//! false; attempts end when the test ends them or when they time out in `advance`.
#![allow(dead_code)]

use dunespur_decisions::types::*;
use dunespur_decisions::Limiter;
use std::collections::BTreeMap;

/// Something that happened to a client, a limiter or an endpoint.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client submitted an invocation.
    Submitted {
        gateway: usize,
        invocation: Invocation,
    },
    /// An attempt was sent.
    Sent {
        gateway: usize,
        id: u64,
        attempt: usize,
        server_index: usize,
    },
    /// An attempt ended; `answered` tells whether the client has its final response, from this or an earlier attempt.
    Ended {
        gateway: usize,
        id: u64,
        attempt: usize,
        result: AttemptResult,
        answered: bool,
    },
    /// A limiter throttled an invocation or answered it with an error.
    AnsweredByLimiter {
        gateway: usize,
        id: u64,
        decision: Decision,
    },
    /// A client disconnected.
    Disconnected { gateway: usize, id: u64 },
    /// A limiter was restarted without its state.
    Restarted { gateway: usize },
    /// A limiter was told of a changed endpoint.
    EndpointUpdated { gateway: usize, entry: Server },
    /// An endpoint is missing from a complete list.
    EndpointRemoved { gateway: usize, server_index: usize },
}

/// An event with the time at which it happened.
#[derive(Clone, Debug)]
pub struct TimedEvent {
    pub at: f64,
    pub event: Event,
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub gateway: usize,
    pub id: u64,
    pub attempt: usize,
    pub server_index: usize,
    pub sent_at: f64,
    pub deadline: f64,
}

/// An open call to the counter, which adds `units` to the counter of this name.
#[derive(Clone, Debug)]
pub struct OpenCall {
    pub gateway: usize,
    pub counter_name: u64,
    pub units: f64,
}

/// An unfinished invocation.
pub struct PendingInvocation {
    pub gateway: usize,
    pub invocation: Invocation,
    /// The time at which a held invocation is placed again; infinite for others.
    pub place_at: f64,
}

pub struct Harness {
    pub now: f64,
    pub settings: Settings,
    pub limiters: Vec<Limiter>,
    pub endpoint_lists: Vec<Vec<Server>>,
    pub counter: BTreeMap<u64, f64>,
    pub calls: Vec<OpenCall>,
    pub in_flight: Vec<SentAttempt>,
    /// Unfinished invocations by id.
    pub pending: BTreeMap<u64, PendingInvocation>,
    /// All events, in order.
    pub events: Vec<TimedEvent>,
    /// Number of calls made to the counter so far.
    pub counter_calls: usize,
    /// Whether the counter replies to each call at once.
    pub immediate_replies: bool,
    /// The customer's usage over all gateways, as a share of its rate, that every outcome reports.
    pub usage: Option<f64>,
    /// Actual units of the invocation that every successful outcome reports, where the charged units were an estimate.
    pub settled_units: Option<f64>,
    last_id: u64,
    /// Number of limiters started so far; seeds the next one.
    starts: u64,
}

pub fn operation(effect: Effect, billed_value: f64) -> OperationSettings {
    OperationSettings {
        effect,
        latency_target: 0.6,
        integration_timeout: 2.0,
        billed_value,
        late_share: 0.0,
    }
}

pub fn rate_plan(rate: f64, burst: f64) -> PlanSettings {
    PlanSettings {
        rate,
        burst,
        beyond_quota_cost: 1.0,
        price: 1.0,
        ..PlanSettings::default()
    }
}

pub fn settings(fleet: u32) -> Settings {
    Settings {
        seed: 7,
        fleet_index: 0,
        fleet_size: fleet,
        zone: 0,
        operations: vec![operation(Effect::Idempotent, 1.0)],
        plans: vec![rate_plan(1000.0, 1000.0)],
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
    }
}

pub fn server(server_index: usize) -> Server {
    Server {
        index: server_index,
        zone: server_index % 2,
        cell: server_index as u64 / 2,
        started_at: 0.0,
        readiness: Readiness::Live,
    }
}

impl Harness {
    pub fn new(settings: Settings, servers: usize) -> Self {
        let mut harness = Harness {
            now: 100.0,
            limiters: Vec::new(),
            endpoint_lists: vec![(0..servers).map(server).collect(); settings.fleet_size as usize],
            settings,
            counter: BTreeMap::new(),
            calls: Vec::new(),
            in_flight: Vec::new(),
            pending: BTreeMap::new(),
            events: Vec::new(),
            counter_calls: 0,
            immediate_replies: true,
            usage: None,
            settled_units: None,
            last_id: 0,
            starts: 0,
        };
        for gateway in 0..harness.settings.fleet_size as usize {
            let limiter = harness.limiter(gateway);
            harness.limiters.push(limiter);
            harness.update_endpoints(gateway, harness.endpoint_lists[gateway].clone(), true);
        }
        harness
    }

    fn limiter(&mut self, gateway: usize) -> Limiter {
        self.starts += 1;
        Limiter::new(
            &Settings {
                seed: self.starts,
                fleet_index: gateway as u32,
                ..self.settings.clone()
            },
            self.now,
        )
    }

    fn record(&mut self, event: Event) {
        self.events.push(TimedEvent {
            at: self.now,
            event,
        });
    }

    /// Restarts a limiter without its state but with its last endpoint list.
    pub fn restart(&mut self, gateway: usize) {
        self.record(Event::Restarted { gateway });
        self.pending.retain(|_, pending| pending.gateway != gateway);
        self.in_flight.retain(|attempt| attempt.gateway != gateway);
        self.calls.retain(|call| call.gateway != gateway);
        self.limiters[gateway] = self.limiter(gateway);
        self.update_endpoints(gateway, self.endpoint_lists[gateway].clone(), true);
    }

    pub fn update_endpoints(&mut self, gateway: usize, entries: Vec<Server>, complete: bool) {
        if complete {
            for old in std::mem::take(&mut self.endpoint_lists[gateway]) {
                if !entries.iter().any(|entry| entry.index == old.index) {
                    self.record(Event::EndpointRemoved {
                        gateway,
                        server_index: old.index,
                    });
                }
            }
        }
        for &entry in &entries {
            self.record(Event::EndpointUpdated { gateway, entry });
            self.endpoint_lists[gateway].retain(|old| old.index != entry.index);
            self.endpoint_lists[gateway].push(entry);
        }
        self.limiters[gateway].update_endpoints(&entries, complete, self.now);
        self.run_actions(gateway);
    }

    pub fn submit(
        &mut self,
        gateway: usize,
        customer: u64,
        plan: usize,
        operation: usize,
        units: f64,
    ) -> u64 {
        self.last_id += 1;
        let client_deadline = self.now + self.settings.operations[operation].integration_timeout;
        let invocation = Invocation::from(Arrival {
            id: self.last_id,
            customer,
            plan,
            operation,
            units,
            first_gateway: 0,
            gateways: self.settings.fleet_size,
            arrived_at: self.now,
            client_deadline,
        });
        self.record(Event::Submitted {
            gateway,
            invocation: invocation.clone(),
        });
        let pending = PendingInvocation {
            gateway,
            invocation,
            place_at: f64::INFINITY,
        };
        self.pending.insert(self.last_id, pending);
        let id = self.last_id;
        self.place(id);
        self.run_actions(gateway);
        id
    }

    pub fn submit_many(&mut self, gateway: usize, count: usize) {
        (0..count).for_each(|_| _ = self.submit(gateway, 1, 0, 0, 1.0));
    }

    pub fn end_all_at_server(&mut self, server_index: usize, result: AttemptResult) {
        let at_server = |attempt: &SentAttempt| attempt.server_index == server_index;
        while let Some(position) = self.in_flight.iter().position(at_server) {
            self.end_attempt(position, result);
        }
    }

    /// Ends all open calls in the way that [`Harness::reply_to_call`] ends one.
    pub fn reply_to_all(&mut self, added: bool, replied: bool) {
        while !self.calls.is_empty() {
            self.reply_to_call(0, added, replied);
        }
    }

    fn place(&mut self, id: u64) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let invocation = &mut pending.invocation;
        if matches!(invocation.stage, Stage::InFlight | Stage::Done) {
            return;
        }
        let decision = self.limiters[pending.gateway].place(invocation, self.now);
        self.apply_decision(id, decision);
    }

    fn apply_decision(&mut self, id: u64, decision: Decision) {
        let pending = self.pending.get_mut(&id).unwrap();
        let gateway = pending.gateway;
        let invocation = &pending.invocation;
        let wait = self.limiters[gateway].wait_time(invocation, self.now);
        pending.place_at = if decision == Decision::Hold && invocation.stage != Stage::InFlight {
            self.now + wait
        } else {
            f64::INFINITY
        };
        let finished = invocation.stage == Stage::Done && invocation.in_flight == 0;
        match decision {
            Decision::Send(server_index) => {
                let attempt = invocation.attempts.len() - 1;
                let deadline = (self.now + wait).min(invocation.client_deadline);
                self.in_flight.push(SentAttempt {
                    gateway,
                    id,
                    attempt,
                    server_index,
                    sent_at: self.now,
                    deadline,
                });
                self.record(Event::Sent {
                    gateway,
                    id,
                    attempt,
                    server_index,
                });
            }
            Decision::Throttle { .. } | Decision::Error => self.record(Event::AnsweredByLimiter {
                gateway,
                id,
                decision,
            }),
            Decision::Hold | Decision::Done => {}
        }
        if finished {
            self.pending.remove(&id);
        }
    }

    /// Runs the actions that a limiter requests, and the immediate replies of the counter, until none is left.
    fn run_actions(&mut self, gateway: usize) {
        loop {
            while let Some(action) = self.limiters[gateway].next_action() {
                match action {
                    Action::Place(id) => self.place(id),
                    Action::AddToCounter { name, add, .. } => {
                        self.counter_calls += 1;
                        self.calls.push(OpenCall {
                            gateway,
                            counter_name: name,
                            units: add,
                        });
                    }
                    Action::WatchEndpoints | Action::ScheduleTick(_) => {}
                }
            }
            let replies_now = |call: &OpenCall| self.immediate_replies && call.gateway == gateway;
            let Some(position) = self.calls.iter().position(replies_now) else {
                return;
            };
            self.reply_to_call(position, true, true);
        }
    }

    /// Ends the open call at this position: `added` tells whether the counter added the units, `replied` whether the
    /// reply arrived.
    pub fn reply_to_call(&mut self, position: usize, added: bool, replied: bool) {
        let OpenCall {
            gateway,
            counter_name,
            units,
        } = self.calls.remove(position);
        let total = self.counter.entry(counter_name).or_insert(0.0);
        *total += if added { units } else { 0.0 };
        let reply = match (added, replied) {
            (true, true) => CounterReply::Total(*total),
            (false, true) => CounterReply::Refused,
            _ => CounterReply::NoReply,
        };
        self.limiters[gateway].counter_answered(counter_name, reply, 0.0, self.now);
        self.run_actions(gateway);
    }

    pub fn end_attempt(&mut self, position: usize, result: AttemptResult) {
        let SentAttempt {
            gateway,
            id,
            attempt,
            sent_at,
            ..
        } = self.in_flight.remove(position);
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let invocation = &mut pending.invocation;
        let succeeded = result == AttemptResult::Succeeded;
        let answered = invocation.stage == Stage::Done || succeeded;
        let outcome = Outcome {
            attempt,
            result,
            duration: self.now - sent_at,
            answered,
            usage: self.usage,
            settled_units: self.settled_units.filter(|_| succeeded),
        };
        self.events.push(TimedEvent {
            at: self.now,
            event: Event::Ended {
                gateway,
                id,
                attempt,
                result,
                answered,
            },
        });
        let decision = self.limiters[gateway].attempt_ended(invocation, &outcome, self.now);
        self.apply_decision(id, decision);
        self.run_actions(gateway);
    }

    pub fn disconnect(&mut self, id: u64) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let gateway = pending.gateway;
        self.limiters[gateway].disconnected(&mut pending.invocation);
        self.record(Event::Disconnected { gateway, id });
        self.apply_decision(id, Decision::Done);
        self.run_actions(gateway);
    }

    /// Lets time pass: places held invocations again when they are due and times out attempts.
    pub fn advance(&mut self, seconds: f64) {
        let end = self.now + seconds;
        for round in 0.. {
            assert!(
                round < 100_000,
                "the limiters placed invocations endlessly within {seconds} s"
            );
            let next_placed = self
                .pending
                .iter()
                .map(|(&id, pending)| (pending.place_at, id))
                .min_by(|a, b| a.partial_cmp(b).unwrap());
            let next_timeout = self
                .in_flight
                .iter()
                .map(|attempt| attempt.deadline)
                .enumerate()
                .min_by(|a, b| a.1.total_cmp(&b.1));
            let (placed_at, id) = next_placed.unwrap_or((f64::INFINITY, 0));
            let (position, timeout_at) = next_timeout.unwrap_or((0, f64::INFINITY));
            if placed_at.min(timeout_at) > end {
                break;
            }
            self.now = self.now.max(placed_at.min(timeout_at));
            if timeout_at <= placed_at {
                self.end_attempt(position, AttemptResult::Timeout);
            } else {
                let gateway = self.pending[&id].gateway;
                self.place(id);
                self.run_actions(gateway);
            }
        }
        self.now = end;
    }

    /// The server of each attempt sent, in order.
    pub fn sent_to(&self) -> Vec<usize> {
        self.events
            .iter()
            .filter_map(|timed| {
                if let Event::Sent { server_index, .. } = timed.event {
                    Some(server_index)
                } else {
                    None
                }
            })
            .collect()
    }

    /// Number of throttled invocations.
    pub fn throttled(&self) -> usize {
        let is_throttled = |event: &Event| {
            matches!(
                event,
                Event::AnsweredByLimiter {
                    decision: Decision::Throttle { .. },
                    ..
                }
            )
        };
        self.events
            .iter()
            .filter(|timed| is_throttled(&timed.event))
            .count()
    }
}
