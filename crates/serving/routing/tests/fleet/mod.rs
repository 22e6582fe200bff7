//! A fleet of gateways and engines under agent programs, played event by event from a seed.

pub mod engine;
pub mod router;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;

use dunespur_routing::{Ask, Chooser, EngineShape, LoadReport, Millis, Outcome, Part, Server};

use engine::{Engine, EngineModel, Event, Job};
use router::{Answer, Ours, Router, Rule, Simple};

const ENGINES: &str = "engines";
const REPORT_EVERY_MS: f64 = 300.0;
const REPORT_DELAY_MS: f64 = 20.0;
const GATEWAY_DELAY_MS: f64 = 1.0;
const TARGET_MS: u64 = 200;
const MOST_TRIES: usize = 3;
/// A gateway waits so long for a first event.
const SILENCE_MS: f64 = 2_000.0;

/// How the prompt of a line's later turn is put together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Growth {
    /// The line's last part grows.
    LastPart,
    /// Each turn adds a part.
    NewParts,
}

/// A day to be played.
#[derive(Debug, Clone)]
pub struct Day {
    pub seed: u64,
    pub zones: usize,
    pub gateways: usize,
    pub engines: usize,
    pub model: EngineModel,
    /// Slowness of single engines.
    pub slow: Vec<(usize, f64)>,
    /// An engine that stands still, and when.
    pub frozen: Option<(usize, std::ops::Range<f64>)>,
    pub programs_per_s: f64,
    pub length_ms: f64,
    pub turns: usize,
    pub subagents: f64,
    pub subjects: usize,
    pub common_tokens: u32,
    pub subject_tokens: u32,
    pub turn_tokens: u32,
    pub answer_tokens: u32,
    pub pause_ms: f64,
    /// Whether a program keeps to one gateway.
    pub keeps_gateway: bool,
    pub growth: Growth,
}

/// How engines are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    Ours,
    Simple(Rule),
}

/// What came of a day.
#[derive(Debug, Clone, Default)]
pub struct Outturn {
    pub turns: usize,
    pub failed: usize,
    pub shed: usize,
    pub refused: usize,
    pub silent: usize,
    pub preempted: u64,
    pub first_ms: Vec<f64>,
    pub turn_ms: Vec<f64>,
    pub tokens_read: u64,
    pub tokens_new: u64,
    pub other_zone: usize,
    pub moved: usize,
}

impl Outturn {
    /// Adds another day.
    pub fn add(&mut self, day: Outturn) {
        self.turns += day.turns;
        self.failed += day.failed;
        self.shed += day.shed;
        self.refused += day.refused;
        self.silent += day.silent;
        self.preempted += day.preempted;
        self.first_ms.extend(day.first_ms);
        self.turn_ms.extend(day.turn_ms);
        self.tokens_read += day.tokens_read;
        self.tokens_new += day.tokens_new;
        self.other_zone += day.other_zone;
        self.moved += day.moved;
    }

    pub fn mean_first_ms(&self) -> f64 {
        self.first_ms.iter().sum::<f64>() / self.first_ms.len().max(1) as f64
    }

    pub fn first_ms_at(&self, share: f64) -> f64 {
        let mut sorted = self.first_ms.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[((sorted.len() - 1) as f64 * share) as usize]
    }

    pub fn mean_turn_ms(&self) -> f64 {
        self.turn_ms.iter().sum::<f64>() / self.turn_ms.len().max(1) as f64
    }

    /// Tokens read though some engine had read them before.
    pub fn tokens_again(&self) -> u64 {
        self.tokens_read.saturating_sub(self.tokens_new)
    }

    pub fn late_share(&self) -> f64 {
        let late = self
            .first_ms
            .iter()
            .filter(|first_ms| **first_ms > TARGET_MS as f64)
            .count()
            + self.failed;
        late as f64 / self.turns.max(1) as f64
    }
}

