//! Finds the route of a request, and the configuration that it is handled by.
//!
//! It comes before the body is read: the route says how long the client may take for it, and a request without a route
//! needs no memory for one. Each request keeps the configuration that it was matched by, whatever comes into force
//! meanwhile.

use crate::node::Node;
use crate::parsed_request::{text, ParsedRequest};
use crate::rejection::Rejection;
use crate::shared::Shared;
use dunespur_configuration::{Route, RouteTable};
use http::header::HOST;
use http::request::Parts;
use http::Version;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// A request that comes before the first configuration waits for it so long at most. Protects against losing, just
/// after a start of all processes, clients that retry only a few times.
const MAX_TABLE_WAIT_MS: u64 = 500;
/// It waits for no more than this fraction of its time: a retry at another gateway needs the rest.
const TABLE_WAIT_FRACTION: u64 = 4;
/// When a client may retry that has waited in vain for the first configuration.
const NO_TABLE_RETRY_MS: u64 = 200;

/// A well-formed request with its route.
pub(crate) struct MatchedRequest {
    pub(crate) table: Rc<RouteTable>,
    pub(crate) route: Rc<Route>,
    pub(crate) parsed: ParsedRequest,
}

impl MatchedRequest {
    pub(crate) async fn of<N: Node>(
        shared: &Shared<N>,
        head: &Parts,
    ) -> Result<MatchedRequest, Rejection> {
        if head.version != Version::HTTP_11 {
            return Err(Rejection::UnsupportedVersion);
        }
        let table = match shared.node.route_table() {
            Some(table) => table,
            // Boxed, as it is rare and would take memory in every request.
            None => Box::pin(first_table(shared, head)).await?,
        };
        let route = match find_route(&table, head) {
            // The route may have been added since.
            Err(Rejection::NoRoute) if shared.node.is_configuration_stale() => {
                return Err(Rejection::RetryLater {
                    retry_after_ms: NO_TABLE_RETRY_MS,
                });
            }
            found => found?,
        };
        let parsed = ParsedRequest::parse(&head.headers)?;
        Ok(MatchedRequest {
            table,
            route,
            parsed,
        })
    }
}

/// The routes of the first configuration, waited for while the process starts.
async fn first_table<N: Node>(
    shared: &Shared<N>,
    head: &Parts,
) -> Result<Rc<RouteTable>, Rejection> {
    let retry_later = Rejection::RetryLater {
        retry_after_ms: NO_TABLE_RETRY_MS,
    };
    let time_ms = ParsedRequest::parse(&head.headers)?
        .deadline_ms
        .unwrap_or(u64::MAX);
    let wait_ms = (time_ms / TABLE_WAIT_FRACTION).min(MAX_TABLE_WAIT_MS);
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

/// A target with an authority names its host, otherwise the `Host` header does (RFC 9112 section 3.2.2).
fn find_route(table: &RouteTable, head: &Parts) -> Result<Rc<Route>, Rejection> {
    let host_header = || text(head.headers.get(HOST));
    let authority = head.uri.authority().map(|authority| authority.as_str());
    let host = authority.or_else(host_header).ok_or(Rejection::Malformed)?;
    table
        .find(host, head.uri.path())
        .cloned()
        .ok_or(Rejection::NoRoute)
}
