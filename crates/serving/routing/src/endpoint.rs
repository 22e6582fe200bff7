//! The state of one server: health, load, cached prefixes and slowness.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::fault_hint::FaultHint;
use crate::load::EndpointLoad;
use crate::outlier::OutlierDetector;
use crate::prefix_cache::PrefixCache;
use crate::rendezvous::name_hash;
use crate::types::{Availability, Millis, Server};

/// Slowness of a server while it warms up, relative to its slowness when warm.
const WARMUP_SLOWNESS: f64 = 2.0;
/// EWMA gain of the observed slowness.
const SLOWNESS_GAIN: f64 = 0.05;
/// An observed slowness is clamped to at most this value and at least its inverse.
const MAX_SLOWNESS: f64 = 4.0;
/// Time without requests within which the observed slowness decays to 1. The server may have recovered, and only a
/// request can show it.
const SLOWNESS_TTL_MS: f64 = 20_000.0;

/// One endpoint of a pool: a server with its health, load and cached prefixes.
#[derive(Debug)]
pub(crate) struct Endpoint {
    /// Unique number, which distinguishes this endpoint from an earlier one with the same server id.
    pub(crate) number: u64,
    pub(crate) server: Rc<Server>,
    pub(crate) name_hash: u64,
    pub(crate) is_local: bool,
    pub(crate) outliers: OutlierDetector,
    pub(crate) hint: FaultHint,
    pub(crate) load: EndpointLoad,
    pub(crate) cache: PrefixCache,
    slowness: Slowness,
    warmup_ends_at: Millis,
}

impl Endpoint {
    /// Creates the endpoint of `server` as seen from a gateway in `zone`.
    pub(crate) fn new(number: u64, server: Server, zone: &str, now: Millis) -> Self {
        Self {
            number,
            name_hash: name_hash(&server.id),
            is_local: *server.zone == *zone,
            outliers: if server.engine.is_some() {
                OutlierDetector::for_engine()
            } else {
                OutlierDetector::for_server()
            },
            hint: FaultHint::default(),
            load: EndpointLoad::default(),
            cache: PrefixCache::new(),
            slowness: Slowness {
                value: 1.0,
                updated_at: now,
            },
            warmup_ends_at: now + server.warmup_left_ms,
            server: Rc::new(server),
        }
    }

    /// Applies a newer registration of the same server.
    pub(crate) fn update(&mut self, server: Server, zone: &str, now: Millis) {
        self.warmup_ends_at = now + server.warmup_left_ms;
        if *self.server == server {
            return;
        }
        self.is_local = *server.zone == *zone;
        self.server = Rc::new(server);
    }

    /// Records that a request is dispatched to this endpoint.
    pub(crate) fn record_dispatch(&mut self, uncached_tokens: u64, kv_tokens: u64, now: Millis) {
        self.load.record_dispatch(uncached_tokens, kv_tokens, now);
        self.hint.record_dispatch(now);
    }

    /// Whether requests may be dispatched to this endpoint, even if it is ejected.
    pub(crate) fn is_usable(&self) -> bool {
        !self.server.draining && !self.outliers.is_replaced() && !self.is_out_of_connections()
    }

    /// Whether a request that was assigned to this endpoint at `address` may still be sent there.
    pub(crate) fn availability_at(&self, address: SocketAddr) -> Availability {
        if self.outliers.is_replaced() || self.server.address != address {
            Availability::Replaced
        } else if self.server.draining {
            Availability::Leaving
        } else {
            Availability::InService
        }
    }

    /// Whether the server is still slow after its start.
    pub(crate) fn is_warming_up(&self, now: Millis) -> bool {
        now < self.warmup_ends_at
    }

    /// Requests that the server processes at once.
    pub(crate) fn slots(&self) -> u32 {
        let slots = self
            .server
            .engine
            .map_or(self.server.slots, |engine| engine.slots);
        slots.max(1)
    }

    /// Capacity of an engine's KV cache in tokens; unbounded for a server without an engine.
    pub(crate) fn kv_capacity(&self) -> u64 {
        self.server
            .engine
            .map_or(u64::MAX, |engine| engine.kv_capacity)
    }

    /// Number of slots for which the server gets requests; reduced during slow start.
    pub(crate) fn offered_slots(&self, now: Millis) -> f64 {
        (f64::from(self.slots()) * self.outliers.capacity_factor(now)).max(1.0)
    }

    /// Whether all slots of the server are taken.
    pub(crate) fn is_full(&self, now: Millis) -> bool {
        self.load.in_flight(now) >= f64::from(self.slots())
    }

    /// Slowness of the server including warm-up and fault hints; 1 is the mean.
    pub(crate) fn slowness(&self, now: Millis) -> f64 {
        let warmup = if self.is_warming_up(now) {
            WARMUP_SLOWNESS
        } else {
            1.0
        };
        warmup * self.hint.slowness(now) * self.learned_slowness(now)
    }

    /// Slowness observed while the server was warm; 1 is the mean.
    pub(crate) fn learned_slowness(&self, now: Millis) -> f64 {
        self.slowness.get(now)
    }

    /// Records that a request took `ratio` times as long as is expected of a server of mean slowness.
    pub(crate) fn observe_slowness(&mut self, ratio: f64, now: Millis) {
        if !self.is_warming_up(now) {
            self.slowness.observe(ratio, now);
        }
    }

    /// Whether this gateway's requests use all connections that the server accepts. Each request in flight has its own
    /// connection, and the server resets any beyond its limit.
    fn is_out_of_connections(&self) -> bool {
        self.server.max_conns > 0 && self.load.own_in_flight() >= self.server.max_conns
    }
}

/// A mean of observed slowness that decays to 1 with age.
#[derive(Debug, Clone, Copy)]
struct Slowness {
    value: f64,
    updated_at: Millis,
}

impl Slowness {
    fn get(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.updated_at) as f64;
        let weight = (1.0 - age / SLOWNESS_TTL_MS).max(0.0);
        1.0 + weight * (self.value - 1.0)
    }

    fn observe(&mut self, ratio: f64, now: Millis) {
        let bounded = ratio.clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS);
        let previous = self.get(now);
        self.value = previous + SLOWNESS_GAIN * (bounded - previous);
        self.updated_at = now;
    }
}
