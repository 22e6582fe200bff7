//! The agreement on the next view: single-decree Paxos among the members of the present one.

use super::{Member, Output};
use crate::agreed::{AcceptedView, Ballot, DecidedView};
use crate::disk::Write;
use crate::identity::{MemberId, Peer, View};
use crate::journal::Consequence;
use crate::message::{Message, Promise};
use crate::plan::{plan, Applicant, Plan, Situation, Standing};
use crate::succession::{view_after, SealedLog};
use crate::timing::{
    Millis, ATTEMPT_LASTS, BACKOFF, BACKOFF_JITTER, LAGGING_AFTER, MOST_BEHIND, PROMISES_AWAITED,
    PROMISE_PATIENCE, PROPOSE_JITTER, RANK_DELAY, REPLACE_AFTER,
};

/// What this member has promised and voted for; on disk before it is told. A promise seals the present view here.
#[derive(Clone, Debug, Default)]
pub(super) struct Acceptor {
    pub(super) promised: Option<Ballot>,
    pub(super) accepted: Option<AcceptedView>,
}

/// This member's own attempt to get a view decided.
#[derive(Clone, Debug)]
pub(super) enum Proposer {
    Idle,
    /// The last attempt failed; no further one before this time.
    Waiting {
        until: Millis,
    },
    Preparing {
        ballot: Ballot,
        since: Millis,
        promises: Vec<PromiseOf>,
    },
    Accepting {
        ballot: Ballot,
        since: Millis,
        proposal: DecidedView,
        votes: Vec<MemberId>,
    },
}

/// Who promised what.
#[derive(Clone, Debug)]
pub(super) struct PromiseOf {
    from: MemberId,
    promise: Promise,
}

impl PromiseOf {
    fn sealed_log(&self) -> SealedLog<'_> {
        SealedLog {
            of: &self.from,
            synced_view: self.promise.synced_view,
            last: self.promise.last,
        }
    }
}

impl Member {
    /// Whether a promise has sealed the present view here.
    pub(super) fn is_sealed(&self) -> bool {
        self.acceptor.promised.is_some()
    }

    /// A new view: all that was about it or those before ends.
    pub(super) fn end_agreement(&mut self) {
        self.acceptor = Acceptor::default();
        self.proposer = Proposer::Idle;
        self.propose_at = None;
    }

    /// Goes on with an attempt, or begins one if there should be another view and it is this member's turn.
    pub(super) fn consider_next_view(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.view().is_some_and(|view| view.has_member(&self.me.id)) {
            return;
        }
        match &self.proposer {
            Proposer::Preparing { .. } if self.promises_suffice(now) => {
                return self.propose(now, out)
            }
            Proposer::Preparing { since, .. } | Proposer::Accepting { since, .. } => {
                if now >= since + ATTEMPT_LASTS {
                    self.back_off(now);
                }
                return;
            }
            Proposer::Waiting { until } if now < *until => return,
            Proposer::Waiting { .. } | Proposer::Idle => self.proposer = Proposer::Idle,
        }
        if !self.wants_next_view(now) {
            self.propose_at = None;
            return;
        }
        let turn = now + self.rank(now) * RANK_DELAY + self.random.below(PROPOSE_JITTER);
        if now >= *self.propose_at.get_or_insert(turn) {
            self.begin_attempt(now, out);
        }
    }

    fn wants_next_view(&mut self, now: Millis) -> bool {
        let Some(plan) = self.plan(now) else {
            return false;
        };
        let in_force = self.view().is_some_and(|view| plan.is_in_force(view));
        (self.is_sealed() || !in_force) && self.may_propose(now)
    }

    /// A member that is cut off even one way, or whose disk doesn't answer, would only disturb the others.
    fn may_propose(&self, now: Millis) -> bool {
        let Some(view) = self.view() else {
            return false;
        };
        let proven = view
            .members
            .iter()
            .filter(|member| self.peers.is_proven(&member.id, now))
            .count();
        proven + 1 >= view.majority() && !self.is_stalled(now)
    }

    /// How many go before this member in proposing: those before it in the chain, or in the members' order.
    fn rank(&self, now: Millis) -> u64 {
        let Some(view) = self.view() else { return 0 };
        let others = view
            .members
            .iter()
            .map(|member| &member.id)
            .filter(|id| !view.in_chain(id));
        let order = view
            .chain
            .iter()
            .chain(others)
            .take_while(|id| **id != self.me.id);
        order
            .filter(|id| self.peers.is_heard(id, now) && !self.is_unfit_by_ping(id))
            .count() as u64
    }

    fn is_unfit_by_ping(&self, id: &MemberId) -> bool {
        self.peers
            .ping(id, self.number())
            .is_some_and(|ping| ping.stalled || ping.leaving)
    }

