//! The load balancer of one gateway process: the pools of all services and the attempts in flight.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::admission::{retry_after_if_rejected, stream_timeout_ms, Forecast};
use crate::attempt::{record_health, release, Attempt, EngineAttempt};
use crate::endpoint::Endpoint;
use crate::engine_selection::{self, EngineChoice};
use crate::least_loaded;
use crate::observation::{observe_completion, observe_first_event, observe_response_head};
use crate::pool::Pool;
use crate::priority::{engine_priority, is_continuation};
use crate::rendezvous::{name_hash, IdMap};
use crate::types::{
    Availability, Choice, LoadReport, Millis, Outcome, RoutingRequest, Server, ServerId, Ticket,
    TicketKey,
};

/// Chooses a server for each request of one gateway process.
#[derive(Debug)]
pub struct Balancer {
    zone: Rc<str>,
    random: fastrand::Rng,
    pools: BTreeMap<Rc<str>, Pool>,
    attempts: IdMap<Attempt>,
    last_key: TicketKey,
    last_endpoint_number: u64,
}

impl Balancer {
    /// Creates a balancer without servers for a gateway in `zone`. `seed` seeds the choice between equal servers.
    #[must_use]
    pub fn new(zone: Rc<str>, seed: u64) -> Self {
        Self {
            zone,
            random: fastrand::Rng::with_seed(seed),
            pools: BTreeMap::new(),
            attempts: IdMap::default(),
            last_key: 0,
            last_endpoint_number: 0,
        }
    }

    /// Replaces the list of servers. Servers that stay listed keep their health, load and cache state.
    pub fn set_servers(&mut self, servers: Vec<Server>, now: Millis) {
        let mut servers_by_backend: BTreeMap<Rc<str>, Vec<Server>> = BTreeMap::new();
        for server in servers {
            servers_by_backend
                .entry(server.backend.clone())
                .or_default()
                .push(server);
        }
        self.pools
            .retain(|backend, _| servers_by_backend.contains_key(backend));
        for (backend, servers) in servers_by_backend {
            let pool = self.pools.entry(backend).or_insert_with(Pool::new);
            pool.set_servers(servers, &self.zone, &mut self.last_endpoint_number, now);
        }
    }

    /// Chooses a server and counts the request as in flight there until [`Balancer::record_outcome`] is called with the
    /// ticket's key.
    #[must_use = "a request that is sent counts as in flight until its outcome is recorded"]
    pub fn choose(&mut self, request: &RoutingRequest, now: Millis) -> Choice {
        let Some(pool) = self.pools.get_mut(request.backend) else {
            return Choice::NoServer;
        };
        let candidates = pool.candidates(request, now);
        let Some(first) = candidates.first() else {
            return Choice::NoServer;
        };
        if pool.endpoints[*first].server.engine.is_some() {
            self.choose_engine(request, &candidates, now)
        } else {
            self.choose_least_loaded(request, &candidates, now)
        }
    }

    /// Returns whether `server`, which was chosen earlier, may still get the request.
    #[must_use]
    pub fn availability(&self, server: &Server) -> Availability {
        let pool = self.pools.get(&server.backend);
        if let Some(endpoint) = pool.and_then(|pool| pool.endpoint_of(&server.id)) {
            return endpoint.availability_at(server.address);
        }
        let is_replaced = self
            .endpoints()
            .any(|endpoint| endpoint.server.address == server.address);
        if is_replaced {
            Availability::Replaced
        } else {
            Availability::Leaving
        }
    }

