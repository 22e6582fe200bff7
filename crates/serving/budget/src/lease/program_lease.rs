//! A limiter's lease on one program's budget.

use super::admission::Rejection;
use super::cached_rejections::CachedRejections;
use super::demand::Demand;
use super::request_retry::RequestState;
use crate::{CounterChange, CounterReply, CounterRequest, LeaseSettings, Millis};
use std::collections::VecDeque;

/// A budget is near its limit while fewer free units remain than the maximum of this many turns. Units that are no
/// longer reserved are then returned at once.
const NEAR_LIMIT_TURNS: u64 = 4;

/// A step and the time at which it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlannedStep {
    pub(crate) at: Millis,
    pub(crate) step: Step,
}

/// A step that a program's lease takes when it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Rejects waiting turns, because the counter did not reply in time.
    RejectWaiting,
    /// Resends the request in flight.
    Resend,
    /// Returns available units and reports use.
    ReturnUnits,
    /// Reports use to the counter.
    Report,
    /// Removes the program, which has no leased units, no request in flight and no turns.
    Remove,
}

/// A turn that waits for the counter.
#[derive(Clone, Copy, Debug)]
struct WaitingTurn {
    /// The caller's key for the turn.
    turn: u64,
    /// When the turn began to wait.
    since: Millis,
}

/// The units leased for a program, its waiting turns and the request to its counter.
#[derive(Clone, Debug)]
pub(crate) struct ProgramLease {
    /// Leased units that are not reserved for a turn.
    available: u64,
    /// Units used since the last request to the counter.
    unreported: u64,
    /// Number of running and waiting turns.
    pub(crate) turns: usize,
    /// Turns that wait for the counter, in order of arrival.
    waiting: VecDeque<WaitingTurn>,
    pub(crate) request: RequestState,
    pub(crate) rejections: CachedRejections,
    pub(crate) demand: Demand,
    /// The program's due time in the schedule.
    pub(crate) due_at: Option<Millis>,
    /// The maximum of the turn that arrived last.
    last_max_units: u64,
    /// Whether the budget was near its limit at the last grant.
    near_limit: bool,
    /// When the lease expires.
    expires_at: Millis,
    /// When an admitted turn last ended, unless units were granted or returned since.
    freed_at: Option<Millis>,
    /// When an admitted turn last ended, or when the program was added if none has.
    last_end: Millis,
    /// When the counter last replied to a request.
    reported_at: Millis,
}

impl ProgramLease {
    /// A program without leased units or turns.
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

    /// Leased units that are not reserved for a turn.
    pub(crate) fn available(&self) -> u64 {
        self.available
    }

    /// Records the maximum of a turn that arrived.
    pub(crate) fn turn_arrived(&mut self, max_units: u64) {
        self.last_max_units = max_units;
    }

    /// Reserves units if the lease covers them and has not expired; returns whether they are reserved.
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

    /// Applies the counter's reply to a request.
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
                return self.apply_grant(units, left, now, settings)
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

    /// Adds granted units to the lease; `left` units of the budget remain free.
    fn apply_grant(&mut self, units: u64, left: u64, now: Millis, settings: &LeaseSettings) {
        self.available = self.available.saturating_add(units);
        self.expires_at = now + settings.lease_ms;
        self.near_limit = left < self.last_max_units.saturating_mul(NEAR_LIMIT_TURNS);
        self.freed_at = None;
        self.rejections.clear_temporary();
    }

    /// Frees the unused reserved units of an admitted turn that ended.
    pub(crate) fn turn_ended(&mut self, units: u64, now: Millis) {
        self.available = self.available.saturating_add(units);
        self.last_end = now;
        self.freed_at = Some(now);
        if units > 0 {
            self.rejections.clear_temporary();
        }
    }

    /// Records units used by a turn. `excess` of them exceed its reservation and are taken from the available units, as
    /// far as those suffice.
    pub(crate) fn record_use(&mut self, units: u64, excess: u64) {
        self.available = self.available.saturating_sub(excess);
        self.unreported = self.unreported.saturating_add(units);
        self.demand.add(units);
    }

    /// Takes all available units, for a request that returns them.
    pub(crate) fn take_available(&mut self) -> u64 {
        self.freed_at = None;
        std::mem::take(&mut self.available)
    }

    /// Takes all unreported units, for a request that reports them.
    pub(crate) fn take_unreported(&mut self) -> u64 {
        std::mem::take(&mut self.unreported)
    }

