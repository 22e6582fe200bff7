//! Parses the headers of a client's request.

use crate::http_headers;
use crate::rejection::Rejection;
use dunespur_routing::PromptSegment;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use smallvec::SmallVec;

/// The most prompt prefix segments that are parsed; further segments do not affect the choice of an endpoint. Protects
/// against a header that lists thousands of segments.
const MAX_PREFIX_SEGMENTS: usize = 64;

/// The headers of a client's request that the data plane uses.
#[derive(Debug)]
pub(crate) struct ParsedRequest {
    pub(crate) id: HeaderValue,
    /// Milliseconds from the arrival of the request to its deadline.
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) program: Option<HeaderValue>,
    pub(crate) session: Option<HeaderValue>,
    /// Tokens that all turns of the program may generate.
    pub(crate) budget: Option<u64>,
    /// The id of the turn that this one continues.
    pub(crate) previous: Option<HeaderValue>,
    pub(crate) last_event_id: Option<HeaderValue>,
    pub(crate) prefix: SmallVec<[PromptSegment; 8]>,
    pub(crate) prompt_tokens: u32,
    /// The most tokens that the request generates; 0 if the client states none.
    pub(crate) max_tokens: u32,
}

impl ParsedRequest {
    pub(crate) fn parse(headers: &HeaderMap) -> Result<ParsedRequest, Rejection> {
        let header = |name: HeaderName| {
            headers
                .get(name)
                .filter(|value| value.to_str().is_ok())
                .cloned()
        };
        let id = header(http_headers::REQUEST_ID)
            .filter(|id| !id.is_empty())
            .ok_or(Rejection::MissingId)?;
        let TokenCounts {
            prompt_tokens,
            max_tokens,
        } = TokenCounts::parse(headers);
        Ok(ParsedRequest {
            id,
            deadline_ms: parse_number(headers, http_headers::DEADLINE)?,
            program: header(http_headers::PROGRAM),
            session: header(http_headers::SESSION),
            budget: parse_number(headers, http_headers::BUDGET)?,
            previous: header(http_headers::PREVIOUS),
            last_event_id: header(http_headers::LAST_EVENT_ID),
            prefix: parse_prefix(headers),
            prompt_tokens,
            max_tokens,
        })
    }

    /// Returns the most tokens that the turn generates: all of its budget if the client states no maximum.
    pub(crate) fn max_turn_tokens(&self) -> u64 {
        match self.max_tokens {
            0 => self.budget.unwrap_or(0),
            max_tokens => u64::from(max_tokens),
        }
    }

    /// Returns the id of the last event that the client has received, from its `Last-Event-Id`.
    pub(crate) fn last_event_id(&self) -> Option<u64> {
        header_text(self.last_event_id.as_ref())?
            .trim()
            .parse()
            .ok()
    }
}

/// Returns a header value as text; None if it is missing or not visible ASCII.
pub(crate) fn header_text(value: Option<&HeaderValue>) -> Option<&str> {
    value.and_then(|value| value.to_str().ok())
}

fn parse_number(headers: &HeaderMap, name: HeaderName) -> Result<Option<u64>, Rejection> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value
        .to_str()
        .ok()
        .and_then(|value| value.trim().parse().ok());
    number.map(Some).ok_or(Rejection::Malformed)
}

/// The token counts that a client states; 0 for a missing count.
struct TokenCounts {
    prompt_tokens: u32,
    max_tokens: u32,
}

impl TokenCounts {
    fn parse(headers: &HeaderMap) -> TokenCounts {
        let value = headers.get(http_headers::TOKEN_COUNT);
        let mut numbers = header_text(value).unwrap_or_default().split(',');
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

/// Parses the leading segments of the prompt, in order; stops at the first malformed segment.
fn parse_prefix(headers: &HeaderMap) -> SmallVec<[PromptSegment; 8]> {
    let value = header_text(headers.get(http_headers::PROMPT_PREFIX)).unwrap_or_default();
    value
        .split(',')
        .map_while(parse_segment)
        .take(MAX_PREFIX_SEGMENTS)
        .collect()
}

fn parse_segment(segment: &str) -> Option<PromptSegment> {
    let (id, tokens) = segment.trim().split_once(':')?;
    Some(PromptSegment {
        id: parse_segment_id(id)?,
        tokens: tokens.parse().ok()?,
    })
}

/// Parses the last 16 hex digits of a segment id.
fn parse_segment_id(hex: &str) -> Option<u64> {
    let start = hex.len().saturating_sub(16);
    u64::from_str_radix(hex.get(start..)?, 16).ok()
}
