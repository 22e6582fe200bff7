//! The deadline of a request, and the response timeout of its current endpoint.
//!
//! Both share one timer. The timer is not reset at every event, because a stream has thousands of events.

use crate::clock::Clock;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::time::Sleep;

/// How long after the deadline a response is still accepted: an endpoint may respond right at the deadline.
const RESPONSE_GRACE_MS: u64 = 100;
/// One request in this many may fail over from an unresponsive endpoint. Protects against an overload in which all
/// endpoints are slow: each failover makes two endpoints work on the same request.
const REQUESTS_PER_FAILOVER: u32 = 20;
/// The most failovers that can be saved up for a burst.
const MAX_SAVED_FAILOVERS: u32 = 10;

/// A retry budget for failovers from unresponsive endpoints.
#[derive(Debug)]
pub(crate) struct FailoverBudget {
    /// Requests counted and not yet spent; a failover costs [`REQUESTS_PER_FAILOVER`].
    saved_requests: Cell<u32>,
}

impl FailoverBudget {
    pub(crate) fn new() -> FailoverBudget {
        FailoverBudget {
            saved_requests: Cell::new(MAX_SAVED_FAILOVERS * REQUESTS_PER_FAILOVER),
        }
    }

    pub(crate) fn count_request(&self) {
        let saved_requests = self.saved_requests.get() + 1;
        self.saved_requests
            .set(saved_requests.min(MAX_SAVED_FAILOVERS * REQUESTS_PER_FAILOVER));
    }

    /// Spends one failover. Returns false if none is left.
    fn try_spend(&self) -> bool {
        let left = self.saved_requests.get().checked_sub(REQUESTS_PER_FAILOVER);
        self.saved_requests
            .set(left.unwrap_or(self.saved_requests.get()));
        left.is_some()
    }
}

/// The deadline and the response timeout of one request, with their common timer.
pub(crate) struct RequestDeadline {
    clock: Rc<Clock>,
    failover_budget: Rc<FailoverBudget>,
    deadline_ms: u64,
    response_timeout: Option<ResponseTimeout>,
    timer: Pin<Box<Sleep>>,
    /// The time at which the timer fires.
    timer_ms: u64,
}

/// How long an endpoint may send nothing.
#[derive(Clone, Copy, Debug)]
struct ResponseTimeout {
    started_ms: u64,
    timeout_ms: u64,
}

impl ResponseTimeout {
    fn expires_ms(self) -> u64 {
        self.started_ms.saturating_add(self.timeout_ms)
    }
}

impl RequestDeadline {
    pub(crate) fn new(
        clock: &Rc<Clock>,
        failover_budget: &Rc<FailoverBudget>,
        deadline_ms: u64,
    ) -> RequestDeadline {
        let timer_ms = deadline_ms + RESPONSE_GRACE_MS;
        let timer = tokio::time::sleep_until(clock.instant(timer_ms));
        RequestDeadline {
            clock: clock.clone(),
            failover_budget: failover_budget.clone(),
            deadline_ms,
            response_timeout: None,
            timer: Box::pin(timer),
            timer_ms,
        }
    }

    /// Returns the deadline as a time of the proxy's clock.
    pub(crate) fn deadline_ms(&self) -> u64 {
        self.deadline_ms
    }

    pub(crate) fn remaining_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(self.clock.now_ms())
    }

    /// Starts the response timeout: an endpoint may be silent for `timeout_ms` from now on.
    pub(crate) fn start_response_timeout(&mut self, timeout_ms: u64) {
        let response_timeout = ResponseTimeout {
            started_ms: self.clock.now_ms(),
            timeout_ms,
        };
        self.response_timeout = Some(response_timeout);
        self.set_timer(response_timeout.expires_ms());
    }

    /// Restarts a running response timeout after bytes from the endpoint. A timer that fires earlier is not reset;
    /// `poll` re-arms it when it fires.
    pub(crate) fn restart_response_timeout(&mut self, timeout_ms: u64) {
        if self.response_timeout.is_none() {
            return;
        }
        let response_timeout = ResponseTimeout {
            started_ms: self.clock.now_ms(),
            timeout_ms,
        };
        self.response_timeout = Some(response_timeout);
        if response_timeout.expires_ms() < self.timer_ms {
            self.set_timer(response_timeout.expires_ms());
        }
    }

    /// Stops the response timeout: the endpoint may be silent until the deadline.
    pub(crate) fn clear_response_timeout(&mut self) {
        self.response_timeout = None;
    }

    /// Ready once the deadline and its grace time have passed, or once the response timeout has passed and a failover
    /// could be spent.
    pub(crate) fn poll(&mut self, cx: &mut Context) -> Poll<()> {
        loop {
            ready!(self.timer.as_mut().poll(cx));
            let now_ms = self.clock.now_ms();
            if now_ms >= self.final_ms() {
                return Poll::Ready(());
            }
            let expires_ms = self
                .response_timeout
                .map_or(u64::MAX, ResponseTimeout::expires_ms);
            if now_ms >= expires_ms {
                if self.failover_budget.try_spend() {
                    return Poll::Ready(());
                }
                self.response_timeout = None;
            }
            self.set_timer(
                self.response_timeout
                    .map_or(u64::MAX, ResponseTimeout::expires_ms),
            );
        }
    }

    /// Waits for `work`; returns None once [`RequestDeadline::poll`] is ready.
    pub(crate) async fn limit<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
        let mut work = pin!(work);
        poll_fn(|cx| {
            if let Poll::Ready(value) = work.as_mut().poll(cx) {
                return Poll::Ready(Some(value));
            }
            self.poll(cx).map(|()| None)
        })
        .await
    }

    fn final_ms(&self) -> u64 {
        self.deadline_ms + RESPONSE_GRACE_MS
    }

    fn set_timer(&mut self, at_ms: u64) {
        self.timer_ms = at_ms.min(self.final_ms());
        let at = self.clock.instant(self.timer_ms);
        self.timer.as_mut().reset(at);
    }
}

#[cfg(test)]
mod tests;
