//! The responses that the proxy generates in place of an endpoint's response.

use http::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use http::{Response, StatusCode};

/// Why a request gets a response from the proxy instead of an endpoint.
///
/// A 402, 408 or 503 guarantees that the request has not run and never will: every endpoint that received its whole
/// head has rejected it ([`crate::classification`]). A 502 or 504 guarantees nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// The request does not conform to the protocol.
    Malformed,
    /// The request has no request id.
    MissingId,
    /// No route matches the request.
    NoRoute,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    RequestTimeout,
    /// The request is not HTTP/1.1. Older clients may take the end of the connection for the end of the response, so a
    /// truncated response would look complete to them.
    UnsupportedVersion,
    /// The token budget of the program is spent.
    BudgetSpent,
    /// The turn that the request continues is unknown.
    UnknownTurn,
    /// The request has not run; the client may retry.
    RetryLater { retry_after_ms: u64 },
    /// The request may have run, and no complete response arrived.
    BadGateway,
    /// The request may have run, and its deadline has passed.
    GatewayTimeout,
}

impl Rejection {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Rejection::Malformed | Rejection::MissingId => StatusCode::BAD_REQUEST,
            Rejection::NoRoute | Rejection::UnknownTurn => StatusCode::NOT_FOUND,
            Rejection::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
            Rejection::UnsupportedVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Rejection::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Rejection::RetryLater { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Rejection::BadGateway => StatusCode::BAD_GATEWAY,
            Rejection::GatewayTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the body of the response. Clients see these texts; they are part of the wire format.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Rejection::Malformed => "malformed request\n",
            Rejection::MissingId => "no X-Dunespur-Request-Id\n",
            Rejection::NoRoute => "no route\n",
            Rejection::BodyTooLarge => "body too large\n",
            Rejection::RequestTimeout => "request too slow\n",
            Rejection::UnsupportedVersion => "HTTP/1.1 only\n",
            Rejection::BudgetSpent => "budget spent\n",
            Rejection::UnknownTurn => "no such turn\n",
            Rejection::RetryLater { .. } => "not now\n",
            Rejection::BadGateway => "no whole answer came\n",
            Rejection::GatewayTimeout => "no answer in time\n",
        }
    }

    /// Whether part of the client's request may be unread, so that the connection has to close.
    pub(crate) fn leaves_unread_bytes(self) -> bool {
        matches!(
            self,
            Rejection::Malformed
                | Rejection::BodyTooLarge
                | Rejection::RequestTimeout
                | Rejection::UnsupportedVersion
        )
    }

    /// Returns the head of the response; the body is the reason.
    pub(crate) fn head(self) -> Response<()> {
        let mut head = Response::new(());
        *head.status_mut() = self.status();
        let headers = head.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Rejection::RetryLater { retry_after_ms } = self {
            headers.insert(RETRY_AFTER, fractional_seconds(retry_after_ms));
        }
        head
    }
}

/// Formats milliseconds as fractional seconds for `Retry-After`.
fn fractional_seconds(ms: u64) -> HeaderValue {
    let text = format!("{}.{:03}", ms / 1000, ms % 1000);
    HeaderValue::try_from(text).expect("digits and a dot form a header value")
}
