//! Checks several limiters against a plain model of the five rules, on generated sequences of steps.

mod harness;

use dunespur_decisions::types::*;
use harness::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;

/// Time for which a gateway may still send to a server after it was told that the server drains or is gone, seconds.
const DRAIN_GRACE: f64 = 0.25;
/// Maximum load of a warming server, as a multiple of its present capacity.
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// Time over which the load of a server is measured, seconds.
const LOAD_WINDOW: f64 = 1.0;
/// Assumed capacity of a warm server, attempts per second; if a warm server was sent more, that number counts instead.
const CAPACITY: f64 = 12.0;

#[derive(Clone, Debug)]
enum Step {
    Submit {
        gateway: usize,
        customer: u64,
        operation: usize,
        count: usize,
    },
    Advance(f64),
    EndAttempt {
        position: usize,
        result: AttemptResult,
    },
    CounterReply {
        position: usize,
        added: bool,
        replied: bool,
    },
    ClearCounter,
    ImmediateReplies(bool),
    UpdateEndpoint {
        gateway: usize,
        server_index: usize,
        readiness: Readiness,
        restarted: bool,
    },
    ReplaceEndpoints {
        gateway: usize,
        empty: bool,
    },
    Restart(usize),
    Disconnect(u64),
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Step {
        let mut below = |n: usize| usize::arbitrary(generator) % n;
        let gateway = below(3);
        match below(40) {
            0..=11 => {
                let count = [1, 1, 4, 12][below(4)];
                Step::Submit {
                    gateway,
                    customer: below(6) as u64,
                    operation: below(5),
                    count,
                }
            }
            12..=19 => Step::Advance([0.001, 0.02, 0.1, 0.4, 2.0][below(5)]),
            20..=30 => {
                use AttemptResult::*;
                let all = [
                    Succeeded,
                    Succeeded,
                    Succeeded,
                    Succeeded,
                    Error,
                    Overloaded,
                    ConnectFailed,
                    Reset,
                    NotSent,
                ];
                Step::EndAttempt {
                    position: below(50),
                    result: all[below(9)],
                }
            }
            31..=33 => Step::CounterReply {
                position: below(50),
                added: below(4) > 0,
                replied: below(4) > 0,
            },
            34 => Step::ClearCounter,
            35 => Step::ImmediateReplies(below(3) > 0),
            36 | 37 => {
                let readiness = [Readiness::Live, Readiness::Draining, Readiness::Gone][below(3)];
                Step::UpdateEndpoint {
                    gateway,
                    server_index: below(5),
                    readiness,
                    restarted: below(2) == 0,
                }
            }
            38 => match below(3) {
                0 => Step::ReplaceEndpoints {
                    gateway,
                    empty: below(3) == 0,
                },
                _ => Step::Disconnect(below(60) as u64),
            },
            _ => Step::Restart(gateway),
        }
    }
}

fn model_settings(fleet: u32) -> Settings {
    let tokened = |scope| Effect::Tokened { scope, window: 0.2 };
    let hard = PlanSettings {
        hard_rate: 3.0,
        hard_burst: 6.0,
        ..rate_plan(30.0, 30.0)
    };
    Settings {
        operations: vec![
            operation(Effect::Idempotent, 1.0),
            operation(Effect::NonIdempotent, 2.0),
            operation(tokened(TokenScope::All), 1.0),
            operation(tokened(TokenScope::Zone), 3.0),
            operation(tokened(TokenScope::Cell), 1.0),
        ],
        plans: vec![
            hard.clone(),
            rate_plan(30.0, 30.0),
            PlanSettings {
                beyond_quota_earnings: 1.0,
                beyond_quota_cost: 0.0,
                ..hard
            },
            PlanSettings {
                max_in_flight: 4.0,
                ..PlanSettings::default()
            },
            rate_plan(30.0, 60.0),
            PlanSettings {
                hard_rate: 12.0,
                hard_burst: 24.0,
                ..rate_plan(8.0, 16.0)
            },
        ],
        ..settings(fleet)
    }
}

