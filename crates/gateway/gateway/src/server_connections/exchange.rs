//! One exchange with a server: a request and what comes back.

use dunespur_response_head::ResponseHeadError;
use thiserror::Error;

/// Why an exchange gave no response.
#[derive(Debug, Error)]
pub(super) enum ExchangeError {
    /// The connection failed, or the response could not be parsed.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The response arrived before the request was completely written, so it belongs to another request.
    #[error("the response arrived before the request was completely written")]
    BeforeRequest,
    /// The response has an invalid head.
    #[error(transparent)]
    InvalidHead(#[from] ResponseHeadError),
}

/// A response from a server.
pub(super) struct Exchange<E> {
    pub(super) head: hyper::http::response::Parts,
    pub(super) body: Result<http_body_util::Collected<bytes::Bytes>, E>,
    /// The server closes the connection after this response.
    pub(super) server_closes: bool,
}
