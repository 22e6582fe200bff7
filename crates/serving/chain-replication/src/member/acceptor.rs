//! The acceptor's side of the agreement on the next view. Promises and acceptances are on disk before they are sent.

use super::Member;
use crate::agreement::{AcceptedView, DecidedView, ProposalNumber};
use crate::durable::Write;
use crate::identity::MemberId;
use crate::message::{Message, Promise};
use crate::safeguards::Safeguard;
use crate::timing::OTHER_PROPOSER_TIMEOUT;
use crate::view::ViewNumber;
use crate::write_queue::Completion;

impl Member {
    /// Whether a promise has sealed the present view at this member.
    pub(super) fn is_sealed(&self) -> bool {
        self.acceptor.promised.is_some()
    }

    pub(super) fn on_prepare(
        &mut self,
        from: MemberId,
        proposal_number: ProposalNumber,
        decided: DecidedView,
    ) {
        let view = decided.number() + 1;
        self.on_decided(decided);
        if !self.may_vote(&from, view) {
            return;
        }
        if let Some(promised) = self.acceptor.greater_promise(&proposal_number) {
            return self.send(&from, Message::Reject { view, promised });
        }
        self.promise(proposal_number.clone());
        let promise = Promise {
            view,
            proposal_number,
            accepted: self.acceptor.accepted.clone(),
            synced_view: self.synced_view,
            last: self.log.last(),
        };
        self.send_vote_when_persisted(from, Message::Promise(promise));
    }

    pub(super) fn on_accept(
        &mut self,
        from: MemberId,
        proposal_number: ProposalNumber,
        proposal: DecidedView,
    ) {
        let view = proposal.number();
        if !self.may_vote(&from, view) || !proposal.view.is_sound() {
            return;
        }
        if let Some(promised) = self.acceptor.greater_promise(&proposal_number) {
            return self.send(&from, Message::Reject { view, promised });
        }
        self.promise(proposal_number.clone());
        let accepted = AcceptedView {
            proposal_number: proposal_number.clone(),
            proposal,
        };
        self.write_queue.write(Write::Accept {
            accepted: accepted.clone(),
        });
        self.acceptor.accepted = Some(accepted);
        let message = Message::Accepted {
            view,
            proposal_number,
        };
        self.send_vote_when_persisted(from, message);
    }

    /// Whether this member may vote on `view` at the request of `from`: both are members of the present view, and `view` is
    /// the next one. If `view` is later than that, this member has missed a decision and requests the newest view. If
    /// `view` is not later than the present view, the proposer is sent the present view.
    fn may_vote(&mut self, from: &MemberId, view: ViewNumber) -> bool {
        let Some(present) = self.view() else {
            return false;
        };
        let are_members = present.has_member(from) && present.has_member(&self.me.id);
        let sender = present.member(from).cloned();
        if view > present.number + 1 {
            self.request_view_from(from);
            return false;
        }
        if view <= present.number && self.safeguards.has(Safeguard::DecideOnce) {
            if let Some(sender) = sender {
                self.send_view(&sender);
            }
            return false;
        }
        are_members
    }

    /// Promises a number, which seals the present view at this member.
    fn promise(&mut self, proposal_number: ProposalNumber) {
        if proposal_number.proposer != self.me.id {
            self.propose_at = Some(OTHER_PROPOSER_TIMEOUT + self.draw_proposal_time());
        }
        self.write_queue.write(Write::Promise {
            proposal_number: proposal_number.clone(),
        });
        self.acceptor.promised = Some(proposal_number);
        self.seal();
    }

    fn send_vote_when_persisted(&mut self, to: MemberId, message: Message) {
        let message = Box::new(message);
        self.write_queue
            .when_persisted(Completion::SendVote { to, message });
    }
}
