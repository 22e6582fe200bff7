//! What a test holds back and lets go.

use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Notify;

/// Where a stand-in waits until the test lets it go on. Open until it is held.
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
    held: bool,
    permits: u64,
    waiting: usize,
}

impl Gate {
    /// A gate that is held from the start.
    #[must_use]
    pub fn held() -> Gate {
        let gate = Gate::default();
        gate.hold();
        gate
    }

    /// From now on nothing passes without a permit.
    pub fn hold(&self) {
        self.change(|state| {
            state.held = true;
            state.permits = 0;
        });
    }

    /// Lets so many pass, those that wait or come next.
    pub fn let_go(&self, count: u64) {
        self.change(|state| state.permits += count);
    }

    /// Lets all pass from now on.
    pub fn open(&self) {
        self.change(|state| state.held = false);
    }

    /// Goes on once the gate lets it.
    pub async fn pass(&self) {
        let _waiting = Waiting::begin(&self.inner);
        self.until(|state| {
            if !state.held {
                return true;
            }
            let passes = state.permits > 0;
            state.permits -= u64::from(passes);
            passes
        })
        .await;
    }

    /// Ends once that many wait here: the sign that requests have arrived.
    pub async fn waiting(&self, count: usize) {
        self.until(|state| state.waiting >= count).await;
    }

    async fn until(&self, mut holds: impl FnMut(&mut State) -> bool) {
        loop {
            let changed = self.inner.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if holds(&mut self.inner.lock()) {
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

/// Counts one that waits, also when it is dropped while waiting.
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
