//! One program's lease at this limiter.

use super::admission::Rejection;
use super::cached_rejections::CachedRejections;
use super::demand::Demand;
use super::request_retry::RequestState;
use crate::{CounterChange, CounterReply, CounterRequest, LeaseSettings, Millis};
use std::collections::VecDeque;

/// The budget is near its limit while fewer units than this many turns' maximum are not on lease. Units that are no
/// longer reserved are then returned at once.
const NEAR_LIMIT_TURNS: u64 = 4;

/// What a program does next, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Planned {
    pub(crate) at: Millis,
    pub(crate) step: Step,
}

/// What a program does at its due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Waiting turns are rejected: the counter did not reply in time.
    RejectWaiting,
    /// The request in flight is sent again.
    Resend,
    /// Units are returned, together with the report of use.
    ReturnUnits,
    /// Use is reported to the counter.
    Report,
    /// The program is removed: nothing is leased, awaited or running any more.
    Remove,
}

/// A turn that waits for the counter.
#[derive(Clone, Copy, Debug)]
struct WaitingTurn {
    turn: u64,
    since: Millis,
}

/// The lease: units granted for a program, and the request to its counter.
#[derive(Clone, Debug)]
pub(crate) struct ProgramLease {
    /// Units on lease and not reserved.
    available: u64,
    /// Units used since the last request to the counter.
    unreported: u64,
    /// Number of turns running or waiting.
    pub(crate) turns: usize,
    /// Turns that wait, in the order of their arrival.
    waiting: VecDeque<WaitingTurn>,
    pub(crate) request: RequestState,
    pub(crate) rejections: CachedRejections,
    pub(crate) demand: Demand,
    /// The program's time in the schedule.
    pub(crate) due_at: Option<Millis>,
    /// The maximum of the last turn.
    last_max_units: u64,
    /// Whether the budget was near its limit at the last grant.
    near_limit: bool,
    expires_at: Millis,
    /// When a turn last ended, if that was after the last grant.
    freed_at: Option<Millis>,
    last_end: Millis,
    /// When the last request was answered.
    reported_at: Millis,
}

