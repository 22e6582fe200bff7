//! The list of servers and the requests in flight.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::admission::{refusal, stream_patience_ms, Outlook};
use crate::engines::{self, memory_capacity};
use crate::health::Sign;
use crate::member::Member;
use crate::plain;
use crate::pool::Pool;
use crate::rendezvous::{name_hash, IdMap};
use crate::types::{Ask, Choice, LoadReport, Millis, Outcome, Part, Server, Ticket, TicketKey};

/// The `Priority` of a request that is nothing special.
const ENGINE_PRIORITY: u8 = 5;
/// Ranks of routes that are told apart at an engine.
const MOST_RANKS: u8 = 3;
/// A program under way goes before a new one by this much: work already done would be lost with it.
const UNDER_WAY_STEP: u8 = 2;
/// A request goes first by one if less than this many times what it is expected to take is left.
const SHORT_OF_TIME: f64 = 2.0;

/// A client that leaves earlier without a first event says nothing of the server.
const OVERDUE_MS: u64 = 1_000;
/// Nor does one that leaves before this many times the objective.
const OVERDUE_TARGETS: u64 = 3;

/// One send that is not finished.
#[derive(Debug)]
struct Flight {
    backend: Rc<str>,
    member: u64,
    sent_at: Millis,
    first_at: Option<Millis>,
    target_ms: u64,
    engine: Option<EngineFlight>,
}

/// What a send to an engine counts for there.
#[derive(Debug, Clone, Copy)]
struct EngineFlight {
    fresh_tokens: u64,
    footprint: u64,
    tokens_ahead: f64,
    batch: f64,
    waited_for_place: bool,
    most_tokens: u32,
    chunk_tokens: u32,
    /// The prompt's last part, if the engine had not held it.
    new_part: Option<u64>,
}

/// Chooses servers for one gateway process.
#[derive(Debug)]
pub struct Chooser {
    zone: Rc<str>,
    random: fastrand::Rng,
    pools: BTreeMap<Rc<str>, Pool>,
    flights: IdMap<Flight>,
    last_key: TicketKey,
    last_member: u64,
}

impl Chooser {
    /// A chooser for a gateway in `zone`, without servers.
    pub fn new(zone: Rc<str>, seed: u64) -> Self {
        Self {
            zone,
            random: fastrand::Rng::with_seed(seed),
            pools: BTreeMap::new(),
            flights: IdMap::default(),
            last_key: 0,
            last_member: 0,
        }
    }

    /// Takes the whole list of servers. What is known of those that stay is kept.
    pub fn set_servers(&mut self, servers: Vec<Server>, now: Millis) {
        let mut by_backend: BTreeMap<Rc<str>, Vec<Server>> = BTreeMap::new();
        for server in servers {
            by_backend.entry(server.backend.clone()).or_default().push(server);
        }
        self.pools.retain(|backend, _| by_backend.contains_key(backend));
        for (backend, servers) in by_backend {
            let pool = self.pools.entry(backend).or_insert_with(Pool::new);
            pool.set_servers(servers, &self.zone, &mut self.last_member, now);
        }
    }

    /// Chooses a server and counts the request as in flight there.
    pub fn choose(&mut self, ask: &Ask, now: Millis) -> Choice {
        let Some(pool) = self.pools.get_mut(ask.backend) else {
            return Choice::NoServer;
        };
        let candidates = pool.candidates(ask, now);
        let Some(first) = candidates.first() else {
            return Choice::NoServer;
        };
        if pool.members[*first].server.engine.is_some() {
            self.choose_engine(ask, &candidates, now)
        } else {
            self.choose_plain(ask, &candidates, now)
        }
    }

    /// The first event of a stream came, or the head of a plain answer.
    pub fn first_event(&mut self, key: TicketKey, now: Millis) {
        let Some(flight) = self.flights.get_mut(&key) else {
            return;
        };
        if flight.first_at.is_some() {
            return;
        }
        flight.first_at = Some(now);
        let Some(pool) = self.pools.get_mut(&flight.backend) else {
            return;
        };
        match flight.engine {
            Some(engine) => engine_first_event(pool, flight, engine, now),
            None => plain_head(pool, flight, now),
        }
    }

