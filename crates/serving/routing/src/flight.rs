//! One send of a request: what it counts for at its server, and what its end tells of that server.

use std::rc::Rc;

use crate::health::Sign;
use crate::member::Member;
use crate::types::{Millis, Outcome};

/// A client that leaves earlier without a first event says nothing of the server.
const OVERDUE_MS: u64 = 1_000;
/// Nor does one that leaves before this many times the objective.
const OVERDUE_TARGETS: u64 = 3;

/// One send that is not finished.
#[derive(Debug)]
pub(crate) struct Flight {
    pub(crate) backend: Rc<str>,
    pub(crate) member: u64,
    pub(crate) sent_at: Millis,
    pub(crate) first_at: Option<Millis>,
    pub(crate) target_ms: u64,
    pub(crate) engine: Option<EngineFlight>,
}

/// What a send to an engine counts for there.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineFlight {
    pub(crate) fresh_tokens: u64,
    pub(crate) footprint: u64,
    pub(crate) tokens_ahead: f64,
    pub(crate) batch: f64,
    pub(crate) waited_for_place: bool,
    pub(crate) most_tokens: u32,
    pub(crate) chunk_tokens: u32,
    /// The prompt's last part, if the engine had not held it.
    pub(crate) new_part: Option<u64>,
}

/// Lets the server's health know.
pub(crate) fn note_outcome(member: &mut Member, flight: &Flight, result: Outcome, now: Millis) {
    if let Some(sign) = sign_of(flight, result, now) {
        member.health.note(sign, now);
    }
    if let Outcome::Served { .. } = result {
        member.hint.refute(flight.sent_at, now);
    }
}

fn sign_of(flight: &Flight, result: Outcome, now: Millis) -> Option<Sign> {
    match result {
        Outcome::Served { .. } => Some(Sign::Success),
        Outcome::Failed => Some(Sign::Failure),
        Outcome::Silent => Some(Sign::Silence),
        Outcome::Shed => Some(Sign::Full),
        Outcome::Moved => Some(Sign::Moved),
        Outcome::Unreachable => Some(Sign::Unreachable),
        Outcome::Abandoned if flight.is_overdue(now) => Some(Sign::Failure),
        Outcome::Abandoned => None,
    }
}

impl Flight {
    /// Whether the first event is so late that the client left for it: against servers that hang, as clients give
    /// up before any time limit of the gateway's.
    fn is_overdue(&self, now: Millis) -> bool {
        let overdue_ms = OVERDUE_MS.max(OVERDUE_TARGETS * self.target_ms);
        self.first_at.is_none() && now.saturating_sub(self.sent_at) >= overdue_ms
    }
}

/// Gives back what a request counted for.
pub(crate) fn release(member: &mut Member, flight: &Flight, result: Outcome, now: Millis) {
    let fresh_tokens = flight.engine.map_or(0, |engine| engine.fresh_tokens);
    match (flight.first_at, result.is_sign_of_life()) {
        (Some(_), _) => {}
        (None, true) => member.load.answered(fresh_tokens, now),
        (None, false) => member.load.given_up(fresh_tokens),
    }
    let Some(engine) = flight.engine else {
        member.load.ended(0);
        return;
    };
    member.load.ended(engine.footprint);
    let never_ran = matches!(
        result,
        Outcome::Shed | Outcome::Moved | Outcome::Unreachable
    );
    if let (true, Some(part)) = (never_ran, engine.new_part) {
        member.cache.forget(part);
    }
}
