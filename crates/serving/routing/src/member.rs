//! What is known of one server.

use std::rc::Rc;

use crate::health::Health;
use crate::hint::Hint;
use crate::load::Load;
use crate::prefix_cache::PrefixCache;
use crate::rendezvous::name_hash;
use crate::types::{Millis, Server};

/// How many times slower a server is while it is cold.
const COLD_SLOWNESS: f64 = 2.0;
/// How fast the observed slowness follows.
const SLOWNESS_GAIN: f64 = 0.05;
/// An observed slowness is taken as at most this, and at least its inverse.
const MOST_SLOWNESS: f64 = 4.0;
/// An observed slowness is forgotten over this time without a request: the server may be well again, and
/// only a request can tell.
const SLOWNESS_KEPT_MS: f64 = 20_000.0;

/// One server of a pool.
#[derive(Debug)]
pub(crate) struct Member {
    /// Never used twice: tells requests of this member from those of one that had the same id.
    pub(crate) number: u64,
    pub(crate) server: Rc<Server>,
    pub(crate) name_hash: u64,
    pub(crate) is_local: bool,
    pub(crate) health: Health,
    pub(crate) hint: Hint,
    pub(crate) load: Load,
    pub(crate) cache: PrefixCache,
    slowness: Slowness,
    cold_until: Millis,
}

impl Member {
    pub(crate) fn new(number: u64, server: Server, zone: &str, now: Millis) -> Self {
        Self {
            number,
            name_hash: name_hash(&server.id),
            is_local: *server.zone == *zone,
            health: if server.engine.is_some() {
                Health::of_engine()
            } else {
                Health::of_server()
            },
            hint: Hint::default(),
            load: Load::default(),
            cache: PrefixCache::new(),
            slowness: Slowness {
                value: 1.0,
                at: now,
            },
            cold_until: now + server.cold_left_ms,
            server: Rc::new(server),
        }
    }

    /// Takes a newer statement of the same server.
    pub(crate) fn update(&mut self, server: Server, zone: &str, now: Millis) {
        self.cold_until = now + server.cold_left_ms;
        if *self.server == server {
            return;
        }
        self.is_local = *server.zone == *zone;
        self.server = Rc::new(server);
    }

    /// A request is sent there.
    pub(crate) fn sent(&mut self, fresh_tokens: u64, memory_tokens: u64, now: Millis) {
        self.load.sent(fresh_tokens, memory_tokens, now);
        self.hint.sent(now);
    }

    /// Whether a request may be sent there at all.
    pub(crate) fn is_usable(&self) -> bool {
        !self.server.draining && !self.health.is_gone() && !self.is_out_of_connections()
    }

    /// Whether it still is slow from its start.
    pub(crate) fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Requests that it works on at once.
    pub(crate) fn slots(&self) -> u32 {
        let slots = self
            .server
            .engine
            .map_or(self.server.slots, |engine| engine.slots);
        slots.max(1)
    }

    /// Places that it is offered requests for: fewer while it returns from trouble.
    pub(crate) fn places(&self, now: Millis) -> f64 {
        (f64::from(self.slots()) * self.health.share(now)).max(1.0)
    }

    /// Whether all its places are taken.
    pub(crate) fn is_full(&self, now: Millis) -> bool {
        self.load.in_flight(now) >= f64::from(self.slots())
    }

    /// How slow it is, 1 for the mean.
    pub(crate) fn slowness(&self, now: Millis) -> f64 {
        let cold = if self.is_cold(now) {
            COLD_SLOWNESS
        } else {
            1.0
        };
        cold * self.hint.slowness(now) * self.learnt_slowness(now)
    }

    /// How slow it has been while it was warm, 1 for the mean.
    pub(crate) fn learnt_slowness(&self, now: Millis) -> f64 {
        self.slowness.get(now)
    }

    /// A request took `ratio` times what is expected of a server like the mean.
    pub(crate) fn saw_slowness(&mut self, ratio: f64, now: Millis) {
        if !self.is_cold(now) {
            self.slowness.observe(ratio, now);
        }
    }

    /// Every request in flight holds a connection; the server resets any beyond its limit.
    fn is_out_of_connections(&self) -> bool {
        self.server.max_conns > 0 && self.load.own_in_flight() >= self.server.max_conns
    }
}

/// A mean of observed slowness that goes back to 1 as it ages.
#[derive(Debug, Clone, Copy)]
struct Slowness {
    value: f64,
    at: Millis,
}

impl Slowness {
    fn get(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        let kept = (1.0 - age / SLOWNESS_KEPT_MS).max(0.0);
        1.0 + kept * (self.value - 1.0)
    }

    fn observe(&mut self, ratio: f64, now: Millis) {
        let bounded = ratio.clamp(1.0 / MOST_SLOWNESS, MOST_SLOWNESS);
        let before = self.get(now);
        self.value = before + SLOWNESS_GAIN * (bounded - before);
        self.at = now;
    }
}
