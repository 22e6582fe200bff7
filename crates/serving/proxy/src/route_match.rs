//! Finds the route of a request.
//!
//! Runs before the body is read: the route limits the time for the body, and a request without a route needs no memory
//! for a body. Each request keeps the route that it was matched with and the route's services, even if a new configuration
//! arrives, but not the whole route table: with many changes of a large configuration, the requests in flight would keep
//! as many tables in memory.

use crate::node::Node;
use crate::parsed_request::{header_text, ParsedRequest};
use crate::rejection::Rejection;
use crate::shared::Shared;
use dunespur_configuration::{Route, RouteTable, Service};
use http::header::HOST;
use http::request::Parts;
use http::Version;
use smallvec::SmallVec;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// The longest that a request waits for the first configuration. Protects clients that retry only a few times from
/// failing just after all processes have started.
const MAX_TABLE_WAIT_MS: u64 = 500;
/// A request waits for the first configuration for at most `1 / TABLE_WAIT_DIVISOR` of its time; a retry at another
/// gateway needs the rest.
const TABLE_WAIT_DIVISOR: u64 = 4;
/// `Retry-After` of a request without a configuration, or without a route while the configuration is stale.
const NO_TABLE_RETRY_MS: u64 = 200;

/// A well-formed request with its route.
pub(crate) struct MatchedRequest {
    pub(crate) services: RouteServices,
    /// Maximum size of the request's body.
    pub(crate) max_body_bytes: usize,
    pub(crate) route: Rc<Route>,
    pub(crate) parsed: ParsedRequest,
}

/// The services of one route, in the configuration that a request was matched with.
pub(crate) struct RouteServices(SmallVec<[Rc<Service>; 1]>);

impl RouteServices {
    fn new(table: &RouteTable, route: &Route) -> RouteServices {
        let backends = route.backends.iter();
        let services = backends.filter_map(|backend| table.service(&backend.backend).cloned());
        RouteServices(services.collect())
    }

    /// The service with this name, if it is one of the route's.
    pub(crate) fn get(&self, name: &str) -> Option<&Rc<Service>> {
        self.0.iter().find(|service| service.name == name)
    }
}

impl MatchedRequest {
    /// Checks the version and the headers of a request and finds its route.
    pub(crate) async fn find<N: Node>(
        shared: &Shared<N>,
        head: &Parts,
    ) -> Result<MatchedRequest, Rejection> {
        if head.version != Version::HTTP_11 {
            return Err(Rejection::UnsupportedVersion);
        }
        let table = match shared.node.route_table() {
            Some(table) => table,
            // Boxed, because the wait is rare and its state would enlarge the future of every request.
            None => Box::pin(wait_for_first_table(shared, head)).await?,
        };
        let route = match find_route(&table, head) {
            // A newer configuration may have the route.
            Err(Rejection::NoRoute) if shared.node.is_configuration_stale() => {
                return Err(Rejection::RetryLater {
                    retry_after_ms: NO_TABLE_RETRY_MS,
                });
            }
            found => found?,
        };
        let parsed = ParsedRequest::parse(&head.headers)?;
        Ok(MatchedRequest {
            services: RouteServices::new(&table, &route),
            max_body_bytes: table.limits().max_body_bytes,
            route,
            parsed,
        })
    }
}

/// Waits for the routes of the first configuration while the process starts.
async fn wait_for_first_table<N: Node>(
    shared: &Shared<N>,
    head: &Parts,
) -> Result<Rc<RouteTable>, Rejection> {
    let retry_later = Rejection::RetryLater {
        retry_after_ms: NO_TABLE_RETRY_MS,
    };
    let timeout_ms = ParsedRequest::parse(&head.headers)?
        .deadline_ms
        .unwrap_or(u64::MAX);
    let wait_ms = (timeout_ms / TABLE_WAIT_DIVISOR).min(MAX_TABLE_WAIT_MS);
    if wait_ms == 0 {
        return Err(retry_later);
    }
    let arrival = async {
        loop {
            shared.node.next_change().await;
            if let Some(table) = shared.node.route_table() {
                return table;
            }
        }
    };
    timeout(Duration::from_millis(wait_ms), arrival)
        .await
        .map_err(|_| retry_later)
}

/// Finds the route for the host and path of a request. The host is the authority of the request target, or else the
/// `Host` header (RFC 9112 section 3.2.2).
fn find_route(table: &RouteTable, head: &Parts) -> Result<Rc<Route>, Rejection> {
    let host_header = || header_text(head.headers.get(HOST));
    let authority = head.uri.authority().map(|authority| authority.as_str());
    let host = authority.or_else(host_header).ok_or(Rejection::Malformed)?;
    table
        .find(host, head.uri.path())
        .cloned()
        .ok_or(Rejection::NoRoute)
}
