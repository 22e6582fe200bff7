//! Records when the trial's own process was delayed by the machine, so that a late answer can be told from an answer that
//! was read late.

use super::link_proxy::LinkFaults;
use crate::history::{Line, OWN_DELAY};
use dunespur_gateway::clock;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long the probe sleeps each time.
const SLEEP_S: f64 = 0.01;
/// A shorter delay is not recorded.
const MIN_DELAY_S: f64 = 0.1;

/// Adds each delay of this process to the history, for as long as the task runs.
pub(super) async fn record(faults: Rc<LinkFaults>, lines: Rc<RefCell<Vec<Line>>>) {
    loop {
        let slept_from = clock();
        sleep(Duration::from_secs_f64(SLEEP_S)).await;
        let woken_at = clock();
        let delay_s = woken_at - slept_from - SLEEP_S;
        if delay_s >= MIN_DELAY_S {
            lines.borrow_mut().push(Line::Counted {
                t: woken_at - faults.start.get(),
                what: OWN_DELAY.to_owned(),
                value: delay_s,
            });
        }
    }
}
