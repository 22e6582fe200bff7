//! Runtime for the tests.

use std::future::Future;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs a test on a single-threaded runtime, like that of the processes.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}
