//! State machine of the gateway: takes events with their time and returns effects. Owns the pending invocations, the
//! timers, the indices of servers and the `Limiter`, which only this module calls. It does no I/O and reads no clock;
//! all decisions are made by the `Limiter`.

use crate::protocol::{
    ClientRequest, ClientResponse, ConfiguredNames, EndpointUpdate, ServerResponse,
};
use crate::stats::Stats;
use dunespur_decisions::types::{
    Action, AddContext, Arrival, AttemptResult, CounterReply, Decision, Invocation, Outcome,
    Readiness, Server, Settings, Stage,
};
use dunespur_decisions::Limiter;
use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// Something that happened, as input to the state machine.
pub enum Event {
    /// A client sent a complete request.
    RequestReceived {
        invocation_id: u64,
        request: Rc<ClientRequest>,
    },
    /// The client listener rejected a message.
    RequestRejected,
    ClientDisconnected {
        invocation_id: u64,
    },
    /// An attempt ended or was cancelled.
    AttemptEnded {
        invocation_id: u64,
        attempt: usize,
        response: ServerResponse,
    },
    CounterReplied {
        call: u64,
        reply: CounterReply,
    },
    EndpointsUpdated(EndpointUpdate),
    WatchLost,
    /// The fleet's health checks found the server at this address unhealthy (`bad`) or healthy again, valid for
    /// `pause` seconds.
    FleetVerdict {
        address: SocketAddr,
        bad: bool,
        pause: f64,
    },
    ClientConnected,
    ServerConnected,
    /// The time returned by `next_due` has been reached.
    TimerExpired,
}

/// An attempt to send an invocation to a server.
#[derive(Clone)]
pub struct Attempt {
    pub invocation_id: u64,
    pub index: usize,
    pub server: usize,
    pub address: SocketAddr,
    pub request: Rc<ClientRequest>,
    pub deadline: f64,
}

/// An action that the state machine requests.
pub enum Effect {
    SendAttempt(Attempt),
    /// Cancels an attempt at once. It ends with `result`, unless it timed out before its last byte was written.
    CancelAttempt {
        invocation_id: u64,
        attempt: usize,
        result: AttemptResult,
    },
    Respond {
        invocation_id: u64,
        response: ClientResponse,
    },
    CallCounter {
        call: u64,
        name: u64,
        add: f64,
        lifetime: f64,
        context: AddContext,
    },
    AbandonCounterCall {
        call: u64,
    },
    /// Sends no further attempts over the existing connections to the server.
    RetireConnections {
        server: usize,
    },
    OpenWatch,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Timer {
    /// Asks the limiter for another decision on an invocation.
    Reconsider(u64),
    /// Ends the wait for an attempt, by invocation id and attempt index.
    AttemptDeadline(u64, usize),
    /// Ends the wait for a counter call.
    CounterCallDeadline(u64),
    /// Runs the periodic work of the limiter.
    LimiterTick,
}

#[derive(PartialEq)]
struct ScheduledTimer(f64, Timer);

impl Eq for ScheduledTimer {}

impl Ord for ScheduledTimer {
    /// Reversed, so that the heap returns the earliest timer first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0)
    }
}

impl PartialOrd for ScheduledTimer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// An invocation that is not finished or has attempts in flight.
struct PendingInvocation {
    request: Rc<ClientRequest>,
    invocation: Invocation,
    /// When the limiter is asked for another decision.
    reconsider_at: f64,
    /// Bit set of the attempts in flight, by index.
    open_attempts: u64,
}

/// A server that discovery has listed.
struct KnownServer {
    address: SocketAddr,
    started_at: f64,
    live: bool,
}

pub struct StateMachine {
    limiter: Limiter,
    counter_timeout: f64,
    response_slack: f64,
    pending_invocations: HashMap<u64, PendingInvocation>,
    timers: BinaryHeap<ScheduledTimer>,
    /// Name and start time of each counter call in flight.
    counter_calls: HashMap<u64, (u64, f64)>,
    last_counter_call: u64,
    /// Index in `servers` by endpoint id.
    server_indices: HashMap<String, usize>,
    servers: Vec<KnownServer>,
    pub stats: Stats,
}

