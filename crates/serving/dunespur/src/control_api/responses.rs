//! Responses of the control interface: JSON bodies with their status.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::net::SocketAddr;

/// When to come back after a 503, in seconds.
const RETRY_SECONDS: &str = "0.3";

/// A response with a complete body.
pub type HttpResponse = Response<Full<Bytes>>;

/// The request was executed.
pub fn accepted() -> HttpResponse {
    json(StatusCode::OK, "{}".to_owned())
}

/// A heartbeat is acknowledged; later ones go to the address, if there is one.
pub fn heartbeat_acknowledged(heartbeat_address: Option<SocketAddr>) -> HttpResponse {
    match heartbeat_address {
        Some(address) => json(
            StatusCode::OK,
            serde_json::json!({ "beat_addr": address.to_string() }).to_string(),
        ),
        None => accepted(),
    }
}

/// Nobody can tell now whether the request was executed.
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

/// An error, with what is wrong.
pub fn error(status: StatusCode, problem: &str) -> HttpResponse {
    json(status, serde_json::json!({ "error": problem }).to_string())
}

/// A JSON body.
pub fn json(status: StatusCode, text: String) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
