//! The values of the agreement on views: proposal numbers, decided views and accepted proposals of single-decree Paxos.

use crate::identity::{Incarnation, MemberId};
use crate::view::{View, ViewNumber};
use serde::{Deserialize, Serialize};

/// The number of one proposal (Lamport's ballot number). Greater numbers take precedence over lesser ones. Numbers are
/// unique, as each names its proposer and the run of the proposer's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// Above the sequence of every number that the proposer has promised.
    pub sequence: u64,
    /// The member that makes the proposal.
    pub proposer: MemberId,
    /// The run of the proposer's process, as after a restart the proposer doesn't know which sequences it has used.
    pub incarnation: Incarnation,
}

/// A view with its base: the value that the agreement decides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecidedView {
    /// Members and chain.
    pub view: View,
    /// Every member whose synced view is at least `base` and below `view.number` has everything committed before
    /// `view.number`, as nothing was committed in the views between.
    pub base: ViewNumber,
}

impl DecidedView {
    /// The number of the view.
    #[must_use]
    pub fn number(&self) -> ViewNumber {
        self.view.number
    }

    /// The first view, in which all logs are empty.
    #[must_use]
    pub fn bootstrap(view: View) -> DecidedView {
        DecidedView { view, base: 0 }
    }
}

/// The view that an acceptor has accepted, and the number of its proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedView {
    /// The number of the accepted proposal.
    pub proposal_number: ProposalNumber,
    /// The accepted view.
    pub proposal: DecidedView,
}