impl std::fmt::Display for Outturn {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            out,
            "turns {} failed {} shed {} refused {} silent {} preempted {}; first token mean {:.1} p95 {:.1} p99 {:.1} ms; \
             turn {:.1} ms; late {:.2} %; read again {} k of {} k; other zone {:.0} %, moved {:.0} %",
            self.turns,
            self.failed,
            self.shed,
            self.refused,
            self.silent,
            self.preempted,
            self.mean_first_ms(),
            self.first_ms_at(0.95),
            self.first_ms_at(0.99),
            self.mean_turn_ms(),
            100.0 * self.late_share(),
            self.tokens_again() / 1000,
            self.tokens_read / 1000,
            100.0 * self.other_zone as f64 / self.turns.max(1) as f64,
            100.0 * self.moved as f64 / self.turns.max(1) as f64,
        )
    }
}

/// A line of turns of a program.
#[derive(Debug, Clone)]
struct Line {
    program: Rc<str>,
    session: Rc<str>,
    zone: usize,
    gateway: usize,
    prefix: Vec<Part>,
    turns_left: usize,
    is_main: bool,
    last_engine: Option<usize>,
    /// The line's own chance: what it asks is the same whichever way engines are chosen.
    random: fastrand::Rng,
}

#[derive(Debug)]
struct Turn {
    line: Line,
    asked_at: f64,
    first_at: Option<f64>,
    tried: Vec<Rc<str>>,
    tries: usize,
    gateway: usize,
    key: u64,
}

#[derive(Debug)]
enum Happening {
    Program,
    Ask(usize),
    Arrive {
        turn: usize,
        engine: usize,
        priority: u8,
    },
    Step(usize),
    Told {
        turn: usize,
        key: u64,
        event: Event,
    },
    Silence {
        turn: usize,
        key: u64,
    },
    Report(usize),
    Reported {
        from: usize,
        reports: Rc<Vec<LoadReport>>,
    },
}

#[derive(Debug)]
struct At {
    time: f64,
    order: u64,
    happening: Happening,
}

impl PartialEq for At {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for At {}
impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for At {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.time
            .total_cmp(&other.time)
            .then(self.order.cmp(&other.order))
    }
}

/// Plays a day with a way to choose engines.
pub fn play(day: &Day, way: Way) -> Outturn {
    Fleet::new(day.clone(), way).play()
}

struct Fleet {
    day: Day,
    servers: Vec<Server>,
    engines: Vec<Engine>,
    stepping: Vec<bool>,
    routers: Vec<Box<dyn Router>>,
    queue: BinaryHeap<Reverse<At>>,
    order: u64,
    turns: HashMap<usize, Turn>,
    last_turn: usize,
    programs: u64,
    random: fastrand::Rng,
    longest: HashMap<u64, u32>,
    outturn: Outturn,
}

impl Fleet {
    fn new(day: Day, way: Way) -> Self {
        let servers: Vec<Server> = (0..day.engines)
            .map(|number| server(&day, number))
            .collect();
        let mut engines = Vec::new();
        for number in 0..day.engines {
            let slow = day.slow.iter().find(|(slow, _)| *slow == number);
            let slowness = slow.map_or(1.0, |(_, slowness)| *slowness);
            engines.push(Engine::new(EngineModel {
                slowness,
                ..day.model
            }));
        }
        let routers = (0..day.gateways)
            .map(|gateway| router(&day, &servers, way, gateway))
            .collect();
        Self {
            random: fastrand::Rng::with_seed(day.seed),
            stepping: vec![false; day.engines],
            servers,
            engines,
            routers,
            queue: BinaryHeap::new(),
            order: 0,
            turns: HashMap::new(),
            last_turn: 0,
            programs: 0,
            longest: HashMap::new(),
            outturn: Outturn::default(),
            day,
        }
    }

