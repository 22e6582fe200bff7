//! What is known of one server.

use std::rc::Rc;

use crate::fault_hint::FaultHint;
use crate::load::EndpointLoad;
use crate::outlier::OutlierDetector;
use crate::prefix_cache::PrefixCache;
use crate::rendezvous::name_hash;
use crate::types::{Millis, Server};

/// How many times slower a server is while it warms up.
const WARMUP_SLOWNESS: f64 = 2.0;
/// How fast the observed slowness follows.
const SLOWNESS_GAIN: f64 = 0.05;
/// An observed slowness is taken as at most this, and at least its inverse.
const MAX_SLOWNESS: f64 = 4.0;
/// An observed slowness decays within this time without a request: the server may have recovered, and only a request
/// can tell.
const SLOWNESS_TTL_MS: f64 = 20_000.0;

/// One endpoint of a pool: a server with its health, load and cached prefixes.
#[derive(Debug)]
pub(crate) struct Endpoint {
    /// Never used twice: tells attempts at this endpoint from those at one that had the same id.
    pub(crate) number: u64,
    pub(crate) server: Rc<Server>,
    pub(crate) name_hash: u64,
    pub(crate) is_local: bool,
    pub(crate) outliers: OutlierDetector,
    pub(crate) hint: FaultHint,
    pub(crate) load: EndpointLoad,
    pub(crate) cache: PrefixCache,
    slowness: Slowness,
    warm_at: Millis,
}

impl Endpoint {
    /// An endpoint as seen from a gateway in `zone`.
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
            warm_at: now + server.warmup_left_ms,
            server: Rc::new(server),
        }
    }

    /// Takes a newer registration of the same server.
    pub(crate) fn update(&mut self, server: Server, zone: &str, now: Millis) {
        self.warm_at = now + server.warmup_left_ms;
        if *self.server == server {
            return;
        }
        self.is_local = *server.zone == *zone;
        self.server = Rc::new(server);
    }

    /// A request is dispatched there.
    pub(crate) fn record_dispatch(&mut self, uncached_tokens: u64, kv_tokens: u64, now: Millis) {
        self.load.record_dispatch(uncached_tokens, kv_tokens, now);
        self.hint.record_dispatch(now);
    }

    /// Whether a request may be dispatched there at all.
    pub(crate) fn is_usable(&self) -> bool {
        !self.server.draining && !self.outliers.is_replaced() && !self.is_out_of_connections()
    }

    /// Whether it is still slow from its start.
    pub(crate) fn is_warming_up(&self, now: Millis) -> bool {
        now < self.warm_at
    }

    /// Requests that it works on at once.
    pub(crate) fn slots(&self) -> u32 {
        let slots = self
            .server
            .engine
            .map_or(self.server.slots, |engine| engine.slots);
        slots.max(1)
    }

    /// KV cache tokens of an engine, without bound for another server.
    pub(crate) fn kv_capacity(&self) -> u64 {
        self.server
            .engine
            .map_or(u64::MAX, |engine| engine.kv_capacity)
    }

    /// Slots that it is offered requests for: fewer during slow start.
    pub(crate) fn offered_slots(&self, now: Millis) -> f64 {
        (f64::from(self.slots()) * self.outliers.capacity_factor(now)).max(1.0)
    }

    /// Whether all its slots are taken.
    pub(crate) fn is_full(&self, now: Millis) -> bool {
        self.load.in_flight(now) >= f64::from(self.slots())
    }

    /// How slow it is, 1 for the mean.
    pub(crate) fn slowness(&self, now: Millis) -> f64 {
        let warmup = if self.is_warming_up(now) {
            WARMUP_SLOWNESS
        } else {
            1.0
        };
        warmup * self.hint.slowness(now) * self.learned_slowness(now)
    }

    /// How slow it has been once it was warm, 1 for the mean.
    pub(crate) fn learned_slowness(&self, now: Millis) -> f64 {
        self.slowness.get(now)
    }

    /// A request took `ratio` times what is expected of a server like the mean.
    pub(crate) fn observe_slowness(&mut self, ratio: f64, now: Millis) {
        if !self.is_warming_up(now) {
            self.slowness.observe(ratio, now);
        }
    }

    /// Every request in flight has a connection of its own; the server resets any beyond its limit.
    fn is_out_of_connections(&self) -> bool {
        self.server.max_conns > 0 && self.load.own_in_flight() >= self.server.max_conns
    }
}

/// A mean of observed slowness that returns to 1 as it ages.
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
        let before = self.get(now);
        self.value = before + SLOWNESS_GAIN * (bounded - before);
        self.updated_at = now;
    }
}
