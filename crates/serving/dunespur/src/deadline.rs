//! Time limits that hold even if the process was frozen.

#[cfg(test)]
mod tests;

use std::future::Future;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// The future's output if it completes within the limit. After a freeze a plain timeout would still return an answer
/// that it finds long after the limit, and such an answer may be outdated.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let deadline = Instant::now() + limit;
    let output = timeout(limit, future).await.ok();
    output.filter(|_| Instant::now() <= deadline)
}
