use super::{Departures, TimeLimit, MOST_DEPARTURES, REQUESTS_PER_DEPARTURE};
use crate::clock::Clock;
use std::future::{pending, ready};
use std::rc::Rc;
use tokio::time::{advance, sleep, Duration};

struct World {
    clock: Rc<Clock>,
    departures: Rc<Departures>,
}

impl World {
    fn new() -> World {
        World {
            clock: Rc::new(Clock::new()),
            departures: Rc::new(Departures::new()),
        }
    }

    fn limit(&self, until_ms: u64) -> TimeLimit {
        TimeLimit::new(&self.clock, &self.departures, until_ms)
    }

    /// When a wait ends for what never comes.
    async fn ends_ms(&self, limit: &mut TimeLimit) -> u64 {
        assert_eq!(limit.bound(pending::<()>()).await, None);
        self.clock.now_ms()
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_is_held_until_its_time_and_a_moment() {
    let world = World::new();
    let mut limit = world.limit(1000);
    assert_eq!(limit.bound(ready(7)).await, Some(7));
    assert_eq!(limit.left_ms(), 1000);
    assert_eq!(world.ends_ms(&mut limit).await, 1100);
    assert_eq!(limit.left_ms(), 0);
}

#[tokio::test(start_paused = true)]
async fn patience_ends_before_the_time() {
    let world = World::new();
    let mut limit = world.limit(1000);
    limit.expect_within(200);
    assert_eq!(world.ends_ms(&mut limit).await, 200);
    limit.wait_out();
    assert_eq!(world.ends_ms(&mut limit).await, 1100);
}

#[tokio::test(start_paused = true)]
async fn a_server_that_is_heard_is_waited_for_anew() {
    let world = World::new();
    let mut limit = world.limit(10_000);
    limit.expect_within(200);
    advance(Duration::from_millis(150)).await;
    limit.heard(300);
    assert_eq!(world.ends_ms(&mut limit).await, 450);
}

#[tokio::test(start_paused = true)]
async fn less_patience_after_the_first_news_is_less() {
    let world = World::new();
    let mut limit = world.limit(10_000);
    limit.expect_within(5_000);
    assert_eq!(
        limit.bound(sleep(Duration::from_millis(100))).await,
        Some(())
    );
    limit.heard(50);
    assert_eq!(world.ends_ms(&mut limit).await, 150);
}

#[tokio::test(start_paused = true)]
async fn without_patience_news_change_nothing() {
    let world = World::new();
    let mut limit = world.limit(1000);
    limit.heard(50);
    assert_eq!(world.ends_ms(&mut limit).await, 1100);
}

#[tokio::test(start_paused = true)]
async fn few_requests_may_leave_their_servers() {
    let world = World::new();
    for _ in 0..MOST_DEPARTURES {
        let mut limit = world.limit(1_000_000);
        limit.expect_within(10);
        assert!(world.ends_ms(&mut limit).await < 1_000_000);
    }
    let mut limit = world.limit(world.clock.now_ms() + 1000);
    limit.expect_within(10);
    let end_ms = world.clock.now_ms() + 1100;
    assert_eq!(
        world.ends_ms(&mut limit).await,
        end_ms,
        "the server is waited out"
    );
    for _ in 0..REQUESTS_PER_DEPARTURE {
        world.departures.count_request();
    }
    let mut limit = world.limit(1_000_000);
    limit.expect_within(10);
    assert!(world.ends_ms(&mut limit).await < 1_000_000);
}
