//! What the head of a server's answer says of the request.

use crate::disposition::{AnswerKind, Framing};
use crate::guards::Guards;
use crate::http_headers;
use http::header::{HeaderValue, CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{Method, StatusCode};

/// The kind of an answer to the request with this id.
pub(crate) fn kind_of(head: &Parts, id: &HeaderValue, guards: Guards) -> AnswerKind {
    // Guards against a surplus answer to an earlier request of the connection, and against bytes that happen to
    // form an answer: each answer carries back the id of its request.
    if guards.answer_ids_compared && head.headers.get(http_headers::REQUEST_ID) != Some(id) {
        return AnswerKind::NotOurs;
    }
    // Clients ask for bodies without an encoding; with one it isn't the server's body.
    if head
        .headers
        .get(CONTENT_ENCODING)
        .is_some_and(|coding| coding != "identity")
    {
        return AnswerKind::NotOurs;
    }
    let not_executed = head.headers.contains_key(http_headers::NOT_EXECUTED);
    match head.status {
        StatusCode::MISDIRECTED_REQUEST => AnswerKind::OtherInstance,
        status if not_executed => kind_of_not_executed(status),
        StatusCode::REQUEST_TIMEOUT
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE => AnswerKind::UnbackedPromise,
        status if status.is_success() => kind_of_success(head),
        status if status.is_server_error() => AnswerKind::Failure,
        status if status.is_informational() => AnswerKind::NotOurs,
        _ => AnswerKind::Final,
    }
}

/// How the end of the answer to a request of this method is told.
pub(crate) fn framing_of(head: &Parts, method: &Method) -> Framing {
    let bodiless = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    ) || method == Method::HEAD;
    let delimited =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    if bodiless || delimited {
        Framing::Delimited
    } else {
        Framing::UntilClose
    }
}

fn kind_of_not_executed(status: StatusCode) -> AnswerKind {
    match status {
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => AnswerKind::NotExecuted,
        status if status.is_server_error() => AnswerKind::NotExecuted,
        status if status.is_client_error() => AnswerKind::Final,
        _ => AnswerKind::NotOurs,
    }
}

/// Guards against a success that no server vouches for.
fn kind_of_success(head: &Parts) -> AnswerKind {
    if head.headers.contains_key(http_headers::STAMP) {
        AnswerKind::Final
    } else {
        AnswerKind::NotOurs
    }
}