impl StateMachine {
    pub fn new(settings: &Settings, now: f64) -> Self {
        StateMachine {
            limiter: Limiter::new(settings, now),
            counter_timeout: settings.counter_timeout,
            response_slack: settings.response_slack,
            pending_invocations: HashMap::new(),
            timers: BinaryHeap::new(),
            counter_calls: HashMap::new(),
            last_counter_call: 0,
            server_indices: HashMap::new(),
            servers: Vec::new(),
            stats: Stats::default(),
        }
    }

    /// The time at which `Event::TimerExpired` is due next.
    pub fn next_due(&self) -> Option<f64> {
        self.timers.peek().map(|timer| timer.0)
    }

    pub fn pending_count(&self) -> usize {
        self.pending_invocations.len()
    }

    /// Whether the attempt should still be sent, checked once its connection is established.
    pub fn is_still_wanted(&self, attempt: &Attempt, now: f64) -> bool {
        let Some(pending) = self.pending_invocations.get(&attempt.invocation_id) else {
            return false;
        };
        let server = &self.servers[attempt.server];
        let server_unchanged = server.live && server.address == attempt.address;
        // `resendable`: the window in which the invocation may be repeated can end while the connection is set up.
        pending.open_attempts & (1 << attempt.index) != 0
            && now < attempt.deadline
            && server_unchanged
            && self.limiter.resendable(&pending.invocation, now)
    }

    pub fn handle(&mut self, event: Event, now: f64, effects: &mut Vec<Effect>) {
        match event {
            Event::RequestReceived {
                invocation_id,
                request,
            } => self.receive_request(invocation_id, request, now, effects),
            Event::RequestRejected => self.stats.rejected += 1,
            Event::ClientDisconnected { invocation_id } => {
                self.client_disconnected(invocation_id, now, effects)
            }
            Event::AttemptEnded {
                invocation_id,
                attempt,
                response,
            } => self.attempt_ended(invocation_id, attempt, response, now, effects),
            Event::CounterReplied { call, reply } => {
                let Some((name, called_at)) = self.counter_calls.remove(&call) else {
                    return;
                };
                self.stats.record_counter_reply(reply);
                self.limiter
                    .counter_answered(name, reply, now - called_at, now);
            }
            Event::EndpointsUpdated(update) => self.update_endpoints(update, now, effects),
            Event::WatchLost => {
                self.stats.watches_lost += 1;
                self.limiter.watch_lost();
            }
            Event::FleetVerdict {
                address,
                bad,
                pause,
            } => {
                if let Some(server) = self
                    .servers
                    .iter()
                    .position(|server| server.live && server.address == address)
                {
                    self.limiter.fleet_verdict(server, bad, pause, now);
                }
            }
            Event::ClientConnected => self.stats.client_connections += 1,
            Event::ServerConnected => self.stats.server_connections += 1,
            Event::TimerExpired => self.expire_timers(now, effects),
        }
        self.perform_limiter_actions(now, effects);
    }

    fn receive_request(
        &mut self,
        invocation_id: u64,
        request: Rc<ClientRequest>,
        now: f64,
        effects: &mut Vec<Effect>,
    ) {
        self.stats.received += 1;
        // The response must reach the client before its deadline.
        let deadline = now + (request.timeout - self.response_slack).max(0.0);
        let mut invocation = Invocation::from(Arrival {
            id: invocation_id,
            customer: request.customer,
            plan: request.plan,
            operation: request.operation,
            units: request.units,
            first_gateway: request.first_gateway,
            gateways: request.gateways,
            arrived_at: now,
            client_deadline: deadline,
        });
        invocation.repeat = request.repeat;
        self.pending_invocations.insert(
            invocation_id,
            PendingInvocation {
                request,
                invocation,
                reconsider_at: f64::INFINITY,
                open_attempts: 0,
            },
        );
        self.place(invocation_id, now, effects);
    }

    fn place(&mut self, invocation_id: u64, now: f64, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending_invocations.get_mut(&invocation_id) else {
            return;
        };
        if matches!(pending.invocation.stage, Stage::InFlight | Stage::Done) {
            return;
        }
        let decision = self.limiter.place(&mut pending.invocation, now);
        self.apply_decision(invocation_id, decision, now, effects);
    }