    fn play(mut self) -> Outturn {
        self.put(0.0, Happening::Program);
        for gateway in 0..self.day.gateways {
            self.put(
                REPORT_EVERY_MS * gateway as f64 / self.day.gateways as f64,
                Happening::Report(gateway),
            );
        }
        while let Some(Reverse(at)) = self.queue.pop() {
            if at.time > self.day.length_ms + 20_000.0 {
                break;
            }
            self.happen(at.time, at.happening);
        }
        self.outturn.tokens_read = self.engines.iter().map(|engine| engine.tokens_read).sum();
        self.outturn.preempted = self.engines.iter().map(|engine| engine.preempted).sum();
        self.outturn
    }

    fn happen(&mut self, now: f64, happening: Happening) {
        match happening {
            Happening::Program => self.start_program(now),
            Happening::Ask(turn) => self.ask(turn, now),
            Happening::Arrive {
                turn,
                engine,
                priority,
            } => self.arrive(turn, engine, priority, now),
            Happening::Step(engine) => self.step(engine, now),
            Happening::Told { turn, key, event } => self.told(turn, key, event, now),
            Happening::Silence { turn, key } => self.silence(turn, key, now),
            Happening::Report(gateway) => self.report(gateway, now),
            Happening::Reported { from, reports } => self.reported(from, &reports, now),
        }
    }

    fn put(&mut self, time: f64, happening: Happening) {
        self.order += 1;
        self.queue.push(Reverse(At {
            time,
            order: self.order,
            happening,
        }));
    }

    fn start_program(&mut self, now: f64) {
        if now > self.day.length_ms {
            return;
        }
        let gap = -self.random.f64().max(1e-12).ln() * 1000.0 / self.day.programs_per_s;
        self.put(now + gap, Happening::Program);
        self.programs += 1;
        let number = self.programs;
        let zone = self.random.usize(..self.day.zones);
        // Popular subjects come more often: the lesser of two.
        let subject = self
            .random
            .usize(..self.day.subjects)
            .min(self.random.usize(..self.day.subjects));
        let line = Line {
            program: format!("program-{number}").into(),
            session: format!("session-{number}").into(),
            zone,
            gateway: gateway_in(&self.day, zone, &mut self.random),
            prefix: vec![
                Part {
                    id: 1,
                    tokens: self.day.common_tokens,
                },
                Part {
                    id: 100 + subject as u64,
                    tokens: self.day.subject_tokens,
                },
            ],
            turns_left: self.day.turns,
            is_main: true,
            last_engine: None,
            random: fastrand::Rng::with_seed(self.day.seed << 32 | number),
        };
        self.next_turn(line, now);
    }

    fn next_turn(&mut self, mut line: Line, now: f64) {
        line.turns_left -= 1;
        let extra = line
            .random
            .u32(self.day.turn_tokens / 2..=self.day.turn_tokens * 3 / 2);
        let own = line.prefix.len() > 2 && self.day.growth == Growth::LastPart && !line.is_fresh();
        if own {
            let last = line.prefix.last_mut().expect("a line has its own part");
            last.tokens += extra;
        } else {
            let id = line.random.u64(1_000_000..);
            line.prefix.push(Part { id, tokens: extra });
        }
        line.mark_used();
        let gateway = if self.day.keeps_gateway {
            line.gateway
        } else {
            gateway_in(&self.day, line.zone, &mut line.random)
        };
        self.last_turn += 1;
        let turn = Turn {
            line,
            asked_at: now,
            first_at: None,
            tried: vec![],
            tries: 0,
            gateway,
            key: 0,
        };
        self.turns.insert(self.last_turn, turn);
        self.outturn.turns += 1;
        self.put(now, Happening::Ask(self.last_turn));
    }