    /// A request is over.
    pub fn finished(&mut self, key: TicketKey, result: Outcome, now: Millis) {
        let Some(flight) = self.flights.remove(&key) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&flight.backend) else {
            return;
        };
        if let (Outcome::Served { tokens_out }, Some(engine)) = (result, flight.engine) {
            engine_served(pool, &flight, engine, tokens_out, now);
        }
        let Some(member) = pool.member_mut(flight.member) else {
            return;
        };
        release(member, &flight, result, now);
        match (result, flight.engine) {
            // A full engine is left by the estimate alone: to avoid it would scatter the programs that it holds,
            // and reading their prompts anew elsewhere takes more than is gained.
            (Outcome::Shed, Some(_)) => {}
            _ => note_outcome(member, &flight, result, now),
        }
    }

    /// Takes the whole statement of another gateway in place of its last one.
    pub fn other_load(&mut self, reports: &[LoadReport], from: &str, now: Millis) {
        let from = name_hash(from);
        let members = self.pools.values_mut().flat_map(|pool| pool.members.iter_mut());
        for member in members {
            let report = reports.iter().find(|report| report.server == member.server.id);
            match report {
                Some(report) => member.load.report(from, report.in_flight, report.waiting_tokens, now),
                None => member.load.report(from, 0, 0, now),
            }
        }
    }

    /// What this gateway has in flight, for the other gateways; servers without any are left out.
    pub fn load_reports(&self) -> Vec<LoadReport> {
        let members = self.pools.values().flat_map(|pool| pool.members.iter());
        let busy = members.filter(|member| member.load.own_in_flight() > 0);
        busy.map(|member| LoadReport {
            server: member.server.id.clone(),
            in_flight: member.load.own_in_flight(),
            waiting_tokens: member.load.own_waiting_tokens(),
        })
        .collect()
    }

    /// Requests of this gateway that are not finished.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    fn choose_engine(&mut self, ask: &Ask, candidates: &[usize], now: Millis) -> Choice {
        let any = self.random.u64(..);
        let Some(pool) = self.pools.get_mut(ask.backend) else {
            return Choice::NoServer;
        };
        let Some(choice) = engines::choose(pool, ask, candidates, any, now) else {
            return Choice::NoServer;
        };
        let outlook = Outlook {
            all_places_taken: pool.is_full(now),
            expected_ms: choice.estimate.first_token_ms,
            patience_ms: stream_patience_ms(ask),
        };
        if let Some(retry_after_ms) = refusal(ask, &outlook) {
            return Choice::Refuse { retry_after_ms };
        }
        pool.observe_traffic_share(now);
        let footprint = u64::from(ask.prompt_tokens) + u64::from(ask.most_tokens);
        pool.pace.saw_footprint(footprint as f64);
        let under_way = is_under_way(pool, ask.prefix);
        let traffic_share = pool.traffic_share.get();
        let member = &mut pool.members[choice.index];
        let batch = member.load.usual_in_flight(now);
        let new_part = ask.prefix.last().map(|part| part.id).filter(|id| !member.cache.holds(*id));
        let engine = EngineFlight {
            fresh_tokens: choice.fresh_tokens,
            footprint,
            tokens_ahead: choice.tokens_ahead,
            batch: batch + 1.0,
            waited_for_place: batch >= f64::from(member.slots()),
            most_tokens: ask.most_tokens,
            chunk_tokens: member.server.engine.map_or(1, |engine| engine.chunk_tokens),
            new_part,
        };
        member.load.sent(choice.fresh_tokens, footprint, now);
        member.cache.sent(ask.prefix, (memory_capacity(member) as f64 * traffic_share) as u64);
        let priority = engine_priority(ask, under_way, choice.estimate.first_token_ms);
        self.send(ask, choice.index, Some(engine), Some(priority), now)
    }

    fn choose_plain(&mut self, ask: &Ask, candidates: &[usize], now: Millis) -> Choice {
        let start = self.random.usize(..candidates.len());
        let Some(pool) = self.pools.get_mut(ask.backend) else {
            return Choice::NoServer;
        };
        let Some(index) = plain::choose(pool, candidates, start, ask.target_ms, now) else {
            return Choice::NoServer;
        };
        let outlook = Outlook {
            all_places_taken: pool.is_full(now),
            expected_ms: plain::expected_ms(pool, index, ask.target_ms, now),
            patience_ms: ask.time_left_ms,
        };
        if let Some(retry_after_ms) = refusal(ask, &outlook) {
            return Choice::Refuse { retry_after_ms };
        }
        pool.members[index].load.sent(0, 0, now);
        self.send(ask, index, None, None, now)
    }

    fn send(
        &mut self,
        ask: &Ask,
        index: usize,
        engine: Option<EngineFlight>,
        engine_priority: Option<u8>,
        now: Millis,
    ) -> Choice {
        let Some(pool) = self.pools.get(ask.backend) else {
            return Choice::NoServer;
        };
        let member = &pool.members[index];
        let server = member.server.clone();
        let flight = Flight {
            backend: server.backend.clone(),
            member: member.number,
            sent_at: now,
            first_at: None,
            target_ms: ask.target_ms,
            engine,
        };
        self.last_key += 1;
        self.flights.insert(self.last_key, flight);
        Choice::Send(Ticket { server, key: self.last_key, engine_priority })
    }
}

/// Whether some engine holds a part of the prompt that is the program's own: it has had a turn.
fn is_under_way(pool: &Pool, prefix: &[Part]) -> bool {
    let mut own = prefix.iter().filter(|part| !pool.sharing.is_shared(part.id));
    own.any(|part| pool.members.iter().any(|member| member.cache.holds(part.id)))
}

