//! What a request would take on an engine: time to the first token, pauses, and what it costs the requests
//! beside it. Rates are learnt from observed times; the priors only bridge the first requests.

use crate::line_fit::{FadingMean, LineFit};

/// Prior: time to the first token of a prompt that is held whole.
const PRIOR_FIRST_MS: f64 = 15.0;
/// Prior: time to read one token of a prompt.
const PRIOR_READ_MS_PER_TOKEN: f64 = 0.05;
/// The far end of the prior's line: a long prompt.
const PRIOR_FAR_TOKENS: f64 = 4_000.0;
/// Prior: pause between tokens of a request that runs alone.
const PRIOR_PAUSE_MS: f64 = 8.0;
/// Prior: what each request beside it adds to the pause.
const PRIOR_PAUSE_PER_REQUEST_MS: f64 = 0.3;
/// The far end of that prior's line: a full batch.
const PRIOR_FAR_BATCH: f64 = 24.0;
/// Observations that the priors count for.
const PRIOR_WEIGHT: f64 = 2.0;
/// Prior: how long a request holds its place.
const PRIOR_SERVICE_MS: f64 = 500.0;
/// Prior: share of the most tokens that an answer really has.
const PRIOR_ANSWER_SHARE: f64 = 0.7;
/// Prior: memory of one request in tokens.
const PRIOR_FOOTPRINT_TOKENS: f64 = 4_000.0;
/// How fast these means follow.
const MEAN_GAIN: f64 = 0.05;
/// Share of the time read for a request that each request beside it loses.
const STALL_WEIGHT: f64 = 1.5;
/// What reading tokens anew counts beyond its time: work done twice is priced.
const REREAD_WEIGHT: f64 = 4.0;
/// An engine that has been quiet for more than this many times the time to a first token may hang: it is
/// expected to stay quiet as long again.
const QUIET_GRACE: f64 = 2.0;

/// What the engines of one service have been seen to do.
#[derive(Debug)]
pub(crate) struct Pace {
    first_token: LineFit,
    pause: LineFit,
    service_ms: FadingMean,
    answer_share: FadingMean,
    footprint: FadingMean,
}

/// An engine as it stands.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineState {
    /// Requests on it, from all gateways.
    pub(crate) in_flight: f64,
    /// Places that it is offered requests for.
    pub(crate) places: f64,
    /// Tokens that it is still to read.
    pub(crate) waiting_tokens: f64,
    /// Memory of the running requests.
    pub(crate) memory_tokens: f64,
    /// Its whole memory.
    pub(crate) memory_capacity: f64,
    /// How slow it is, 1 for the mean.
    pub(crate) slowness: f64,
    /// For how long it has answered none of the requests that wait there.
    pub(crate) quiet_ms: f64,
}

/// What a request wants of an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Need {
    /// Prompt tokens that the engine must read.
    pub(crate) fresh_tokens: f64,
    /// Tokens of the answer.
    pub(crate) answer_tokens: f64,
    /// Memory that it takes.
    pub(crate) footprint: f64,
}

/// What a request would take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimate {
    /// Until the first token.
    pub(crate) first_token_ms: f64,
    /// What the choice goes by: the whole time, what others lose, and the risk.
    pub(crate) cost_ms: f64,
}

impl Pace {
    pub(crate) fn new() -> Self {
        Self {
            first_token: LineFit::new(
                PRIOR_FIRST_MS,
                PRIOR_READ_MS_PER_TOKEN,
                PRIOR_FAR_TOKENS,
                PRIOR_WEIGHT,
            ),
            pause: LineFit::new(
                PRIOR_PAUSE_MS,
                PRIOR_PAUSE_PER_REQUEST_MS,
                PRIOR_FAR_BATCH,
                PRIOR_WEIGHT,
            ),
            service_ms: FadingMean::new(PRIOR_SERVICE_MS, MEAN_GAIN),
            answer_share: FadingMean::new(PRIOR_ANSWER_SHARE, MEAN_GAIN),
            footprint: FadingMean::new(PRIOR_FOOTPRINT_TOKENS, MEAN_GAIN),
        }
    }