    /// Applies a decision of the limiter, then removes the invocation if it is done and has no attempts in flight.
    fn apply_decision(
        &mut self,
        invocation_id: u64,
        decision: Decision,
        now: f64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending_invocations.get_mut(&invocation_id) else {
            return;
        };
        let wait = self.limiter.wait_time(&pending.invocation, now);
        match decision {
            Decision::Send(server) => {
                let (attempt, deadline) = (
                    pending.invocation.attempts.len() - 1,
                    (now + wait).min(pending.invocation.client_deadline),
                );
                pending.open_attempts |= 1 << attempt;
                self.timers.push(ScheduledTimer(
                    deadline,
                    Timer::AttemptDeadline(invocation_id, attempt),
                ));
                self.stats.attempts += 1;
                let (address, request) = (self.servers[server].address, pending.request.clone());
                effects.push(Effect::SendAttempt(Attempt {
                    invocation_id,
                    index: attempt,
                    server,
                    address,
                    request,
                    deadline,
                }));
            }
            Decision::Hold
                if pending.invocation.stage != Stage::InFlight
                    && now + wait < pending.reconsider_at =>
            {
                pending.reconsider_at = now + wait;
                self.timers.push(ScheduledTimer(
                    pending.reconsider_at,
                    Timer::Reconsider(invocation_id),
                ));
            }
            Decision::Throttle { pause, cause } => {
                self.stats.throttled[cause as usize] += 1;
                effects.push(Effect::Respond {
                    invocation_id,
                    response: ClientResponse::Throttled { pause },
                });
            }
            Decision::Error => {
                self.stats.errored += 1;
                effects.push(Effect::Respond {
                    invocation_id,
                    response: ClientResponse::Errored,
                });
            }
            Decision::Hold | Decision::Done => {}
        }
        if pending.invocation.stage == Stage::Done && pending.invocation.in_flight == 0 {
            self.pending_invocations.remove(&invocation_id);
        }
    }

    fn attempt_ended(
        &mut self,
        invocation_id: u64,
        attempt: usize,
        response: ServerResponse,
        now: f64,
        effects: &mut Vec<Effect>,
    ) {
        let ServerResponse {
            result,
            usage,
            body,
        } = response;
        let Some(pending) = self
            .pending_invocations
            .get_mut(&invocation_id)
            .filter(|pending| pending.open_attempts & (1 << attempt) != 0)
        else {
            return;
        };
        pending.open_attempts &= !(1 << attempt);
        self.stats.record_attempt(result);
        let finished = pending.invocation.stage == Stage::Done;
        let done = finished || result == AttemptResult::Succeeded;
        if done && !finished {
            self.stats.succeeded += 1;
            effects.push(Effect::Respond {
                invocation_id,
                response: ClientResponse::Succeeded(body),
            });
        }
        // Responses of this protocol never settle units.
        let outcome = Outcome {
            attempt,
            result,
            duration: now - pending.invocation.attempts[attempt].1,
            answered: done,
            usage,
            settled_units: None,
        };
        let decision = self
            .limiter
            .attempt_ended(&mut pending.invocation, &outcome, now);
        self.apply_decision(invocation_id, decision, now, effects);
    }

    fn client_disconnected(&mut self, invocation_id: u64, now: f64, effects: &mut Vec<Effect>) {
        let Some(pending) = self
            .pending_invocations
            .get_mut(&invocation_id)
            .filter(|pending| pending.invocation.stage != Stage::Done)
        else {
            return;
        };
        self.stats.clients_gone += 1;
        self.limiter.disconnected(&mut pending.invocation);
        for attempt in (0..pending.invocation.attempts.len())
            .filter(|attempt| pending.open_attempts & (1 << attempt) != 0)
        {
            effects.push(Effect::CancelAttempt {
                invocation_id,
                attempt,
                result: AttemptResult::Cancelled,
            });
        }
        self.apply_decision(invocation_id, Decision::Done, now, effects);
    }

