//! The proposer's side of the agreement on the next view: single-decree Paxos among the present view's members.

use super::state::agreement::{Acceptor, PromiseFrom, Proposer};
use super::Member;
use crate::agreement::{DecidedView, ProposalNumber};
use crate::identity::MemberId;
use crate::message::{Message, Promise};
use crate::next_view::{view_after, SealedLog};
use crate::timing::{
    Millis, PROPOSAL_BACKOFF, PROPOSAL_BACKOFF_JITTER, PROPOSAL_TIMEOUT, PROPOSER_RANK_DELAY,
    PROPOSE_JITTER, REMAINING_PROMISES_TIMEOUT,
};
use crate::view::ViewNumber;

impl Member {
    /// Discards the agreement state when a view is installed, because it concerned that view or an earlier one.
    pub(super) fn end_agreement(&mut self) {
        self.acceptor = Acceptor::default();
        self.proposer = Proposer::Idle;
        self.propose_at = None;
    }

    /// Advances the present attempt, or begins one if another view is wanted and it is this member's turn to propose.
    pub(super) fn drive_proposer(&mut self) {
        if !self.is_member() {
            return;
        }
        match &self.proposer {
            Proposer::Preparing { .. } if self.has_enough_promises() => {
                return self.begin_accept_phase();
            }
            Proposer::Preparing { started_at, .. } | Proposer::Accepting { started_at, .. } => {
                if self.now >= started_at + PROPOSAL_TIMEOUT {
                    self.back_off();
                }
                return;
            }
            Proposer::BackingOff { until } if self.now < *until => return,
            Proposer::BackingOff { .. } | Proposer::Idle => self.proposer = Proposer::Idle,
        }
        if !self.wants_next_view() {
            self.propose_at = None;
            return;
        }
        let propose_at = self.draw_proposal_time();
        if self.now >= *self.propose_at.get_or_insert(propose_at) {
            self.begin_prepare_phase();
        }
    }

    fn wants_next_view(&mut self) -> bool {
        let Some(plan) = self.plan() else {
            return false;
        };
        let is_in_force = self.view().is_some_and(|view| plan.is_in_force(view));
        (self.is_sealed() || !is_in_force) && self.may_propose()
    }

    /// Whether this member may propose. A proposal by a member that is partitioned, even in one direction, or whose disk
    /// stalls, would only disturb the others.
    fn may_propose(&self) -> bool {
        let Some(view) = self.view() else {
            return false;
        };
        let is_confirmed =
            |id: &MemberId| self.failure_detector.is_confirmed_connected(id, self.now);
        let confirmed = view
            .members
            .iter()
            .filter(|member| is_confirmed(&member.id))
            .count();
        confirmed + 1 >= view.majority() && !self.is_disk_stalled()
    }

    /// Number of eligible members that propose before this one. The members of the chain come first, from head to tail,
    /// then the others.
    fn proposer_rank(&self) -> u64 {
        let Some(view) = self.view() else { return 0 };
        let members = view.members.iter().map(|member| &member.id);
        let out_of_chain = members.filter(|id| !view.in_chain(id));
        let order = view.chain.iter().chain(out_of_chain);
        let before = order.take_while(|id| **id != self.me.id);
        let may_propose = |id: &&MemberId| {
            self.failure_detector.is_alive(id, self.now) && !self.reports_ineligible(id)
        };
        before.filter(may_propose).count() as u64
    }

    /// Draws the time at which this member may propose: now, plus a delay by its rank, plus a random wait.
    pub(super) fn draw_proposal_time(&mut self) -> Millis {
        let delay = self.proposer_rank() * PROPOSER_RANK_DELAY;
        self.now + delay + self.random.below(PROPOSE_JITTER)
    }

    fn begin_prepare_phase(&mut self) {
        let Some(decided) = self.decided.clone() else {
            return;
        };
        let promised = self.acceptor.promised.as_ref();
        let proposal_number = ProposalNumber {
            sequence: promised.map_or(0, |promised| promised.sequence) + 1,
            proposer: self.me.id.clone(),
            incarnation: self.incarnation,
        };
        self.propose_at = None;
        self.proposer = Proposer::Preparing {
            proposal_number: proposal_number.clone(),
            started_at: self.now,
            promises: Vec::new(),
        };
        for member in &decided.view.members {
            let message = Message::Prepare {
                proposal_number: proposal_number.clone(),
                decided: decided.clone(),
            };
            self.send(&member.id, message);
        }
    }

    fn back_off(&mut self) {
        let jitter = self.random.below(PROPOSAL_BACKOFF_JITTER);
        self.proposer = Proposer::BackingOff {
            until: self.now + PROPOSAL_BACKOFF + jitter,
        };
        self.propose_at = None;
    }

