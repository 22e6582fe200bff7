//! Timeouts, intervals and limits of a limiter's leases.

use crate::Millis;

/// Timeouts, intervals and limits of a limiter's leases. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Maximum time that a turn waits for the counter before it is rejected. Default: 1,000.
    pub turn_timeout_ms: Millis,
    /// Time without a reply after which the counter counts as unavailable and turns that need it are rejected at once.
    /// Longer than a turn's timeout, so that retries of a turn may outlast a short outage. Default: 3,000.
    pub counter_timeout_ms: Millis,
    /// Initial time without a reply after which a request is resent; doubles up to `max_resend_ms`. Default: 300.
    pub reply_timeout_ms: Millis,
    /// Base delay before a failed request is resent; doubles with each failure up to `max_resend_ms`. Default: 50.
    pub resend_ms: Millis,
    /// Maximum backoff before a request is resent. Default: 1,000.
    pub max_resend_ms: Millis,
    /// Time from a grant until the lease expires; longer than a program's pauses between turns. Default: 10,000.
    pub lease_ms: Millis,
    /// Time after a program's last turn on this limiter until unused units are returned. Default: 1,000.
    pub idle_return_ms: Millis,
    /// Maximum interval between reports of use, which also renew the lease, while turns run. Default: 5,000.
    pub report_ms: Millis,
    /// Steps that are not urgent run at multiples of this interval, so that requests of many programs are sent
    /// together. Default: 250.
    pub batch_ms: Millis,
    /// Time after a program's last turn on this limiter until the program is removed. Default: 30,000.
    pub remove_ms: Millis,
    /// Retry delay of a turn that was rejected because the units are leased elsewhere. Default: 250.
    pub retry_after_ms: Millis,
    /// How long a temporary rejection is cached for turns that need at least as many units. Default: 100.
    pub temporary_rejection_ms: Millis,
    /// How long a `Spent` rejection is cached for turns that need at least as many units. Default: 5,000.
    pub spent_rejection_ms: Millis,
    /// Maximum number of programs. Default: 8,192.
    pub max_programs: usize,
    /// Maximum number of running and waiting turns. Default: 16,384.
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
    /// Rounds a time up to the next multiple of `batch_ms`.
    pub(crate) fn round_up_to_batch(&self, at: Millis) -> Millis {
        at.next_multiple_of(self.batch_ms.max(1))
    }
}
