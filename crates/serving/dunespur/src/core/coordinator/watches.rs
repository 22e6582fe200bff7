//! Watches: gateways and stores follow the control state at one core member, and renew leases with each watch.

use super::Coordinator;
use crate::messages::{encode, Reply, WatchRequest};
use bytes::Bytes;
use std::time::Duration;
use tokio::time::timeout;

/// A watch without changes is answered after this time, which shows the caller that this member is alive.
const WATCH_TIMEOUT: Duration = Duration::from_millis(400);

impl Coordinator {
    /// Answers a watch immediately if there are changes, else at the next change or after [`WATCH_TIMEOUT`]. Returns the
    /// encoded [`Reply`].
    pub async fn watch(&self, request: WatchRequest) -> Bytes {
        let now = self.clock.now();
        if self.replica.borrow().is_current(now) {
            // After a process was frozen, its sockets may hold outdated renewals.
            self.leases
                .borrow_mut()
                .renew_from_watch(&request.renewals, now);
        }
        if !self.replica.borrow().serves_reads(now) {
            return encode(&Reply::Unavailable);
        }
        let changed = self.state_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if !self.replica.borrow().has_updates_for(&request) {
            let _ = timeout(WATCH_TIMEOUT, changed).await;
        }
        let replica = self.replica.borrow();
        if !replica.serves_reads(self.clock.now()) {
            return encode(&Reply::Unavailable);
        }
        let mut updates = self.encoded_updates.borrow_mut();
        updates.answer(&replica, &request)
    }
}
