//! What observed times teach: the pace of a service, and how slow one server is beside the others.

use crate::flight::{EngineFlight, Flight};
use crate::pool::Pool;
use crate::types::Millis;

/// A stream's first event came.
pub(crate) fn engine_first_event(
    pool: &mut Pool,
    flight: &Flight,
    engine: EngineFlight,
    now: Millis,
) {
    let took_ms = now.saturating_sub(flight.sent_at) as f64;
    let mean_slowness = pool.mean_slowness(now);
    let expected_ms = pool.pace.first_token_ms(engine.tokens_ahead);
    let Some(member) = pool.member_mut(flight.member) else {
        return;
    };
    member.load.answered(engine.fresh_tokens, now);
    if engine.waited_for_place || member.is_cold(now) {
        return;
    }
    member.saw_slowness(took_ms / expected_ms.max(1.0), now);
    let relative = member.learnt_slowness(now) / mean_slowness;
    pool.pace
        .saw_first_token(engine.tokens_ahead, took_ms / relative);
}

/// A stream came whole.
pub(crate) fn engine_served(
    pool: &mut Pool,
    flight: &Flight,
    engine: EngineFlight,
    tokens_out: u32,
    now: Millis,
) {
    let Some(first_at) = flight.first_at else {
        return;
    };
    let service_ms = now.saturating_sub(flight.sent_at) as f64;
    pool.pace
        .saw_end(service_ms, tokens_out, engine.most_tokens);
    let later_tokens = tokens_out.saturating_sub(engine.chunk_tokens);
    if later_tokens == 0 {
        return;
    }
    let pause_ms = now.saturating_sub(first_at) as f64 / f64::from(later_tokens);
    let mean_slowness = pool.mean_slowness(now);
    let Some(member) = pool.member_mut(flight.member) else {
        return;
    };
    if member.is_cold(now) {
        return;
    }
    let batch = (engine.batch + member.load.usual_in_flight(now)) / 2.0;
    let batch = batch.min(f64::from(member.slots()));
    let relative = member.learnt_slowness(now) / mean_slowness;
    let expected_ms = pool.pace.pause_ms(batch);
    if let Some(member) = pool.member_mut(flight.member) {
        member.saw_slowness(pause_ms / expected_ms.max(f64::MIN_POSITIVE), now);
    }
    pool.pace.saw_pause(batch, pause_ms / relative);
}

/// A plain answer's head came.
pub(crate) fn plain_head(pool: &mut Pool, flight: &Flight, now: Millis) {
    if let Some(member) = pool.member_mut(flight.member) {
        member.load.answered(0, now);
    }
    let took_ms = now.saturating_sub(flight.sent_at) as f64;
    let share = took_ms / flight.target_ms.max(1) as f64;
    let expected = pool.target_share.get();
    pool.target_share.observe(share);
    if let Some(member) = pool.member_mut(flight.member) {
        member.saw_slowness(share / expected.max(f64::MIN_POSITIVE), now);
    }
}
