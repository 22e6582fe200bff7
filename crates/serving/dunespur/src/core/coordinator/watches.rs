//! Watches: gateways and stores follow the control state at one core member, and renew leases on the way.

use super::Coordinator;
use crate::messages::{Reply, WatchRequest};
use std::time::Duration;
use tokio::time::timeout;

/// A watch without changes is answered after this time: the caller sees that this member runs.
const WATCH_TIMEOUT: Duration = Duration::from_millis(400);

impl Coordinator {
    /// Answers a watch: at once if there are changes, else when there are some or after [`WATCH_TIMEOUT`].
    pub async fn watch(&self, request: WatchRequest) -> Reply {
        let now = self.clock.now();
        if self.replica.borrow().is_current(now) {
            // A process that was frozen finds renewals of long ago in its sockets.
            self.leases
                .borrow_mut()
                .renew_from_watch(&request.renewals, now);
        }
        if !self.replica.borrow().serves_reads(now) {
            return Reply::Unavailable;
        }
        let changed = self.state_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if !self.replica.borrow().has_updates_for(&request) {
            let _ = timeout(WATCH_TIMEOUT, changed).await;
        }
        let replica = self.replica.borrow();
        if !replica.serves_reads(self.clock.now()) {
            return Reply::Unavailable;
        }
        Reply::StateUpdate(replica.updates_for(&request))
    }
}
