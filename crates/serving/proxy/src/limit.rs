//! The time of a request: how long it is held at all, and how long a silent server is waited for.

use crate::clock::Clock;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::time::Sleep;

/// A server answers at the time it was handed; its answer is waited for a little beyond.
const ANSWER_GRACE_MS: u64 = 100;
/// A request in so many may leave a silent server. Guards against an overload in which all servers are slow: each
/// request that left one would be work for two.
const REQUESTS_PER_DEPARTURE: u32 = 20;
/// So many may leave at once.
const MOST_DEPARTURES: u32 = 10;

/// How many requests may still leave a silent server.
#[derive(Debug)]
pub(crate) struct Departures {
    /// In requests.
    saved: Cell<u32>,
}

impl Departures {
    pub(crate) fn new() -> Departures {
        Departures {
            saved: Cell::new(MOST_DEPARTURES * REQUESTS_PER_DEPARTURE),
        }
    }

    pub(crate) fn count_request(&self) {
        self.saved
            .set((self.saved.get() + 1).min(MOST_DEPARTURES * REQUESTS_PER_DEPARTURE));
    }

    fn take(&self) -> bool {
        let left = self.saved.get().checked_sub(REQUESTS_PER_DEPARTURE);
        self.saved.set(left.unwrap_or(self.saved.get()));
        left.is_some()
    }
}

/// The time of one request, by one timer.
pub(crate) struct TimeLimit {
    clock: Rc<Clock>,
    departures: Rc<Departures>,
    until_ms: u64,
    patience: Option<Patience>,
    timer: Pin<Box<Sleep>>,
    /// When the timer goes off.
    armed_ms: u64,
}

/// How long a server may be silent.
#[derive(Clone, Copy, Debug)]
struct Patience {
    heard_ms: u64,
    lasts_ms: u64,
}

impl Patience {
    fn ends_ms(self) -> u64 {
        self.heard_ms.saturating_add(self.lasts_ms)
    }
}

impl TimeLimit {
    pub(crate) fn new(clock: &Rc<Clock>, departures: &Rc<Departures>, until_ms: u64) -> TimeLimit {
        let armed_ms = until_ms + ANSWER_GRACE_MS;
        let timer = tokio::time::sleep_until(clock.instant(armed_ms));
        TimeLimit {
            clock: clock.clone(),
            departures: departures.clone(),
            until_ms,
            patience: None,
            timer: Box::pin(timer),
            armed_ms,
        }
    }

    pub(crate) fn until_ms(&self) -> u64 {
        self.until_ms
    }

    pub(crate) fn left_ms(&self) -> u64 {
        self.until_ms.saturating_sub(self.clock.now_ms())
    }

    /// From now on a server may be silent for so long.
    pub(crate) fn expect_within(&mut self, lasts_ms: u64) {
        let patience = Patience {
            heard_ms: self.clock.now_ms(),
            lasts_ms,
        };
        self.patience = Some(patience);
        self.set_timer(patience.ends_ms());
    }

    /// The server was heard; until it is heard again it may be silent for so long. A timer that goes off before
    /// is left as it is, and looks again then.
    pub(crate) fn heard(&mut self, lasts_ms: u64) {
        if self.patience.is_none() {
            return;
        }
        let patience = Patience {
            heard_ms: self.clock.now_ms(),
            lasts_ms,
        };
        self.patience = Some(patience);
        if patience.ends_ms() < self.armed_ms {
            self.set_timer(patience.ends_ms());
        }
    }

    /// From now on the server may be silent until the end.
    pub(crate) fn wait_out(&mut self) {
        self.patience = None;
    }

    /// Ready once the time is over, or once the server has been silent for too long.
    pub(crate) fn poll(&mut self, cx: &mut Context) -> Poll<()> {
        loop {
            ready!(self.timer.as_mut().poll(cx));
            let now_ms = self.clock.now_ms();
            if now_ms >= self.end_ms() {
                return Poll::Ready(());
            }
            let patience_ms = self.patience.map_or(u64::MAX, Patience::ends_ms);
            if now_ms >= patience_ms {
                if self.departures.take() {
                    return Poll::Ready(());
                }
                self.patience = None;
            }
            self.set_timer(self.patience.map_or(u64::MAX, Patience::ends_ms));
        }
    }

    /// What `work` gives, or None once the time is over.
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

    fn end_ms(&self) -> u64 {
        self.until_ms + ANSWER_GRACE_MS
    }

    fn set_timer(&mut self, at_ms: u64) {
        self.armed_ms = at_ms.min(self.end_ms());
        let at = self.clock.instant(self.armed_ms);
        self.timer.as_mut().reset(at);
    }
}

#[cfg(test)]
mod tests;