/// From the route's priority; a program under way before a new one, and one short of time before others.
fn engine_priority(ask: &Ask, under_way: bool, expected_ms: f64) -> u8 {
    let mut priority = ENGINE_PRIORITY + ask.priority.min(MOST_RANKS);
    if under_way {
        priority -= UNDER_WAY_STEP;
    }
    if (ask.time_left_ms as f64) < SHORT_OF_TIME * expected_ms {
        priority -= 1;
    }
    priority
}

fn note_outcome(member: &mut Member, flight: &Flight, result: Outcome, now: Millis) {
    if let Some(sign) = sign_of(flight, result, now) {
        member.health.note(sign, now);
    }
}

fn sign_of(flight: &Flight, result: Outcome, now: Millis) -> Option<Sign> {
    match result {
        Outcome::Served { .. } => Some(Sign::Success),
        Outcome::Failed => Some(Sign::Failure),
        Outcome::Silent => Some(Sign::Silence),
        Outcome::Shed => Some(Sign::Full),
        Outcome::Moved => Some(Sign::Moved),
        Outcome::Unreachable => Some(Sign::Unreachable),
        Outcome::Abandoned if flight.is_overdue(now) => Some(Sign::Failure),
        Outcome::Abandoned => None,
    }
}

impl Flight {
    /// Whether the first event is so late that the client left for it: against servers that hang, as clients give
    /// up before any time limit of the gateway's.
    fn is_overdue(&self, now: Millis) -> bool {
        let overdue_ms = OVERDUE_MS.max(OVERDUE_TARGETS * self.target_ms);
        self.first_at.is_none() && now.saturating_sub(self.sent_at) >= overdue_ms
    }
}

/// Gives back what a request counted for.
fn release(member: &mut Member, flight: &Flight, result: Outcome, now: Millis) {
    let fresh_tokens = flight.engine.map_or(0, |engine| engine.fresh_tokens);
    match (flight.first_at, result.is_sign_of_life()) {
        (Some(_), _) => {}
        (None, true) => member.load.answered(fresh_tokens, now),
        (None, false) => member.load.given_up(fresh_tokens),
    }
    let Some(engine) = flight.engine else {
        member.load.ended(0);
        return;
    };
    member.load.ended(engine.footprint);
    let never_ran = matches!(result, Outcome::Shed | Outcome::Moved | Outcome::Unreachable);
    if let (true, Some(part)) = (never_ran, engine.new_part) {
        member.cache.forget(part);
    }
}

fn engine_first_event(pool: &mut Pool, flight: &Flight, engine: EngineFlight, now: Millis) {
    let took_ms = now.saturating_sub(flight.sent_at) as f64;
    let mean_slowness = pool.mean_slowness(now);
    let expected_ms = pool.pace.first_token_ms(engine.tokens_ahead);
    let Some(member) = pool.member_mut(flight.member) else {
        return;
    };
    member.load.answered(engine.fresh_tokens, now);
    if engine.waited_for_place || member.is_cold(now) {
        return;
    }
    member.saw_slowness(took_ms / expected_ms.max(1.0), now);
    let relative = member.slowness(now) / mean_slowness;
    pool.pace.saw_first_token(engine.tokens_ahead, took_ms / relative);
}

fn engine_served(pool: &mut Pool, flight: &Flight, engine: EngineFlight, tokens_out: u32, now: Millis) {
    let Some(first_at) = flight.first_at else {
        return;
    };
    let service_ms = now.saturating_sub(flight.sent_at) as f64;
    pool.pace.saw_end(service_ms, tokens_out, engine.most_tokens);
    let later_tokens = tokens_out.saturating_sub(engine.chunk_tokens);
    if later_tokens == 0 {
        return;
    }
    let pause_ms = now.saturating_sub(first_at) as f64 / f64::from(later_tokens);
    let mean_slowness = pool.mean_slowness(now);
    let Some(member) = pool.member_mut(flight.member) else {
        return;
    };
    if member.is_cold(now) {
        return;
    }
    let batch = (engine.batch + member.load.usual_in_flight(now)) / 2.0;
    let batch = batch.min(f64::from(member.slots()));
    let relative = member.slowness(now) / mean_slowness;
    let expected_ms = pool.pace.pause_ms(batch);
    if let Some(member) = pool.member_mut(flight.member) {
        member.saw_slowness(pause_ms / expected_ms.max(f64::MIN_POSITIVE), now);
    }
    pool.pace.saw_pause(batch, pause_ms / relative);
}

fn plain_head(pool: &mut Pool, flight: &Flight, now: Millis) {
    if let Some(member) = pool.member_mut(flight.member) {
        member.load.answered(0, now);
    }
    let took_ms = now.saturating_sub(flight.sent_at) as f64;
    let share = took_ms / flight.target_ms.max(1) as f64;
    let expected = pool.target_share.get();
    pool.target_share.observe(share);
    if let Some(member) = pool.member_mut(flight.member) {
        member.saw_slowness(share / expected.max(f64::MIN_POSITIVE), now);
    }
}
