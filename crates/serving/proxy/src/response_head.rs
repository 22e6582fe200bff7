//! Interprets the head of an endpoint's response.

use crate::classification::{Framing, ResponseKind};
use crate::http_headers;
use crate::safeguards::Safeguards;
use dunespur_response_head::{validate, BodyLength};
use http::header::{HeaderValue, CONTENT_ENCODING, CONTENT_LENGTH};
use http::response::Parts;
use http::{Method, StatusCode};

/// Returns the kind and the framing of a response to the request with this method and id. Leaves its length in the head as
/// one number.
pub(crate) fn interpret_head(
    head: &mut Parts,
    method: &Method,
    id: &HeaderValue,
    safeguards: Safeguards,
) -> (ResponseKind, Framing) {
    match validate(head) {
        Ok(length) => {
            normalize_content_length(head, length);
            let kind = response_kind(head, id, safeguards);
            (kind, response_framing(head.status, method, length))
        }
        // Protects against a body that is not the endpoint's: it would be read by a guess, and might look complete.
        Err(error) => {
            log::debug!("a response to request {id:?} is not used: {error}");
            (ResponseKind::Unrelated, Framing::UntilClose)
        }
    }
}

/// Replaces a `Content-Length` that is a list or repeated, which must not be forwarded (RFC 9110 section 8.6).
fn normalize_content_length(head: &mut Parts, length: BodyLength) {
    if let BodyLength::Bytes(bytes) = length {
        let value = http_headers::number_value(bytes);
        head.headers.insert(CONTENT_LENGTH, value);
    }
}

/// Returns the kind of a response to the request with this id.
fn response_kind(head: &Parts, id: &HeaderValue, safeguards: Safeguards) -> ResponseKind {
    // Each response repeats the id of its request. Protects against a stale response to an earlier request of the
    // connection, and against stray bytes that happen to form a response.
    if safeguards.response_ids_compared() && head.headers.get(http_headers::REQUEST_ID) != Some(id)
    {
        return ResponseKind::Unrelated;
    }
    // Clients do not ask for encoded bodies, so an encoded body does not come from the endpoint.
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

/// Returns what marks the end of a response to a request with this method (RFC 9112 section 6.3).
fn response_framing(status: StatusCode, method: &Method, length: BodyLength) -> Framing {
    let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        || method == Method::HEAD;
    match length {
        BodyLength::UntilClose if !has_no_body => Framing::UntilClose,
        BodyLength::UntilClose | BodyLength::Bytes(_) | BodyLength::Chunked => Framing::Delimited,
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

/// A success without the stamp of an endpoint is not a response of the endpoint.
fn kind_of_success(head: &Parts) -> ResponseKind {
    if head.headers.contains_key(http_headers::STAMP) {
        ResponseKind::Final
    } else {
        ResponseKind::Unrelated
    }
}
