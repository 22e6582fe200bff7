//! What a request says about its prompt.

use crate::wire::{name, Headers};

/// One part of a prompt, shared between requests by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    /// The same id is the same text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// The parts in order, and the most that the request generates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Its parts, in order.
    pub parts: Vec<Part>,
    /// The most tokens that may be generated.
    pub most: u64,
    /// 0 is let in first.
    pub priority: u8,
}

/// Priority of a request that names none.
const ORDINARY_PRIORITY: u8 = 5;

impl Prompt {
    /// Reads the headers; what is missing counts as little as can be.
    pub fn read(headers: &Headers) -> Prompt {
        let (total, most) = headers
            .get(name::TOKEN_COUNT)
            .and_then(counts)
            .unwrap_or((1, 1));
        let mut parts = headers
            .get(name::PROMPT_PREFIX)
            .map(parts)
            .unwrap_or_default();
        let named: u64 = parts.iter().map(|part| part.tokens).sum();
        if named < total {
            parts.push(Part {
                id: u64::MAX,
                tokens: total - named,
            });
        }
        let priority = headers
            .get(name::PRIORITY)
            .and_then(|text| text.parse().ok());
        Prompt {
            parts,
            most: most.max(1),
            priority: priority.unwrap_or(ORDINARY_PRIORITY),
        }
    }

    /// Its length in tokens.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}

fn counts(text: &str) -> Option<(u64, u64)> {
    let (prompt, most) = text.split_once(',')?;
    Some((prompt.trim().parse().ok()?, most.trim().parse().ok()?))
}

fn parts(text: &str) -> Vec<Part> {
    text.split(',').filter_map(part).collect()
}

fn part(text: &str) -> Option<Part> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(Part {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}