fn run_steps(steps: &[Step], fleet: usize) -> Harness {
    let mut f = Harness::new(model_settings(fleet as u32), 5);
    let per_group = fleet / 3;
    f.settled_units = Some(1.5);
    for step in steps {
        match *step {
            Step::Submit {
                gateway,
                customer,
                operation,
                count,
            } => (0..count).for_each(|i| {
                let units =
                    [1.0, 2.0, 1.0, 2.0, 1.0, 12.0 / fleet.clamp(3, 12) as f64][customer as usize];
                f.submit(
                    gateway * per_group + i % per_group,
                    customer,
                    customer as usize,
                    operation,
                    units,
                );
            }),
            Step::Advance(seconds) => f.advance(seconds),
            Step::EndAttempt { position, result } if !f.in_flight.is_empty() => {
                f.advance(0.005);
                let n = f.in_flight.len();
                if n > 0 {
                    f.end_attempt(position % n, result);
                }
            }
            Step::CounterReply {
                position,
                added,
                replied,
            } if !f.calls.is_empty() => {
                let chosen = f.calls[position % f.calls.len()].clone();
                let first = f
                    .calls
                    .iter()
                    .position(|call| {
                        call.gateway == chosen.gateway && call.counter_name == chosen.counter_name
                    })
                    .unwrap();
                f.reply_to_call(first, added, replied);
            }
            // A counter that loses its data is down for longer than a short window.
            Step::ClearCounter => {
                let immediate = std::mem::replace(&mut f.immediate_replies, false);
                f.advance(1.1);
                f.counter.clear();
                f.immediate_replies = immediate;
            }
            Step::ImmediateReplies(immediate) => f.immediate_replies = immediate,
            Step::UpdateEndpoint {
                gateway,
                server_index,
                readiness,
                restarted,
            } => {
                let started_at = if restarted { f.now } else { 0.0 };
                let entry = Server {
                    readiness,
                    started_at,
                    ..server(server_index)
                };
                (gateway * per_group..(gateway + 1) * per_group)
                    .for_each(|gateway| f.update_endpoints(gateway, vec![entry], false));
            }
            Step::ReplaceEndpoints { gateway, empty } => {
                let all = (0..if empty { 0 } else { 4 }).map(server).collect();
                f.update_endpoints(gateway * per_group, all, true);
            }
            Step::Restart(gateway) => f.restart(gateway * per_group),
            Step::Disconnect(id) => f.disconnect(id),
            _ => {}
        }
    }
    f.advance(5.0);
    f
}

/// The events of one invocation, as far as the rules depend on them.
#[derive(Default)]
struct InvocationRecord {
    gateway: usize,
    deadline: f64,
    operation: usize,
    responses: usize,
    /// Whether the client disconnected or the limiter restarted, so that no response is due.
    closed: bool,
    /// Server and send time of each attempt and, once it ended, whether it certainly never ran.
    attempts: Vec<(usize, f64, Option<bool>)>,
}

/// The first violation of a rule in the events of the harness.
fn first_violation(f: &Harness) -> Option<String> {
    let mut checker = RuleChecker::new(&f.settings);
    for timed in &f.events {
        if let Err(violation) = checker.check(timed.at, &timed.event) {
            return violation;
        }
    }
    let unanswered = checker
        .invocations
        .iter()
        .find(|(_, record)| record.responses == 0 && !record.closed);
    unanswered.map(|(id, _)| format!("rule 1: invocation {id} never got a response"))
}

/// The text of a violation; none for an event of an unknown invocation.
type Violation = Option<String>;

/// Checks the rules event by event.
struct RuleChecker<'a> {
    settings: &'a Settings,
    invocations: BTreeMap<u64, InvocationRecord>,
    /// Customer, plan and units of each invocation.
    customers: BTreeMap<u64, (u64, usize, f64)>,
    /// By gateway and server, the time at which the gateway was told that the server drains or is gone.
    unavailable_since: BTreeMap<(usize, usize), f64>,
    /// Latest start of each server.
    started_at: BTreeMap<usize, f64>,
    /// Latest start of each server that a gateway was told of.
    known_starts: BTreeMap<(usize, usize), f64>,
    /// By customer, the units left of the rate limit and the time of the last update.
    rate_limits: BTreeMap<u64, (f64, f64)>,
    /// Server, time and gateway of each attempt.
    sends: Vec<(usize, f64, usize)>,
    /// Highest number of attempts sent to a warm server within [`LOAD_WINDOW`]; at least [`CAPACITY`].
    warm_load: f64,
}

