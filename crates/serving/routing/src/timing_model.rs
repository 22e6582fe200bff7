//! What a request would take on an engine: time to the first token, time between tokens, and what it costs the
//! requests beside it. Rates are learned from observed times; the priors only bridge the first requests.

use crate::ewma::Ewma;
use crate::linear_fit::LinearFit;

/// Prior: time to the first token of a prompt that is cached completely.
const PRIOR_FIRST_TOKEN_MS: f64 = 15.0;
/// Prior: time to prefill one token of a prompt.
const PRIOR_PREFILL_MS_PER_TOKEN: f64 = 0.05;
/// The far end of the prior's line: a long prompt.
const PRIOR_LONG_PROMPT_TOKENS: f64 = 4_000.0;
/// Prior: time between tokens of a request that runs alone.
const PRIOR_INTER_TOKEN_MS: f64 = 8.0;
/// Prior: what each concurrent request adds to that time.
const PRIOR_INTER_TOKEN_PER_REQUEST_MS: f64 = 0.3;
/// The far end of that prior's line: a full batch.
const PRIOR_FULL_BATCH: f64 = 24.0;
/// Observations that the priors count for.
const PRIOR_WEIGHT: f64 = 2.0;
/// Prior: how long a request occupies its slot.
const PRIOR_SERVICE_MS: f64 = 500.0;
/// Prior: fraction of the allowed tokens that is really generated.
const PRIOR_OUTPUT_RATIO: f64 = 0.7;
/// Prior: KV cache tokens of one request.
const PRIOR_FOOTPRINT_TOKENS: f64 = 4_000.0;
/// How fast these means follow.
const EWMA_GAIN: f64 = 0.05;
/// Fraction of a request's prefill time that each concurrent request loses.
const PREFILL_INTERFERENCE: f64 = 1.5;
/// What a prefill counts for beyond its time: work done twice is priced.
const RECOMPUTE_WEIGHT: f64 = 4.0;
/// An engine that has been stalled for more than this many times the time to a first token may hang: it is expected
/// to stay stalled as long again.
const STALL_GRACE: f64 = 2.0;

/// What the engines of one service have been seen to do.
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
    /// Requests on it, from all gateways.
    pub(crate) in_flight: f64,
    /// Slots that it is offered requests for.
    pub(crate) slots: f64,
    /// Tokens that it has yet to prefill.
    pub(crate) prefill_tokens: f64,
    /// KV cache tokens of the running requests.
    pub(crate) kv_tokens: f64,
    /// KV cache tokens in all.
    pub(crate) kv_capacity: f64,
    /// How slow it is, 1 for the mean.
    pub(crate) slowness: f64,
    /// For how long it has responded to none of the requests that wait there.
    pub(crate) stalled_ms: f64,
}

/// What a request demands of an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    /// Prompt tokens that the engine must prefill.
    pub(crate) uncached_tokens: f64,
    /// Tokens to decode.
    pub(crate) output_tokens: f64,
    /// KV cache tokens that it takes.
    pub(crate) footprint: f64,
}

/// What a request would take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimate {
    /// Until the first token.
    pub(crate) first_token_ms: f64,
    /// What engines are compared by: the complete time, what other requests lose, and the risk.
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

    /// Time to the first token behind so many tokens to prefill.
    pub(crate) fn first_token_ms(&self, prefill_tokens_ahead: f64) -> f64 {
        self.first_token.at(prefill_tokens_ahead)
    }

    /// Time between tokens in a batch of that size.
    pub(crate) fn inter_token_ms(&self, batch: f64) -> f64 {
        self.inter_token.at(batch)
    }

    /// How long a request occupies its slot.
    pub(crate) fn service_ms(&self) -> f64 {
        self.service_ms.get()
    }

    /// KV cache tokens of a request on the mean.
    pub(crate) fn footprint(&self) -> f64 {
        self.footprint.get()
    }

    /// Tokens that are expected to be generated.
    pub(crate) fn output_tokens(&self, max_tokens: u32) -> f64 {
        self.output_ratio.get() * f64::from(max_tokens)
    }

    /// A first token came.
    pub(crate) fn observe_first_token(&mut self, prefill_tokens_ahead: f64, took_ms: f64) {
        self.first_token.observe(prefill_tokens_ahead, took_ms);
    }

    /// An answer came at so many milliseconds per token.
    pub(crate) fn observe_inter_token(&mut self, batch: f64, inter_token_ms: f64) {
        self.inter_token.observe(batch, inter_token_ms);
    }

    /// A request was completed.
    pub(crate) fn observe_completion(&mut self, service_ms: f64, tokens_out: u32, max_tokens: u32) {
        self.service_ms.observe(service_ms);
        if max_tokens > 0 {
            let ratio = f64::from(tokens_out) / f64::from(max_tokens);
            self.output_ratio.observe(ratio.min(1.0));
        }
    }

    /// A request of that many KV cache tokens was dispatched.
    pub(crate) fn observe_footprint(&mut self, tokens: f64) {
        self.footprint.observe(tokens);
    }

    /// What a request would take on an engine.
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

    /// What the concurrent requests lose, and what a prefill is priced at.
    fn interference_ms(&self, engine: &EngineState, demand: &Demand) -> f64 {
        let concurrent = engine.in_flight.min(engine.slots);
        let prefill_ms = demand.uncached_tokens * self.first_token.slope();
        let stalled_ms = PREFILL_INTERFERENCE * concurrent * prefill_ms;
        let slowed_ms = concurrent * demand.output_tokens * self.inter_token.slope();
        stalled_ms + slowed_ms + RECOMPUTE_WEIGHT * prefill_ms
    }

    fn slot_wait_ms(&self, engine: &EngineState) -> f64 {
        let excess = engine.in_flight + 1.0 - engine.slots;
        excess.max(0.0) / engine.slots * self.service_ms()
    }

    fn memory_wait_ms(&self, engine: &EngineState, demand: &Demand) -> f64 {
        let excess = engine.kv_tokens + demand.footprint - engine.kv_capacity;
        if excess <= 0.0 {
            return 0.0;
        }
        let requests = excess / self.footprint().max(1.0);
        requests / engine.in_flight.max(1.0) * self.service_ms()
    }
}
