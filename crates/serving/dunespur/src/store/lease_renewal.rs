//! Renews a store's lease directly with the head of the chain, which decides on expiry.
//!
//! Each watch renews the lease too, but only at one core member, which gossips the renewal to the others. If that
//! member is lost, the head would receive no renewal for longer than the store's short lease lasts.

use crate::directory::Directory;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{interval, MissedTickBehavior};

/// Interval between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Renews the lease for as long as the task runs.
pub async fn renew_lease(directory: Rc<Directory>) {
    let mut renewals = interval(RENEWAL_INTERVAL);
    renewals.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        renewals.tick().await;
        directory.renew_lease_with_head();
    }
}
