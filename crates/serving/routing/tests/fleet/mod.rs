//! A discrete-event simulation of gateways and engines that serve agent programs, from a seed.

mod conversation;
pub mod engine;
mod event_queue;
pub mod result;
pub mod router;
pub mod scenario;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;

use dunespur_routing::{LoadReport, Millis, Outcome, PromptSegment, Server};

use crate::common::digest::Digest;
use conversation::{Conversation, Turn};
use engine::{Engine, EngineModel, Event, Job};
use event_queue::{ScheduledEvent, SimEvent};
use result::ScenarioResult;
use router::{Router, RoutingDecision};
use scenario::{gateway_in, router, server, Growth, Policy, Scenario};

const REPORT_INTERVAL_MS: f64 = 300.0;
const REPORT_DELAY_MS: f64 = 20.0;
const GATEWAY_DELAY_MS: f64 = 1.0;
const MAX_ATTEMPTS: usize = 3;
/// Timeout of a gateway for the first event of an attempt.
const FIRST_EVENT_TIMEOUT_MS: f64 = 2_000.0;

/// Simulates a scenario with the given policy.
pub fn simulate(scenario: &Scenario, policy: Policy) -> ScenarioResult {
    Fleet::new(scenario.clone(), policy).run().result
}

/// A digest of the choices, their times, the load reports and the final results of a simulation with
/// [`Policy::Balanced`].
pub fn digest(scenario: &Scenario) -> u64 {
    let Fleet {
        mut digest, result, ..
    } = Fleet::new(scenario.clone(), Policy::Balanced).run();
    for count in [
        result.turns,
        result.failed,
        result.rejected,
        result.deferred,
        result.timed_out,
        result.migrated,
    ] {
        digest.hash_number(count as u64);
    }
    for ms in result.first_ms.iter().chain(&result.turn_ms) {
        digest.hash_float(*ms);
    }
    digest.hash_number(result.prefilled_tokens);
    digest.hash_number(result.preempted);
    digest.value()
}

struct Fleet {
    scenario: Scenario,
    servers: Vec<Server>,
    engines: Vec<Engine>,
    /// Whether each engine has a step scheduled.
    stepping: Vec<bool>,
    routers: Vec<Box<dyn Router>>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Number of events scheduled so far.
    order: u64,
    turns: HashMap<usize, Turn>,
    last_turn: usize,
    programs: u64,
    random: fastrand::Rng,
    /// The greatest length in which each prompt segment has been dispatched.
    max_dispatched_tokens: HashMap<u64, u32>,
    result: ScenarioResult,
    digest: Digest,
}

impl Fleet {
    fn new(scenario: Scenario, policy: Policy) -> Self {
        let servers: Vec<Server> = (0..scenario.engines)
            .map(|number| server(&scenario, number))
            .collect();
        let mut engines = Vec::new();
        for number in 0..scenario.engines {
            let slow = scenario.slow.iter().find(|(slow, _)| *slow == number);
            let slowness = slow.map_or(1.0, |(_, slowness)| *slowness);
            engines.push(Engine::new(EngineModel {
                slowness,
                ..scenario.model
            }));
        }
        let routers = (0..scenario.gateways)
            .map(|gateway| router(&scenario, &servers, policy, gateway))
            .collect();
        Self {
            random: fastrand::Rng::with_seed(scenario.seed),
            stepping: vec![false; scenario.engines],
            servers,
            engines,
            routers,
            queue: BinaryHeap::new(),
            order: 0,
            turns: HashMap::new(),
            last_turn: 0,
            programs: 0,
            max_dispatched_tokens: HashMap::new(),
            result: ScenarioResult::default(),
            digest: Digest::new(),
            scenario,
        }
    }

