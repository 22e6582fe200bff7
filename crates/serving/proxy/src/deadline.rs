//! The deadline of a request, and how long an unresponsive endpoint is waited for before it.
//!
//! One timer for both, and one that is not reset at every event: a stream has thousands of them.

use crate::clock::Clock;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::time::Sleep;

/// An endpoint responds at the deadline it was given; its response is waited for a little beyond.
const RESPONSE_GRACE_MS: u64 = 100;
/// One request in so many may leave an unresponsive endpoint. Protects against an overload in which all endpoints are
/// slow: each request that left one would be work for two.
const REQUESTS_PER_FAILOVER: u32 = 20;
/// So many may leave at once.
const MAX_SAVED_FAILOVERS: u32 = 10;

/// A retry budget: how many requests may still leave an unresponsive endpoint.
#[derive(Debug)]
pub(crate) struct FailoverBudget {
    /// In requests; a failover costs [`REQUESTS_PER_FAILOVER`] of them.
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

    /// Spends one failover; false where none is left.
    fn spend(&self) -> bool {
        let left = self.saved_requests.get().checked_sub(REQUESTS_PER_FAILOVER);
        self.saved_requests
            .set(left.unwrap_or(self.saved_requests.get()));
        left.is_some()
    }
}

/// The deadline and the response timeout of one request, by one timer.
pub(crate) struct RequestDeadline {
    clock: Rc<Clock>,
    failover_budget: Rc<FailoverBudget>,
    deadline_ms: u64,
    response_timeout: Option<ResponseTimeout>,
    timer: Pin<Box<Sleep>>,
    /// When the timer fires.
    armed_ms: u64,
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
        let armed_ms = deadline_ms + RESPONSE_GRACE_MS;
        let timer = tokio::time::sleep_until(clock.instant(armed_ms));
        RequestDeadline {
            clock: clock.clone(),
            failover_budget: failover_budget.clone(),
            deadline_ms,
            response_timeout: None,
            timer: Box::pin(timer),
            armed_ms,
        }
    }

    /// The deadline, by the proxy's clock.
    pub(crate) fn deadline_ms(&self) -> u64 {
        self.deadline_ms
    }

    pub(crate) fn remaining_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(self.clock.now_ms())
    }

    /// From now on an endpoint may send nothing for so long.
    pub(crate) fn start_response_timeout(&mut self, timeout_ms: u64) {
        let response_timeout = ResponseTimeout {
            started_ms: self.clock.now_ms(),
            timeout_ms,
        };
        self.response_timeout = Some(response_timeout);
        self.set_timer(response_timeout.expires_ms());
    }

    /// The endpoint has sent something; until it sends more it may be silent for so long. A timer that fires before
    /// is left as it is, and checks again then.
    pub(crate) fn restart_response_timeout(&mut self, timeout_ms: u64) {
        if self.response_timeout.is_none() {
            return;
        }
        let response_timeout = ResponseTimeout {
            started_ms: self.clock.now_ms(),
            timeout_ms,
        };
        self.response_timeout = Some(response_timeout);
        if response_timeout.expires_ms() < self.armed_ms {
            self.set_timer(response_timeout.expires_ms());
        }
    }

    /// From now on the endpoint may be silent until the deadline.
    pub(crate) fn clear_response_timeout(&mut self) {
        self.response_timeout = None;
    }

    /// Ready once the deadline has passed, or the response timeout where a failover is left to spend.
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
                if self.failover_budget.spend() {
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

    /// What `work` gives, or None once the time is up.
    pub(crate) async fn bound<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
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
        self.armed_ms = at_ms.min(self.final_ms());
        let at = self.clock.instant(self.armed_ms);
        self.timer.as_mut().reset(at);
    }
}

#[cfg(test)]
mod tests;