    /// Records the first event of a stream, or the head of a response that is not a stream.
    pub fn record_first_event(&mut self, key: TicketKey, now: Millis) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        if attempt.first_event_at.is_some() {
            return;
        }
        attempt.first_event_at = Some(now);
        let Some(pool) = self.pools.get_mut(&attempt.backend) else {
            return;
        };
        match attempt.engine {
            Some(engine) => observe_first_event(pool, attempt, engine, now),
            None => observe_response_head(pool, attempt, now),
        }
    }

    /// Records the outcome of an attempt, which is no longer in flight.
    pub fn record_outcome(&mut self, key: TicketKey, outcome: Outcome, now: Millis) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&attempt.backend) else {
            return;
        };
        if let (Outcome::Served { tokens_out }, Some(engine)) = (outcome, attempt.engine) {
            observe_completion(pool, &attempt, engine, tokens_out, now);
        }
        let Some(endpoint) = pool.endpoint_mut(attempt.endpoint) else {
            return;
        };
        release(endpoint, &attempt, outcome, now);
        record_health(endpoint, &attempt, outcome, now);
    }

    /// Replaces the last load report of another gateway by `reports`, which is complete.
    pub fn apply_peer_load(&mut self, reports: &[LoadReport], gateway: &str, now: Millis) {
        let gateway = name_hash(gateway);
        for endpoint in self.endpoints_mut() {
            let report = reports
                .iter()
                .find(|report| report.server == endpoint.server.id);
            let (in_flight, prefill_tokens) =
                report.map_or((0, 0), |report| (report.in_flight, report.prefill_tokens));
            endpoint
                .load
                .apply_peer_report(gateway, in_flight, prefill_tokens, now);
        }
    }

    /// This gateway's load on each server, to be sent to the other gateways. Servers without requests are left out.
    #[must_use]
    pub fn load_reports(&self) -> Vec<LoadReport> {
        let busy = self
            .endpoints()
            .filter(|endpoint| endpoint.load.own_in_flight() > 0);
        busy.map(|endpoint| LoadReport {
            server: endpoint.server.id.clone(),
            in_flight: endpoint.load.own_in_flight(),
            prefill_tokens: endpoint.load.own_prefill_tokens(),
        })
        .collect()
    }

    /// Servers that this gateway has ejected for faults, to be sent to the other gateways.
    #[must_use]
    pub fn ejected_for_faults(&self, now: Millis) -> Vec<ServerId> {
        let ejected = self
            .endpoints()
            .filter(|endpoint| endpoint.outliers.is_ejected_for_fault(now));
        ejected.map(|endpoint| endpoint.server.id.clone()).collect()
    }

    /// Records that another gateway has ejected `server` for faults. The server gets fewer requests until one of this
    /// gateway's requests is served there.
    pub fn hint_fault(&mut self, server: &str, now: Millis) {
        let endpoint = self
            .endpoints_mut()
            .find(|endpoint| *endpoint.server.id == *server);
        if let Some(endpoint) = endpoint {
            endpoint.hint.record(now);
        }
    }

    /// Number of this gateway's attempts in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.pools.values().flat_map(|pool| pool.endpoints.iter())
    }

    fn endpoints_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.pools
            .values_mut()
            .flat_map(|pool| pool.endpoints.iter_mut())
    }

    fn choose_engine(
        &mut self,
        request: &RoutingRequest,
        candidates: &[usize],
        now: Millis,
    ) -> Choice {
        let fallback_key = self.random.u64(..);
        let Some(pool) = self.pools.get_mut(request.backend) else {
            return Choice::NoServer;
        };
        let choice = engine_selection::choose(pool, request, candidates, fallback_key, now);
        let Some(choice) = choice else {
            return Choice::NoServer;
        };
        let forecast = Forecast {
            all_slots_taken: pool.is_full(now),
            expected_ms: choice.estimate.first_token_ms,
            client_timeout_ms: stream_timeout_ms(request),
        };
        if let Some(retry_after_ms) = retry_after_if_rejected(request, &forecast) {
            return Choice::Reject { retry_after_ms };
        }
        pool.observe_traffic_fraction(now);
        pool.timing.observe_footprint(choice.footprint as f64);
        let continuation = is_continuation(pool, request.prefix);
        let engine = dispatch_to_engine(pool, request, &choice, now);
        let priority = engine_priority(request, continuation, choice.estimate.first_token_ms);
        self.send(request, choice.index, Some(engine), Some(priority), now)
    }

    fn choose_least_loaded(
        &mut self,
        request: &RoutingRequest,
        candidates: &[usize],
        now: Millis,
    ) -> Choice {
        let start = self.random.usize(..candidates.len());
        let Some(pool) = self.pools.get_mut(request.backend) else {
            return Choice::NoServer;
        };
        let index = least_loaded::choose(pool, candidates, start, request.target_ms, now);
        let Some(index) = index else {
            return Choice::NoServer;
        };
        let forecast = Forecast {
            all_slots_taken: pool.is_full(now),
            expected_ms: least_loaded::expected_ms(pool, index, request.target_ms, now),
            client_timeout_ms: request.time_left_ms,
        };
        if let Some(retry_after_ms) = retry_after_if_rejected(request, &forecast) {
            return Choice::Reject { retry_after_ms };
        }
        pool.endpoints[index].record_dispatch(0, 0, now);
        self.send(request, index, None, None, now)
    }

    fn send(
        &mut self,
        request: &RoutingRequest,
        index: usize,
        engine: Option<EngineAttempt>,
        engine_priority: Option<u8>,
        now: Millis,
    ) -> Choice {
        let Some(pool) = self.pools.get(request.backend) else {
            return Choice::NoServer;
        };
        let endpoint = &pool.endpoints[index];
        let server = endpoint.server.clone();
        let attempt = Attempt {
            backend: server.backend.clone(),
            endpoint: endpoint.number,
            dispatched_at: now,
            first_event_at: None,
            target_ms: request.target_ms,
            engine,
        };
        self.last_key += 1;
        self.attempts.insert(self.last_key, attempt);
        Choice::Send(Ticket {
            server,
            key: self.last_key,
            engine_priority,
        })
    }
}

/// Adds a request to the load of the chosen engine, and returns the load to release when the attempt ends.
fn dispatch_to_engine(
    pool: &mut Pool,
    request: &RoutingRequest,
    choice: &EngineChoice,
    now: Millis,
) -> EngineAttempt {
    let traffic_fraction = pool.traffic_fraction.get();
    let endpoint = &mut pool.endpoints[choice.index];
    let batch = endpoint.load.smoothed_in_flight(now);
    let last_segment = request.prefix.last().map(|segment| segment.id);
    let attempt = EngineAttempt {
        uncached_tokens: choice.uncached_tokens,
        footprint: choice.footprint,
        prefill_tokens_ahead: choice.prefill_tokens_ahead,
        batch: batch + 1.0,
        waited_for_slot: batch >= f64::from(endpoint.slots()),
        max_tokens: request.max_tokens,
        chunk_tokens: endpoint
            .server
            .engine
            .map_or(1, |engine| engine.chunk_tokens),
        new_segment: last_segment.filter(|id| !endpoint.cache.contains(*id)),
    };
    endpoint.record_dispatch(choice.uncached_tokens, choice.footprint, now);
    let own_capacity = (endpoint.kv_capacity() as f64 * traffic_fraction) as u64;
    endpoint.cache.record_dispatch(request.prefix, own_capacity);
    attempt
}