    fn run(mut self) -> Self {
        self.schedule(0.0, SimEvent::StartProgram);
        for gateway in 0..self.scenario.gateways {
            self.schedule(
                REPORT_INTERVAL_MS * gateway as f64 / self.scenario.gateways as f64,
                SimEvent::SendReport(gateway),
            );
        }
        while let Some(Reverse(scheduled)) = self.queue.pop() {
            if scheduled.time > self.scenario.length_ms + 20_000.0 {
                break;
            }
            self.handle(scheduled.time, scheduled.event);
        }
        self.result.prefilled_tokens = self
            .engines
            .iter()
            .map(|engine| engine.prefilled_tokens)
            .sum();
        self.result.preempted = self.engines.iter().map(|engine| engine.preempted).sum();
        self
    }

    fn handle(&mut self, now: f64, event: SimEvent) {
        match event {
            SimEvent::StartProgram => self.start_program(now),
            SimEvent::Dispatch(turn) => self.dispatch(turn, now),
            SimEvent::Arrive {
                turn,
                engine,
                priority,
            } => self.arrive(turn, engine, priority, now),
            SimEvent::Step(engine) => self.step(engine, now),
            SimEvent::EngineReply { turn, key, event } => self.engine_reply(turn, key, event, now),
            SimEvent::Timeout { turn, key } => self.timeout(turn, key, now),
            SimEvent::SendReport(gateway) => self.send_report(gateway, now),
            SimEvent::DeliverReport { from, reports } => self.deliver_report(from, &reports, now),
        }
    }

    fn schedule(&mut self, time: f64, event: SimEvent) {
        self.order += 1;
        self.queue.push(Reverse(ScheduledEvent {
            time,
            order: self.order,
            event,
        }));
    }

    fn start_program(&mut self, now: f64) {
        if now > self.scenario.length_ms {
            return;
        }
        let gap = -self.random.f64().max(1e-12).ln() * 1000.0 / self.scenario.programs_per_s;
        self.schedule(now + gap, SimEvent::StartProgram);
        self.programs += 1;
        let number = self.programs;
        let zone = self.random.usize(..self.scenario.zones);
        // The minimum of two draws makes low subject numbers more frequent.
        let shared_prefix = self
            .random
            .usize(..self.scenario.subjects)
            .min(self.random.usize(..self.scenario.subjects));
        let conversation = Conversation {
            program: format!("program-{number}").into(),
            session: format!("session-{number}").into(),
            zone,
            gateway: gateway_in(&self.scenario, zone, &mut self.random),
            prefix: vec![
                PromptSegment {
                    id: 1,
                    tokens: self.scenario.common_tokens,
                },
                PromptSegment {
                    id: 100 + shared_prefix as u64,
                    tokens: self.scenario.subject_tokens,
                },
            ],
            turns_left: self.scenario.turns,
            is_main: true,
            last_engine: None,
            random: fastrand::Rng::with_seed(self.scenario.seed << 32 | number),
        };
        self.next_turn(conversation, now);
    }

    fn next_turn(&mut self, mut conversation: Conversation, now: f64) {
        conversation.turns_left -= 1;
        let extra = conversation
            .random
            .u32(self.scenario.turn_tokens / 2..=self.scenario.turn_tokens * 3 / 2);
        let grows_last_segment = conversation.prefix.len() > 2
            && self.scenario.growth == Growth::LastSegment
            && !conversation.is_new_subagent();
        if grows_last_segment {
            let last = conversation
                .prefix
                .last_mut()
                .expect("a later turn's prompt must have an unshared segment");
            last.tokens += extra;
        } else {
            let id = conversation.random.u64(1_000_000..);
            conversation
                .prefix
                .push(PromptSegment { id, tokens: extra });
        }
        conversation.clear_new_subagent();
        let gateway = if self.scenario.keeps_gateway {
            conversation.gateway
        } else {
            gateway_in(&self.scenario, conversation.zone, &mut conversation.random)
        };
        self.last_turn += 1;
        let turn = Turn {
            conversation,
            started_at: now,
            first_event_at: None,
            tried: vec![],
            attempts: 0,
            gateway,
            key: 0,
        };
        self.turns.insert(self.last_turn, turn);
        self.result.turns += 1;
        self.schedule(now, SimEvent::Dispatch(self.last_turn));
    }

