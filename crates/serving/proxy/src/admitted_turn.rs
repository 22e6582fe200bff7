//! Counts the tokens of an admitted turn, and releases its unused budget however the turn ends.

use crate::node::{Node, TurnKey};
use std::rc::Rc;

/// A turn with a budget reservation, which is released on drop.
pub(crate) struct AdmittedTurn<N: Node> {
    node: Rc<N>,
    key: TurnKey,
}

impl<N: Node> AdmittedTurn<N> {
    pub(crate) fn new(node: &Rc<N>, key: TurnKey) -> AdmittedTurn<N> {
        AdmittedTurn {
            node: node.clone(),
            key,
        }
    }

    pub(crate) fn record_tokens(&self, tokens: u64) {
        self.node.record_tokens(self.key, tokens);
    }
}

impl<N: Node> Drop for AdmittedTurn<N> {
    fn drop(&mut self) {
        self.node.release(self.key);
    }
}

/// Counts the tokens of a turn's events, across all endpoints that send parts of the stream.
#[derive(Debug)]
pub(crate) struct TokenCounter {
    tokens_per_event: u64,
    max_tokens: u64,
    total: u64,
}

impl TokenCounter {
    /// Creates the counter of a turn that may generate `max_tokens`.
    pub(crate) fn new(max_tokens: u64) -> TokenCounter {
        TokenCounter {
            tokens_per_event: 1,
            max_tokens,
            total: 0,
        }
    }

    /// Sets how many tokens each further event holds.
    pub(crate) fn set_tokens_per_event(&mut self, tokens: u64) {
        self.tokens_per_event = tokens.max(1);
    }

    /// Counts one event and returns its tokens. The event that reaches the maximum counts only up to the maximum;
    /// further events, which no endpoint should send, count in full.
    pub(crate) fn count_event(&mut self) -> u64 {
        let remaining = self.max_tokens.saturating_sub(self.total);
        let tokens = if remaining > 0 {
            self.tokens_per_event.min(remaining)
        } else {
            self.tokens_per_event
        };
        self.total += tokens;
        tokens
    }

    /// Returns the tokens counted so far.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }
}
