//! Which endpoints may have run a request, and whether it may be sent to another one. No clock, no I/O.
//!
//! Protects against running a request twice that must run once, and an idempotent one at more endpoints than its route
//! allows.

use crate::classification::{ClientResponse, Execution, Idempotency, RetryRule};
use crate::rejection::Rejection;
use crate::safeguards::Safeguards;
use dunespur_routing::ServerId;
use smallvec::SmallVec;

/// Sends to an endpoint that may have run the request before. Protects against an endpoint that truncates every
/// response.
const MAX_RESENDS: u32 = 2;
/// When a client may retry whose request found no endpoint.
const NO_ENDPOINT_RETRY_MS: u64 = 200;

/// What the attempts of one request came to, taken together.
#[derive(Debug)]
pub(crate) struct ExecutionRecord {
    idempotency: Idempotency,
    max_endpoints: usize,
    safeguards: Safeguards,
    /// Those that may have run it and are not known to have crashed since.
    endpoints: SmallVec<[ServerId; 2]>,
    /// Of the last attempt that may have run it.
    execution: Execution,
    resends: u32,
}

impl ExecutionRecord {
    /// Of a request that may run at so many endpoints, and at more than one only if it is idempotent.
    pub(crate) fn new(
        idempotency: Idempotency,
        max_endpoints: usize,
        safeguards: Safeguards,
    ) -> ExecutionRecord {
        ExecutionRecord {
            idempotency,
            max_endpoints,
            safeguards,
            endpoints: SmallVec::new(),
            execution: Execution::NotRun,
            resends: 0,
        }
    }

    /// An attempt at this endpoint came to this.
    pub(crate) fn record(&mut self, endpoint: &ServerId, execution: Execution) {
        if execution != Execution::NotRun {
            self.record_run(endpoint);
            self.execution = execution;
        }
    }

    /// The endpoint has run it, and its response may yet be forwarded.
    pub(crate) fn record_run(&mut self, endpoint: &ServerId) {
        if !self.endpoints.contains(endpoint) {
            self.endpoints.push(endpoint.clone());
        }
    }

    /// The endpoint has crashed, if it ever ran the request: it no longer counts among those that were sent to.
    pub(crate) fn record_departed(&mut self, endpoint: &ServerId) {
        self.endpoints.retain(|id| id != endpoint);
    }

    /// Whether the request can't have run anywhere.
    pub(crate) fn has_not_run(&self) -> bool {
        self.execution == Execution::NotRun
    }

    /// Whether the request may be sent to one more endpoint after an attempt with this rule. What the earlier
    /// attempts came to may forbid it.
    pub(crate) fn may_retry(&self, rule: RetryRule) -> bool {
        match rule {
            RetryRule::Never => false,
            RetryRule::Allowed if self.endpoints.is_empty() && self.has_not_run() => true,
            RetryRule::Allowed | RetryRule::IfIdempotent | RetryRule::IfResumable => {
                self.is_repeatable() && !self.is_at_endpoint_limit()
            }
        }
    }

    /// Whether the request may still go to another endpoint after one more that was unresponsive.
    pub(crate) fn may_fail_over(&self) -> bool {
        self.is_repeatable() && self.endpoints.len() + 1 < self.max_endpoints
    }

    /// Whether the request is sent to the same endpoint again, which is counted: it may be sent to no other,
    /// and is idempotent. Should the endpoint turn out to have crashed, it no longer counts.
    pub(crate) fn take_resend(&mut self) -> bool {
        let may_resend =
            self.is_repeatable() && self.is_at_endpoint_limit() && self.resends < MAX_RESENDS;
        self.resends += u32::from(may_resend);
        may_resend
    }

    /// The response where no endpoint's can be had.
    pub(crate) fn rejection(&self) -> Rejection {
        match self.execution.without_response() {
            ClientResponse::Rejected => Rejection::RetryLater {
                retry_after_ms: NO_ENDPOINT_RETRY_MS,
            },
            ClientResponse::GatewayTimeout => Rejection::GatewayTimeout,
            _ => Rejection::BadGateway,
        }
    }

    /// Protects against running twice what may run once.
    fn is_repeatable(&self) -> bool {
        self.idempotency == Idempotency::Idempotent || !self.safeguards.only_idempotent_retried()
    }

    /// Whether as many endpoints may have run it as the route allows.
    fn is_at_endpoint_limit(&self) -> bool {
        self.endpoints.len() >= self.max_endpoints.max(1)
    }
}

#[cfg(test)]
mod tests;
