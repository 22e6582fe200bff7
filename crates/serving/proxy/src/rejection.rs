//! The responses that the proxy gives itself, in place of an endpoint's.

use http::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use http::{Response, StatusCode};

/// Why a request gets no endpoint's response.
///
/// A 402, 408 or 503 promises that the request has not run and never will, so only what no endpoint has the head of,
/// or what was rejected there, ends as one ([`crate::classification`]). A 502 or 504 promises nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// It is no request of this protocol.
    Malformed,
    /// It carries no id.
    MissingId,
    /// No route matches it.
    NoRoute,
    /// Its body is beyond the limit.
    BodyTooLarge,
    /// Its body did not arrive in time.
    RequestTimeout,
    /// Only HTTP/1.1 is spoken. Protects against clients to whom the end of the connection is the end of the
    /// response, as a truncated response would look complete to them.
    UnsupportedVersion,
    /// The budget of its program is spent.
    BudgetSpent,
    /// The turn that it continues is not known.
    UnknownTurn,
    /// It has not run; the client may retry.
    RetryLater { retry_after_ms: u64 },
    /// It may have run.
    BadGateway,
    /// It may have run, and its deadline has passed.
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

    /// The body of the response. Clients see it: these texts are part of the wire.
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

    /// Whether part of the client's message was left unread, so that the connection can't go on.
    pub(crate) fn leaves_unread_bytes(self) -> bool {
        matches!(
            self,
            Rejection::Malformed
                | Rejection::BodyTooLarge
                | Rejection::RequestTimeout
                | Rejection::UnsupportedVersion
        )
    }

    /// The head of the response; its body is the reason.
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

/// Milliseconds as seconds with a fraction.
fn fractional_seconds(ms: u64) -> HeaderValue {
    let text = format!("{}.{:03}", ms / 1000, ms % 1000);
    HeaderValue::try_from(text).expect("digits and a dot form a header value")
}
