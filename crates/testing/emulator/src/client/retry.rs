//! Tries one after the other, as the protocol has clients make them.

use super::attempt::{Attempt, Patience};
use super::request::Ask;
use crate::clock::Clock;
use crate::identity::{IdentitySource, RequestId};
use crate::record::{Answered, Moments, Record, Try, TryOutcome};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The shortest silence after which a stream is given up.
const LEAST_SILENCE: Duration = Duration::from_secs(2);
/// A stream is given up after this many of its objectives without an event.
const SILENT_OBJECTIVES: u32 = 4;
/// And after this many of its longest pauses.
const SILENT_PAUSES: u32 = 8;
/// Pause before the next try where no time was told.
const RETRY_PAUSE_MS: u64 = 30;
/// A time to come back is heeded up to this part of what is left.
const RETRY_AFTER_PART: u32 = 3;

/// Clients behind one platform address.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    record: Record,
    identities: IdentitySource,
    fronts: Mutex<Vec<SocketAddr>>,
    wanted: AtomicU64,
}

/// What became of a request in the end.
#[derive(Clone, Debug)]
pub struct Served {
    /// The id of its last try.
    pub request: RequestId,
    /// How the last attempt ended.
    pub outcome: TryOutcome,
    /// How many attempts were made.
    pub tries: u32,
    /// From the first try to the first event, or to the end where there are no events.
    pub first_ms: u64,
    /// From the first attempt to the end of the last, in milliseconds.
    pub took_ms: u64,
}

impl Served {
    /// The answer, where a whole one came.
    pub fn answer(&self) -> Option<&Answered> {
        match &self.outcome {
            TryOutcome::Answered(answered) => Some(answered),
            _ => None,
        }
    }

    /// The status of a whole answer.
    pub fn status(&self) -> Option<u16> {
        self.answer().map(|answered| answered.status)
    }

    /// Whether it succeeded.
    pub fn succeeded(&self) -> bool {
        self.status()
            .is_some_and(|status| (200..300).contains(&status))
    }
}

impl Client {
    /// A client of these front addresses.
    #[must_use]
    pub fn new(
        clock: Clock,
        record: Record,
        identities: IdentitySource,
        fronts: Vec<SocketAddr>,
    ) -> Client {
        let fronts = Mutex::new(fronts);
        Client {
            shared: Arc::new(Shared {
                clock,
                record,
                identities,
                fronts,
                wanted: AtomicU64::new(0),
            }),
        }
    }

    /// The limiters that new connections go to from now on.
    pub fn set_fronts(&self, fronts: Vec<SocketAddr>) {
        *self
            .shared
            .fronts
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = fronts;
    }

    /// Where it takes its request ids from.
    #[must_use]
    pub fn identities(&self) -> &IdentitySource {
        &self.shared.identities
    }

    /// The clock that its times are on.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.shared.clock
    }

    /// Has a request answered, with retries at other limiters.
    pub async fn send(&self, ask: &Ask) -> Served {
        self.send_by(ask, None).await
    }

    /// One try at one limiter.
    pub async fn send_to(&self, front: SocketAddr, ask: &Ask) -> Served {
        self.send_by(
            &Ask {
                retries: 0,
                ..ask.clone()
            },
            Some(front),
        )
        .await
    }

    async fn send_by(&self, ask: &Ask, front: Option<SocketAddr>) -> Served {
        let wanted = self.shared.wanted.fetch_add(1, Ordering::SeqCst);
        let started = Instant::now();
        let until = started + Duration::from_millis(ask.deadline_ms);
        let patience = Patience {
            until,
            silence: silence(ask),
        };
        let mut tries = 0;
        loop {
            let attempt = Attempt {
                ask,
                request: self.shared.identities.request(),
                front: front.unwrap_or_else(|| self.front(wanted + u64::from(tries))),
                patience,
            };
            let begun = Instant::now();
            let noting = Noting::begin(&self.shared, &attempt, wanted);
            let outcome = noting.end(attempt.carry_out().await);
            tries += 1;
            let pause = pause_before_retry(ask, &outcome, until, &self.shared.identities);
            let ended = tries > ask.retries || Instant::now() >= until;
            match pause {
                Some(pause) if !ended => sleep(pause).await,
                _ => return served(&attempt, outcome, tries, started, begun),
            }
        }
    }

    /// The limiters in turn, from a place that differs from request to request.
    fn front(&self, place: u64) -> SocketAddr {
        let fronts = self
            .shared
            .fronts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        fronts[place as usize % fronts.len()]
    }
}