impl<'a> RuleChecker<'a> {
    fn new(settings: &'a Settings) -> Self {
        RuleChecker {
            settings,
            invocations: BTreeMap::new(),
            customers: BTreeMap::new(),
            unavailable_since: BTreeMap::new(),
            started_at: BTreeMap::new(),
            known_starts: BTreeMap::new(),
            rate_limits: BTreeMap::new(),
            sends: Vec::new(),
            warm_load: CAPACITY,
        }
    }

    fn check(&mut self, now: f64, event: &Event) -> Result<(), Violation> {
        match event {
            Event::Submitted {
                gateway,
                invocation,
            } => {
                let record = InvocationRecord {
                    gateway: *gateway,
                    deadline: invocation.client_deadline,
                    operation: invocation.operation,
                    ..InvocationRecord::default()
                };
                self.invocations.insert(invocation.id, record);
                self.customers.insert(
                    invocation.id,
                    (invocation.customer, invocation.plan, invocation.units),
                );
            }
            Event::EndpointUpdated { gateway, entry } => {
                let key = (*gateway, entry.index);
                match entry.readiness {
                    Readiness::Live => self.unavailable_since.remove(&key),
                    _ => Some(*self.unavailable_since.entry(key).or_insert(now)),
                };
                if entry.started_at > 0.0 {
                    self.started_at.insert(entry.index, entry.started_at);
                    self.known_starts.insert(key, entry.started_at);
                }
            }
            Event::EndpointRemoved {
                gateway,
                server_index,
            } => {
                let key = (*gateway, *server_index);
                self.unavailable_since.entry(key).or_insert(now);
            }
            Event::Restarted { gateway } => {
                // The limiter's pending invocations are lost; their clients may submit them again.
                self.invocations.values_mut().for_each(|record| {
                    record.closed |= record.gateway == *gateway && record.responses == 0;
                });
            }
            Event::Sent {
                gateway,
                id,
                attempt,
                server_index,
            } => self.check_sent(now, *gateway, *id, *attempt, *server_index)?,
            Event::Ended {
                id,
                attempt,
                result,
                answered,
                ..
            } => {
                let record = self.invocations.get_mut(id).ok_or(None)?;
                record.attempts[*attempt].2 = Some(result.never_ran());
                if *answered && *result == AttemptResult::Succeeded && !record.closed {
                    record.responses += 1;
                }
            }
            Event::AnsweredByLimiter { id, decision, .. } => {
                self.check_answered(now, *id, decision)?
            }
            Event::Disconnected { id, .. } => {
                self.invocations.get_mut(id).ok_or(None)?.closed = true;
            }
        }
        Ok(())
    }

    fn check_sent(
        &mut self,
        now: f64,
        gateway: usize,
        id: u64,
        attempt: usize,
        server_index: usize,
    ) -> Result<(), Violation> {
        self.check_repeat(now, id, server_index)?;
        if self
            .unavailable_since
            .get(&(gateway, server_index))
            .is_some_and(|&since| now > since + DRAIN_GRACE)
        {
            return Err(Some(format!(
                "rule 3: invocation {id} sent to server {server_index}, which drains or is gone"
            )));
        }
        self.sends.push((server_index, now, gateway));
        self.check_warming_load(now, server_index)?;
        if attempt == 0 {
            self.check_rate_limit(now, id)?;
        }
        Ok(())
    }

    /// Rules 1 and 2: no attempt after the end of an invocation, and a second one only where the operation allows it.
    fn check_repeat(&mut self, now: f64, id: u64, server_index: usize) -> Result<(), Violation> {
        let record = self.invocations.get_mut(&id).ok_or(None)?;
        if record.responses > 0 || record.closed || now > record.deadline {
            return Err(Some(format!(
                "rule 1: invocation {id} sent after its end or deadline"
            )));
        }
        let effect = self.settings.operations[record.operation].effect;
        for &(first, sent_at, never_ran) in &record.attempts {
            let may_have_run = never_ran != Some(true);
            let is_allowed = match effect {
                Effect::Idempotent => true,
                Effect::NonIdempotent => !may_have_run,
                Effect::Tokened { scope, window } => {
                    let same_scope = match scope {
                        TokenScope::All => true,
                        TokenScope::Zone => server(first).zone == server(server_index).zone,
                        TokenScope::Cell => server(first).cell == server(server_index).cell,
                    };
                    !may_have_run || (same_scope && now <= sent_at + window)
                }
            };
            if !is_allowed || never_ran.is_none() {
                return Err(Some(format!(
                    "rule 2: invocation {id} sent again though it may have run"
                )));
            }
        }
        record.attempts.push((server_index, now, None));
        Ok(())
    }