    fn begin_attempt(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(decided) = self.decided.clone() else {
            return;
        };
        let round = self
            .acceptor
            .promised
            .as_ref()
            .map_or(0, |promised| promised.round)
            + 1;
        let ballot = Ballot {
            round,
            proposer: self.me.id.clone(),
            session: self.session,
        };
        self.propose_at = None;
        self.proposer = Proposer::Preparing {
            ballot: ballot.clone(),
            since: now,
            promises: Vec::new(),
        };
        for member in &decided.view.members {
            let message = Message::Prepare {
                ballot: ballot.clone(),
                decided: decided.clone(),
            };
            self.send(&member.id, message, now, out);
        }
    }

    fn back_off(&mut self, now: Millis) {
        self.proposer = Proposer::Waiting {
            until: now + BACKOFF + self.random.below(BACKOFF_JITTER),
        };
        self.propose_at = None;
    }

    /// Messages of the agreement say on which view they build: later ones are learned, to earlier ones the present
    /// view is told. Says whether the sender may ask for this member's vote.
    fn same_base(
        &mut self,
        from: &MemberId,
        number: u64,
        now: Millis,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(view) = self.view() else {
            return false;
        };
        let voter = view.has_member(from) && view.has_member(&self.me.id);
        if number > view.number + 1 {
            self.ask_for_view_of(from, now, out);
            return false;
        }
        if number <= view.number && self.guards.decided_once {
            if let Some(from) = view.member(from).cloned() {
                self.tell_view(&from, out);
            }
            return false;
        }
        voter
    }

    pub(super) fn prepare_asked(
        &mut self,
        from: MemberId,
        ballot: Ballot,
        decided: DecidedView,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let number = decided.number() + 1;
        self.learn(decided, now, out);
        if !self.same_base(&from, number, now, out) {
            return;
        }
        if let Some(promised) = self
            .acceptor
            .promised
            .clone()
            .filter(|promised| *promised > ballot)
        {
            return self.send(&from, Message::Refuse { number, promised }, now, out);
        }
        self.promise_to(ballot.clone(), now);
        let promise = Promise {
            number,
            ballot,
            accepted: self.acceptor.accepted.clone(),
            synced_view: self.synced_view,
            last: self.log.last(),
        };
        self.journal.then(Consequence::Vote {
            to: from,
            message: Box::new(Message::Promise(promise)),
        });
    }

    /// Seals the present view here.
    fn promise_to(&mut self, ballot: Ballot, now: Millis) {
        if ballot.proposer != self.me.id {
            let rank = self.rank(now);
            self.propose_at = Some(
                now + PROMISE_PATIENCE + rank * RANK_DELAY + self.random.below(PROPOSE_JITTER),
            );
        }
        self.journal.write(Write::Promise {
            ballot: ballot.clone(),
        });
        self.acceptor.promised = Some(ballot);
        self.seal();
    }

    pub(super) fn promised(
        &mut self,
        from: MemberId,
        promise: Promise,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let voter = self.view().is_some_and(|view| view.has_member(&from));
        let number = self.number() + 1;
        if let Proposer::Preparing {
            ballot, promises, ..
        } = &mut self.proposer
        {
            let new = !promises.iter().any(|other| other.from == from);
            if voter && new && promise.number == number && promise.ballot == *ballot {
                promises.push(PromiseOf { from, promise });
                self.consider_next_view(now, out);
            }
        }
    }

    pub(super) fn refused(&mut self, number: u64, promised: Ballot, now: Millis) {
        let own = match &self.proposer {
            Proposer::Preparing { ballot, .. } | Proposer::Accepting { ballot, .. } => ballot,
            Proposer::Idle | Proposer::Waiting { .. } => return,
        };
        if number == self.number() + 1 && promised > *own {
            self.back_off(now);
        }
    }

    /// A majority has promised, and so have all that seem alive, or they were awaited long enough.
    fn promises_suffice(&self, now: Millis) -> bool {
        let Proposer::Preparing {
            since, promises, ..
        } = &self.proposer
        else {
            return false;
        };
        let Some(view) = self.view() else {
            return false;
        };
        let promised = |id: &MemberId| promises.iter().any(|other| other.from == *id);
        let missing = view
            .members
            .iter()
            .map(|member| &member.id)
            .filter(|id| !promised(id));
        let all = missing
            .filter(|id| **id == self.me.id || self.peers.is_connected(id, now))
            .count()
            == 0;
        promises.len() >= view.majority() && (all || now >= since + PROMISES_AWAITED)
    }

