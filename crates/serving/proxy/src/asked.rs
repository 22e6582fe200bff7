//! What a client's request says of itself.

use crate::http_headers;
use crate::refusal::Refusal;
use dunespur_routing::Part;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use smallvec::SmallVec;

/// Parts of a prompt that are read; the rest plays no part in the choice of a server. Guards against a header
/// that lists thousands.
const MOST_PARTS: usize = 64;

/// The headers that the data plane itself reads.
#[derive(Debug)]
pub(crate) struct Asked {
    pub(crate) id: HeaderValue,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) program: Option<HeaderValue>,
    pub(crate) session: Option<HeaderValue>,
    pub(crate) budget: Option<u64>,
    pub(crate) previous: Option<HeaderValue>,
    pub(crate) last_event_id: Option<HeaderValue>,
    pub(crate) prefix: SmallVec<[Part; 8]>,
    pub(crate) prompt_tokens: u32,
    pub(crate) most_tokens: u32,
}

impl Asked {
    pub(crate) fn read(headers: &HeaderMap) -> Result<Asked, Refusal> {
        let text = |name: HeaderName| {
            headers
                .get(name)
                .filter(|value| value.to_str().is_ok())
                .cloned()
        };
        let id = text(http_headers::REQUEST_ID)
            .filter(|id| !id.is_empty())
            .ok_or(Refusal::NoId)?;
        let (prompt_tokens, most_tokens) = token_count(headers);
        Ok(Asked {
            id,
            deadline_ms: number(headers, http_headers::DEADLINE)?,
            program: text(http_headers::PROGRAM),
            session: text(http_headers::SESSION),
            budget: number(headers, http_headers::BUDGET)?,
            previous: text(http_headers::PREVIOUS),
            last_event_id: text(http_headers::LAST_EVENT_ID),
            prefix: prefix(headers),
            prompt_tokens,
            most_tokens,
        })
    }
}

/// The text of a value that was checked to be one.
pub(crate) fn text(value: &Option<HeaderValue>) -> Option<&str> {
    value.as_ref().and_then(|value| value.to_str().ok())
}

fn number(headers: &HeaderMap, name: HeaderName) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value
        .to_str()
        .ok()
        .and_then(|value| value.trim().parse().ok());
    number.map(Some).ok_or(Refusal::Malformed)
}

/// Tokens of the prompt, and the most that are generated.
fn token_count(headers: &HeaderMap) -> (u32, u32) {
    let value = headers
        .get(http_headers::TOKEN_COUNT)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let mut numbers = value
        .split(',')
        .map(|number| number.trim().parse().unwrap_or(0));
    (numbers.next().unwrap_or(0), numbers.next().unwrap_or(0))
}

/// The parts that the prompt consists of, in order.
fn prefix(headers: &HeaderMap) -> SmallVec<[Part; 8]> {
    let value = headers
        .get(http_headers::PROMPT_PREFIX)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    value.split(',').map_while(part).take(MOST_PARTS).collect()
}

fn part(text: &str) -> Option<Part> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(Part {
        id: part_id(id)?,
        tokens: tokens.parse().ok()?,
    })
}

/// The last 16 hex digits of an id.
fn part_id(hex: &str) -> Option<u64> {
    let start = hex.len().saturating_sub(16);
    u64::from_str_radix(hex.get(start..)?, 16).ok()
}
