//! What the head of an endpoint's response says about the request.

use crate::classification::{Framing, ResponseKind};
use crate::http_headers;
use crate::safeguards::Safeguards;
use http::header::{HeaderValue, CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{Method, StatusCode};

/// The kind of a response to the request with this id.
pub(crate) fn response_kind(
    head: &Parts,
    id: &HeaderValue,
    safeguards: Safeguards,
) -> ResponseKind {
    // Protects against a stale response to an earlier request of the connection, and against bytes that happen to
    // form a response: each response repeats the id of its request.
    if safeguards.response_ids_compared() && head.headers.get(http_headers::REQUEST_ID) != Some(id)
    {
        return ResponseKind::Unrelated;
    }
    // Clients ask for bodies without an encoding; with one it isn't the endpoint's body.
    if head
        .headers
        .get(CONTENT_ENCODING)
        .is_some_and(|coding| coding != "identity")
    {
        return ResponseKind::Unrelated;
    }
    let not_executed = head.headers.contains_key(http_headers::NOT_EXECUTED);
    match head.status {
        StatusCode::MISDIRECTED_REQUEST => ResponseKind::OtherInstance,
        status if not_executed => kind_of_not_executed(status),
        StatusCode::REQUEST_TIMEOUT
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE => ResponseKind::UnconfirmedRejection,
        status if status.is_success() => kind_of_success(head),
        status if status.is_server_error() => ResponseKind::Failure,
        status if status.is_informational() => ResponseKind::Unrelated,
        _ => ResponseKind::Final,
    }
}

/// What marks the end of the response to a request of this method (RFC 9112 section 6.3).
pub(crate) fn response_framing(head: &Parts, method: &Method) -> Framing {
    let has_no_body = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    ) || method == Method::HEAD;
    let is_delimited =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    if has_no_body || is_delimited {
        Framing::Delimited
    } else {
        Framing::UntilClose
    }
}

fn kind_of_not_executed(status: StatusCode) -> ResponseKind {
    match status {
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => ResponseKind::NotExecuted,
        status if status.is_server_error() => ResponseKind::NotExecuted,
        status if status.is_client_error() => ResponseKind::Final,
        _ => ResponseKind::Unrelated,
    }
}

/// Protects against a success that no endpoint vouches for.
fn kind_of_success(head: &Parts) -> ResponseKind {
    if head.headers.contains_key(http_headers::STAMP) {
        ResponseKind::Final
    } else {
        ResponseKind::Unrelated
    }
}
