//! What the agreement on views is about: ballots, decided views, accepted ones.

use crate::identity::{MemberId, View};
use serde::{Deserialize, Serialize};

/// One attempt to get a view decided. Greater ballots go before lesser ones.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub proposer: MemberId,
    /// The run of the proposer's process: after a restart it doesn't know which rounds it has used.
    pub session: u64,
}

/// A view as it is decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecidedView {
    pub view: View,
    /// Every member synced in this view or a later one, before `view.number`, holds all that was committed before
    /// `view.number`: in the views between, nothing was.
    pub base: u64,
}

impl DecidedView {
    pub fn number(&self) -> u64 {
        self.view.number
    }

    /// The first view, on empty logs.
    pub fn founding(view: View) -> DecidedView {
        DecidedView { view, base: 0 }
    }
}

/// The value that an acceptor has accepted for the next view, and under which ballot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedView {
    pub ballot: Ballot,
    pub proposal: DecidedView,
}
