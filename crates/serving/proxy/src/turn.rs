//! An admitted turn: its tokens counted, what it leaves given back, whatever ends it.

use crate::node::{Node, TurnKey};
use std::rc::Rc;

/// A turn until it is released.
pub(crate) struct Turn<N: Node> {
    node: Rc<N>,
    key: TurnKey,
}

impl<N: Node> Turn<N> {
    pub(crate) fn new(node: &Rc<N>, key: TurnKey) -> Turn<N> {
        Turn {
            node: node.clone(),
            key,
        }
    }

    pub(crate) fn used(&self, tokens: u64) {
        self.node.used(self.key, tokens);
    }
}

impl<N: Node> Drop for Turn<N> {
    fn drop(&mut self) {
        self.node.release(self.key);
    }
}

/// Counts the tokens of a turn's events, those of all its servers together.
#[derive(Debug)]
pub(crate) struct TokenCount {
    chunk: u64,
    most: u64,
    counted: u64,
}

impl TokenCount {
    /// Of a turn that generates `most` at most.
    pub(crate) fn new(most: u64) -> TokenCount {
        TokenCount {
            chunk: 1,
            most,
            counted: 0,
        }
    }

    /// From now on an event holds `chunk` tokens.
    pub(crate) fn set_chunk(&mut self, chunk: u64) {
        self.chunk = chunk.max(1);
    }

    /// The tokens of the next event. The one that reaches the most is counted up to it; events beyond, which no
    /// server should send, count in full.
    pub(crate) fn next_event(&mut self) -> u64 {
        let left = self.most.saturating_sub(self.counted);
        let tokens = if left > 0 {
            self.chunk.min(left)
        } else {
            self.chunk
        };
        self.counted += tokens;
        tokens
    }

    pub(crate) fn counted(&self) -> u64 {
        self.counted
    }
}
