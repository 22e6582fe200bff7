//! Prompts, described by the headers of a request.

use crate::wire::{name, Headers};

/// One segment of a prompt; requests share it by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptSegment {
    /// Id of the segment; segments with the same id have the same text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// A prompt and the number of tokens to generate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Segments in the order of the prompt.
    pub segments: Vec<PromptSegment>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Priority of the request; lower numbers are admitted first.
    pub priority: u8,
}

/// Priority of a request without a priority header.
const DEFAULT_PRIORITY: u8 = 5;

impl Prompt {
    /// Reads a prompt from the headers; missing or malformed token counts are taken as 1.
    pub fn read(headers: &Headers) -> Prompt {
        let (total_tokens, max_tokens) = headers
            .get(name::TOKEN_COUNT)
            .and_then(parse_token_counts)
            .unwrap_or((1, 1));
        let mut segments = headers
            .get(name::PROMPT_PREFIX)
            .map(parse_segments)
            .unwrap_or_default();
        let listed_tokens: u64 = segments.iter().map(|segment| segment.tokens).sum();
        if listed_tokens < total_tokens {
            segments.push(PromptSegment {
                id: u64::MAX,
                tokens: total_tokens - listed_tokens,
            });
        }
        let priority = headers
            .get(name::PRIORITY)
            .and_then(|text| text.parse().ok());
        Prompt {
            segments,
            max_tokens: max_tokens.max(1),
            priority: priority.unwrap_or(DEFAULT_PRIORITY),
        }
    }

    /// Length of the prompt in tokens.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.segments.iter().map(|segment| segment.tokens).sum()
    }
}

fn parse_token_counts(text: &str) -> Option<(u64, u64)> {
    let (prompt, max_tokens) = text.split_once(',')?;
    Some((prompt.trim().parse().ok()?, max_tokens.trim().parse().ok()?))
}

fn parse_segments(text: &str) -> Vec<PromptSegment> {
    text.split(',').filter_map(parse_segment).collect()
}

fn parse_segment(text: &str) -> Option<PromptSegment> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptSegment {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}
