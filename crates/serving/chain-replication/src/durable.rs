//! What a member keeps on disk: the records that it writes, and the state that it finds after a start.

use crate::agreement::{AcceptedView, DecidedView, ProposalNumber};
use crate::log::{Entry, LogIndex, Position};
use crate::payload::Payload;
use crate::view::ViewNumber;
use serde::{Deserialize, Serialize};

/// One change to what is on disk. The writes of a batch are atomic: all of them are kept, or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Paxos, phase 1: nothing below this number is accepted, in the agreement on the view after the installed one.
    Promise {
        /// The promised number.
        proposal_number: ProposalNumber,
    },
    /// Paxos, phase 2: the accepted proposal for the view after the installed one.
    Accept {
        /// Number and value.
        accepted: AcceptedView,
    },
    /// A view was decided. Promise and accepted proposal were for it or an earlier one, and end with it.
    InstallView {
        /// The decided view.
        decided: DecidedView,
    },
    /// The log is complete as of this view. 0: it lacks what every view needs.
    Synced {
        /// The synced view.
        view: ViewNumber,
    },
    /// The next entry of the log.
    Entry {
        /// Its index is one above that of the entry before.
        entry: Entry,
    },
    /// Entries after this index are removed.
    Truncate {
        /// The last index that stays.
        index: LogIndex,
    },
    /// The caller's state at a position replaces the snapshot before and the entries up to there.
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

/// What was found on disk; the default is an empty disk.
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
    /// In order, without gaps, after the snapshot.
    pub entries: Vec<Entry>,
}

impl DurableState {
    /// Whether nothing was ever written.
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

    /// What is on disk after one more write: this defines the meaning of each.
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
