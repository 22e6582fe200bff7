//! Responses of the control interface: a status with a JSON body.

use super::heartbeat::MAX_NAME_BYTES;
use bytes::Bytes;
use dunespur_configuration::Findings;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;
use std::net::SocketAddr;

/// Value of `Retry-After` in a 503 response, in seconds.
const RETRY_SECONDS: &str = "0.3";

/// A response with a complete body.
pub type HttpResponse = Response<Full<Bytes>>;

/// 200: the request was executed.
pub fn accepted() -> HttpResponse {
    json_response(StatusCode::OK, "{}".to_owned())
}

/// 200: the heartbeat is acknowledged; the server sends its next heartbeats to `heartbeat_address`, if given.
pub fn heartbeat_acknowledged(heartbeat_address: Option<SocketAddr>) -> HttpResponse {
    match heartbeat_address {
        Some(address) => json_response(
            StatusCode::OK,
            json!({ "beat_addr": address.to_string() }).to_string(),
        ),
        None => accepted(),
    }
}

/// 503: the core did not answer, so the request may or may not have been executed.
pub fn unavailable() -> HttpResponse {
    let mut response = error(
        StatusCode::SERVICE_UNAVAILABLE,
        "the core did not answer in time",
    );
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static(RETRY_SECONDS));
    response
}

/// 400: the names in a server's request are longer than any report may hold.
pub fn names_too_long() -> HttpResponse {
    let problem =
        format!("id, backend, zone and generation have more than {MAX_NAME_BYTES} bytes together");
    error(StatusCode::BAD_REQUEST, &problem)
}

/// An error response with a description of the problem.
pub fn error(status: StatusCode, problem: &str) -> HttpResponse {
    json_response(status, json!({ "error": problem }).to_string())
}

/// A rejection of a configuration request, with everything that is wrong with it.
pub fn findings(status: StatusCode, findings: &Findings) -> HttpResponse {
    let findings: Vec<_> = findings
        .0
        .iter()
        .map(|finding| json!({ "place": finding.location, "problem": finding.problem }))
        .collect();
    let body = json!({ "error": "the configuration is invalid", "findings": findings });
    json_response(status, body.to_string())
}

/// A response with a JSON body.
pub fn json_response(status: StatusCode, text: String) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
