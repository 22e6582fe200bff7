//! Configurations as an operator writes them.

use crate::client::Kind;
use serde_json::{json, Value};

/// A configuration.
#[derive(Clone, Debug)]
pub struct ConfigurationPlan {
    /// Version; each accepted configuration has a higher one.
    pub generation: u64,
    /// Routes, matched by host and longest path prefix.
    pub routes: Vec<RoutePlan>,
    /// Services that routes lead to.
    pub services: Vec<ServicePlan>,
    /// Limits of what clients may send.
    pub limits: LimitsPlan,
}

/// A route.
#[derive(Clone, Debug)]
pub struct RoutePlan {
    /// Name, unique among routes.
    pub name: String,
    /// Host that the route is for.
    pub host: String,
    /// Beginning of the paths that the route is for.
    pub path_prefix: String,
    /// Kind of its requests.
    pub kind: Kind,
    /// Longest that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Latency target to the first event or the response, in milliseconds.
    pub target_ms: u64,
    /// Priority under load; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the route's requests.
    pub backends: Vec<WeightedBackend>,
    /// Most retries by the gateway.
    pub retries: u32,
    /// Whether the system stores the turns.
    pub persisted: bool,
    /// How long a stored turn is retained, in seconds.
    pub retention_s: f64,
    /// Longest gap wanted between two events, in milliseconds; `gap_aim_ms` on the wire.
    pub gap_target_ms: u64,
}

/// A service that takes a weighted share of a route's requests.
#[derive(Clone, Debug)]
pub struct WeightedBackend {
    /// Name of the service.
    pub backend: String,
    /// Relative weight; 0 for none of the requests.
    pub weight: u64,
}

/// A service.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name, by which routes refer to it.
    pub name: String,
    /// Most connections to one server, from all gateways together.
    pub max_conns: u32,
    /// Present for services of model servers.
    pub engine: Option<EnginePlan>,
}

/// The model servers of a service.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// Requests that one server runs at once.
    pub slots: u32,
    /// Tokens that a server's KV cache holds.
    pub kv_capacity: u64,
    /// Tokens in one event.
    pub chunk_tokens: u64,
    /// Names of the models served.
    pub models: Vec<String>,
}

/// Limits of what clients may send.
#[derive(Clone, Copy, Debug)]
pub struct LimitsPlan {
    /// Most bytes of a request's head.
    pub max_header_bytes: u64,
    /// Most bytes of a request's body.
    pub max_body_bytes: u64,
    /// Longest that a head may take to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for LimitsPlan {
    fn default() -> Self {
        LimitsPlan {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl RoutePlan {
    /// A route with one service and usual bounds.
    #[must_use]
    pub fn new(name: &str, host: &str, path_prefix: &str, kind: Kind, backend: &str) -> RoutePlan {
        RoutePlan {
            name: name.to_owned(),
            host: host.to_owned(),
            path_prefix: path_prefix.to_owned(),
            kind,
            timeout_ms: 5_000,
            target_ms: 200,
            priority: 0,
            backends: vec![WeightedBackend {
                backend: backend.to_owned(),
                weight: 1,
            }],
            retries: 1,
            persisted: false,
            retention_s: 60.0,
            gap_target_ms: 300,
        }
    }

    /// The route as the operator sends it.
    #[must_use]
    pub fn json(&self) -> Value {
        let mut route = json!({
            "name": self.name,
            "host": self.host,
            "path_prefix": self.path_prefix,
            "kind": kind_name(self.kind),
            "timeout_ms": self.timeout_ms,
            "target_ms": self.target_ms,
            "priority": self.priority,
            "retries": self.retries,
        });
        match self.backends.as_slice() {
            [only] => route["backend"] = json!(only.backend),
            candidates => {
                let candidates: Vec<Value> = candidates
                    .iter()
                    .map(|candidate| json!({ "backend": candidate.backend, "weight": candidate.weight }))
                    .collect();
                route["backends"] = json!(candidates);
            }
        }
        if let Kind::Streaming { resumable } = self.kind {
            route["persisted"] = json!(self.persisted);
            route["retention_s"] = json!(self.retention_s);
            route["sticky"] = json!(true);
            route["resumable"] = json!(resumable);
            route["gap_aim_ms"] = json!(self.gap_target_ms);
        }
        route
    }
}

impl ServicePlan {
    /// The service as the operator sends it.
    #[must_use]
    pub fn json(&self) -> Value {
        let mut service = json!({
            "name": self.name,
            "health_path": "/healthz",
            "max_conns": self.max_conns,
            "protocol": "h1",
            "tls": false,
        });
        if let Some(engine) = &self.engine {
            let models: Vec<Value> = engine
                .models
                .iter()
                .map(|name| json!({ "name": name }))
                .collect();
            service["engine"] = json!({
                "slots": engine.slots,
                "kv_capacity": engine.kv_capacity,
                "kv_token_bytes": 327_680,
                "link_mbps": 550_000.0,
                "chunk_tokens": engine.chunk_tokens,
                "models": models,
            });
        }
        service
    }
}

impl ConfigurationPlan {
    /// The next version: with these routes added or replaced by name, and those removed.
    #[must_use]
    pub fn patched(
        &self,
        generation: u64,
        upsert: &[RoutePlan],
        remove: &[&str],
    ) -> ConfigurationPlan {
        let replaced = |route: &RoutePlan| {
            remove.contains(&route.name.as_str()) || upsert.iter().any(|new| new.name == route.name)
        };
        let mut routes: Vec<RoutePlan> = self
            .routes
            .iter()
            .filter(|route| !replaced(route))
            .cloned()
            .collect();
        routes.extend_from_slice(upsert);
        ConfigurationPlan {
            generation,
            routes,
            ..self.clone()
        }
    }

    /// The complete configuration as the operator sends it.
    pub fn json(&self) -> Value {
        json!({
            "generation": self.generation,
            "routes": self.routes.iter().map(RoutePlan::json).collect::<Vec<_>>(),
            "services": self.services.iter().map(ServicePlan::json).collect::<Vec<_>>(),
            "limits": {
                "max_header_bytes": self.limits.max_header_bytes,
                "max_body_bytes": self.limits.max_body_bytes,
                "header_timeout_ms": self.limits.header_timeout_ms,
                "idle_timeout_ms": self.limits.idle_timeout_ms,
            },
        })
    }
}

/// A patch that adds or replaces routes and removes others by name.
pub fn patch(generation: u64, upsert: &[RoutePlan], remove: &[&str]) -> Value {
    json!({
        "generation": generation,
        "upsert": { "routes": upsert.iter().map(RoutePlan::json).collect::<Vec<_>>() },
        "remove": { "routes": remove },
    })
}

fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::ReadOnly => "read_only",
        Kind::Mutating => "mutating",
        Kind::Streaming { .. } => "streaming",
    }
}
