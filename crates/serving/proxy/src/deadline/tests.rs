//! The deadline, the response timeout and the retry budget, with paused time.

use super::{FailoverBudget, RequestDeadline, MAX_SAVED_FAILOVERS, REQUESTS_PER_FAILOVER};
use crate::clock::Clock;
use std::future::{pending, ready};
use std::rc::Rc;
use tokio::time::{advance, sleep, Duration};

/// The clock and the retry budget that all requests of a test share.
struct TestContext {
    clock: Rc<Clock>,
    failover_budget: Rc<FailoverBudget>,
}

impl TestContext {
    fn new() -> TestContext {
        TestContext {
            clock: Rc::new(Clock::new()),
            failover_budget: Rc::new(FailoverBudget::new()),
        }
    }

    fn deadline(&self, deadline_ms: u64) -> RequestDeadline {
        RequestDeadline::new(&self.clock, &self.failover_budget, deadline_ms)
    }

    /// Returns the time at which waiting for a future that never completes ends.
    async fn wait_end_ms(&self, deadline: &mut RequestDeadline) -> u64 {
        assert_eq!(deadline.limit(pending::<()>()).await, None);
        self.clock.now_ms()
    }
}

#[tokio::test(start_paused = true)]
async fn a_wait_ends_after_the_deadline_and_its_grace_time() {
    let context = TestContext::new();
    let mut deadline = context.deadline(1000);
    assert_eq!(deadline.limit(ready(7)).await, Some(7));
    assert_eq!(deadline.remaining_ms(), 1000);
    assert_eq!(context.wait_end_ms(&mut deadline).await, 1100);
    assert_eq!(deadline.remaining_ms(), 0);
}

#[tokio::test(start_paused = true)]
async fn the_response_timeout_expires_before_the_deadline() {
    let context = TestContext::new();
    let mut deadline = context.deadline(1000);
    deadline.start_response_timeout(200);
    assert_eq!(context.wait_end_ms(&mut deadline).await, 200);
    deadline.clear_response_timeout();
    assert_eq!(context.wait_end_ms(&mut deadline).await, 1100);
}

#[tokio::test(start_paused = true)]
async fn bytes_from_the_endpoint_restart_the_response_timeout() {
    let context = TestContext::new();
    let mut deadline = context.deadline(10_000);
    deadline.start_response_timeout(200);
    advance(Duration::from_millis(150)).await;
    deadline.restart_response_timeout(300);
    assert_eq!(context.wait_end_ms(&mut deadline).await, 450);
}

#[tokio::test(start_paused = true)]
async fn a_shorter_restarted_timeout_resets_the_timer() {
    let context = TestContext::new();
    let mut deadline = context.deadline(10_000);
    deadline.start_response_timeout(5_000);
    assert_eq!(
        deadline.limit(sleep(Duration::from_millis(100))).await,
        Some(())
    );
    deadline.restart_response_timeout(50);
    assert_eq!(context.wait_end_ms(&mut deadline).await, 150);
}

#[tokio::test(start_paused = true)]
async fn restarting_without_a_response_timeout_has_no_effect() {
    let context = TestContext::new();
    let mut deadline = context.deadline(1000);
    deadline.restart_response_timeout(50);
    assert_eq!(context.wait_end_ms(&mut deadline).await, 1100);
}

#[tokio::test(start_paused = true)]
async fn only_the_saved_failovers_may_be_spent_at_once() {
    let context = TestContext::new();
    for _ in 0..MAX_SAVED_FAILOVERS {
        let mut deadline = context.deadline(1_000_000);
        deadline.start_response_timeout(10);
        assert!(context.wait_end_ms(&mut deadline).await < 1_000_000);
    }
    let mut deadline = context.deadline(context.clock.now_ms() + 1000);
    deadline.start_response_timeout(10);
    let end_ms = context.clock.now_ms() + 1100;
    assert_eq!(
        context.wait_end_ms(&mut deadline).await,
        end_ms,
        "without budget the request waits for the endpoint until the deadline"
    );
    for _ in 0..REQUESTS_PER_FAILOVER {
        context.failover_budget.count_request();
    }
    let mut deadline = context.deadline(1_000_000);
    deadline.start_response_timeout(10);
    assert!(context.wait_end_ms(&mut deadline).await < 1_000_000);
}
