//! What the proxy counts, for `status` and metrics.

use crate::rejection::Rejection;
use std::cell::Cell;

/// Totals since the start, and what is in use now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Client connections that are open.
    pub connections: usize,
    /// Client connections accepted so far.
    pub accepted: u64,
    /// Requests whose head was read.
    pub requests: u64,
    /// Requests rejected by a 503 of the proxy's own.
    pub rejected: u64,
    /// Requests that ended in a 502 or 504 of the proxy's own.
    pub failed: u64,
    /// Endpoint connections that are open, idle ones included.
    pub endpoint_connections: usize,
    /// Endpoint connections opened so far.
    pub endpoint_connections_opened: u64,
    /// Bytes that the bodies of requests under way take.
    pub body_bytes: usize,
}

/// Requests by how they ended.
#[derive(Debug, Default)]
pub(crate) struct RequestCounters {
    requests: Cell<u64>,
    rejected: Cell<u64>,
    failed: Cell<u64>,
}

impl RequestCounters {
    pub(crate) fn count_request(&self) {
        self.requests.set(self.requests.get() + 1);
    }

    pub(crate) fn count_rejection(&self, rejection: Rejection) {
        match rejection {
            Rejection::RetryLater { .. } => self.rejected.set(self.rejected.get() + 1),
            Rejection::BadGateway | Rejection::GatewayTimeout => {
                self.failed.set(self.failed.get() + 1)
            }
            _ => {}
        }
    }

    pub(crate) fn requests(&self) -> u64 {
        self.requests.get()
    }

    pub(crate) fn rejected(&self) -> u64 {
        self.rejected.get()
    }

    pub(crate) fn failed(&self) -> u64 {
        self.failed.get()
    }
}
