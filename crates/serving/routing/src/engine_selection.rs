//! The choice among model engines, with prefix affinity.
//!
//! A program has a preferred engine: of the engines that its shared prefix is assigned to, the first in rendezvous
//! order. Every gateway finds the same one, so a program's context and shared prefixes gather in few KV caches. The
//! preferred engine is left where the estimate says that another is quicker by more than the cached prefix saves.

use crate::endpoint::Endpoint;
use crate::pool::Pool;
use crate::prefix_statistics::SharedPrefix;
use crate::rendezvous::{fraction, name_hash, weight};
use crate::timing_model::{Demand, EngineState, Estimate};
use crate::types::{Millis, RoutingRequest};

/// Engines that a zone must have for affinity to stay within it.
const MIN_ENGINES_IN_ZONE: usize = 2;
/// A shared prefix is assigned to this many times its fraction of the engines.
const SHARED_PREFIX_SPREAD: f64 = 1.0;
/// Ratio of a prompt that its preferred engine is presumed to cache from other gateways' dispatches.
const PRESUMED_CACHED_RATIO: f64 = 0.95;
/// What being the preferred engine counts for beyond that.
const AFFINITY_BONUS_MS: f64 = 8.0;
/// What another zone costs: the latency, and bytes that are priced.
const CROSS_ZONE_MS: f64 = 8.0;
/// Orders engines that are as good as equal, each gateway alike.
const TIE_BREAK_MS: f64 = 1.0;

/// An engine for a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineChoice {
    /// Index of the endpoint in its pool.
    pub(crate) index: usize,
    /// Prompt tokens that it must prefill.
    pub(crate) uncached_tokens: u64,
    /// Those and what waits there before them.
    pub(crate) prefill_tokens_ahead: f64,
    /// KV cache tokens that the request takes.
    pub(crate) footprint: u64,
    pub(crate) estimate: Estimate,
}

/// Chooses the engine with the least cost; `fallback_key` orders the engines for requests that name neither a program
/// nor a session.
pub(crate) fn choose(
    pool: &mut Pool,
    request: &RoutingRequest,
    candidates: &[usize],
    fallback_key: u64,
    now: Millis,
) -> Option<EngineChoice> {
    let caller = request.program.or(request.session);
    let program = caller.map_or(fallback_key, name_hash);
    let shared_prefix = pool.prefix_statistics.observe(request.prefix, program);
    let affinity = Affinity::find(pool, candidates, program, shared_prefix);
    let mut best: Option<EngineChoice> = None;
    for index in candidates {
        let choice = evaluate(pool, request, *index, &affinity, now);
        if best.is_none_or(|best| choice.estimate.cost_ms < best.estimate.cost_ms) {
            best = Some(choice);
        }
    }
    best
}

/// Which engines are likely to cache a program's prefix.
#[derive(Debug)]
struct Affinity {
    /// Hash of the program.
    program: u64,
    /// Index of the preferred engine.
    preferred: Option<usize>,
    shared_prefix: Option<SharedPrefix>,
    /// The least weight with which an engine is assigned to the shared prefix.
    shared_prefix_threshold: u64,
}

impl Affinity {
    fn find(
        pool: &Pool,
        candidates: &[usize],
        program: u64,
        shared_prefix: Option<SharedPrefix>,
    ) -> Self {
        let eligible = eligible(pool, candidates);
        let mut affinity = Self {
            program,
            preferred: None,
            shared_prefix,
            shared_prefix_threshold: shared_prefix
                .map_or(0, |prefix| threshold(pool, &eligible, prefix)),
        };
        affinity.preferred = eligible
            .into_iter()
            .filter(|index| affinity.serves_shared_prefix(&pool.endpoints[*index]))
            .max_by_key(|index| weight(pool.endpoints[*index].name_hash, program));
        affinity
    }

    fn serves_shared_prefix(&self, endpoint: &Endpoint) -> bool {
        self.shared_prefix.is_none_or(|prefix| {
            weight(endpoint.name_hash, prefix.id) >= self.shared_prefix_threshold
        })
    }

