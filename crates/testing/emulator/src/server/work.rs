//! What kinds of servers do with requests that were admitted.

use super::reply::Reply;
use crate::identity::RequestId;
use crate::wire::RequestHead;
use bytes::Bytes;
use std::future::Future;

/// A request that has passed the checks and may run.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Request line and headers.
    pub head: RequestHead,
    /// Complete body.
    pub body: Bytes,
    /// Id of the attempt.
    pub request: RequestId,
    /// Time that is left to the request, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// What a kind of server does with a request.
pub trait Work: Send + Sync + 'static {
    /// Runs the request and responds, or rejects it. The future is dropped when the caller disconnects.
    fn work(&self, arrived: ReceivedRequest, reply: &mut Reply) -> impl Future<Output = ()> + Send;

    /// The body of `GET /api/report`, where the server has one.
    fn report(&self) -> Option<String> {
        None
    }
}