    pub(super) fn on_promise(&mut self, from: MemberId, promise: Promise) {
        let is_voter = self.view().is_some_and(|view| view.has_member(&from));
        let next_view = self.view_number() + 1;
        let Proposer::Preparing {
            proposal_number,
            promises,
            ..
        } = &mut self.proposer
        else {
            return;
        };
        let is_new = !promises.iter().any(|other| other.from == from);
        let is_own = promise.view == next_view && promise.proposal_number == *proposal_number;
        if is_voter && is_new && is_own {
            promises.push(PromiseFrom { from, promise });
            self.drive_proposer();
        }
    }

    pub(super) fn on_reject(&mut self, view: ViewNumber, promised: &ProposalNumber) {
        let own = match &self.proposer {
            Proposer::Preparing {
                proposal_number, ..
            }
            | Proposer::Accepting {
                proposal_number, ..
            } => proposal_number,
            Proposer::Idle | Proposer::BackingOff { .. } => return,
        };
        if view == self.view_number() + 1 && promised > own {
            self.back_off();
        }
    }

    /// Whether a majority has promised, and either all connected members have promised too or the wait for them is over.
    fn has_enough_promises(&self) -> bool {
        let Proposer::Preparing {
            started_at,
            promises,
            ..
        } = &self.proposer
        else {
            return false;
        };
        let Some(view) = self.view() else {
            return false;
        };
        let has_promised = |id: &MemberId| promises.iter().any(|other| other.from == *id);
        let is_awaited =
            |id: &MemberId| *id == self.me.id || self.failure_detector.is_connected(id, self.now);
        let mut missing = view
            .members
            .iter()
            .filter(|member| !has_promised(&member.id));
        let none_awaited = !missing.any(|member| is_awaited(&member.id));
        let waited = self.now >= started_at + REMAINING_PROMISES_TIMEOUT;
        promises.len() >= view.majority() && (none_awaited || waited)
    }

    /// Proposes a view: the newest accepted one, which may have been decided already, or else the planned one.
    fn begin_accept_phase(&mut self) {
        let Proposer::Preparing {
            proposal_number,
            promises,
            ..
        } = self.proposer.clone()
        else {
            return;
        };
        let accepted = promises
            .iter()
            .filter_map(|other| other.promise.accepted.as_ref());
        let newest = accepted.max_by(|one, other| one.proposal_number.cmp(&other.proposal_number));
        let proposal = match newest {
            Some(accepted) => Some(accepted.proposal.clone()),
            None => self.planned_proposal(&promises),
        };
        let Some(proposal) = proposal else {
            return self.back_off();
        };
        let voters = self
            .view()
            .map_or_else(Vec::new, |view| view.members.clone());
        self.proposer = Proposer::Accepting {
            proposal_number: proposal_number.clone(),
            started_at: self.now,
            proposal: proposal.clone(),
            accepted_by: Vec::new(),
        };
        for voter in voters {
            let message = Message::Accept {
                proposal_number: proposal_number.clone(),
                proposal: proposal.clone(),
            };
            self.send(&voter.id, message);
        }
    }

    /// The planned view, headed by a member whose log has every earlier commit. Used when no promise reports an accepted
    /// view.
    fn planned_proposal(&mut self, promises: &[PromiseFrom]) -> Option<DecidedView> {
        let plan = self.plan()?;
        let sealed: Vec<SealedLog> = promises.iter().map(PromiseFrom::sealed_log).collect();
        view_after(self.decided.as_ref()?, plan, &sealed)
    }

    pub(super) fn on_accepted(
        &mut self,
        from: MemberId,
        view: ViewNumber,
        accepted: &ProposalNumber,
    ) {
        let Some(present) = self.view().cloned() else {
            return;
        };
        let Proposer::Accepting {
            proposal_number,
            proposal,
            accepted_by,
            ..
        } = &mut self.proposer
        else {
            return;
        };
        let is_new = present.has_member(&from) && !accepted_by.contains(&from);
        if !is_new || view != present.number + 1 || accepted != proposal_number {
            return;
        }
        accepted_by.push(from);
        if accepted_by.len() >= present.majority() {
            let decided = proposal.clone();
            self.install_view(decided.clone());
            self.announce_decided(&decided, Some(&present));
        }
    }

    pub(super) fn next_agreement_tick(&self) -> Option<Millis> {
        let attempt = match &self.proposer {
            Proposer::Preparing {
                started_at,
                promises,
                ..
            } => {
                let has_majority = self
                    .view()
                    .is_some_and(|view| promises.len() >= view.majority());
                Some(if has_majority {
                    started_at + REMAINING_PROMISES_TIMEOUT
                } else {
                    started_at + PROPOSAL_TIMEOUT
                })
            }
            Proposer::Accepting { started_at, .. } => Some(started_at + PROPOSAL_TIMEOUT),
            Proposer::BackingOff { until } => Some(*until),
            Proposer::Idle => self.propose_at,
        };
        let suspicion = self.failure_detector.next_suspicion(self.now);
        [attempt, suspicion].into_iter().flatten().min()
    }
}
