//! Records which endpoints may have run a request, and decides whether it may be sent to another endpoint. Pure logic,
//! without a clock or I/O.
//!
//! Protects against running a request twice that is not idempotent, and against running an idempotent request at more
//! endpoints than its route allows.

use crate::classification::{ClientResponse, Execution, Idempotency, RetryRule};
use crate::rejection::Rejection;
use crate::safeguards::Safeguards;
use dunespur_routing::ServerId;
use smallvec::SmallVec;

/// The most sends of a request to an endpoint that may have run it before. Protects against an endpoint that truncates
/// every response.
const MAX_RESENDS: u32 = 2;
/// `Retry-After` of a request for which no endpoint was found.
const NO_ENDPOINT_RETRY_MS: u64 = 200;

/// The results of all attempts of one request.
#[derive(Debug)]
pub(crate) struct ExecutionRecord {
    idempotency: Idempotency,
    max_endpoints: usize,
    safeguards: Safeguards,
    /// The endpoints that may have run the request and are not known to have crashed since.
    endpoints: SmallVec<[ServerId; 2]>,
    /// The result of the last attempt that may have run the request; `NotRun` if there is none.
    execution: Execution,
    resends: u32,
}

impl ExecutionRecord {
    /// Creates the record of a request that may run at `max_endpoints`, or at one endpoint if it is not idempotent.
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

    /// Records the result of an attempt at `endpoint`.
    pub(crate) fn record_attempt(&mut self, endpoint: &ServerId, execution: Execution) {
        if execution != Execution::NotRun {
            self.record_run(endpoint);
            self.execution = execution;
        }
    }

    /// Records that `endpoint` has run the request, while its response may still be forwarded.
    pub(crate) fn record_run(&mut self, endpoint: &ServerId) {
        if !self.endpoints.contains(endpoint) {
            self.endpoints.push(endpoint.clone());
        }
    }

    /// Records that `endpoint` has departed: even if it ran the request, it no longer counts towards the endpoint
    /// limit.
    pub(crate) fn record_departed(&mut self, endpoint: &ServerId) {
        self.endpoints.retain(|id| id != endpoint);
    }

    /// Whether the request cannot have run at any endpoint.
    pub(crate) fn has_not_run(&self) -> bool {
        self.execution == Execution::NotRun
    }

    /// Whether the request may be sent to one more endpoint after an attempt with this rule. The results of earlier
    /// attempts may forbid it.
    pub(crate) fn may_retry(&self, rule: RetryRule) -> bool {
        match rule {
            RetryRule::Never => false,
            RetryRule::Allowed if self.endpoints.is_empty() && self.has_not_run() => true,
            RetryRule::Allowed | RetryRule::IfIdempotent | RetryRule::IfResumable => {
                self.is_repeatable() && !self.is_at_endpoint_limit()
            }
        }
    }

    /// Whether the request may still be sent to another endpoint if the current endpoint turns out unresponsive.
    pub(crate) fn may_fail_over(&self) -> bool {
        self.is_repeatable() && self.endpoints.len() + 1 < self.max_endpoints
    }

    /// Counts one more send to the same endpoint, if that is allowed: the request is idempotent and may be sent to no
    /// other endpoint. Returns whether it was allowed.
    pub(crate) fn try_take_resend(&mut self) -> bool {
        let may_resend =
            self.is_repeatable() && self.is_at_endpoint_limit() && self.resends < MAX_RESENDS;
        self.resends += u32::from(may_resend);
        may_resend
    }

    /// Returns the rejection for the client if no endpoint returns a usable response.
    pub(crate) fn rejection(&self) -> Rejection {
        match self.execution.without_response() {
            ClientResponse::Rejected => Rejection::RetryLater {
                retry_after_ms: NO_ENDPOINT_RETRY_MS,
            },
            ClientResponse::GatewayTimeout => Rejection::GatewayTimeout,
            _ => Rejection::BadGateway,
        }
    }

    /// Whether the request may run more than once.
    fn is_repeatable(&self) -> bool {
        self.idempotency == Idempotency::Idempotent || !self.safeguards.only_idempotent_retried()
    }

    /// Whether the request may have run at as many endpoints as its route allows.
    fn is_at_endpoint_limit(&self) -> bool {
        self.endpoints.len() >= self.max_endpoints.max(1)
    }
}

#[cfg(test)]
mod tests;
