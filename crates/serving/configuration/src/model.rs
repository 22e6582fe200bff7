//! The typed content of a configuration.

/// What the requests of a route are, and so what may be done with them again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    ReadOnly,
    /// May run at most once per try of the client.
    Mutating,
    /// Answered by a series of events.
    Streaming,
}

/// A route: which requests it takes is in the [`crate::Table`], what becomes of them is here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name by which the operator changes it.
    pub name: String,
    /// What its requests are.
    pub kind: Kind,
    /// The longest that the operator wants a request held; never 0.
    pub timeout_ms: u64,
    /// The time within which an answer earns its full worth.
    pub target_ms: u64,
    /// The longest pause between events at which a streamed answer is still in time.
    pub gap_aim_ms: Option<u64>,
    /// Rank, 0 the highest.
    pub priority: u8,
    /// The most servers to which one try of a client may be sent.
    pub retries: u32,
    /// Whether its requests are turns whose inputs and events are kept.
    pub persisted: bool,
    /// How long a turn is kept.
    pub retention_ms: u64,
    /// Whether its requests name the parts of their prompts.
    pub sticky: bool,
    /// Whether a stream may be taken up at another server.
    pub resumable: bool,
    /// The services that may run its requests, by weight. The weights add up to more than 0.
    pub backends: Vec<WeightedBackend>,
}

/// A service with its share of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedBackend {
    /// The name of the service.
    pub backend: String,
    /// Its share against the other weights of the same route.
    pub weight: u64,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn idempotent(&self) -> bool {
        match self.kind {
            Kind::ReadOnly => true,
            Kind::Mutating => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// The service for a request, by the weights. `draw` is drawn evenly from all numbers; the same
    /// draw gives the same service.
    pub fn backend(&self, draw: u64) -> &str {
        let mut left = self.point(draw);
        for backend in &self.backends {
            if left < u128::from(backend.weight) {
                return &backend.backend;
            }
            left -= u128::from(backend.weight);
        }
        unreachable!(
            "a point lies below the sum of the weights, and a checked route has a weight above 0"
        )
    }

    /// Whether a request may be sent to `service`.
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

/// A service: its servers register under its name.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name that routes and servers give.
    pub name: String,
    /// The path on which a server answers whether it is healthy.
    pub health_path: String,
    /// How many connections one server accepts from all callers together.
    pub max_conns: u32,
    /// What its servers are, where they are model servers.
    pub engine: Option<Engine>,
}

/// The model servers of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// How many requests one server runs at once; 0 where it isn't given.
    pub slots: u32,
    /// How many tokens one server's memory holds; 0 where it isn't given.
    pub kv_capacity: u64,
    /// How many bytes a kept token takes; 0 where it isn't given.
    pub kv_token_bytes: u64,
    /// How fast kept tokens move between servers; 0 where it isn't given.
    pub link_mbps: f64,
    /// How many tokens one event of a stream holds; never 0.
    pub chunk_tokens: u32,
    /// The names of the models that its servers hold.
    pub models: Vec<String>,
}

/// What a client may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most bytes in the head of a request.
    pub max_header_bytes: usize,
    /// The most bytes in the body of a request.
    pub max_body_bytes: usize,
    /// How long the head of a request may take to arrive.
    pub header_timeout_ms: u64,
    /// How long a connection may rest between requests.
    pub idle_timeout_ms: u64,
}

impl Limits {
    /// What holds where the operator gives no limits.
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

/// A route with the requests that it takes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlacedRoute {
    /// In lower case.
    pub(crate) host: String,
    pub(crate) path_prefix: String,
    pub(crate) route: Route,
}

/// All that is read from a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Model {
    pub(crate) generation: u64,
    pub(crate) routes: Vec<PlacedRoute>,
    pub(crate) services: Vec<Service>,
    pub(crate) limits: Limits,
}
