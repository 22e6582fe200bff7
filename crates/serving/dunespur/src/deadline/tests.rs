//! Time limits in a process that was frozen.

use super::within;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::advance;

const LIMIT: Duration = Duration::from_millis(850);
const FREEZE: Duration = Duration::from_secs(20);

/// The result of a call that is answered after `time`, in a process that does not poll in between.
async fn result_after(time: Duration) -> Option<u32> {
    let (answer, answered) = oneshot::channel();
    let mut waiting = pin!(within(LIMIT, answered));
    poll_fn(|context| {
        assert!(waiting.as_mut().poll(context).is_pending());
        Poll::Ready(())
    })
    .await;
    advance(time).await;
    answer
        .send(7)
        .expect("the call should still wait for its answer");
    waiting
        .await
        .map(|answer| answer.expect("the answer should have been sent"))
}

#[tokio::test(start_paused = true)]
async fn an_answer_in_time_counts() {
    assert_eq!(result_after(LIMIT / 2).await, Some(7));
}

#[tokio::test(start_paused = true)]
async fn an_answer_found_after_a_freeze_does_not_count() {
    assert_eq!(result_after(FREEZE).await, None);
}