/// Notes a try in the record, as given up where its client is dropped before it ends.
struct Noting<'a> {
    shared: &'a Shared,
    attempt: &'a Attempt<'a>,
    wanted: u64,
    sent_us: u64,
    outcome: TryOutcome,
}

impl<'a> Noting<'a> {
    fn begin(shared: &'a Shared, attempt: &'a Attempt<'a>, wanted: u64) -> Noting<'a> {
        let sent_us = shared.clock.now_us();
        Noting {
            shared,
            attempt,
            wanted,
            sent_us,
            outcome: TryOutcome::GivenUp,
        }
    }

    fn end(mut self, outcome: TryOutcome) -> TryOutcome {
        self.outcome = outcome.clone();
        outcome
    }
}

impl Drop for Noting<'_> {
    fn drop(&mut self) {
        let ended_us = self.shared.clock.now_us();
        let ask = self.attempt.ask;
        self.shared.record.tried(Try {
            number: 0,
            request: self.attempt.request,
            wanted: self.wanted,
            front: self.attempt.front,
            sent_ms: self.sent_us / 1_000,
            ended_ms: ended_us / 1_000,
            host: ask.host.clone(),
            method: ask.method.to_owned(),
            target: ask.target.clone(),
            expected: ask.expected,
            repeatable: ask.kind.repeatable(),
            program: ask.program_try(),
            moments: moments(self.sent_us, ended_us, &self.outcome),
            outcome: std::mem::replace(&mut self.outcome, TryOutcome::GivenUp),
        });
    }
}

fn moments(sent_us: u64, ended_us: u64, outcome: &TryOutcome) -> Moments {
    let first_us = match outcome {
        TryOutcome::Answered(answered) => {
            Some(answered.first_event_us.map_or(ended_us, |us| sent_us + us))
        }
        _ => None,
    };
    Moments {
        begun_us: sent_us,
        first_us,
        ended_us: Some(ended_us),
    }
}

fn served(
    attempt: &Attempt<'_>,
    outcome: TryOutcome,
    tries: u32,
    started: Instant,
    begun: Instant,
) -> Served {
    let took_ms = started.elapsed().as_millis() as u64;
    let before_ms = begun.duration_since(started).as_millis() as u64;
    let first_event = match &outcome {
        TryOutcome::Answered(answered) | TryOutcome::BrokenOff(answered) => answered.first_event_us,
        _ => None,
    };
    let first_ms = first_event.map_or(took_ms, |first| before_ms + first / 1_000);
    Served {
        request: attempt.request,
        outcome,
        tries,
        first_ms,
        took_ms,
    }
}

fn silence(ask: &Ask) -> Duration {
    let objective = Duration::from_millis(ask.target_ms) * SILENT_OBJECTIVES;
    let pause = Duration::from_millis(ask.pause_ms) * SILENT_PAUSES;
    LEAST_SILENCE.max(objective).max(pause)
}

/// The pause before another try; `None` where there is to be none.
fn pause_before_retry(
    ask: &Ask,
    outcome: &TryOutcome,
    until: Instant,
    identities: &IdentitySource,
) -> Option<Duration> {
    let repeatable = ask.kind.repeatable();
    let usual = Duration::from_millis(RETRY_PAUSE_MS + identities.below(RETRY_PAUSE_MS));
    match outcome {
        TryOutcome::NotSent => Some(usual),
        TryOutcome::Answered(answered) => {
            if is_final(answered.status) || !(repeatable || is_promise(answered.status)) {
                return None;
            }
            let most = until.saturating_duration_since(Instant::now()) / RETRY_AFTER_PART;
            let told = answered.retry_after_ms.map(Duration::from_millis);
            Some(told.map_or(usual, |told| told.min(most)))
        }
        _ => repeatable.then_some(usual),
    }
}

/// Answers after which nothing is tried again.
fn is_final(status: u16) -> bool {
    matches!(status, 200..300 | 400 | 401 | 402 | 403 | 404 | 413 | 431)
}

/// Answers that promise that the request has not run and never will.
fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
