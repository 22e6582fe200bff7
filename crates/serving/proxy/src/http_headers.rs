//! The headers of this protocol, and hop-by-hop headers (RFC 9110 section 7.6.1).

use http::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, EXPECT, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use smallvec::SmallVec;

pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-dunespur-request-id");
pub(crate) const STAMP: HeaderName = HeaderName::from_static("x-dunespur-response-stamp");
pub(crate) const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-dunespur-not-executed");
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("x-dunespur-deadline-ms");
pub(crate) const EXPECT_INSTANCE: HeaderName =
    HeaderName::from_static("x-dunespur-expect-instance");
pub(crate) const TOKEN_COUNT: HeaderName = HeaderName::from_static("x-dunespur-token-count");
pub(crate) const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-dunespur-prompt-prefix");
/// Removed from client requests, and not set by the proxy so far. Protects against a client that states a version that
/// no endpoint has: endpoints would respond with 421, and the proxy would take them for departed.
const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("priority");
pub(crate) const PROGRAM: HeaderName = HeaderName::from_static("program");
pub(crate) const SESSION: HeaderName = HeaderName::from_static("session");
pub(crate) const BUDGET: HeaderName = HeaderName::from_static("budget");
pub(crate) const PREVIOUS: HeaderName = HeaderName::from_static("previous");
pub(crate) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
pub(crate) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that are always hop-by-hop.
const HOP_BY_HOP: [HeaderName; 6] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
];

/// Removes the hop-by-hop headers of a message.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(CONNECTION) {
        strip_listed_in_connection(headers);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(UPGRADE);
}

/// Removes the headers that are listed in `Connection`.
fn strip_listed_in_connection(headers: &mut HeaderMap) {
    let values = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok());
    let named: SmallVec<[HeaderName; 2]> = values
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
}

/// Turns the headers of a client's request into headers for an endpoint. Removes the headers that only the proxy may
/// set.
pub(crate) fn prepare_request(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    headers.remove(EXPECT_INSTANCE);
    headers.remove(EXPECT_VERSION);
    headers.remove(PRIORITY);
}

/// Whether `Connection` contains `close`: the sender closes the connection after this message.
pub(crate) fn has_connection_close(headers: &HeaderMap) -> bool {
    let mut values = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok());
    values.any(|value| {
        value
            .split(',')
            .any(|token| token.trim().eq_ignore_ascii_case("close"))
    })
}

/// Returns the idle timeout that `Keep-Alive` states, in milliseconds.
pub(crate) fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    Some(seconds.trim().parse::<u64>().ok()?.saturating_mul(1000))
}

/// Formats a number as a header value.
pub(crate) fn number_value(value: u64) -> HeaderValue {
    HeaderValue::from(value)
}
