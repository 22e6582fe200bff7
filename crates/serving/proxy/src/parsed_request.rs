//! What the headers of a client's request say.

use crate::http_headers;
use crate::rejection::Rejection;
use dunespur_routing::PromptSegment;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use smallvec::SmallVec;

/// Segments of a prompt's prefix that are read; the rest does not affect the choice of an endpoint. Protects against a
/// header that lists thousands.
const MAX_PREFIX_SEGMENTS: usize = 64;

/// The headers that the data plane itself reads.
#[derive(Debug)]
pub(crate) struct ParsedRequest {
    pub(crate) id: HeaderValue,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) program: Option<HeaderValue>,
    pub(crate) session: Option<HeaderValue>,
    pub(crate) budget: Option<u64>,
    pub(crate) previous: Option<HeaderValue>,
    pub(crate) last_event_id: Option<HeaderValue>,
    pub(crate) prefix: SmallVec<[PromptSegment; 8]>,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: u32,
}

impl ParsedRequest {
    pub(crate) fn parse(headers: &HeaderMap) -> Result<ParsedRequest, Rejection> {
        let text = |name: HeaderName| {
            headers
                .get(name)
                .filter(|value| value.to_str().is_ok())
                .cloned()
        };
        let id = text(http_headers::REQUEST_ID)
            .filter(|id| !id.is_empty())
            .ok_or(Rejection::MissingId)?;
        let TokenCounts {
            prompt_tokens,
            max_tokens,
        } = TokenCounts::parse(headers);
        Ok(ParsedRequest {
            id,
            deadline_ms: number(headers, http_headers::DEADLINE)?,
            program: text(http_headers::PROGRAM),
            session: text(http_headers::SESSION),
            budget: number(headers, http_headers::BUDGET)?,
            previous: text(http_headers::PREVIOUS),
            last_event_id: text(http_headers::LAST_EVENT_ID),
            prefix: prefix(headers),
            prompt_tokens,
            max_tokens,
        })
    }

    /// The most tokens that a turn generates; one that states none may use all of its budget.
    pub(crate) fn max_turn_tokens(&self) -> u64 {
        match self.max_tokens {
            0 => self.budget.unwrap_or(0),
            max_tokens => u64::from(max_tokens),
        }
    }

    /// The event up to which the client says it has the stream.
    pub(crate) fn last_event_id(&self) -> Option<u64> {
        text(self.last_event_id.as_ref())?.trim().parse().ok()
    }
}

/// The text of a value that was checked to be one.
pub(crate) fn text(value: Option<&HeaderValue>) -> Option<&str> {
    value.and_then(|value| value.to_str().ok())
}

fn number(headers: &HeaderMap, name: HeaderName) -> Result<Option<u64>, Rejection> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value
        .to_str()
        .ok()
        .and_then(|value| value.trim().parse().ok());
    number.map(Some).ok_or(Rejection::Malformed)
}

/// The token counts that a client states; 0 where it does not.
struct TokenCounts {
    prompt_tokens: u32,
    max_tokens: u32,
}

impl TokenCounts {
    fn parse(headers: &HeaderMap) -> TokenCounts {
        let value = headers.get(http_headers::TOKEN_COUNT);
        let mut numbers = text(value).unwrap_or_default().split(',');
        let mut next = || {
            numbers
                .next()
                .and_then(|number| number.trim().parse().ok())
                .unwrap_or(0)
        };
        TokenCounts {
            prompt_tokens: next(),
            max_tokens: next(),
        }
    }
}

/// The segments that the prompt consists of, in order.
fn prefix(headers: &HeaderMap) -> SmallVec<[PromptSegment; 8]> {
    let value = text(headers.get(http_headers::PROMPT_PREFIX)).unwrap_or_default();
    value
        .split(',')
        .map_while(prefix_segment)
        .take(MAX_PREFIX_SEGMENTS)
        .collect()
}

fn prefix_segment(text: &str) -> Option<PromptSegment> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptSegment {
        id: prefix_segment_id(id)?,
        tokens: tokens.parse().ok()?,
    })
}

/// The last 16 hex digits of an id.
fn prefix_segment_id(hex: &str) -> Option<u64> {
    let start = hex.len().saturating_sub(16);
    u64::from_str_radix(hex.get(start..)?, 16).ok()
}
