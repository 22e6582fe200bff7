//! Times and bounds of a lease book.

use crate::Millis;

/// Times and bounds of a limiter's leases, with the project's defaults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// No turn waits longer for the counter: it is refused then.
    pub turn_wait_ms: Millis,
    /// A counter that has not answered a request for this long is silent: turns that need it are refused at once.
    /// Longer than a turn's wait, so that each try of a turn may outwait a short silence.
    pub silent_after_ms: Millis,
    /// A request without an answer is sent again after this long, doubled each time up to `resend_most_ms`.
    pub answer_wait_ms: Millis,
    /// A request whose sending failed is sent again after this long, doubled each time up to `resend_most_ms`.
    pub resend_ms: Millis,
    /// The longest pause before a request is sent again.
    pub resend_most_ms: Millis,
    /// A lease lapses this long after it was granted: longer than a pause between turns of a program.
    pub lease_ms: Millis,
    /// Units are given back this long after the program's last turn here.
    pub idle_return_ms: Millis,
    /// While turns run, the counter hears about the program at least this often.
    pub report_ms: Millis,
    /// What is not urgent happens at multiples of this, so that the requests of many programs go out together.
    pub batch_ms: Millis,
    /// A program is forgotten this long after its last turn here.
    pub forget_ms: Millis,
    /// A refused turn is told to come back after this long, if the units it lacks are held.
    pub retry_after_ms: Millis,
    /// For this long, turns that need no less than one put off are put off without asking the counter.
    pub put_off_ms: Millis,
    /// For this long, turns that need no less than one refused as spent are refused without asking the counter.
    pub spent_kept_ms: Millis,
    /// Programs known here at once.
    pub max_programs: usize,
    /// Turns running and waiting here at once.
    pub max_turns: usize,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            turn_wait_ms: 1_000,
            silent_after_ms: 3_000,
            answer_wait_ms: 300,
            resend_ms: 50,
            resend_most_ms: 1_000,
            lease_ms: 10_000,
            idle_return_ms: 1_000,
            report_ms: 5_000,
            batch_ms: 250,
            forget_ms: 30_000,
            retry_after_ms: 250,
            put_off_ms: 100,
            spent_kept_ms: 5_000,
            max_programs: 8_192,
            max_turns: 16_384,
        }
    }
}

impl LeaseSettings {
    /// The next moment at which what is not urgent happens.
    pub(crate) fn batched(&self, at: Millis) -> Millis {
        at.next_multiple_of(self.batch_ms.max(1))
    }
}
