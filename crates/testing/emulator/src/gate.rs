//! Gates, through which a test controls the progress of servers.

use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Notify;

/// A point at which servers wait until the test lets them proceed. A new gate is open.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    closed: bool,
    /// Number of callers that may still pass while the gate is closed.
    permits: u64,
    waiting: usize,
}

impl Gate {
    /// A gate that is closed from the start.
    #[must_use]
    pub fn closed() -> Gate {
        let gate = Gate::default();
        gate.close();
        gate
    }

    /// Closes the gate: callers need a permit to pass. Unused permits are dropped.
    pub fn close(&self) {
        self.change(|state| {
            state.closed = true;
            state.permits = 0;
        });
    }

    /// Lets `count` callers pass, whether they wait already or arrive later.
    pub fn release(&self, count: u64) {
        self.change(|state| state.permits += count);
    }

    /// Opens the gate for all callers.
    pub fn open(&self) {
        self.change(|state| state.closed = false);
    }

    /// Returns once the gate lets the caller pass.
    pub async fn pass(&self) {
        let _waiting = WaitingCaller::begin(&self.inner);
        self.wait_until(|state| {
            if !state.closed {
                return true;
            }
            let has_permit = state.permits > 0;
            state.permits -= u64::from(has_permit);
            has_permit
        })
        .await;
    }

    /// Returns once at least `count` callers wait at the gate, which shows that their requests have arrived.
    pub async fn waiting(&self, count: usize) {
        self.wait_until(|state| state.waiting >= count).await;
    }

    /// Returns once the gate's state fulfils `condition`.
    async fn wait_until(&self, mut condition: impl FnMut(&mut State) -> bool) {
        loop {
            let changed = self.inner.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if condition(&mut self.inner.lock()) {
                return;
            }
            changed.await;
        }
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.inner.lock());
        self.inner.changed.notify_waiters();
    }
}

impl Inner {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one caller as waiting until this is dropped, even if the caller is dropped while it waits.
struct WaitingCaller {
    inner: Arc<Inner>,
}

impl WaitingCaller {
    fn begin(inner: &Arc<Inner>) -> WaitingCaller {
        inner.lock().waiting += 1;
        inner.changed.notify_waiters();
        WaitingCaller {
            inner: inner.clone(),
        }
    }
}

impl Drop for WaitingCaller {
    fn drop(&mut self) {
        self.inner.lock().waiting -= 1;
    }
}
