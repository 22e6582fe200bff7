//! The list of servers and the requests in flight.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::admission::{refusal, stream_patience_ms, Outlook};
use crate::engines::{self, memory_capacity};
use crate::flight::{note_outcome, release, EngineFlight, Flight};
use crate::learning::{engine_first_event, engine_served, plain_head};
use crate::plain;
use crate::pool::Pool;
use crate::priority::{engine_priority, is_under_way};
use crate::rendezvous::{name_hash, IdMap};
use crate::types::{Ask, Choice, LoadReport, Millis, Outcome, Server, ServerId, Ticket, TicketKey};

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
            by_backend
                .entry(server.backend.clone())
                .or_default()
                .push(server);
        }
        self.pools
            .retain(|backend, _| by_backend.contains_key(backend));
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
        note_outcome(member, &flight, result, now);
    }

    /// Takes the whole statement of another gateway in place of its last one.
    pub fn other_load(&mut self, reports: &[LoadReport], from: &str, now: Millis) {
        let from = name_hash(from);
        let members = self
            .pools
            .values_mut()
            .flat_map(|pool| pool.members.iter_mut());
        for member in members {
            let report = reports
                .iter()
                .find(|report| report.server == member.server.id);
            match report {
                Some(report) => {
                    member
                        .load
                        .report(from, report.in_flight, report.waiting_tokens, now)
                }
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

    /// Servers that this gateway avoids for their faults, for the other gateways.
    pub fn in_trouble(&self, now: Millis) -> Vec<ServerId> {
        let members = self.pools.values().flat_map(|pool| pool.members.iter());
        let avoided = members.filter(|member| member.health.is_in_trouble(now));
        avoided.map(|member| member.server.id.clone()).collect()
    }

    /// Another gateway avoids this server for its faults: it is asked less until our own requests are served there.
    pub fn hint_trouble(&mut self, server: &str, now: Millis) {
        let mut members = self
            .pools
            .values_mut()
            .flat_map(|pool| pool.members.iter_mut());
        if let Some(member) = members.find(|member| *member.server.id == *server) {
            member.hint.note(now);
        }
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
        pool.pace.saw_footprint(choice.footprint as f64);
        let under_way = is_under_way(pool, ask.prefix);
        let traffic_share = pool.traffic_share.get();
        let member = &mut pool.members[choice.index];
        let batch = member.load.usual_in_flight(now);
        let new_part = ask
            .prefix
            .last()
            .map(|part| part.id)
            .filter(|id| !member.cache.holds(*id));
        let engine = EngineFlight {
            fresh_tokens: choice.fresh_tokens,
            footprint: choice.footprint,
            tokens_ahead: choice.tokens_ahead,
            batch: batch + 1.0,
            waited_for_place: batch >= f64::from(member.slots()),
            most_tokens: ask.most_tokens,
            chunk_tokens: member.server.engine.map_or(1, |engine| engine.chunk_tokens),
            new_part,
        };
        member.sent(choice.fresh_tokens, choice.footprint, now);
        member.cache.sent(
            ask.prefix,
            (memory_capacity(member) as f64 * traffic_share) as u64,
        );
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
        pool.members[index].sent(0, 0, now);
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
        Choice::Send(Ticket {
            server,
            key: self.last_key,
            engine_priority,
        })
    }
}
