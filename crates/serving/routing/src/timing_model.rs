//! Estimates of a request's time on an engine: time to the first token, time between tokens, and the slowdown of the
//! concurrent requests. Rates are learned from observed times; the priors only serve until the first observations.

use crate::ewma::Ewma;
use crate::linear_fit::LinearFit;

/// Prior: time to the first token if the prompt is cached completely.
const PRIOR_FIRST_TOKEN_MS: f64 = 15.0;
/// Prior: time to prefill one token of a prompt.
const PRIOR_PREFILL_MS_PER_TOKEN: f64 = 0.05;
/// Prompt length at which the prior of the prefill time has its second point.
const PRIOR_LONG_PROMPT_TOKENS: f64 = 4_000.0;
/// Prior: time between tokens of a request that runs alone.
const PRIOR_INTER_TOKEN_MS: f64 = 8.0;
/// Prior: increase of the time between tokens per concurrent request.
const PRIOR_INTER_TOKEN_PER_REQUEST_MS: f64 = 0.3;
/// Batch size at which the prior of the time between tokens has its second point.
const PRIOR_FULL_BATCH: f64 = 24.0;
/// Weight of each point of a prior, in observations.
const PRIOR_WEIGHT: f64 = 2.0;
/// Prior: time for which a request occupies its slot.
const PRIOR_SERVICE_MS: f64 = 500.0;
/// Prior: fraction of the maximum output tokens that is generated.
const PRIOR_OUTPUT_RATIO: f64 = 0.7;
/// Prior: KV cache tokens that one request occupies.
const PRIOR_FOOTPRINT_TOKENS: f64 = 4_000.0;
/// EWMA gain of the service time, output ratio and footprint.
const EWMA_GAIN: f64 = 0.05;
/// Time that each concurrent request loses to a prefill, as a multiple of the prefill time.
const PREFILL_INTERFERENCE: f64 = 1.5;
/// Additional cost of a prefill, as a multiple of its time, because recomputed work is billed.
const RECOMPUTE_WEIGHT: f64 = 4.0;
/// Multiple of the time to the first token after which a stalled engine may hang. It is expected to stay stalled
/// for as long again, so the stall beyond this time is added to its cost.
const STALL_GRACE: f64 = 2.0;

/// The timing model of one service, learned from all its engines.
#[derive(Debug)]
pub(crate) struct TimingModel {
    first_token: LinearFit,
    inter_token: LinearFit,
    service_ms: Ewma,
    output_ratio: Ewma,
    footprint: Ewma,
}

/// The state of one engine that an estimate depends on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineState {
    /// Requests in flight on the engine, of all gateways.
    pub(crate) in_flight: f64,
    /// Slots for which the engine gets requests.
    pub(crate) slots: f64,
    /// Tokens that the engine still has to prefill.
    pub(crate) prefill_tokens: f64,
    /// KV cache tokens occupied by the requests in flight.
    pub(crate) kv_tokens: f64,
    /// Capacity of the KV cache in tokens.
    pub(crate) kv_capacity: f64,
    /// Slowness of the engine; 1 is the mean.
    pub(crate) slowness: f64,
    /// Time for which the engine has responded to none of the requests that await a response.
    pub(crate) stalled_ms: f64,
}

/// The resources that a request needs on an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    /// Prompt tokens that the engine must prefill.
    pub(crate) uncached_tokens: f64,
    /// Tokens to decode.
    pub(crate) output_tokens: f64,
    /// KV cache tokens that the request occupies.
    pub(crate) footprint: f64,
}

/// Estimated time and cost of a request on an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimate {
    /// Time to the first token.
    pub(crate) first_token_ms: f64,
    /// Cost by which engines are compared: the time of the request, the slowdown of other requests, and the risk of a
    /// stalled engine.
    pub(crate) cost_ms: f64,
}

impl TimingModel {
    pub(crate) fn new() -> Self {
        Self {
            first_token: LinearFit::new(
                PRIOR_FIRST_TOKEN_MS,
                PRIOR_PREFILL_MS_PER_TOKEN,
                PRIOR_LONG_PROMPT_TOKENS,
                PRIOR_WEIGHT,
            ),
            inter_token: LinearFit::new(
                PRIOR_INTER_TOKEN_MS,
                PRIOR_INTER_TOKEN_PER_REQUEST_MS,
                PRIOR_FULL_BATCH,
                PRIOR_WEIGHT,
            ),
            service_ms: Ewma::new(PRIOR_SERVICE_MS, EWMA_GAIN),
            output_ratio: Ewma::new(PRIOR_OUTPUT_RATIO, EWMA_GAIN),
            footprint: Ewma::new(PRIOR_FOOTPRINT_TOKENS, EWMA_GAIN),
        }
    }