    /// Rule 4: a server that has just started gets only a part of a warm server's load.
    fn check_warming_load(&mut self, now: f64, server_index: usize) -> Result<(), Violation> {
        // Attempts sent to an earlier process of the server do not load the new one.
        let started_at = self.started_at.get(&server_index).copied();
        let since = started_at.unwrap_or(0.0).max(now - LOAD_WINDOW);
        let recent = || {
            self.sends
                .iter()
                .filter(|send| send.0 == server_index && send.1 > since)
        };
        let load = recent().count() as f64;
        let warm_up_time = self.settings.warm_up_time;
        let Some(started_at) = started_at.filter(|&at| now < at + warm_up_time) else {
            self.warm_load = load.max(self.warm_load);
            return Ok(());
        };
        let capacity =
            0.2 + 0.8 * ((now - LOAD_WINDOW).max(started_at) - started_at) / warm_up_time;
        let knows_start = |send: &&(usize, f64, usize)| {
            self.known_starts.get(&(send.2, server_index)) == Some(&started_at)
        };
        let informed = recent().filter(knows_start).count() as f64 / load;
        if load > OVERLOAD_MULTIPLE * capacity * self.warm_load && informed >= 2.0 / 3.0 {
            return Err(Some(format!(
                "rule 4: {load} attempts sent to warming server {server_index} within {LOAD_WINDOW} s"
            )));
        }
        Ok(())
    }

    /// Rule 5: the customer's hard rate limit.
    fn check_rate_limit(&mut self, now: f64, id: u64) -> Result<(), Violation> {
        let (customer, plan, units) = self.customers[&id];
        let plan = &self.settings.plans[plan];
        if plan.hard_rate <= 0.0 {
            return Ok(());
        }
        let (left, updated_at) = self
            .rate_limits
            .get(&customer)
            .copied()
            .unwrap_or((plan.hard_burst, now));
        let left = (left + plan.hard_rate * (now - updated_at)).min(plan.hard_burst) - units;
        self.rate_limits.insert(customer, (left, now));
        if left < -1e-6 {
            return Err(Some(format!(
                "rule 5: customer {customer} has {left} units left of its rate limit"
            )));
        }
        Ok(())
    }

    fn check_answered(&mut self, now: f64, id: u64, decision: &Decision) -> Result<(), Violation> {
        let record = self.invocations.get_mut(&id).ok_or(None)?;
        record.responses += 1;
        let latest = record.deadline + self.settings.response_slack;
        if record.responses > 1 || record.closed || now > latest {
            return Err(Some(format!(
                "rule 1: invocation {id} got response {} at {now}, due by {latest}, closed: {}",
                record.responses, record.closed
            )));
        }
        let may_have_run = record
            .attempts
            .iter()
            .any(|attempt| attempt.2 != Some(true));
        let repeat_is_harmful = match self.settings.operations[record.operation].effect {
            Effect::Idempotent
            | Effect::Tokened {
                scope: TokenScope::All,
                ..
            } => false,
            _ => may_have_run,
        };
        if repeat_is_harmful && matches!(decision, Decision::Throttle { .. }) {
            return Err(Some(format!(
                "rule 2: invocation {id} throttled though it may have run"
            )));
        }
        Ok(())
    }
}

#[test]
fn limiters_violate_no_rule_in_generated_sequences_of_steps() {
    fn obeys_rules<const FLEET: usize>(steps: Vec<Step>) -> Result<(), String> {
        first_violation(&run_steps(&steps, FLEET)).map_or(Ok(()), Err)
    }
    let gen = || Gen::from_size_and_seed(400, 20261201);
    QuickCheck::new()
        .rng(gen())
        .tests(1200)
        .max_tests(1200)
        .quickcheck(obeys_rules::<3> as fn(Vec<Step>) -> _);
    QuickCheck::new()
        .rng(gen())
        .tests(60)
        .max_tests(60)
        .quickcheck(obeys_rules::<300> as fn(Vec<Step>) -> _);
}