    /// Time to the first token behind so many tokens.
    pub(crate) fn first_token_ms(&self, tokens_ahead: f64) -> f64 {
        self.first_token.at(tokens_ahead)
    }

    /// Pause between tokens in a batch of that size.
    pub(crate) fn pause_ms(&self, batch: f64) -> f64 {
        self.pause.at(batch)
    }

    /// How long a request holds its place.
    pub(crate) fn service_ms(&self) -> f64 {
        self.service_ms.get()
    }

    /// Memory that a request takes on the mean.
    pub(crate) fn footprint(&self) -> f64 {
        self.footprint.get()
    }

    /// Tokens that an answer is expected to have.
    pub(crate) fn answer_tokens(&self, most_tokens: u32) -> f64 {
        self.answer_share.get() * f64::from(most_tokens)
    }

    /// A first token came.
    pub(crate) fn saw_first_token(&mut self, tokens_ahead: f64, took_ms: f64) {
        self.first_token.observe(tokens_ahead, took_ms);
    }

    /// An answer came at so many milliseconds a token.
    pub(crate) fn saw_pause(&mut self, batch: f64, pause_ms: f64) {
        self.pause.observe(batch, pause_ms);
    }

    /// A request ended.
    pub(crate) fn saw_end(&mut self, service_ms: f64, tokens_out: u32, most_tokens: u32) {
        self.service_ms.observe(service_ms);
        if most_tokens > 0 {
            let share = f64::from(tokens_out) / f64::from(most_tokens);
            self.answer_share.observe(share.min(1.0));
        }
    }

    /// A request was sent.
    pub(crate) fn saw_footprint(&mut self, tokens: f64) {
        self.footprint.observe(tokens);
    }

    /// What a request would take on an engine.
    pub(crate) fn estimate(&self, engine: &EngineState, need: &Need) -> Estimate {
        let wait_ms =
            engine.slowness * (self.wait_for_place(engine) + self.wait_for_memory(engine, need));
        let read_ms =
            engine.slowness * self.first_token_ms(engine.waiting_tokens + need.fresh_tokens);
        let batch = engine.in_flight.min(engine.places) + 1.0;
        let answer_ms = engine.slowness * need.answer_tokens * self.pause_ms(batch);
        let first_token_ms = wait_ms + read_ms;
        let cost_ms = first_token_ms
            + answer_ms
            + (engine.quiet_ms - QUIET_GRACE * first_token_ms).max(0.0)
            + engine.slowness * self.burden_ms(engine, need);
        Estimate {
            first_token_ms,
            cost_ms,
        }
    }

    /// What the requests beside it lose, and what reading anew is priced at.
    fn burden_ms(&self, engine: &EngineState, need: &Need) -> f64 {
        let beside = engine.in_flight.min(engine.places);
        let fresh_ms = need.fresh_tokens * self.first_token.slope();
        let stalled_ms = STALL_WEIGHT * beside * fresh_ms;
        let crowded_ms = beside * need.answer_tokens * self.pause.slope();
        stalled_ms + crowded_ms + REREAD_WEIGHT * fresh_ms
    }

    fn wait_for_place(&self, engine: &EngineState) -> f64 {
        let excess = engine.in_flight + 1.0 - engine.places;
        excess.max(0.0) / engine.places * self.service_ms()
    }

    fn wait_for_memory(&self, engine: &EngineState, need: &Need) -> f64 {
        let excess = engine.memory_tokens + need.footprint - engine.memory_capacity;
        if excess <= 0.0 {
            return 0.0;
        }
        let requests = excess / self.footprint().max(1.0);
        requests / engine.in_flight.max(1.0) * self.service_ms()
    }
}