    fn ask(&mut self, number: usize, now: f64) {
        let Some(turn) = self.turns.get_mut(&number) else {
            return;
        };
        let time_left = 5_000.0 - (now - turn.asked_at);
        if turn.tries >= MOST_TRIES || time_left <= 0.0 {
            self.turns.remove(&number);
            self.outturn.failed += 1;
            return;
        }
        turn.tries += 1;
        let prompt_tokens = turn.line.prefix.iter().map(|part| part.tokens).sum();
        let ask = Ask {
            backend: ENGINES,
            program: Some(&turn.line.program),
            session: Some(&turn.line.session),
            prefix: &turn.line.prefix,
            prompt_tokens,
            most_tokens: self.day.answer_tokens * 3 / 2,
            idempotent: false,
            priority: 0,
            time_left_ms: time_left as u64,
            target_ms: TARGET_MS,
            tried: &turn.tried,
        };
        match self.routers[turn.gateway].choose(&ask, now as Millis) {
            Answer::Sent(sent) => {
                let engine = self
                    .servers
                    .iter()
                    .position(|server| server.id == sent.server);
                let engine = engine.expect("a router chooses known servers");
                turn.key = sent.key;
                turn.tried.push(sent.server);
                let priority = sent.priority;
                let key = sent.key;
                self.put(
                    now + GATEWAY_DELAY_MS,
                    Happening::Arrive {
                        turn: number,
                        engine,
                        priority,
                    },
                );
                self.put(now + SILENCE_MS, Happening::Silence { turn: number, key });
            }
            Answer::ComeBack(after_ms) => {
                turn.tried.clear();
                self.outturn.refused += 1;
                self.put(now + after_ms as f64, Happening::Ask(number));
            }
        }
    }

    fn arrive(&mut self, number: usize, engine: usize, priority: u8, now: f64) {
        let low = self.day.answer_tokens / 2;
        let Some(turn) = self.turns.get_mut(&number) else {
            return;
        };
        let answer_tokens = turn.line.random.u32(low..=low * 3);
        let prompt_tokens = turn
            .line
            .prefix
            .iter()
            .map(|part| u64::from(part.tokens))
            .sum();
        let key = turn.key;
        let prefix = turn.line.prefix.clone();
        let job = Job {
            number,
            key,
            prefix,
            prompt_tokens,
            answer_tokens,
            priority,
        };
        if !self.engines[engine].offer(job) {
            self.outturn.shed += 1;
            let (gateway, key) = (turn.gateway, turn.key);
            self.routers[gateway].finished(key, Outcome::Shed, now as Millis);
            self.put(now + GATEWAY_DELAY_MS, Happening::Ask(number));
            return;
        }
        if engine % self.day.zones != turn.line.zone {
            self.outturn.other_zone += 1;
        }
        if turn.line.last_engine.is_some_and(|last| last != engine) {
            self.outturn.moved += 1;
        }
        turn.line.last_engine = Some(engine);
        self.note_new_tokens(number);
        if !self.stepping[engine] {
            self.stepping[engine] = true;
            self.put(now, Happening::Step(engine));
        }
    }

    /// Tokens that no engine had read before.
    fn note_new_tokens(&mut self, number: usize) {
        let prefix = self.turns[&number].line.prefix.clone();
        for part in prefix {
            let longest = self.longest.entry(part.id).or_insert(0);
            self.outturn.tokens_new += u64::from(part.tokens.saturating_sub(*longest));
            *longest = part.tokens.max(*longest);
        }
    }