    /// Puts a view to the vote: the one that may have been decided already, or else the one that there should be.
    fn propose(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Proposer::Preparing {
            ballot, promises, ..
        } = self.proposer.clone()
        else {
            return;
        };
        let accepted = promises
            .iter()
            .filter_map(|other| other.promise.accepted.as_ref());
        let newest = accepted.max_by(|one, other| one.ballot.cmp(&other.ballot));
        let proposal = match newest {
            Some(accepted) => Some(accepted.proposal.clone()),
            None => self.free_proposal(&promises, now),
        };
        let Some(proposal) = proposal else {
            return self.back_off(now);
        };
        let voters: Vec<Peer> = self
            .view()
            .map_or_else(Vec::new, |view| view.members.clone());
        let votes = Vec::new();
        self.proposer = Proposer::Accepting {
            ballot: ballot.clone(),
            since: now,
            proposal: proposal.clone(),
            votes,
        };
        for voter in voters {
            let message = Message::Accept {
                ballot: ballot.clone(),
                proposal: proposal.clone(),
            };
            self.send(&voter.id, message, now, out);
        }
    }

    /// The view that there should be, headed by a member whose log holds all that was committed before.
    fn free_proposal(&mut self, promises: &[PromiseOf], now: Millis) -> Option<DecidedView> {
        let plan = self.plan(now)?;
        let sealed: Vec<SealedLog> = promises.iter().map(PromiseOf::sealed_log).collect();
        view_after(self.decided.as_ref()?, plan, &sealed)
    }

    pub(super) fn accept_asked(
        &mut self,
        from: MemberId,
        ballot: Ballot,
        proposal: DecidedView,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let number = proposal.number();
        if !self.same_base(&from, number, now, out) || !proposal.view.is_sound() {
            return;
        }
        if let Some(promised) = self
            .acceptor
            .promised
            .clone()
            .filter(|promised| *promised > ballot)
        {
            return self.send(&from, Message::Refuse { number, promised }, now, out);
        }
        self.promise_to(ballot.clone(), now);
        let accepted = AcceptedView {
            ballot: ballot.clone(),
            proposal,
        };
        self.journal.write(Write::Accept {
            accepted: accepted.clone(),
        });
        self.acceptor.accepted = Some(accepted);
        let message = Box::new(Message::Accepted { number, ballot });
        self.journal.then(Consequence::Vote { to: from, message });
    }

    pub(super) fn accepted(
        &mut self,
        from: MemberId,
        number: u64,
        ballot: Ballot,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let Some(view) = self.view().cloned() else {
            return;
        };
        let Proposer::Accepting {
            ballot: own,
            proposal,
            votes,
            ..
        } = &mut self.proposer
        else {
            return;
        };
        let counts = view.has_member(&from) && !votes.contains(&from);
        if !counts || number != view.number + 1 || ballot != *own {
            return;
        }
        votes.push(from);
        if votes.len() >= view.majority() {
            let decided = proposal.clone();
            self.install(decided.clone(), now, out);
            self.tell_decided(&decided, Some(&view), out);
        }
    }

    /// The view that there should be, by what this member sees.
    fn plan(&mut self, now: Millis) -> Option<Plan> {
        let view = self.view()?.clone();
        let mut standings: Vec<Standing> = (0..view.members.len())
            .map(|index| self.standing(&view, index, now))
            .collect();
        self.note_returns(&view, &mut standings, now);
        let heard = self
            .newcomers
            .iter()
            .filter(|newcomer| newcomer.is_heard(now));
        let applicants: Vec<Applicant> = heard.map(|newcomer| newcomer.applicant(now)).collect();
        plan(&Situation {
            view: &view,
            standings: &standings,
            applicants: &applicants,
        })
    }

    fn standing(&self, view: &View, index: usize, now: Millis) -> Standing {
        let id = &view.members[index].id;
        let silent = !self.is_heard_by_any(view, index, now);
        let connected = (0..view.members.len())
            .map(|other| self.connected(view, index, other, now))
            .collect();
        Standing {
            connected,
            unfit: self.is_unfit(view, id, now),
            may_return: false,
            accusers: self.accusers(view, index, now),
            silent,
            present: *id == self.me.id || self.peers.ping(id, view.number).is_some(),
            replaceable: silent && self.peers.silent_for(id, now) >= REPLACE_AFTER,
            leaving: self.says_it_leaves(id),
            synced: self.is_known_synced(view, id),
        }
    }

    fn says_it_leaves(&self, id: &MemberId) -> bool {
        if *id == self.me.id {
            self.is_leaving()
        } else {
            self.peers.is_leaving(id)
        }
    }

    /// Whether the member has told that its log holds all that it must in this view.
    fn is_known_synced(&self, view: &View, id: &MemberId) -> bool {
        if *id == self.me.id {
            self.has_come_up()
        } else {
            self.peers
                .ping(id, view.number)
                .is_some_and(|ping| ping.synced)
        }
    }

