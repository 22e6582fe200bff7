//! The requests of the control interface: paths, headers, bodies.

use hyper::body::Incoming;
use hyper::{Method, Request};
use serde::Deserialize;

/// The header with the version that an order builds on.
const BASE_VERSION: &str = "x-dunespur-base-version";

/// What a request is for, by its method and path.
pub enum Target {
    /// A server reports its state; its id.
    Heartbeat(String),
    /// A server ends; its id.
    Leave(String),
    /// The operator replaces the configuration.
    Replace,
    /// The operator changes the configuration.
    Patch,
    /// The current configuration.
    GetConfiguration,
    /// The operator has a store emptied; its name.
    RetireStart(String),
    /// How far that is; the store's name.
    RetirementState(String),
    /// Nothing that there is.
    Unknown,
}

impl Target {
    /// The target of a method and path.
    pub fn of(method: &Method, path: &str) -> Target {
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let post = method == Method::POST;
        let get = method == Method::GET;
        match segments.as_slice() {
            ["api", "instances", id, "heartbeat"] if post => Target::Heartbeat((*id).to_owned()),
            ["api", "instances", id, "leave"] if post => Target::Leave((*id).to_owned()),
            ["api", "config", "replace"] if post => Target::Replace,
            ["api", "config", "patch"] if post => Target::Patch,
            ["api", "config", "get"] if get => Target::GetConfiguration,
            ["api", "retire", node, "start"] if post => Target::RetireStart((*node).to_owned()),
            ["api", "retire", node, "get"] if get => Target::RetirementState((*node).to_owned()),
            _ => Target::Unknown,
        }
    }
}

/// The body of an order to empty a machine.
#[derive(Deserialize)]
pub struct RetireBody {
    /// Has to be there, and is not used: a store is emptied as fast as it can be.
    #[serde(rename = "deadline_s")]
    _deadline_s: f64,
}

/// The version that an order builds on; `None` if it is missing or no number.
pub fn base_version(request: &Request<Incoming>) -> Option<u64> {
    let value = request.headers().get(BASE_VERSION)?;
    value.to_str().ok()?.trim().parse().ok()
}
