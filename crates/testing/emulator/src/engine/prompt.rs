//! The prompt, as the headers of a request describe it.

use crate::wire::{name, Headers};

/// One segment of a prompt, shared between requests by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptSegment {
    /// Id; segments with the same id are the same text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// A prompt and the number of tokens to generate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Segments from the beginning of the prompt.
    pub segments: Vec<PromptSegment>,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// 0 is admitted first.
    pub priority: u8,
}

/// Priority of a request that names none.
const ORDINARY_PRIORITY: u8 = 5;

impl Prompt {
    /// Reads the headers; missing counts are taken as 1.
    pub fn read(headers: &Headers) -> Prompt {
        let (total, max_tokens) = headers
            .get(name::TOKEN_COUNT)
            .and_then(counts)
            .unwrap_or((1, 1));
        let mut segments = headers
            .get(name::PROMPT_PREFIX)
            .map(segments)
            .unwrap_or_default();
        let named: u64 = segments.iter().map(|segment| segment.tokens).sum();
        if named < total {
            segments.push(PromptSegment {
                id: u64::MAX,
                tokens: total - named,
            });
        }
        let priority = headers
            .get(name::PRIORITY)
            .and_then(|text| text.parse().ok());
        Prompt {
            segments,
            max_tokens: max_tokens.max(1),
            priority: priority.unwrap_or(ORDINARY_PRIORITY),
        }
    }

    /// Length of the prompt in tokens.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.segments.iter().map(|segment| segment.tokens).sum()
    }
}

fn counts(text: &str) -> Option<(u64, u64)> {
    let (prompt, max_tokens) = text.split_once(',')?;
    Some((prompt.trim().parse().ok()?, max_tokens.trim().parse().ok()?))
}

fn segments(text: &str) -> Vec<PromptSegment> {
    text.split(',').filter_map(segment).collect()
}

fn segment(text: &str) -> Option<PromptSegment> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptSegment {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}
