//! The choice among model engines, with prefix affinity.
//!
//! A program's preferred engine is the first in rendezvous order of the engines to which its shared prefix is assigned.
//! Every gateway finds the same preferred engine, so a program's context and shared prefixes gather in few KV caches.
//! Another engine is chosen if its estimate is better by more than the cached prefix saves.

use crate::endpoint::Endpoint;
use crate::pool::Pool;
use crate::prefix_statistics::SharedPrefix;
use crate::rendezvous::{name_hash, weight, weight_fraction};
use crate::timing_model::{Demand, EngineState, Estimate};
use crate::types::{Millis, RoutingRequest};

/// Minimum number of engines in the gateway's zone for affinity to be confined to that zone.
const MIN_ENGINES_IN_ZONE: usize = 2;
/// A shared prefix that occurs in a fraction p of the requests is assigned to a fraction of p times this of the
/// engines.
const SHARED_PREFIX_SPREAD: f64 = 1.0;
/// Fraction of a prompt that the preferred engine is presumed to cache because of other gateways' dispatches.
const PRESUMED_CACHED_RATIO: f64 = 0.95;
/// Cost added to every engine but the preferred one, beyond the estimated prefill time.
const AFFINITY_BONUS_MS: f64 = 8.0;
/// Cost added to engines in another zone: latency, and traffic between zones that is billed.
const CROSS_ZONE_MS: f64 = 8.0;
/// Maximum cost added by rendezvous order, so that all gateways order engines of nearly equal cost alike.
const TIE_BREAK_MS: f64 = 1.0;

/// The engine chosen for a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineChoice {
    /// Index of the endpoint in its pool.
    pub(crate) index: usize,
    /// Prompt tokens of the request that the engine must prefill.
    pub(crate) uncached_tokens: u64,
    /// Tokens that the engine must prefill until the first token, including this request's.
    pub(crate) prefill_tokens_ahead: f64,
    /// KV cache tokens that the request occupies.
    pub(crate) footprint: u64,
    pub(crate) estimate: Estimate,
}

/// Chooses the engine with the least cost. `fallback_key` determines the rendezvous order for requests that name
/// neither a program nor a session.
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
    let affinity = Affinity::of_program(pool, candidates, program, shared_prefix);
    let mut best: Option<EngineChoice> = None;
    for index in candidates {
        let choice = evaluate(pool, request, *index, &affinity, now);
        if best.is_none_or(|best| choice.estimate.cost_ms < best.estimate.cost_ms) {
            best = Some(choice);
        }
    }
    best
}

/// The engines that are likely to cache a program's prefix.
#[derive(Debug)]
struct Affinity {
    /// Hash of the program.
    program: u64,
    /// Index of the preferred engine.
    preferred: Option<usize>,
    shared_prefix: Option<SharedPrefix>,
    /// Minimum rendezvous weight of the engines to which the shared prefix is assigned.
    shared_prefix_threshold: u64,
}

impl Affinity {
    fn of_program(
        pool: &Pool,
        candidates: &[usize],
        program: u64,
        shared_prefix: Option<SharedPrefix>,
    ) -> Self {
        let eligible = affinity_candidates(pool, candidates);
        let mut affinity = Self {
            program,
            preferred: None,
            shared_prefix,
            shared_prefix_threshold: shared_prefix
                .map_or(0, |prefix| prefix_threshold(pool, &eligible, prefix)),
        };
        affinity.preferred = eligible
            .into_iter()
            .filter(|index| affinity.serves_shared_prefix(&pool.endpoints[*index]))
            .max_by_key(|index| weight(pool.endpoints[*index].name_hash, program));
        affinity
    }

    /// Whether the shared prefix is assigned to this engine; true for all engines if there is no shared prefix.
    fn serves_shared_prefix(&self, endpoint: &Endpoint) -> bool {
        self.shared_prefix.is_none_or(|prefix| {
            weight(endpoint.name_hash, prefix.id) >= self.shared_prefix_threshold
        })
    }

    /// KV cache tokens that the request occupies, without the shared prefix, which all its programs have in common.
    fn footprint(&self, request: &RoutingRequest) -> f64 {
        let shared = self
            .shared_prefix
            .map_or(0.0, |prefix| prefix.tokens as f64);
        (f64::from(request.prompt_tokens) - shared).max(0.0) + f64::from(request.max_tokens)
    }

    /// Prompt tokens that the engine is presumed to cache because of other gateways' dispatches.
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

/// The candidates for the preferred engine: those in the gateway's zone if they are at least [`MIN_ENGINES_IN_ZONE`]
/// and at least half of an even share per zone, otherwise all.
fn affinity_candidates(pool: &Pool, candidates: &[usize]) -> Vec<usize> {
    let local: Vec<usize> = candidates
        .iter()
        .copied()
        .filter(|index| pool.endpoints[*index].is_local)
        .collect();
    if local.len() >= MIN_ENGINES_IN_ZONE && 2 * local.len() * pool.zone_count() >= candidates.len()
    {
        return local;
    }
    candidates.to_vec()
}

/// Minimum rendezvous weight of the engines to which a shared prefix is assigned.
fn prefix_threshold(pool: &Pool, eligible: &[usize], shared_prefix: SharedPrefix) -> u64 {
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

/// Estimates the cost of a request on one engine.
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
    let rank = weight_fraction(weight(endpoint.name_hash, affinity.program));
    estimate.cost_ms += TIE_BREAK_MS * (1.0 - rank);
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

/// The state of an engine that its estimates depend on.
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
