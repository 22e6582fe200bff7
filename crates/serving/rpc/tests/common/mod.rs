//! How the tests run their futures.

use std::future::Future;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs a test on one thread, as the processes run.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}
