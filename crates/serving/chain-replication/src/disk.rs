//! What must be on disk, and what is found there.

use crate::agreed::{AcceptedView, Ballot, DecidedView};
use crate::log::{Entry, Payload, Position};
use serde::{Deserialize, Serialize};

/// One change to what is on disk. The writes of a batch are kept all or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// No ballot below this one is voted for, in the agreement on the view after the installed one.
    Promise { ballot: Ballot },
    /// The vote in the agreement on the view after the installed one.
    Accept { accepted: AcceptedView },
    /// A view was decided; promise and vote were for it or an earlier one and end with it.
    Install { decided: DecidedView },
    /// The log holds all that it must in this view. 0: it doesn't hold what any view needs.
    Synced { view: u64 },
    /// The next entry of the log.
    Entry { entry: Entry },
    /// Entries after this index go.
    Truncate { index: u64 },
    /// The caller's state at a position takes the place of the snapshot before and of the entries up to there.
    Snapshot { snapshot: SavedSnapshot },
}

/// The caller's state at a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedSnapshot {
    pub position: Position,
    pub bytes: Payload,
}

/// What was found on disk; the default is an empty disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saved {
    pub decided: Option<DecidedView>,
    pub promised: Option<Ballot>,
    pub accepted: Option<AcceptedView>,
    pub synced_view: u64,
    pub snapshot: Option<SavedSnapshot>,
    /// In order, without gaps, after the snapshot.
    pub entries: Vec<Entry>,
}

impl Saved {
    pub fn is_empty(&self) -> bool {
        *self == Saved::default()
    }

    /// What is on disk after one more write: the meaning of each.
    pub fn apply(&mut self, write: &Write) {
        match write {
            Write::Promise { ballot } => self.promised = Some(ballot.clone()),
            Write::Accept { accepted } => self.accepted = Some(accepted.clone()),
            Write::Install { decided } => {
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