    fn dispatch(&mut self, number: usize, now: f64) {
        let Some(turn) = self.turns.get_mut(&number) else {
            return;
        };
        let time_left = 5_000.0 - (now - turn.started_at);
        if turn.attempts >= MAX_ATTEMPTS || time_left <= 0.0 {
            self.turns.remove(&number);
            self.result.failed += 1;
            return;
        }
        turn.attempts += 1;
        let request = turn.request(self.scenario.output_tokens * 3 / 2, time_left as u64);
        self.digest.hash_float(now);
        match self.routers[turn.gateway].choose(&request, now as Millis) {
            RoutingDecision::Dispatch(target) => {
                self.digest.hash_text(&target.server);
                self.digest.hash_number(target.key);
                self.digest.hash_number(u64::from(target.priority));
                let engine = self
                    .servers
                    .iter()
                    .position(|server| server.id == target.server);
                let engine = engine.expect("a router must choose a known server");
                turn.key = target.key;
                turn.tried.push(target.server);
                let priority = target.priority;
                let key = target.key;
                self.schedule(
                    now + GATEWAY_DELAY_MS,
                    SimEvent::Arrive {
                        turn: number,
                        engine,
                        priority,
                    },
                );
                self.schedule(
                    now + FIRST_EVENT_TIMEOUT_MS,
                    SimEvent::Timeout { turn: number, key },
                );
            }
            RoutingDecision::RetryAfter(after_ms) => {
                self.digest.hash_number(after_ms);
                turn.tried.clear();
                self.result.deferred += 1;
                self.schedule(now + after_ms as f64, SimEvent::Dispatch(number));
            }
        }
    }

    fn arrive(&mut self, number: usize, engine: usize, priority: u8, now: f64) {
        let low = self.scenario.output_tokens / 2;
        let Some(turn) = self.turns.get_mut(&number) else {
            return;
        };
        let output_tokens = turn.conversation.random.u32(low..=low * 3);
        let prompt_tokens = turn
            .conversation
            .prefix
            .iter()
            .map(|segment| u64::from(segment.tokens))
            .sum();
        let key = turn.key;
        let prefix = turn.conversation.prefix.clone();
        let job = Job {
            number,
            key,
            prefix,
            prompt_tokens,
            output_tokens,
            priority,
        };
        if !self.engines[engine].try_enqueue(job) {
            self.result.rejected += 1;
            let (gateway, key) = (turn.gateway, turn.key);
            self.routers[gateway].record_outcome(key, Outcome::Rejected, now as Millis);
            self.schedule(now + GATEWAY_DELAY_MS, SimEvent::Dispatch(number));
            return;
        }
        if engine % self.scenario.zones != turn.conversation.zone {
            self.result.cross_zone += 1;
        }
        if turn
            .conversation
            .last_engine
            .is_some_and(|last| last != engine)
        {
            self.result.migrated += 1;
        }
        turn.conversation.last_engine = Some(engine);
        self.count_new_tokens(number);
        if !self.stepping[engine] {
            self.stepping[engine] = true;
            self.schedule(now, SimEvent::Step(engine));
        }
    }

    /// Counts the prompt's tokens that no engine was given before.
    fn count_new_tokens(&mut self, number: usize) {
        let prefix = self.turns[&number].conversation.prefix.clone();
        for segment in prefix {
            let max_dispatched_tokens = self.max_dispatched_tokens.entry(segment.id).or_insert(0);
            self.result.new_tokens +=
                u64::from(segment.tokens.saturating_sub(*max_dispatched_tokens));
            *max_dispatched_tokens = segment.tokens.max(*max_dispatched_tokens);
        }
    }

