//! One transfer: some turns that are offered to another store and, as far as it does not hold them, sent to it.

use crate::index::Index;
use crate::message::PAGE_BYTES;

/// Where the turns of a transfer come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// Hints for the other store.
    Hints,
    /// A page of all turns that the other store should hold.
    Drain {
        /// After which id the following page begins.
        next: Option<String>,
    },
}

/// What a transfer waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    Offering,
    /// The next turns that the other store does not hold have to be read.
    Ready,
    Reading,
    Sending,
}

#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) peer: String,
    pub(super) source: Source,
    pub(super) offered: Vec<String>,
    /// Those that the other store does not hold and has not been sent, the next one last.
    pub(super) missing: Vec<String>,
    pub(super) step: Step,
}

impl Transfer {
    pub(super) fn new(peer: &str, source: Source, offered: Vec<String>) -> Self {
        Self {
            peer: peer.to_owned(),
            source,
            offered,
            missing: Vec::new(),
            step: Step::Offering,
        }
    }

    /// As many missing turns as one message may carry.
    pub(super) fn next_ids(&mut self, index: &Index) -> Vec<String> {
        let mut ids = Vec::new();
        let mut bytes = 0;
        while let Some(id) = self.missing.last() {
            let size = index.size(id);
            if !ids.is_empty() && bytes + size.unwrap_or(0) > PAGE_BYTES {
                break;
            }
            let id = self.missing.pop();
            // A turn that has expired meanwhile need not be handed over.
            ids.extend(id.filter(|_| size.is_some()));
            bytes += size.unwrap_or(0);
        }
        ids
    }
}
