//! The deadline, the response timeout and the retry budget, on paused time.

use super::{FailoverBudget, RequestDeadline, MAX_SAVED_FAILOVERS, REQUESTS_PER_FAILOVER};
use crate::clock::Clock;
use std::future::{pending, ready};
use std::rc::Rc;
use tokio::time::{advance, sleep, Duration};

struct World {
    clock: Rc<Clock>,
    failover_budget: Rc<FailoverBudget>,
}

impl World {
    fn new() -> World {
        World {
            clock: Rc::new(Clock::new()),
            failover_budget: Rc::new(FailoverBudget::new()),
        }
    }

    fn deadline(&self, until_ms: u64) -> RequestDeadline {
        RequestDeadline::new(&self.clock, &self.failover_budget, until_ms)
    }

    /// When a wait ends for what never comes.
    async fn ends_ms(&self, deadline: &mut RequestDeadline) -> u64 {
        assert_eq!(deadline.bound(pending::<()>()).await, None);
        self.clock.now_ms()
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_is_waited_for_until_its_deadline_and_a_grace_time() {
    let world = World::new();
    let mut deadline = world.deadline(1000);
    assert_eq!(deadline.bound(ready(7)).await, Some(7));
    assert_eq!(deadline.remaining_ms(), 1000);
    assert_eq!(world.ends_ms(&mut deadline).await, 1100);
    assert_eq!(deadline.remaining_ms(), 0);
}

#[tokio::test(start_paused = true)]
async fn the_response_timeout_expires_before_the_deadline() {
    let world = World::new();
    let mut deadline = world.deadline(1000);
    deadline.start_response_timeout(200);
    assert_eq!(world.ends_ms(&mut deadline).await, 200);
    deadline.clear_response_timeout();
    assert_eq!(world.ends_ms(&mut deadline).await, 1100);
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_that_sends_something_is_waited_for_anew() {
    let world = World::new();
    let mut deadline = world.deadline(10_000);
    deadline.start_response_timeout(200);
    advance(Duration::from_millis(150)).await;
    deadline.restart_response_timeout(300);
    assert_eq!(world.ends_ms(&mut deadline).await, 450);
}

#[tokio::test(start_paused = true)]
async fn a_shorter_timeout_after_the_first_bytes_counts() {
    let world = World::new();
    let mut deadline = world.deadline(10_000);
    deadline.start_response_timeout(5_000);
    assert_eq!(
        deadline.bound(sleep(Duration::from_millis(100))).await,
        Some(())
    );
    deadline.restart_response_timeout(50);
    assert_eq!(world.ends_ms(&mut deadline).await, 150);
}

#[tokio::test(start_paused = true)]
async fn without_a_response_timeout_bytes_change_nothing() {
    let world = World::new();
    let mut deadline = world.deadline(1000);
    deadline.restart_response_timeout(50);
    assert_eq!(world.ends_ms(&mut deadline).await, 1100);
}

#[tokio::test(start_paused = true)]
async fn few_requests_may_leave_their_endpoints() {
    let world = World::new();
    for _ in 0..MAX_SAVED_FAILOVERS {
        let mut deadline = world.deadline(1_000_000);
        deadline.start_response_timeout(10);
        assert!(world.ends_ms(&mut deadline).await < 1_000_000);
    }
    let mut deadline = world.deadline(world.clock.now_ms() + 1000);
    deadline.start_response_timeout(10);
    let end_ms = world.clock.now_ms() + 1100;
    assert_eq!(
        world.ends_ms(&mut deadline).await,
        end_ms,
        "the endpoint is waited for"
    );
    for _ in 0..REQUESTS_PER_FAILOVER {
        world.failover_budget.count_request();
    }
    let mut deadline = world.deadline(1_000_000);
    deadline.start_response_timeout(10);
    assert!(world.ends_ms(&mut deadline).await < 1_000_000);
}
