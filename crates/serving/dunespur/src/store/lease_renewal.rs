//! Renews the lease of a store with the head of the chain, which decides on expiry.
//!
//! Each watch renews the lease too, but at one core member, which gossips it to the others: a store whose member is lost
//! would go unheard for longer than its short lease lasts.

use crate::directory::Directory;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{interval, MissedTickBehavior};

/// How often the lease is renewed.
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