    /// Expected time to the first token with this many tokens to prefill.
    pub(crate) fn first_token_ms(&self, prefill_tokens_ahead: f64) -> f64 {
        self.first_token.predict(prefill_tokens_ahead)
    }

    /// Expected time between tokens in a batch of this size.
    pub(crate) fn inter_token_ms(&self, batch: f64) -> f64 {
        self.inter_token.predict(batch)
    }

    /// Mean time for which a request occupies its slot.
    pub(crate) fn service_ms(&self) -> f64 {
        self.service_ms.get()
    }

    /// Mean number of KV cache tokens that a request occupies.
    pub(crate) fn footprint(&self) -> f64 {
        self.footprint.get()
    }

    /// Expected number of generated tokens.
    pub(crate) fn output_tokens(&self, max_tokens: u32) -> f64 {
        self.output_ratio.get() * f64::from(max_tokens)
    }

    /// Records the time to a first token.
    pub(crate) fn observe_first_token(&mut self, prefill_tokens_ahead: f64, took_ms: f64) {
        self.first_token.observe(prefill_tokens_ahead, took_ms);
    }

    /// Records the mean time between the tokens of a response.
    pub(crate) fn observe_inter_token(&mut self, batch: f64, inter_token_ms: f64) {
        self.inter_token.observe(batch, inter_token_ms);
    }

    /// Records the service time and output of a completed request.
    pub(crate) fn observe_completion(&mut self, service_ms: f64, tokens_out: u32, max_tokens: u32) {
        self.service_ms.observe(service_ms);
        if max_tokens > 0 {
            let ratio = f64::from(tokens_out) / f64::from(max_tokens);
            self.output_ratio.observe(ratio.min(1.0));
        }
    }

    /// Records the KV cache tokens of a dispatched request.
    pub(crate) fn observe_footprint(&mut self, tokens: f64) {
        self.footprint.observe(tokens);
    }

    /// Estimates the time and cost of a request on an engine.
    pub(crate) fn estimate(&self, engine: &EngineState, demand: &Demand) -> Estimate {
        let wait_ms =
            engine.slowness * (self.slot_wait_ms(engine) + self.memory_wait_ms(engine, demand));
        let prefill_ms =
            engine.slowness * self.first_token_ms(engine.prefill_tokens + demand.uncached_tokens);
        let batch = engine.in_flight.min(engine.slots) + 1.0;
        let decode_ms = engine.slowness * demand.output_tokens * self.inter_token_ms(batch);
        let first_token_ms = wait_ms + prefill_ms;
        let cost_ms = first_token_ms
            + decode_ms
            + (engine.stalled_ms - STALL_GRACE * first_token_ms).max(0.0)
            + engine.slowness * self.interference_ms(engine, demand);
        Estimate {
            first_token_ms,
            cost_ms,
        }
    }

    /// Time that the concurrent requests lose, plus the additional cost of the prefill.
    fn interference_ms(&self, engine: &EngineState, demand: &Demand) -> f64 {
        let concurrent = engine.in_flight.min(engine.slots);
        let prefill_ms = demand.uncached_tokens * self.first_token.slope();
        let stalled_ms = PREFILL_INTERFERENCE * concurrent * prefill_ms;
        let slowed_ms = concurrent * demand.output_tokens * self.inter_token.slope();
        stalled_ms + slowed_ms + RECOMPUTE_WEIGHT * prefill_ms
    }

    /// Expected wait for a slot.
    fn slot_wait_ms(&self, engine: &EngineState) -> f64 {
        let excess = engine.in_flight + 1.0 - engine.slots;
        excess.max(0.0) / engine.slots * self.service_ms()
    }

    /// Expected wait for KV cache memory.
    fn memory_wait_ms(&self, engine: &EngineState, demand: &Demand) -> f64 {
        let excess = engine.kv_tokens + demand.footprint - engine.kv_capacity;
        if excess <= 0.0 {
            return 0.0;
        }
        let requests = excess / self.footprint().max(1.0);
        requests / engine.in_flight.max(1.0) * self.service_ms()
    }
}
