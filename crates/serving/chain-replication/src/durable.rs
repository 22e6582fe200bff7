//! The durable state of a member: the records that it writes to disk, and the state that it reads at its start.

use crate::agreement::{AcceptedView, DecidedView, ProposalNumber};
use crate::log::{Entry, LogIndex, Position};
use crate::payload::Payload;
use crate::view::ViewNumber;
use serde::{Deserialize, Serialize};

/// One change to the durable state. The writes of a batch are applied atomically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Paxos, phase 1: the member accepts no lower number in the agreement on the view after the installed one.
    Promise {
        /// The promised number.
        proposal_number: ProposalNumber,
    },
    /// Paxos, phase 2: the accepted proposal for the view after the installed one.
    Accept {
        /// The accepted number and view.
        accepted: AcceptedView,
    },
    /// A view was decided. This clears the promise and the accepted proposal, which were for this view or an earlier one.
    InstallView {
        /// The decided view.
        decided: DecidedView,
    },
    /// The log is complete as of this view; 0 if the log lacks commits and is complete as of no view.
    Synced {
        /// The synced view.
        view: ViewNumber,
    },
    /// The next entry of the log.
    Entry {
        /// An entry whose index is one above the last entry's.
        entry: Entry,
    },
    /// Entries after this index are removed.
    Truncate {
        /// The last index that stays.
        index: LogIndex,
    },
    /// A snapshot replaces the previous snapshot and the entries that it includes.
    Snapshot {
        /// The new snapshot.
        snapshot: Snapshot,
    },
}

/// The caller's state after the entry at a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that the state includes.
    pub position: Position,
    /// The state in the caller's encoding.
    pub bytes: Payload,
}

/// The state found on disk; the default is an empty disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// The newest installed view.
    pub decided: Option<DecidedView>,
    /// The greatest promised number, for the view after the installed one.
    pub promised: Option<ProposalNumber>,
    /// The accepted proposal for the view after the installed one.
    pub accepted: Option<AcceptedView>,
    /// The newest view as of which the log was complete.
    pub synced_view: ViewNumber,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, in order and without gaps.
    pub entries: Vec<Entry>,
}

impl DurableState {
    /// Whether the disk is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == DurableState::default()
    }

    /// The end of the snapshot; the beginning of the log if there is none.
    #[must_use]
    pub fn snapshot_position(&self) -> Position {
        let snapshot = self.snapshot.as_ref();
        snapshot.map_or_else(Position::default, |snapshot| snapshot.position)
    }

    /// Applies a write; this defines the meaning of each kind of write.
    pub fn apply(&mut self, write: &Write) {
        match write {
            Write::Promise { proposal_number } => self.promised = Some(proposal_number.clone()),
            Write::Accept { accepted } => self.accepted = Some(accepted.clone()),
            Write::InstallView { decided } => {
                self.decided = Some(decided.clone());
                self.promised = None;
                self.accepted = None;
            }
            Write::Synced { view } => self.synced_view = *view,
            Write::Entry { entry } => self.entries.push(entry.clone()),
            Write::Truncate { index } => self.entries.retain(|entry| entry.index() <= *index),
            Write::Snapshot { snapshot } => {
                self.entries
                    .retain(|entry| entry.index() > snapshot.position.index);
                self.snapshot = Some(snapshot.clone());
            }
        }
    }
}
