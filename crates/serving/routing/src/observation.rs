//! Updates the timing model of a service and the slowness of its endpoints from observed times.

use crate::attempt::{Attempt, EngineAttempt};
use crate::pool::Pool;
use crate::types::Millis;

/// Updates the load, the timing model and the endpoint's slowness at the first event of an engine's stream.
pub(crate) fn observe_first_event(
    pool: &mut Pool,
    attempt: &Attempt,
    engine: EngineAttempt,
    now: Millis,
) {
    let took_ms = now.saturating_sub(attempt.dispatched_at) as f64;
    let mean_slowness = pool.mean_slowness(now);
    let expected_ms = pool.timing.first_token_ms(engine.prefill_tokens_ahead);
    let Some(endpoint) = pool.endpoint_mut(attempt.endpoint) else {
        return;
    };
    endpoint.load.record_response(engine.uncached_tokens, now);
    if engine.waited_for_slot || endpoint.is_warming_up(now) {
        return;
    }
    endpoint.observe_slowness(took_ms / expected_ms.max(1.0), now);
    let relative_slowness = endpoint.learned_slowness(now) / mean_slowness;
    pool.timing
        .observe_first_token(engine.prefill_tokens_ahead, took_ms / relative_slowness);
}

/// Updates the timing model and the endpoint's slowness when an engine's stream is complete.
pub(crate) fn observe_completion(
    pool: &mut Pool,
    attempt: &Attempt,
    engine: EngineAttempt,
    tokens_out: u32,
    now: Millis,
) {
    let Some(first_event_at) = attempt.first_event_at else {
        return;
    };
    let service_ms = now.saturating_sub(attempt.dispatched_at) as f64;
    pool.timing
        .observe_completion(service_ms, tokens_out, engine.max_tokens);
    let later_tokens = tokens_out.saturating_sub(engine.chunk_tokens);
    if later_tokens == 0 {
        return;
    }
    let inter_token_ms = now.saturating_sub(first_event_at) as f64 / f64::from(later_tokens);
    let mean_slowness = pool.mean_slowness(now);
    let Some(endpoint) = pool.endpoint_mut(attempt.endpoint) else {
        return;
    };
    if endpoint.is_warming_up(now) {
        return;
    }
    let batch = (engine.batch + endpoint.load.smoothed_in_flight(now)) / 2.0;
    let batch = batch.min(f64::from(endpoint.slots()));
    let relative_slowness = endpoint.learned_slowness(now) / mean_slowness;
    let expected_ms = pool.timing.inter_token_ms(batch);
    if let Some(endpoint) = pool.endpoint_mut(attempt.endpoint) {
        endpoint.observe_slowness(inter_token_ms / expected_ms.max(f64::MIN_POSITIVE), now);
    }
    pool.timing
        .observe_inter_token(batch, inter_token_ms / relative_slowness);
}

/// Updates the load, the latency ratio and the endpoint's slowness at the response head of a server without an engine.
pub(crate) fn observe_response_head(pool: &mut Pool, attempt: &Attempt, now: Millis) {
    if let Some(endpoint) = pool.endpoint_mut(attempt.endpoint) {
        endpoint.load.record_response(0, now);
    }
    let took_ms = now.saturating_sub(attempt.dispatched_at) as f64;
    let latency_ratio = took_ms / attempt.target_ms.max(1) as f64;
    let expected = pool.latency_ratio.get();
    pool.latency_ratio.observe(latency_ratio);
    if let Some(endpoint) = pool.endpoint_mut(attempt.endpoint) {
        endpoint.observe_slowness(latency_ratio / expected.max(f64::MIN_POSITIVE), now);
    }
}
