//! The values of the agreement on views: proposal numbers, decided views and accepted proposals of single-decree Paxos.

use crate::identity::{Incarnation, MemberId};
use crate::view::{View, ViewNumber};
use serde::{Deserialize, Serialize};

/// The number of one proposal (Lamport's ballot number). Greater numbers take precedence over lesser ones; no two
/// attempts have the same one, as it names its proposer and the run of the proposer's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// Above that of every number that the proposer has promised.
    pub sequence: u64,
    /// The member that makes the proposal.
    pub proposer: MemberId,
    /// The run of the proposer's process: after a restart it doesn't know which sequences it has used.
    pub incarnation: Incarnation,
}

/// A view as it is decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecidedView {
    /// Members and chain.
    pub view: View,
    /// Every member synced in this view or a later one, before `view.number`, has all that was committed before
    /// `view.number`: in the views between, nothing was.
    pub base: ViewNumber,
}

impl DecidedView {
    /// The number of the view.
    #[must_use]
    pub fn number(&self) -> ViewNumber {
        self.view.number
    }

    /// The first view, on empty logs.
    #[must_use]
    pub fn bootstrap(view: View) -> DecidedView {
        DecidedView { view, base: 0 }
    }
}

/// The value that an acceptor has accepted for the next view, and under which number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedView {
    /// The number of the accepted proposal.
    pub proposal_number: ProposalNumber,
    /// The accepted view.
    pub proposal: DecidedView,
}
