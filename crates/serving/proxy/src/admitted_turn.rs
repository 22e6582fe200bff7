//! An admitted turn: its tokens are counted, and what it leaves of its budget is released however it ends.

use crate::node::{Node, TurnKey};
use std::rc::Rc;

/// Holds a turn's budget reservation until it is dropped.
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

/// Counts the tokens of a turn's events, those of all its endpoints together.
#[derive(Debug)]
pub(crate) struct TokenCounter {
    tokens_per_event: u64,
    max_tokens: u64,
    counted: u64,
}

impl TokenCounter {
    /// Of a turn that generates at most `max_tokens`.
    pub(crate) fn new(max_tokens: u64) -> TokenCounter {
        TokenCounter {
            tokens_per_event: 1,
            max_tokens,
            counted: 0,
        }
    }

    /// From now on an event holds so many tokens.
    pub(crate) fn set_tokens_per_event(&mut self, tokens: u64) {
        self.tokens_per_event = tokens.max(1);
    }

    /// The tokens of the next event. The one that reaches the maximum is counted up to it; events beyond, which no
    /// endpoint should send, count in full.
    pub(crate) fn next_event(&mut self) -> u64 {
        let remaining = self.max_tokens.saturating_sub(self.counted);
        let tokens = if remaining > 0 {
            self.tokens_per_event.min(remaining)
        } else {
            self.tokens_per_event
        };
        self.counted += tokens;
        tokens
    }

    pub(crate) fn counted(&self) -> u64 {
        self.counted
    }
}
