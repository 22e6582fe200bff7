//! What pending requests and disk work are for.

use crate::ids::CallerId;

/// What the reply of another store is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestPurpose {
    /// Anti-entropy, the pull with this serial number.
    Pull { serial: u64 },
    /// The search for this missing ancestor.
    Completion { id: String },
    /// The handoff with this serial number.
    Handoff { serial: u64 },
}

/// A request to another store that has not been replied to.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) purpose: RequestPurpose,
    pub(super) store: String,
    pub(super) deadline_ms: u64,
}

/// What a piece of disk work is for.
#[derive(Debug)]
pub(super) enum JobPurpose {
    Commit,
    /// A caller reads a chain.
    Chain {
        caller: CallerId,
        bytes: u64,
        missing: Option<String>,
        has_more: bool,
    },
    /// Another store fetches turns.
    Fetch {
        caller: CallerId,
        bytes: u64,
    },
    /// The handoff with this serial number.
    Handoff {
        serial: u64,
    },
    Removal,
    MarkComplete,
}
