//! Times and bounds of a limiter's leases.

use crate::Millis;

/// Times and bounds of a limiter's leases, with the project's defaults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// How long a turn waits for the counter before it is rejected. Default: 1,000.
    pub turn_timeout_ms: Millis,
    /// A counter that has not answered a request for this long counts as unavailable: turns that need it are rejected
    /// at once. Longer than a turn's timeout, so that retries of a turn may outlast a short outage. Default: 3,000.
    pub counter_timeout_ms: Millis,
    /// A request without a reply is sent again after this long, doubled each time up to `max_resend_ms`. Default: 300.
    pub reply_timeout_ms: Millis,
    /// A request whose sending failed is sent again after this long, doubled each time up to `max_resend_ms`.
    /// Default: 50.
    pub resend_ms: Millis,
    /// The maximum backoff before a request is sent again. Default: 1,000.
    pub max_resend_ms: Millis,
    /// A lease expires this long after it was granted: longer than a pause between turns of a program. Default:
    /// 10,000.
    pub lease_ms: Millis,
    /// Units are returned this long after the program's last turn here. Default: 1,000.
    pub idle_return_ms: Millis,
    /// While turns run, use is reported and the lease renewed at least this often. Default: 5,000.
    pub report_ms: Millis,
    /// What is not urgent is due at multiples of this, so that the requests of many programs are sent together.
    /// Default: 250.
    pub batch_ms: Millis,
    /// A program is removed this long after its last turn here. Default: 30,000.
    pub remove_ms: Millis,
    /// A rejected turn is to retry after this long, if the units that it needs are on lease. Default: 250.
    pub retry_after_ms: Millis,
    /// A temporary rejection applies for this long to turns that need as much, without a request. Default: 100.
    pub temporary_rejection_ms: Millis,
    /// A rejection as spent applies for this long to turns that need as much, without a request. Default: 5,000.
    pub spent_rejection_ms: Millis,
    /// Maximum number of programs. Default: 8,192.
    pub max_programs: usize,
    /// Maximum number of turns running and waiting. Default: 16,384.
    pub max_turns: usize,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            turn_timeout_ms: 1_000,
            counter_timeout_ms: 3_000,
            reply_timeout_ms: 300,
            resend_ms: 50,
            max_resend_ms: 1_000,
            lease_ms: 10_000,
            idle_return_ms: 1_000,
            report_ms: 5_000,
            batch_ms: 250,
            remove_ms: 30_000,
            retry_after_ms: 250,
            temporary_rejection_ms: 100,
            spent_rejection_ms: 5_000,
            max_programs: 8_192,
            max_turns: 16_384,
        }
    }
}

impl LeaseSettings {
    /// The next moment at which what is not urgent is due.
    pub(crate) fn batched(&self, at: Millis) -> Millis {
        at.next_multiple_of(self.batch_ms.max(1))
    }
}
