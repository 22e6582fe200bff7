//! Time limits of a process that was frozen.

use super::within;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::advance;

const LIMIT: Duration = Duration::from_millis(850);
const FREEZE: Duration = Duration::from_secs(20);

/// The answer of a call that comes after some time, to a process that doesn't look in between.
async fn answer_after(time: Duration) -> Option<u32> {
    let (answer, answered) = oneshot::channel();
    let mut waiting = pin!(within(LIMIT, answered));
    poll_fn(|context| {
        assert!(waiting.as_mut().poll(context).is_pending());
        Poll::Ready(())
    })
    .await;
    advance(time).await;
    answer.send(7).expect("it is waited for");
    waiting.await.map(|answer| answer.expect("it was sent"))
}

#[tokio::test(start_paused = true)]
async fn an_answer_in_time_counts() {
    assert_eq!(answer_after(LIMIT / 2).await, Some(7));
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_is_found_after_a_freeze_does_not_count() {
    assert_eq!(answer_after(FREEZE).await, None);
}