    fn step(&mut self, engine: usize, now: f64) {
        if let Some((frozen, when)) = &self.day.frozen {
            if *frozen == engine && when.contains(&now) {
                let end = when.end;
                self.put(end, Happening::Step(engine));
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
            let (Event::First(turn, key) | Event::Finished(turn, key)) = event;
            self.put(
                now + took + GATEWAY_DELAY_MS,
                Happening::Told { turn, key, event },
            );
        }
        self.put(now + took, Happening::Step(engine));
    }

    /// What an engine says of a send; a send that was given up counts for nothing.
    fn told(&mut self, number: usize, key: u64, event: Event, now: f64) {
        let Some(turn) = self.turns.get_mut(&number).filter(|turn| turn.key == key) else {
            return;
        };
        match event {
            Event::First(..) => {
                turn.first_at = Some(now);
                self.outturn.first_ms.push(now - turn.asked_at);
                self.routers[turn.gateway].first_event(key, now as Millis);
            }
            Event::Finished(..) => {
                let turn = self.turns.remove(&number).expect("it was found above");
                let served = Outcome::Served {
                    tokens_out: self.day.answer_tokens,
                };
                self.routers[turn.gateway].finished(key, served, now as Millis);
                self.outturn.turn_ms.push(now - turn.asked_at);
                self.go_on(turn.line, now);
            }
        }
    }

    /// The gateway gives a send up that has had no first event.
    fn silence(&mut self, number: usize, key: u64, now: f64) {
        let waits = |turn: &&mut Turn| turn.key == key && turn.first_at.is_none();
        let Some(turn) = self.turns.get_mut(&number).filter(waits) else {
            return;
        };
        turn.key = 0;
        self.outturn.silent += 1;
        self.routers[turn.gateway].finished(key, Outcome::Silent, now as Millis);
        self.put(now, Happening::Ask(number));
    }

    fn go_on(&mut self, mut line: Line, now: f64) {
        if line.turns_left == 0 {
            return;
        }
        if line.is_main && line.random.f64() < self.day.subagents {
            for agent in 0..2 {
                let mut child = line.clone();
                child.session = format!("{}-{agent}-{}", line.session, line.turns_left).into();
                child.turns_left = 2;
                child.is_main = false;
                child.mark_fresh();
                child.random = fastrand::Rng::with_seed(line.random.u64(..));
                self.next_turn(child, now);
            }
        }
        let pause = self.day.pause_ms * (0.5 + line.random.f64());
        self.next_turn(line, now + pause);
    }

    fn report(&mut self, gateway: usize, now: f64) {
        let reports = Rc::new(self.routers[gateway].reports());
        self.put(
            now + REPORT_DELAY_MS,
            Happening::Reported {
                from: gateway,
                reports,
            },
        );
        if now < self.day.length_ms {
            self.put(now + REPORT_EVERY_MS, Happening::Report(gateway));
        }
    }

    fn reported(&mut self, from: usize, reports: &[LoadReport], now: f64) {
        let name = format!("gateway-{from}");
        for (gateway, router) in self.routers.iter_mut().enumerate() {
            if gateway != from {
                router.other_load(reports, &name, now as Millis);
            }
        }
    }
}

impl Line {
    /// A sub-agent's first turn adds a part of its own behind its parent's.
    fn is_fresh(&self) -> bool {
        self.session.ends_with('*')
    }

    fn mark_fresh(&mut self) {
        self.session = format!("{}*", self.session).into();
    }

    fn mark_used(&mut self) {
        if let Some(name) = self.session.strip_suffix('*') {
            self.session = name.into();
        }
    }
}

fn gateway_in(day: &Day, zone: usize, random: &mut fastrand::Rng) -> usize {
    let in_zone = day.gateways / day.zones;
    zone + day.zones * random.usize(..in_zone)
}

fn server(day: &Day, number: usize) -> Server {
    let shape = EngineShape {
        kv_capacity: day.model.kv_capacity,
        slots: day.model.slots as u32,
        chunk_tokens: day.model.chunk_tokens,
    };
    Server {
        id: format!("engine-{}-{number}", day.seed).into(),
        backend: ENGINES.into(),
        address: ([10, 0, 0, number as u8], 8080).into(),
        zone: format!("zone-{}", number % day.zones).into(),
        slots: day.model.slots as u32,
        draining: false,
        cold_left_ms: 0,
        engine: Some(shape),
        max_conns: 220,
    }
}

fn router(day: &Day, servers: &[Server], way: Way, gateway: usize) -> Box<dyn Router> {
    let seed = day.seed * 1_000 + gateway as u64;
    match way {
        Way::Simple(rule) => Box::new(Simple::new(rule, servers, seed)),
        Way::Ours => {
            let zone = format!("zone-{}", gateway % day.zones);
            let mut chooser = Chooser::new(zone.into(), seed);
            chooser.set_servers(servers.to_vec(), 0);
            Box::new(Ours(chooser))
        }
    }
}