    /// Appends a turn to the waiting turns, unless it already waits.
    pub(crate) fn add_waiting(&mut self, turn: u64, now: Millis) {
        if !self.waiting.iter().any(|waiting| waiting.turn == turn) {
            self.waiting.push_back(WaitingTurn { turn, since: now });
        }
    }

    /// Removes a turn from the waiting turns.
    pub(crate) fn stop_waiting(&mut self, turn: u64) {
        self.waiting.retain(|waiting| waiting.turn != turn);
    }

    /// The turn that has waited longest.
    pub(crate) fn first_waiting(&self) -> Option<u64> {
        self.waiting.front().map(|waiting| waiting.turn)
    }

    /// Whether a turn must stop waiting: the counter is unavailable or the turn's timeout has passed. The timeout runs
    /// from the start of the wait, across any number of replies.
    pub(crate) fn has_timed_out(&self, turn: u64, now: Millis, settings: &LeaseSettings) -> bool {
        let waiting = self.waiting.iter().find(|waiting| waiting.turn == turn);
        let since = waiting.map_or(now, |waiting| waiting.since);
        now >= self.wait_deadline(since, settings)
    }

    /// The deadline of a turn that has waited since `since`.
    fn wait_deadline(&self, since: Millis, settings: &LeaseSettings) -> Millis {
        let turn_timeout = since + settings.turn_timeout_ms;
        let counter_timeout = self
            .request
            .in_flight()
            .map(|in_flight| in_flight.sent_at + settings.counter_timeout_ms);
        counter_timeout.map_or(turn_timeout, |at| at.min(turn_timeout))
    }

    /// The next step if no other event occurs before it is due.
    pub(crate) fn next_step(&self, settings: &LeaseSettings) -> Option<PlannedStep> {
        match self.request.in_flight() {
            Some(in_flight) => {
                let resend = PlannedStep {
                    at: in_flight.resend_at,
                    step: Step::Resend,
                };
                earliest([self.plan_rejection(settings), Some(resend)])
            }
            None if self.turns > 0 => earliest([
                self.plan_return_while_running(settings),
                Some(self.plan_report(settings)),
            ]),
            None => Some(self.plan_while_idle(settings)),
        }
    }

    /// The rejection of the turn that has waited longest.
    fn plan_rejection(&self, settings: &LeaseSettings) -> Option<PlannedStep> {
        let first = self.waiting.front()?;
        Some(PlannedStep {
            at: self.wait_deadline(first.since, settings),
            step: Step::RejectWaiting,
        })
    }

    /// The next step while no turn is active. Units are returned after an idle time, or at once near the limit.
    fn plan_while_idle(&self, settings: &LeaseSettings) -> PlannedStep {
        if self.available == 0 && self.unreported == 0 {
            return PlannedStep {
                at: settings.round_up_to_batch(self.last_end + settings.remove_ms),
                step: Step::Remove,
            };
        }
        if self.near_limit {
            return PlannedStep {
                at: self.last_end,
                step: Step::ReturnUnits,
            };
        }
        let mut at = self.last_end + settings.idle_return_ms;
        if self.available > 0 {
            at = at.min(self.expires_at);
        }
        PlannedStep {
            at: settings.round_up_to_batch(at),
            step: Step::ReturnUnits,
        }
    }

    /// The return of available units while turns run: at the lease's expiry, or at once if a turn freed units near the
    /// limit.
    fn plan_return_while_running(&self, settings: &LeaseSettings) -> Option<PlannedStep> {
        if self.available == 0 {
            return None;
        }
        let expiry = settings.round_up_to_batch(self.expires_at);
        let freed_at = self.freed_at.filter(|_| self.near_limit);
        Some(PlannedStep {
            at: freed_at.map_or(expiry, |freed_at| freed_at.min(expiry)),
            step: Step::ReturnUnits,
        })
    }

    /// The next report of use while turns run.
    fn plan_report(&self, settings: &LeaseSettings) -> PlannedStep {
        PlannedStep {
            at: settings.round_up_to_batch(self.reported_at + settings.report_ms),
            step: Step::Report,
        }
    }
}

fn earliest<const N: usize>(planned: [Option<PlannedStep>; N]) -> Option<PlannedStep> {
    planned
        .into_iter()
        .flatten()
        .min_by_key(|planned| planned.at)
}