    fn step(&mut self, engine: usize, now: f64) {
        if let Some((frozen, when)) = &self.scenario.frozen {
            if *frozen == engine && when.contains(&now) {
                let end = when.end;
                self.schedule(end, SimEvent::Step(engine));
                return;
            }
        }
        if self.engines[engine].is_idle() {
            self.stepping[engine] = false;
            return;
        }
        let mut events = Vec::new();
        let took = self.engines[engine].step(&mut events);
        for event in events {
            let (Event::FirstEvent(turn, key) | Event::Finished(turn, key)) = event;
            self.schedule(
                now + took + GATEWAY_DELAY_MS,
                SimEvent::EngineReply { turn, key, event },
            );
        }
        self.schedule(now + took, SimEvent::Step(engine));
    }

    /// Handles an engine's event of an attempt. Events of attempts that have timed out are ignored.
    fn engine_reply(&mut self, number: usize, key: u64, event: Event, now: f64) {
        let Some(turn) = self.turns.get_mut(&number).filter(|turn| turn.key == key) else {
            return;
        };
        match event {
            Event::FirstEvent(..) => {
                turn.first_event_at = Some(now);
                self.result.first_ms.push(now - turn.started_at);
                self.routers[turn.gateway].record_first_event(key, now as Millis);
            }
            Event::Finished(..) => {
                let turn = self
                    .turns
                    .remove(&number)
                    .expect("the turn was found above");
                let served = Outcome::Served {
                    tokens_out: self.scenario.output_tokens,
                };
                self.routers[turn.gateway].record_outcome(key, served, now as Millis);
                self.result.turn_ms.push(now - turn.started_at);
                self.continue_conversation(turn.conversation, now);
            }
        }
    }

    /// Ends an attempt without a first event, and dispatches the turn again.
    fn timeout(&mut self, number: usize, key: u64, now: f64) {
        let awaits_first_event =
            |turn: &&mut Turn| turn.key == key && turn.first_event_at.is_none();
        let Some(turn) = self.turns.get_mut(&number).filter(awaits_first_event) else {
            return;
        };
        turn.key = 0;
        self.result.timed_out += 1;
        self.routers[turn.gateway].record_outcome(key, Outcome::TimedOut, now as Millis);
        self.schedule(now, SimEvent::Dispatch(number));
    }

    /// Schedules the next turn of a conversation, and sometimes turns of new sub-agents.
    fn continue_conversation(&mut self, mut conversation: Conversation, now: f64) {
        if conversation.turns_left == 0 {
            return;
        }
        if conversation.is_main && conversation.random.f64() < self.scenario.subagent_probability {
            for agent in 0..2 {
                let mut child = conversation.clone();
                child.session = format!(
                    "{}-{agent}-{}",
                    conversation.session, conversation.turns_left
                )
                .into();
                child.turns_left = 2;
                child.is_main = false;
                child.mark_new_subagent();
                child.random = fastrand::Rng::with_seed(conversation.random.u64(..));
                self.next_turn(child, now);
            }
        }
        let think_time_ms = self.scenario.think_time_ms * (0.5 + conversation.random.f64());
        self.next_turn(conversation, now + think_time_ms);
    }

    fn send_report(&mut self, gateway: usize, now: f64) {
        let reports = Rc::new(self.routers[gateway].reports());
        self.schedule(
            now + REPORT_DELAY_MS,
            SimEvent::DeliverReport {
                from: gateway,
                reports,
            },
        );
        if now < self.scenario.length_ms {
            self.schedule(now + REPORT_INTERVAL_MS, SimEvent::SendReport(gateway));
        }
    }

    fn deliver_report(&mut self, from: usize, reports: &[LoadReport], now: f64) {
        let name = format!("gateway-{from}");
        self.digest.hash_float(now);
        self.digest.hash_reports(reports);
        for (gateway, router) in self.routers.iter_mut().enumerate() {
            if gateway != from {
                router.apply_peer_load(reports, &name, now as Millis);
            }
        }
    }
}
