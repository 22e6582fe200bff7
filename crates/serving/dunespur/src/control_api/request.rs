//! Requests of the control interface: endpoints, headers and bodies.

use hyper::body::Incoming;
use hyper::{Method, Request};
use serde::Deserialize;

/// Header with the configuration version that a change is based on.
const BASE_VERSION: &str = "x-dunespur-base-version";

/// The endpoint of a request, by its method and path.
pub enum Endpoint {
    /// A server reports its state; holds the server's id.
    Heartbeat(String),
    /// A server shuts down; holds the server's id.
    Leave(String),
    /// The operator replaces the configuration.
    Replace,
    /// The operator patches the configuration.
    Patch,
    /// Reads the current configuration.
    GetConfiguration,
    /// The operator starts the retirement of a store; holds the store's name.
    RetireStart(String),
    /// Reads the state of a retirement; holds the store's name.
    RetirementState(String),
    /// No endpoint has this method and path.
    Unknown,
}

impl Endpoint {
    /// The endpoint for a method and path.
    pub fn of(method: &Method, path: &str) -> Endpoint {
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let is_post = method == Method::POST;
        let is_get = method == Method::GET;
        match segments.as_slice() {
            ["api", "instances", id, "heartbeat"] if is_post => {
                Endpoint::Heartbeat((*id).to_owned())
            }
            ["api", "instances", id, "leave"] if is_post => Endpoint::Leave((*id).to_owned()),
            ["api", "config", "replace"] if is_post => Endpoint::Replace,
            ["api", "config", "patch"] if is_post => Endpoint::Patch,
            ["api", "config", "get"] if is_get => Endpoint::GetConfiguration,
            ["api", "retire", node, "start"] if is_post => {
                Endpoint::RetireStart((*node).to_owned())
            }
            ["api", "retire", node, "get"] if is_get => {
                Endpoint::RetirementState((*node).to_owned())
            }
            _ => Endpoint::Unknown,
        }
    }
}

/// The body of a request to retire a store.
#[derive(Deserialize)]
pub struct RetireBody {
    /// Required, but unused: a store is emptied as fast as possible.
    #[serde(rename = "deadline_s")]
    _deadline_s: f64,
}

/// The configuration version that a change is based on; `None` if the header is missing or not a number.
pub fn base_version(request: &Request<Incoming>) -> Option<u64> {
    let value = request.headers().get(BASE_VERSION)?;
    value.to_str().ok()?.trim().parse().ok()
}
