//! Headers that concern only one connection, and those of the system's own.

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
/// Set by the system alone, which does not set it so far. Guards against a client that has servers answer 421, and so
/// taken for gone, by a version that none has.
const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("priority");
pub(crate) const PROGRAM: HeaderName = HeaderName::from_static("program");
pub(crate) const SESSION: HeaderName = HeaderName::from_static("session");
pub(crate) const BUDGET: HeaderName = HeaderName::from_static("budget");
pub(crate) const PREVIOUS: HeaderName = HeaderName::from_static("previous");
pub(crate) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
pub(crate) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Always of one connection only.
const OF_ONE_CONNECTION: [HeaderName; 6] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
];

/// Takes out what concerns only the connection that the message came over.
pub(crate) fn strip(headers: &mut HeaderMap) {
    if headers.contains_key(CONNECTION) {
        strip_named(headers);
    }
    for name in OF_ONE_CONNECTION {
        headers.remove(name);
    }
    headers.remove(UPGRADE);
}

/// Takes out what a client's `Connection` names.
fn strip_named(headers: &mut HeaderMap) {
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

/// Makes the headers of a client's request into those for a server: those that the system sets itself are taken
/// out, so that no client sets them.
pub(crate) fn prepare_request(headers: &mut HeaderMap) {
    strip(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    headers.remove(EXPECT_INSTANCE);
    headers.remove(EXPECT_VERSION);
    headers.remove(PRIORITY);
}

/// Whether the other side ends the connection after this message.
pub(crate) fn says_close(headers: &HeaderMap) -> bool {
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

/// The idle time that `Keep-Alive` states, in milliseconds.
pub(crate) fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(seconds.trim().parse::<u64>().ok()?.saturating_mul(1000))
}

/// A number as the value of a header.
pub(crate) fn number(value: u64) -> HeaderValue {
    HeaderValue::from(value)
}
