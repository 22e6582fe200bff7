//! The roles of a member in the agreement on the next view: acceptor and proposer.

use crate::agreement::{AcceptedView, DecidedView, ProposalNumber};
use crate::identity::MemberId;
use crate::message::Promise;
use crate::next_view::SealedLog;
use crate::timing::Millis;

/// What this member has promised and accepted; on disk before it is sent. A promise seals the present view here.
#[derive(Clone, Debug, Default)]
pub(crate) struct Acceptor {
    pub(crate) promised: Option<ProposalNumber>,
    pub(crate) accepted: Option<AcceptedView>,
}

impl Acceptor {
    /// The promised number, if it takes precedence over this one.
    pub(crate) fn promised_above(
        &self,
        proposal_number: &ProposalNumber,
    ) -> Option<ProposalNumber> {
        self.promised
            .clone()
            .filter(|promised| promised > proposal_number)
    }
}

/// This member's own attempt to get a view decided.
#[derive(Clone, Debug)]
pub(crate) enum Proposer {
    Idle,
    /// The last attempt failed; no other one before this time.
    BackingOff {
        until: Millis,
    },
    /// Paxos, phase 1.
    Preparing {
        proposal_number: ProposalNumber,
        since: Millis,
        promises: Vec<PromiseFrom>,
    },
    /// Paxos, phase 2.
    Accepting {
        proposal_number: ProposalNumber,
        since: Millis,
        proposal: DecidedView,
        accepted_by: Vec<MemberId>,
    },
}

/// Who promised what.
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