    fn update_endpoints(&mut self, update: EndpointUpdate, now: f64, effects: &mut Vec<Effect>) {
        self.stats.endpoint_updates += 1;
        if update.complete {
            self.servers
                .iter_mut()
                .for_each(|server| server.live = false);
        }
        let mut servers = Vec::with_capacity(update.endpoints.len());
        for endpoint in update.endpoints {
            let live = endpoint.readiness == Readiness::Live;
            let known_server = KnownServer {
                address: endpoint.address,
                started_at: endpoint.started_at,
                live,
            };
            let server = match self.server_indices.get(&endpoint.id) {
                Some(&server) => {
                    let previous = std::mem::replace(&mut self.servers[server], known_server);
                    if previous.address != endpoint.address
                        || previous.started_at < endpoint.started_at
                    {
                        effects.push(Effect::RetireConnections { server });
                    }
                    server
                }
                None => {
                    self.servers.push(known_server);
                    self.server_indices
                        .insert(endpoint.id, self.servers.len() - 1);
                    self.servers.len() - 1
                }
            };
            let (zone, cell, started_at, readiness) = (
                endpoint.zone,
                endpoint.cell,
                endpoint.started_at,
                endpoint.readiness,
            );
            servers.push(Server {
                index: server,
                zone,
                cell,
                started_at,
                readiness,
            });
        }
        let unavailable = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, server)| !server.live);
        effects.extend(unavailable.map(|(server, _)| Effect::RetireConnections { server }));
        self.limiter
            .update_endpoints(&servers, update.complete, now);
    }

    fn expire_timers(&mut self, now: f64, effects: &mut Vec<Effect>) {
        while self.timers.peek().is_some_and(|timer| timer.0 <= now) {
            let Some(ScheduledTimer(due, timer)) = self.timers.pop() else {
                return;
            };
            match timer {
                Timer::Reconsider(invocation_id) => {
                    if let Some(pending) = self
                        .pending_invocations
                        .get_mut(&invocation_id)
                        .filter(|pending| pending.reconsider_at <= due)
                    {
                        pending.reconsider_at = f64::INFINITY;
                        self.place(invocation_id, now, effects);
                    }
                }
                Timer::AttemptDeadline(invocation_id, attempt) => {
                    if self
                        .pending_invocations
                        .get(&invocation_id)
                        .is_some_and(|pending| pending.open_attempts & (1 << attempt) != 0)
                    {
                        effects.push(Effect::CancelAttempt {
                            invocation_id,
                            attempt,
                            result: AttemptResult::Timeout,
                        });
                    }
                }
                Timer::CounterCallDeadline(call) => {
                    if self.counter_calls.contains_key(&call) {
                        effects.push(Effect::AbandonCounterCall { call });
                    }
                }
                Timer::LimiterTick => self.limiter.tick(),
            }
        }
    }

    fn perform_limiter_actions(&mut self, now: f64, effects: &mut Vec<Effect>) {
        while let Some(action) = self.limiter.next_action() {
            match action {
                Action::Place(invocation_id) => self.place(invocation_id, now, effects),
                Action::AddToCounter {
                    name,
                    add,
                    lifetime,
                    context,
                } => {
                    self.last_counter_call += 1;
                    self.stats.counter_calls += 1;
                    let call = self.last_counter_call;
                    self.counter_calls.insert(call, (name, now));
                    self.timers.push(ScheduledTimer(
                        now + self.counter_timeout,
                        Timer::CounterCallDeadline(call),
                    ));
                    effects.push(Effect::CallCounter {
                        call,
                        name,
                        add,
                        lifetime,
                        context,
                    });
                }
                Action::WatchEndpoints => effects.push(Effect::OpenWatch),
                Action::ScheduleTick(after) => self
                    .timers
                    .push(ScheduledTimer(now + after, Timer::LimiterTick)),
            }
        }
    }
}

/// The names and limits from the settings that the protocol decoders need.
pub fn configured_names(
    settings_document: &dunespur_settings::SettingsDocument,
) -> ConfiguredNames {
    let (plans, operations, zones) = (
        settings_document.plans.clone(),
        settings_document.operations.clone(),
        settings_document.zones.clone(),
    );
    ConfiguredNames {
        plans,
        operations,
        zones,
        fleet_size: settings_document.settings.fleet_size,
        max_units: settings_document.max_units,
    }
}

#[cfg(test)]
pub mod tests;