    /// What `one` has told about its connection with `other`; nothing, if it isn't heard or hasn't told in this view.
    fn told_connected(&self, view: &View, one: usize, other: usize, now: Millis) -> Option<bool> {
        let id = &view.members[one].id;
        let ping = self
            .peers
            .ping(id, view.number)
            .filter(|_| self.peers.is_heard(id, now));
        ping.map(|ping| ping.connected & 1 << other != 0)
    }

    /// Whether two members are connected both ways, as far as is known: neither of them has told otherwise.
    fn connected(&self, view: &View, one: usize, other: usize, now: Millis) -> bool {
        let (first, second) = (&view.members[one].id, &view.members[other].id);
        if one == other {
            true
        } else if *first == self.me.id {
            self.peers.is_connected(second, now)
        } else if *second == self.me.id {
            self.peers.is_connected(first, now)
        } else {
            let denied = |from, to| self.told_connected(view, from, to, now) == Some(false);
            !denied(one, other) && !denied(other, one)
        }
    }

    /// How many say that they have lost the member at `index`.
    fn accusers(&self, view: &View, index: usize, now: Millis) -> usize {
        let accuses = |other: &usize| {
            let id = &view.members[*other].id;
            if *id == self.me.id {
                !self.peers.is_heard(&view.members[index].id, now)
            } else {
                self.told_connected(view, *other, index, now) == Some(false)
            }
        };
        (0..view.members.len())
            .filter(|other| *other != index)
            .filter(accuses)
            .count()
    }

    /// Whether this member, or one that it hears, is in touch with the member at `index`.
    fn is_heard_by_any(&self, view: &View, index: usize, now: Millis) -> bool {
        let id = &view.members[index].id;
        let mut others = (0..view.members.len()).filter(|other| *other != index);
        *id == self.me.id
            || self.peers.is_heard(id, now)
            || others.any(|other| self.told_connected(view, other, index, now) == Some(true))
    }

    fn is_unfit(&self, view: &View, id: &MemberId, now: Millis) -> bool {
        if *id == self.me.id {
            return self.is_leaving() || self.is_stalled(now) || self.is_lagging(view, id, now);
        }
        self.is_unfit_by_ping(id) || self.is_lagging(view, id, now)
    }

    /// The first in the chain that hasn't come up to its predecessor long after the view began.
    fn is_lagging(&self, view: &View, id: &MemberId, now: Millis) -> bool {
        let synced = |id: &&MemberId| {
            let ping = self.peers.ping(id, view.number);
            if **id == self.me.id {
                self.has_come_up()
            } else {
                ping.is_none_or(|ping| ping.synced)
            }
        };
        now >= self.decided_at + LAGGING_AFTER
            && view.chain.iter().find(|id| !synced(id)) == Some(id)
    }

    /// Notes how long the members out of the chain have been well.
    fn note_returns(&mut self, view: &View, standings: &mut [Standing], now: Millis) {
        let in_chain: Vec<usize> = view
            .chain
            .iter()
            .filter_map(|id| view.member_index(id))
            .collect();
        for index in (0..view.members.len()).filter(|index| !in_chain.contains(index)) {
            let connected = |other: &usize| {
                let heard = !standings[*other].silent;
                !heard || standings[index].connected[*other]
            };
            let id = &view.members[index].id;
            let fit = !standings[index].unfit
                && !standings[index].silent
                && in_chain.iter().all(connected);
            let well = fit && self.has_nearly_all_commits(id, view.number);
            standings[index].may_return = self.peers.may_return(id, well, now);
        }
    }

    /// A member that is taken in too early holds the chain up until it has caught up.
    fn has_nearly_all_commits(&self, id: &MemberId, number: u64) -> bool {
        self.peers
            .ping(id, number)
            .is_some_and(|ping| ping.committed + MOST_BEHIND >= self.committed)
    }

    pub(super) fn next_agreement_tick(&self) -> Option<Millis> {
        let attempt = match &self.proposer {
            Proposer::Preparing {
                since, promises, ..
            } => {
                let enough = self
                    .view()
                    .is_some_and(|view| promises.len() >= view.majority());
                Some(
                    since
                        + if enough {
                            PROMISES_AWAITED
                        } else {
                            ATTEMPT_LASTS
                        },
                )
            }
            Proposer::Accepting { since, .. } => Some(since + ATTEMPT_LASTS),
            Proposer::Waiting { until } => Some(*until),
            Proposer::Idle => self.propose_at,
        };
        let suspicion = self.peers.next_suspicion(self.last_step);
        [attempt, suspicion].into_iter().flatten().min()
    }
}
