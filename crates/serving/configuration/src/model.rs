//! The typed content of a configuration.

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

/// How the requests of a route are handled. Which requests match it is in the [`RouteTable`](crate::RouteTable).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name by which patches refer to it.
    pub name: String,
    /// The kind of its requests.
    pub kind: RequestKind,
    /// How long a request may take, in milliseconds; never 0.
    pub timeout_ms: u64,
    /// The latency target of responses, in milliseconds.
    pub target_ms: u64,
    /// The latency target between two events of a streamed response, in milliseconds. The setting is `gap_aim_ms`.
    pub gap_target_ms: Option<u64>,
    /// Priority, 0 the highest.
    pub priority: u8,
    /// The maximum number of servers to which one request of a client may be sent.
    pub retries: u32,
    /// Whether its requests are turns whose inputs and events are stored.
    pub persisted: bool,
    /// How long a turn is stored, in milliseconds.
    pub retention_ms: u64,
    /// Whether its requests name the segments of their prompts, for prefix affinity.
    pub sticky: bool,
    /// Whether a stream may be resumed at another server.
    pub resumable: bool,
    /// The services that may run its requests, by weight. The weights add up to more than 0.
    pub backends: Vec<WeightedBackend>,
}

/// A service with its weight in a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedBackend {
    /// The name of the service.
    pub backend: String,
    /// Its weight relative to the others of the same route.
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

    /// The service for a request, by the weights. `draw` is uniformly distributed over all numbers; the same draw gives
    /// the same service.
    ///
    /// # Panics
    ///
    /// Never: a route has a weight above 0.
    #[must_use]
    pub fn backend(&self, draw: u64) -> &str {
        let mut left = self.point(draw);
        for backend in &self.backends {
            if left < u128::from(backend.weight) {
                return &backend.backend;
            }
            left -= u128::from(backend.weight);
        }
        unreachable!(
            "a point lies below the sum of the weights, and a validated route has a weight above 0"
        )
    }

    /// Whether a request may be sent to `service`.
    #[must_use]
    pub fn allows(&self, service: &str) -> bool {
        self.backends
            .iter()
            .any(|backend| backend.backend == service && backend.weight > 0)
    }

    /// `draw` scaled from all of u64 to the sum of the weights.
    fn point(&self, draw: u64) -> u128 {
        let total: u128 = self
            .backends
            .iter()
            .map(|backend| u128::from(backend.weight))
            .sum();
        (u128::from(draw) * total) >> u64::BITS
    }
}

/// A service; its servers register under its name.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name by which routes and servers refer to it.
    pub name: String,
    /// The path of health checks.
    pub health_path: String,
    /// How many connections one server accepts from all clients together.
    pub max_conns: u32,
    /// The properties of its servers, if they are model servers.
    pub engine: Option<Engine>,
}

/// The model servers of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// How many requests one server runs at once; 0 if unknown.
    pub slots: u32,
    /// The capacity of one server's KV cache in tokens; 0 if unknown.
    pub kv_capacity: u64,
    /// The size of a cached token in bytes; 0 if unknown.
    pub kv_token_bytes: u64,
    /// The bandwidth for cached tokens between servers in megabits a second; 0 if unknown.
    pub link_mbps: f64,
    /// The number of tokens in one event of a stream; never 0.
    pub chunk_tokens: u32,
    /// The names of the models that its servers serve.
    pub models: Vec<String>,
}

/// Limits of clients: sizes and times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of the head of a request in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of the body of a request in bytes.
    pub max_body_bytes: usize,
    /// How long the head of a request may take to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a connection may be idle between requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Limits {
    /// The limits of a configuration without limits.
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
pub(crate) struct PlacedRoute {
    /// In lower case.
    pub(crate) host: String,
    pub(crate) path_prefix: String,
    pub(crate) route: Route,
}

/// The typed content of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Model {
    pub(crate) generation: u64,
    pub(crate) routes: Vec<PlacedRoute>,
    pub(crate) services: Vec<Service>,
    pub(crate) limits: Limits,
}
