//! What the head of a server's answer says of the request.

use crate::hop;
use http::header::{HeaderValue, CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{Method, StatusCode};

/// What is to be made of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The server's answer, to be passed on.
    Answer,
    /// A failure of the server's own: the request has run.
    Failure,
    /// The server has not run the request.
    Shed,
    /// Another instance has the address; it has not run the request.
    Moved,
    /// The status promises that the request has not run, and nothing else says so: it may have.
    EmptyPromise,
    /// It is not the server's answer to this request.
    Spoilt,
}

/// Judges an answer to the request with this id.
pub(crate) fn judge(head: &Parts, method: &Method, id: &HeaderValue) -> Verdict {
    // Guards against a surplus answer to an earlier request of the connection, and against bytes that happen to
    // form an answer: each answer carries back the id of its request.
    if head.headers.get(hop::REQUEST_ID) != Some(id) {
        return Verdict::Spoilt;
    }
    // Clients ask for bodies without an encoding; with one it isn't the server's body.
    if head.headers.get(CONTENT_ENCODING).is_some_and(|coding| coding != "identity") {
        return Verdict::Spoilt;
    }
    if !is_framed(head, method) {
        return Verdict::Spoilt;
    }
    let not_executed = head.headers.contains_key(hop::NOT_EXECUTED);
    match head.status {
        StatusCode::MISDIRECTED_REQUEST => Verdict::Moved,
        status if not_executed => judge_not_executed(status),
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Verdict::EmptyPromise
        }
        status if status.is_success() => judge_success(head),
        status if status.is_server_error() => Verdict::Failure,
        status if status.is_informational() => Verdict::Spoilt,
        _ => Verdict::Answer,
    }
}

/// Whether the end of the answer can be told from its breaking off. Guards against an answer that ends with its
/// connection: cut short it would look whole.
fn is_framed(head: &Parts, method: &Method) -> bool {
    let bodiless =
        matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) || method == Method::HEAD;
    bodiless || head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING)
}

fn judge_not_executed(status: StatusCode) -> Verdict {
    match status {
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => Verdict::Shed,
        status if status.is_server_error() => Verdict::Shed,
        status if status.is_client_error() => Verdict::Answer,
        _ => Verdict::Spoilt,
    }
}

/// Guards against a success that no server vouches for.
fn judge_success(head: &Parts) -> Verdict {
    if head.headers.contains_key(hop::STAMP) {
        Verdict::Answer
    } else {
        Verdict::Spoilt
    }
}
