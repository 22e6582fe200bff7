//! The counters of the proxy, for `status` and metrics.

use crate::rejection::Rejection;
use std::cell::Cell;

/// Totals since the start, and the resources in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Open client connections.
    pub connections: usize,
    /// Client connections accepted since the start.
    pub accepted: u64,
    /// Requests whose head was read.
    pub requests: u64,
    /// Requests that the proxy rejected with a 503.
    pub rejected: u64,
    /// Requests that the proxy ended with a 502 or 504.
    pub failed: u64,
    /// Open endpoint connections, idle ones included.
    pub endpoint_connections: usize,
    /// Endpoint connections opened since the start, failed ones included.
    pub endpoint_connections_opened: u64,
    /// Bytes reserved for the bodies of active requests.
    pub body_bytes: usize,
}

/// Counts requests, rejections and failures.
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
