//! Configurations and patches that the operator sends, and their JSON form.

use crate::client::RequestKind;
use serde_json::{json, Value};

/// A complete configuration.
#[derive(Clone, Debug)]
pub struct ConfigurationPlan {
    /// Version; each accepted configuration has a higher one.
    pub generation: u64,
    /// Routes, matched by host and longest path prefix.
    pub routes: Vec<RoutePlan>,
    /// Services that routes refer to.
    pub services: Vec<ServicePlan>,
    /// Limits for clients' requests and connections.
    pub limits: LimitsPlan,
}

/// A route: which requests go to which services, and how.
#[derive(Clone, Debug)]
pub struct RoutePlan {
    /// Name, unique among routes.
    pub name: String,
    /// Host of the requests that the route matches.
    pub host: String,
    /// Prefix of the paths that the route matches.
    pub path_prefix: String,
    /// Kind of the route's requests.
    pub kind: RequestKind,
    /// Time limit of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Latency target to the first event or the response, in milliseconds.
    pub target_ms: u64,
    /// Priority under load; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the route's requests.
    pub backends: Vec<WeightedBackend>,
    /// Maximum number of retries by the gateway.
    pub retries: u32,
    /// Whether the system stores the route's turns.
    pub persisted: bool,
    /// Time for which a stored turn is retained, in seconds.
    pub retention_s: f64,
    /// Longest gap wanted between two events, in milliseconds; `gap_aim_ms` on the wire.
    pub gap_target_ms: u64,
}

/// A service that takes a weighted share of a route's requests.
#[derive(Clone, Debug)]
pub struct WeightedBackend {
    /// Name of the service.
    pub backend: String,
    /// Relative weight; a service of weight 0 receives no requests.
    pub weight: u64,
}

/// A service, to which routes send requests.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name, by which routes refer to the service.
    pub name: String,
    /// Maximum number of connections to one server, from all gateways together.
    pub max_conns: u32,
    /// Properties of the model servers; `None` for a service of plain servers.
    pub engine: Option<EnginePlan>,
}

/// Properties of a service's model servers.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// Maximum number of requests that one server runs at once.
    pub slots: u32,
    /// Capacity of a server's KV cache, in tokens.
    pub kv_capacity: u64,
    /// Tokens in one event.
    pub chunk_tokens: u64,
    /// Names of the models served.
    pub models: Vec<String>,
}

/// Limits for clients' requests and connections.
#[derive(Clone, Copy, Debug)]
pub struct LimitsPlan {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// Time limit for the arrival of a head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
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
    /// A route with one service and default limits.
    #[must_use]
    pub fn new(
        name: &str,
        host: &str,
        path_prefix: &str,
        kind: RequestKind,
        backend: &str,
    ) -> RoutePlan {
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

    /// The route in the JSON form that the operator sends.
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
        if let RequestKind::Streaming { resumable } = self.kind {
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
    /// The service in the JSON form that the operator sends.
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
    /// The configuration after a patch: the routes of `upsert` are added or replaced by name, those named in `remove` are
    /// removed.
    #[must_use]
    pub fn patched(
        &self,
        generation: u64,
        upsert: &[RoutePlan],
        remove: &[&str],
    ) -> ConfigurationPlan {
        let is_replaced_or_removed = |route: &RoutePlan| {
            remove.contains(&route.name.as_str()) || upsert.iter().any(|new| new.name == route.name)
        };
        let mut routes: Vec<RoutePlan> = self
            .routes
            .iter()
            .filter(|route| !is_replaced_or_removed(route))
            .cloned()
            .collect();
        routes.extend_from_slice(upsert);
        ConfigurationPlan {
            generation,
            routes,
            ..self.clone()
        }
    }

    /// The configuration in the JSON form that the operator sends.
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

/// A patch in the JSON form that the operator sends: adds or replaces the routes of `upsert` and removes those named
/// in `remove`.
pub fn patch(generation: u64, upsert: &[RoutePlan], remove: &[&str]) -> Value {
    json!({
        "generation": generation,
        "upsert": { "routes": upsert.iter().map(RoutePlan::json).collect::<Vec<_>>() },
        "remove": { "routes": remove },
    })
}

fn kind_name(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::ReadOnly => "read_only",
        RequestKind::Mutating => "mutating",
        RequestKind::Streaming { .. } => "streaming",
    }
}
