//! Gates, by which a test controls the progress of servers.

use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Notify;

/// A point at which servers wait until the test lets them proceed. Open at first.
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

    /// Closes the gate: nothing passes without a permit.
    pub fn close(&self) {
        self.change(|state| {
            state.closed = true;
            state.permits = 0;
        });
    }

    /// Lets `count` waiting or later ones pass.
    pub fn release(&self, count: u64) {
        self.change(|state| state.permits += count);
    }

    /// Opens the gate for all.
    pub fn open(&self) {
        self.change(|state| state.closed = false);
    }

    /// Returns once the gate lets the caller pass.
    pub async fn pass(&self) {
        let _waiting = Waiting::begin(&self.inner);
        self.until(|state| {
            if !state.closed {
                return true;
            }
            let passes = state.permits > 0;
            state.permits -= u64::from(passes);
            passes
        })
        .await;
    }

    /// Returns once `count` callers wait here, which shows that requests have arrived.
    pub async fn waiting(&self, count: usize) {
        self.until(|state| state.waiting >= count).await;
    }

    async fn until(&self, mut condition: impl FnMut(&mut State) -> bool) {
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

/// Counts one waiting caller, also when it is dropped while waiting.
struct Waiting {
    inner: Arc<Inner>,
}

impl Waiting {
    fn begin(inner: &Arc<Inner>) -> Waiting {
        inner.lock().waiting += 1;
        inner.changed.notify_waiters();
        Waiting {
            inner: inner.clone(),
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.inner.lock().waiting -= 1;
    }
}
