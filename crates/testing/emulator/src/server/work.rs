//! The interface through which a kind of server runs admitted requests.

use super::reply::Reply;
use crate::identity::RequestId;
use crate::wire::RequestHead;
use bytes::Bytes;
use std::future::Future;

/// A request that has passed the server's checks and may run.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Request line and headers.
    pub head: RequestHead,
    /// Complete body.
    pub body: Bytes,
    /// Id of the attempt.
    pub request: RequestId,
    /// Remaining time of the request on arrival, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// How a kind of server runs its requests.
pub trait Work: Send + Sync + 'static {
    /// Runs the request and responds, or rejects it. The future is dropped when the caller disconnects.
    fn work(&self, received: ReceivedRequest, reply: &mut Reply)
        -> impl Future<Output = ()> + Send;

    /// The body of the response to `GET /api/report`; `None` where the server has no report.
    fn report(&self) -> Option<String> {
        None
    }
}