impl ProgramLease {
    /// No lease yet.
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            available: 0,
            unreported: 0,
            turns: 0,
            waiting: VecDeque::new(),
            request: RequestState::Idle,
            rejections: CachedRejections::default(),
            demand: Demand::new(now),
            due_at: None,
            last_max_units: 0,
            near_limit: false,
            expires_at: 0,
            freed_at: None,
            last_end: now,
            reported_at: now,
        }
    }

    /// Units on lease and not reserved.
    pub(crate) fn available(&self) -> u64 {
        self.available
    }

    /// A turn with this maximum arrived.
    pub(crate) fn turn_arrived(&mut self, max_units: u64) {
        self.last_max_units = max_units;
    }

    /// Reserves units if the lease covers them and has not expired; returns whether it did.
    pub(crate) fn try_reserve(&mut self, units: u64, now: Millis) -> bool {
        if units == 0 {
            return true;
        }
        if now >= self.expires_at || self.available < units {
            return false;
        }
        self.available -= units;
        true
    }

    /// The counter answered a request.
    pub(crate) fn apply_reply(
        &mut self,
        request: &CounterRequest,
        reply: &CounterReply,
        now: Millis,
        settings: &LeaseSettings,
    ) {
        self.reported_at = now;
        let CounterChange::Lease { needed, .. } = request.change else {
            return;
        };
        let rejection = match *reply {
            CounterReply::Granted { units, left } => {
                return self.granted(units, left, now, settings)
            }
            CounterReply::Spent => {
                let expires_at = now + settings.spent_rejection_ms;
                return self
                    .rejections
                    .cache_spent(needed, request.budget, expires_at);
            }
            CounterReply::LeasedElsewhere { .. } => Rejection::LeasedElsewhere {
                retry_after_ms: settings.retry_after_ms,
            },
            CounterReply::Returned | CounterReply::Stale => Rejection::CounterTimeout,
        };
        let expires_at = now + settings.temporary_rejection_ms;
        self.rejections
            .cache_temporary(rejection, needed, request.budget, expires_at);
    }

    /// The counter granted units; `left` are not on lease after that.
    fn granted(&mut self, units: u64, left: u64, now: Millis, settings: &LeaseSettings) {
        self.available = self.available.saturating_add(units);
        self.expires_at = now + settings.lease_ms;
        self.near_limit = left < self.last_max_units.saturating_mul(NEAR_LIMIT_TURNS);
        self.freed_at = None;
        self.rejections.clear_temporary();
    }

    /// An admitted turn ended and freed units that it had reserved and not used.
    pub(crate) fn turn_ended(&mut self, units: u64, now: Millis) {
        self.available = self.available.saturating_add(units);
        self.last_end = now;
        self.freed_at = Some(now);
        if units > 0 {
            self.rejections.clear_temporary();
        }
    }

    /// A turn used units, `beyond` of them more than it had reserved; available units cover those as far as they go.
    pub(crate) fn record_use(&mut self, units: u64, beyond: u64) {
        self.available = self.available.saturating_sub(beyond);
        self.unreported = self.unreported.saturating_add(units);
        self.demand.add(units);
    }

    /// Takes the available units, for a request that returns them.
    pub(crate) fn take_available(&mut self) -> u64 {
        self.freed_at = None;
        std::mem::take(&mut self.available)
    }

    /// Takes the used units, for a request that reports them.
    pub(crate) fn take_unreported(&mut self) -> u64 {
        std::mem::take(&mut self.unreported)
    }

    /// Appends a turn to those that wait, unless it waits already.
    pub(crate) fn wait(&mut self, turn: u64, now: Millis) {
        if !self.waiting.iter().any(|waiting| waiting.turn == turn) {
            self.waiting.push_back(WaitingTurn { turn, since: now });
        }
    }

    /// The turn no longer waits.
    pub(crate) fn stop_waiting(&mut self, turn: u64) {
        self.waiting.retain(|waiting| waiting.turn != turn);
    }

    /// The turn that has waited longest.
    pub(crate) fn first_waiting(&self) -> Option<u64> {
        self.waiting.front().map(|waiting| waiting.turn)
    }

    /// Whether a turn may not wait any longer: the counter is unavailable, or the turn's timeout has passed, maybe
    /// through several replies.
    pub(crate) fn has_timed_out(&self, turn: u64, now: Millis, settings: &LeaseSettings) -> bool {
        let waiting = self.waiting.iter().find(|waiting| waiting.turn == turn);
        let since = waiting.map_or(now, |waiting| waiting.since);
        now >= self.wait_ends(since, settings)
    }

    /// Until when a turn may wait that waits since then.
    fn wait_ends(&self, since: Millis, settings: &LeaseSettings) -> Millis {
        let turn_timeout = since + settings.turn_timeout_ms;
        let counter_timeout = self
            .request
            .in_flight()
            .map(|in_flight| in_flight.since + settings.counter_timeout_ms);
        counter_timeout.map_or(turn_timeout, |at| at.min(turn_timeout))
    }

    /// The next step, if nothing else happens before.
    pub(crate) fn planned(&self, settings: &LeaseSettings) -> Option<Planned> {
        match self.request.in_flight() {
            Some(in_flight) => {
                let resend = Planned {
                    at: in_flight.resend_at,
                    step: Step::Resend,
                };
                earliest([self.reject_waiting(settings), Some(resend)])
            }
            None if self.turns > 0 => earliest([
                self.return_while_running(settings),
                Some(self.report(settings)),
            ]),
            None => Some(self.planned_at_rest(settings)),
        }
    }

    /// When the turn that has waited longest is rejected.
    fn reject_waiting(&self, settings: &LeaseSettings) -> Option<Planned> {
        let first = self.waiting.front()?;
        Some(Planned {
            at: self.wait_ends(first.since, settings),
            step: Step::RejectWaiting,
        })
    }

    /// Between turns: units are returned after a while, at once near the limit.
    fn planned_at_rest(&self, settings: &LeaseSettings) -> Planned {
        if self.available == 0 && self.unreported == 0 {
            return Planned {
                at: settings.batched(self.last_end + settings.remove_ms),
                step: Step::Remove,
            };
        }
        if self.near_limit {
            return Planned {
                at: self.last_end,
                step: Step::ReturnUnits,
            };
        }
        let mut at = self.last_end + settings.idle_return_ms;
        if self.available > 0 {
            at = at.min(self.expires_at);
        }
        Planned {
            at: settings.batched(at),
            step: Step::ReturnUnits,
        }
    }

    /// While turns run: available units are returned when the lease expires, at once near the limit if a turn freed
    /// them.
    fn return_while_running(&self, settings: &LeaseSettings) -> Option<Planned> {
        if self.available == 0 {
            return None;
        }
        let expiry = settings.batched(self.expires_at);
        let freed_at = self.freed_at.filter(|_| self.near_limit);
        Some(Planned {
            at: freed_at.map_or(expiry, |freed_at| freed_at.min(expiry)),
            step: Step::ReturnUnits,
        })
    }

    fn report(&self, settings: &LeaseSettings) -> Planned {
        Planned {
            at: settings.batched(self.reported_at + settings.report_ms),
            step: Step::Report,
        }
    }
}

fn earliest<const N: usize>(planned: [Option<Planned>; N]) -> Option<Planned> {
    planned
        .into_iter()
        .flatten()
        .min_by_key(|planned| planned.at)
}
