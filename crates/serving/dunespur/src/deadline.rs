//! Time limits that apply to a process that was frozen as well.

#[cfg(test)]
mod tests;

use std::future::Future;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// What the future comes to, if it does so within the limit. A plain timeout also gives out what is found there when
/// it looks for the first time long after the limit: an answer that says nothing on the present state.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let end = Instant::now() + limit;
    let found = timeout(limit, future).await.ok();
    found.filter(|_| Instant::now() <= end)
}
