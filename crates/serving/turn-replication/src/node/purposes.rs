//! The purposes of pending requests and disk jobs.

use crate::ids::CallerId;

/// The activity that waits for the reply of another store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestPurpose {
    /// The anti-entropy pull with this serial number.
    Pull { serial: u64 },
    /// The search for this missing ancestor.
    AncestorSearch { id: String },
    /// The handoff with this serial number.
    Handoff { serial: u64 },
}

/// A request to another store that has no reply yet.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) purpose: RequestPurpose,
    pub(super) store: String,
    pub(super) deadline_ms: u64,
}

/// The activity that waits for a disk job.
#[derive(Debug)]
pub(super) enum JobPurpose {
    /// The commit in flight.
    Commit,
    /// A read of a chain for a caller.
    Chain {
        caller: CallerId,
        bytes: u64,
        missing: Option<String>,
        has_more: bool,
    },
    /// A fetch of turns for another store.
    Fetch { caller: CallerId, bytes: u64 },
    /// The handoff with this serial number.
    Handoff { serial: u64 },
    /// The deletion of expired turns.
    Removal,
    /// The record that the disk is complete.
    MarkComplete,
}
