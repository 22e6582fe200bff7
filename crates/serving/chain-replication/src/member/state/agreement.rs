//! The roles of a member in the agreement on the next view: acceptor and proposer.

use crate::agreement::{AcceptedView, DecidedView, ProposalNumber};
use crate::identity::MemberId;
use crate::message::Promise;
use crate::next_view::SealedLog;
use crate::timing::Millis;

/// What this member has promised and accepted in the agreement on the next view; on disk before it is sent. A promise
/// seals the present view at this member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Acceptor {
    pub(crate) promised: Option<ProposalNumber>,
    pub(crate) accepted: Option<AcceptedView>,
}

impl Acceptor {
    /// The promised number, if it is greater than `proposal_number`.
    pub(crate) fn greater_promise(
        &self,
        proposal_number: &ProposalNumber,
    ) -> Option<ProposalNumber> {
        self.promised
            .clone()
            .filter(|promised| promised > proposal_number)
    }
}

/// The state of this member's own attempt to get a view decided.
#[derive(Clone, Debug)]
pub(crate) enum Proposer {
    Idle,
    /// The last attempt failed; the next one begins at `until` at the earliest.
    BackingOff {
        until: Millis,
    },
    /// Paxos, phase 1.
    Preparing {
        proposal_number: ProposalNumber,
        started_at: Millis,
        promises: Vec<PromiseFrom>,
    },
    /// Paxos, phase 2.
    Accepting {
        proposal_number: ProposalNumber,
        started_at: Millis,
        proposal: DecidedView,
        accepted_by: Vec<MemberId>,
    },
}

/// A promise and the member that made it.
#[derive(Clone, Debug)]
pub(crate) struct PromiseFrom {
    pub(crate) from: MemberId,
    pub(crate) promise: Promise,
}

impl PromiseFrom {
    pub(crate) fn sealed_log(&self) -> SealedLog<'_> {
        SealedLog {
            member: &self.from,
            synced_view: self.promise.synced_view,
            last: self.promise.last,
        }
    }
}