    /// KV cache tokens that the request takes: a shared prefix is there for all its programs together.
    fn footprint(&self, request: &RoutingRequest) -> f64 {
        let shared = self
            .shared_prefix
            .map_or(0.0, |prefix| prefix.tokens as f64);
        (f64::from(request.prompt_tokens) - shared).max(0.0) + f64::from(request.max_tokens)
    }

    /// Tokens of the prompt that the engine is presumed to cache though this gateway did not dispatch them there.
    fn presumed_cached_tokens(&self, endpoint: &Endpoint, index: usize, prompt_tokens: f64) -> f64 {
        if self.preferred == Some(index) {
            return PRESUMED_CACHED_RATIO * prompt_tokens;
        }
        match self.shared_prefix {
            Some(prefix) if self.serves_shared_prefix(endpoint) => {
                PRESUMED_CACHED_RATIO * prefix.tokens as f64
            }
            _ => 0.0,
        }
    }
}

/// The engines among which the preferred one is found: those of the own zone, if it has its proportion of them.
fn eligible(pool: &Pool, candidates: &[usize]) -> Vec<usize> {
    let local: Vec<usize> = candidates
        .iter()
        .copied()
        .filter(|index| pool.endpoints[*index].is_local)
        .collect();
    if local.len() >= MIN_ENGINES_IN_ZONE && 2 * local.len() * pool.zones() >= candidates.len() {
        return local;
    }
    candidates.to_vec()
}

/// The weight that an engine needs to be assigned to a shared prefix.
fn threshold(pool: &Pool, eligible: &[usize], shared_prefix: SharedPrefix) -> u64 {
    let engines = SHARED_PREFIX_SPREAD * shared_prefix.popularity * eligible.len() as f64;
    let count = (engines.ceil() as usize).max(1);
    if count >= eligible.len() {
        return 0;
    }
    let mut weights: Vec<u64> = eligible
        .iter()
        .map(|index| weight(pool.endpoints[*index].name_hash, shared_prefix.id))
        .collect();
    let (_, threshold, _) =
        weights.select_nth_unstable_by(count - 1, |left, right| right.cmp(left));
    *threshold
}

fn evaluate(
    pool: &Pool,
    request: &RoutingRequest,
    index: usize,
    affinity: &Affinity,
    now: Millis,
) -> EngineChoice {
    let endpoint = &pool.endpoints[index];
    let prompt_tokens = f64::from(request.prompt_tokens);
    let known_cached = (endpoint.cache.cached_tokens(request.prefix) as f64).min(prompt_tokens);
    let cached = known_cached.max(affinity.presumed_cached_tokens(endpoint, index, prompt_tokens));
    let uncached_tokens = prompt_tokens - cached;
    let engine = engine_state(pool, endpoint, now);
    let demand = Demand {
        uncached_tokens,
        output_tokens: pool.timing.output_tokens(request.max_tokens),
        footprint: affinity.footprint(request),
    };
    let mut estimate = pool.timing.estimate(&engine, &demand);
    let order = fraction(weight(endpoint.name_hash, affinity.program));
    estimate.cost_ms += TIE_BREAK_MS * (1.0 - order);
    if affinity.preferred != Some(index) {
        estimate.cost_ms += AFFINITY_BONUS_MS;
    }
    if !endpoint.is_local {
        estimate.cost_ms += CROSS_ZONE_MS;
    }
    EngineChoice {
        index,
        uncached_tokens: uncached_tokens as u64,
        prefill_tokens_ahead: engine.prefill_tokens + uncached_tokens,
        footprint: demand.footprint as u64,
        estimate,
    }
}

fn engine_state(pool: &Pool, endpoint: &Endpoint, now: Millis) -> EngineState {
    let load = &endpoint.load;
    let peers_kv_tokens = load.peers_smoothed_in_flight(now) * pool.timing.footprint();
    EngineState {
        in_flight: load.smoothed_in_flight(now),
        slots: endpoint.offered_slots(now),
        prefill_tokens: load.smoothed_prefill_tokens(now),
        kv_tokens: load.own_kv_tokens() as f64 + peers_kv_tokens,
        kv_capacity: endpoint.kv_capacity() as f64,
        slowness: endpoint.slowness(now),
        stalled_ms: load.stalled_ms(now) as f64,
    }
}
