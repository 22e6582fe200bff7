//! Types of a parsed configuration.

/// The kind of a route's requests, which decides whether they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent: may run more than once.
    ReadOnly,
    /// Not idempotent: may run at most once per request of the client.
    Mutating,
    /// The response is a stream of events.
    Streaming,
}

/// The handling of a route's requests. The [`RouteTable`](crate::RouteTable) holds the hosts and prefixes that match.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name by which a configuration patch refers to the route.
    pub name: String,
    /// The kind of the route's requests.
    pub kind: RequestKind,
    /// Maximum duration of a request in milliseconds; never 0.
    pub timeout_ms: u64,
    /// The latency target of responses, in milliseconds; by default the timeout. Without `gap_target_ms` it also applies
    /// between two events of a streamed response.
    pub target_ms: u64,
    /// The latency target between two events of a streamed response, in milliseconds. Configured as `gap_aim_ms`.
    pub gap_target_ms: Option<u64>,
    /// The priority of the route's requests; 0 is the highest.
    pub priority: u8,
    /// Maximum number of servers to which one request of a client may be sent, the first one included; 1 means no
    /// failover.
    pub retries: u32,
    /// Whether the inputs and events of the route's requests are stored. A stored request is called a turn.
    pub persisted: bool,
    /// How long turns are stored, in milliseconds.
    pub retention_ms: u64,
    /// Whether clients name the segments of their prompts in requests, so that a server with the prompt's prefix in its
    /// cache can be preferred. Informational: the data plane does not read it.
    pub sticky: bool,
    /// Whether a stream may be resumed on another server.
    pub resumable: bool,
    /// The services that may run the requests, with their weights. The sum of the weights is above 0.
    pub backends: Vec<WeightedBackend>,
}

/// A service and its weight in a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedBackend {
    /// The name of the service.
    pub backend: String,
    /// The weight relative to the other services of the route.
    pub weight: u64,
}

impl Route {
    /// Whether a request may run more than once.
    #[must_use]
    pub fn idempotent(&self) -> bool {
        match self.kind {
            RequestKind::ReadOnly => true,
            RequestKind::Mutating => false,
            RequestKind::Streaming => self.resumable,
        }
    }

    /// Chooses the service for a request by weight. `draw` must be uniformly distributed over all values of `u64`; the
    /// same draw always chooses the same service.
    ///
    /// # Panics
    ///
    /// If the weights add up to 0, which a validated route excludes.
    #[must_use]
    pub fn backend(&self, draw: u64) -> &str {
        let mut remaining = self.scaled_draw(draw);
        for backend in &self.backends {
            if remaining < u128::from(backend.weight) {
                return &backend.backend;
            }
            remaining -= u128::from(backend.weight);
        }
        unreachable!(
            "the scaled draw is below the sum of the weights, which is above 0 in a validated route"
        )
    }

    /// Whether a request may be sent to `service`.
    #[must_use]
    pub fn allows(&self, service: &str) -> bool {
        self.backends
            .iter()
            .any(|backend| backend.backend == service && backend.weight > 0)
    }

    /// Scales `draw` from the range of `u64` to the sum of the weights.
    fn scaled_draw(&self, draw: u64) -> u128 {
        let total: u128 = self
            .backends
            .iter()
            .map(|backend| u128::from(backend.weight))
            .sum();
        (u128::from(draw) * total) >> u64::BITS
    }
}

/// A service, under whose name its servers register.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name that routes and servers use for the service.
    pub name: String,
    /// The path of health checks.
    pub health_path: String,
    /// Maximum number of connections that one server accepts from all clients together.
    pub max_conns: u32,
    /// The properties of the service's servers, if they are model servers.
    pub engine: Option<Engine>,
}

/// The capacity and the models of a service's servers, if they run language models.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Maximum number of requests that one server runs at once; 0 if unknown.
    pub slots: u32,
    /// The capacity of one server's KV cache in tokens; 0 if unknown.
    pub kv_capacity: u64,
    /// The size of a cached token in bytes; 0 if unknown.
    pub kv_token_bytes: u64,
    /// The bandwidth between servers for the transfer of cached tokens, in megabits per second; 0 if unknown.
    pub link_mbps: f64,
    /// The number of tokens in one event of a stream; never 0.
    pub chunk_tokens: u32,
    /// The names of the models that the servers serve.
    pub models: Vec<String>,
}

/// Limits on clients' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time in which a request's head must arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum idle time of a connection between requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Limits {
    /// The limits of a configuration that specifies none.
    pub const DEFAULT: Limits = Limits {
        max_header_bytes: 16 * 1024,
        max_body_bytes: 4 * 1024 * 1024,
        header_timeout_ms: 10_000,
        idle_timeout_ms: 60_000,
    };
}

impl Default for Limits {
    fn default() -> Limits {
        Limits::DEFAULT
    }
}

/// A route with the host and path prefix that it matches.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RouteWithMatch {
    /// The host in lower case.
    pub(crate) host: String,
    /// The path prefix, which begins and ends with a slash in a validated configuration.
    pub(crate) path_prefix: String,
    pub(crate) route: Route,
}

/// The content of a parsed configuration, without its text.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ConfigurationContent {
    pub(crate) generation: u64,
    pub(crate) routes: Vec<RouteWithMatch>,
    pub(crate) services: Vec<Service>,
    pub(crate) limits: Limits,
}
