//! Submissions and reads: from the caller to the head, and what is held there until it can be taken.

use super::{Member, Output};
use crate::identity::MemberId;
use crate::log::{Origin, Payload};
use crate::message::{Message, Probe};
use crate::timing::{
    Millis, GIVE_UP_AFTER, MOST_HELD_PROBES, MOST_READS, MOST_SUBMISSIONS, MOST_SUBMISSION_BYTES,
    READ_AGAIN, RESUBMIT_AFTER,
};
use std::collections::VecDeque;

/// A payload of the caller that hasn't been committed yet.
#[derive(Clone, Debug)]
struct Submission {
    ticket: u64,
    payload: Payload,
    since: Millis,
    sent_at: Option<Millis>,
}

/// What the caller has submitted here, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Submissions {
    waiting: VecDeque<Submission>,
    bytes: usize,
}

impl Submissions {
    fn take(&mut self, ticket: u64) -> Option<Submission> {
        let place = self
            .waiting
            .iter()
            .position(|submission| submission.ticket == ticket)?;
        let submission = self.waiting.remove(place)?;
        self.bytes -= submission.payload.len();
        Some(submission)
    }

    fn next_send(&self) -> Option<Millis> {
        self.waiting
            .iter()
            .map(|submission| submission.sent_at.map_or(0, |at| at + RESUBMIT_AFTER))
            .min()
    }

    fn next_drop(&self) -> Option<Millis> {
        self.waiting
            .front()
            .map(|submission| submission.since + GIVE_UP_AFTER)
    }
}

/// A read of the caller.
#[derive(Clone, Debug)]
struct WaitingRead {
    ticket: u64,
    since: Millis,
}

/// Reads that pass along the chain together.
#[derive(Clone, Debug)]
struct Round {
    number: u64,
    reads: Vec<WaitingRead>,
    sent_at: Millis,
}

/// Reads that wait for commits up to an index.
#[derive(Clone, Debug)]
struct ConfirmedReads {
    index: u64,
    reads: Vec<WaitingRead>,
}

/// The caller's reads: waiting for the next round, in the one on its way, or waiting for commits.
#[derive(Clone, Debug)]
pub(super) struct Reads {
    last_round: u64,
    waiting: Vec<WaitingRead>,
    round: Option<Round>,
    confirmed: Vec<ConfirmedReads>,
}

impl Reads {
    pub(super) fn new(first_round: u64) -> Reads {
        Reads {
            last_round: first_round,
            waiting: Vec::new(),
            round: None,
            confirmed: Vec::new(),
        }
    }

    fn count(&self) -> usize {
        let in_round = self.round.as_ref().map_or(0, |round| round.reads.len());
        let confirmed: usize = self
            .confirmed
            .iter()
            .map(|confirmed| confirmed.reads.len())
            .sum();
        self.waiting.len() + in_round + confirmed
    }

    fn lists_mut(&mut self) -> impl Iterator<Item = &mut Vec<WaitingRead>> {
        let round = self.round.iter_mut().map(|round| &mut round.reads);
        let confirmed = self
            .confirmed
            .iter_mut()
            .map(|confirmed| &mut confirmed.reads);
        std::iter::once(&mut self.waiting)
            .chain(round)
            .chain(confirmed)
    }

    /// Takes out all reads from before `since`.
    fn take_older(&mut self, since: Millis) -> Vec<WaitingRead> {
        let mut old = Vec::new();
        for list in self.lists_mut() {
            old.extend(list.iter().filter(|read| read.since <= since).cloned());
            list.retain(|read| read.since > since);
        }
        self.confirmed
            .retain(|confirmed| !confirmed.reads.is_empty());
        old
    }

    fn oldest(&self) -> Option<Millis> {
        let round = self.round.iter().flat_map(|round| round.reads.iter());
        let confirmed = self
            .confirmed
            .iter()
            .flat_map(|confirmed| confirmed.reads.iter());
        self.waiting
            .iter()
            .chain(round)
            .chain(confirmed)
            .map(|read| read.since)
            .min()
    }
}

/// What has come before this member could take it.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldRequests {
    submissions: Vec<HeldSubmission>,
    probes: Vec<Probe>,
}

#[derive(Clone, Debug)]
struct HeldSubmission {
    from: MemberId,
    origin: Origin,
    payload: Payload,
}

impl Member {
    // --- submissions ---

    pub(super) fn submit(
        &mut self,
        ticket: u64,
        payload: Vec<u8>,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let many = self.submissions.waiting.len() >= MOST_SUBMISSIONS;
        if many || self.submissions.bytes + payload.len() > MOST_SUBMISSION_BYTES {
            out.push(Output::Dropped { ticket });
            return;
        }
        let payload = Payload::from(payload);
        self.submissions.bytes += payload.len();
        self.submissions.waiting.push_back(Submission {
            ticket,
            payload,
            since: now,
            sent_at: None,
        });
        let place = self.submissions.waiting.len() - 1;
        self.send_submission(place, now, out);
    }

    /// Sends all to the head again, as a new one has taken over or the connection to it was lost.
    pub(super) fn send_submissions(&mut self, now: Millis, out: &mut Vec<Output>) {
        let mut place = 0;
        while place < self.submissions.waiting.len() {
            let before = self.submissions.waiting.len();
            self.send_submission(place, now, out);
            let dropped = before - self.submissions.waiting.len();
            place += 1 - dropped;
        }
    }

    fn send_submission(&mut self, place: usize, now: Millis, out: &mut Vec<Output>) {
        let Some(head) = self.view().and_then(|view| view.head()).cloned() else {
            return;
        };
        let submission = &mut self.submissions.waiting[place];
        submission.sent_at = Some(now);
        let origin = Origin {
            session: self.session,
            ticket: submission.ticket,
        };
        let payload = submission.payload.clone();
        if head != self.me.id {
            let message = Message::Submit {
                view: self.number(),
                origin,
                payload,
            };
            return self.send(&head, message, now, out);
        }
        if self.is_synced() && !self.append_at_head(origin, payload) {
            self.overloaded(origin, out);
        }
    }

    pub(super) fn submission_received(
        &mut self,
        from: MemberId,
        view: u64,
        origin: Origin,
        payload: Payload,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        if view > self.number() {
            self.ask_for_view_of(&from, now, out);
        }
        let held = HeldSubmission {
            from,
            origin,
            payload,
        };
        if self.is_head() && self.is_synced() {
            self.append_submission(held, now, out);
        } else if (self.is_head() || view > self.number())
            && self.held.submissions.len() < MOST_SUBMISSIONS
        {
            self.held.submissions.push(held);
        }
    }

    fn append_submission(&mut self, held: HeldSubmission, now: Millis, out: &mut Vec<Output>) {
        let HeldSubmission {
            from,
            origin,
            payload,
        } = held;
        if !self.append_at_head(origin, payload) {
            self.send(&from, Message::Overloaded { origin }, now, out);
        }
    }

    pub(super) fn overloaded(&mut self, origin: Origin, out: &mut Vec<Output>) {
        if origin.session == self.session && self.submissions.take(origin.ticket).is_some() {
            out.push(Output::Dropped {
                ticket: origin.ticket,
            });
        }
    }

    /// The ticket, if the entry was submitted here and is committed for the first time.
    pub(super) fn submission_committed(&mut self, origin: Origin) -> Option<u64> {
        let ours = origin.session == self.session;
        ours.then(|| self.submissions.take(origin.ticket))
            .flatten()
            .map(|submission| submission.ticket)
    }

    // --- reads ---

    pub(super) fn read(&mut self, ticket: u64, now: Millis, out: &mut Vec<Output>) {
        if self.reads.count() >= MOST_READS {
            out.push(Output::Dropped { ticket });
            return;
        }
        if !self.guards.reads_confirmed {
            out.push(Output::ReadReady { ticket });
            return;
        }
        self.reads.waiting.push(WaitingRead { ticket, since: now });
        self.begin_round(now, out);
    }

    /// Sends the waiting reads along the chain, unless others are on their way: what is committed after those were
    /// sent they needn't see.
    fn begin_round(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.reads.round.is_some() || self.reads.waiting.is_empty() {
            return;
        }
        self.reads.last_round = self.reads.last_round.wrapping_add(1);
        let reads = std::mem::take(&mut self.reads.waiting);
        self.reads.round = Some(Round {
            number: self.reads.last_round,
            reads,
            sent_at: now,
        });
        self.send_round(now, out);
    }

    fn send_round(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(head) = self.view().and_then(|view| view.head()).cloned() else {
            return;
        };
        let view = self.number();
        let Some(round) = &mut self.reads.round else {
            return;
        };
        round.sent_at = now;
        let probe = Probe {
            view,
            reader: self.me.id.clone(),
            round: round.number,
        };
        self.send(&head, Message::Probe(probe), now, out);
    }

    pub(super) fn probed(
        &mut self,
        from: MemberId,
        probe: Probe,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let Some(view) = self.view().cloned() else {
            return;
        };
        if probe.view > view.number {
            self.ask_for_view_of(&from, now, out);
        }
        let from_predecessor =
            view.is_head(&self.me.id) || view.predecessor(&self.me.id) == Some(&from);
        let counts = probe.view == view.number && from_predecessor;
        if !counts && self.guards.views_checked {
            return;
        }
        if self.is_synced() {
            self.pass_probe(&view, probe, now, out);
        } else if self.held.probes.len() < MOST_HELD_PROBES {
            self.held.probes.push(probe);
        }
    }

    fn pass_probe(
        &mut self,
        view: &crate::identity::View,
        probe: Probe,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        match view.successor(&self.me.id) {
            Some(next) => self.send(next, Message::Probe(probe), now, out),
            None => {
                let answer = Message::ProbeAnswer {
                    round: probe.round,
                    index: self.committed,
                };
                self.send(&probe.reader, answer, now, out);
            }
        }
    }

    pub(super) fn probe_answered(
        &mut self,
        round: u64,
        index: u64,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let Some(round) = self.reads.round.take_if(|own| own.number == round) else {
            return;
        };
        self.reads.confirmed.push(ConfirmedReads {
            index,
            reads: round.reads,
        });
        self.commits_given_out(out);
        if index > self.committed {
            self.hurry_following(now, out);
        }
        self.begin_round(now, out);
    }

    /// Gives out the reads for which enough commits were given out.
    pub(super) fn commits_given_out(&mut self, out: &mut Vec<Output>) {
        let committed = self.committed;
        for confirmed in self
            .reads
            .confirmed
            .iter()
            .filter(|confirmed| confirmed.index <= committed)
        {
            out.extend(confirmed.reads.iter().map(|read| Output::ReadReady {
                ticket: read.ticket,
            }));
        }
        self.reads
            .confirmed
            .retain(|confirmed| confirmed.index > committed);
    }

    // --- views and time ---

    pub(super) fn view_changed_for_requests(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.held.probes.clear();
        if !self.is_head() {
            self.held.submissions.clear();
            self.send_submissions(now, out);
        }
        self.send_round(now, out);
    }

    /// This member takes part in the chain now: what was held goes on.
    pub(super) fn synced_for_requests(&mut self, now: Millis, out: &mut Vec<Output>) {
        let held = std::mem::take(&mut self.held);
        if self.is_head() {
            self.send_submissions(now, out);
            for submission in held.submissions {
                self.append_submission(submission, now, out);
            }
        }
        let Some(view) = self.view().cloned() else {
            return;
        };
        for probe in held.probes {
            self.pass_probe(&view, probe, now, out);
        }
    }

    pub(super) fn tick_requests(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.drop_old(now, out);
        let head = self.is_head();
        for place in 0..self.submissions.waiting.len() {
            let due = self.submissions.waiting[place]
                .sent_at
                .is_none_or(|at| now >= at + RESUBMIT_AFTER);
            // The head has it in its log already, if it has taken it.
            if due && !head {
                self.send_submission(place, now, out);
            } else if due {
                self.submissions.waiting[place].sent_at = Some(now);
            }
        }
        if self
            .reads
            .round
            .as_ref()
            .is_some_and(|round| now >= round.sent_at + READ_AGAIN)
        {
            self.send_round(now, out);
            if let Some(round) = &mut self.reads.round {
                round.sent_at = now;
            }
        }
    }

    fn drop_old(&mut self, now: Millis, out: &mut Vec<Output>) {
        while self.submissions.next_drop().is_some_and(|at| now >= at) {
            let ticket = self.submissions.waiting[0].ticket;
            self.submissions.take(ticket);
            out.push(Output::Dropped { ticket });
        }
        let Some(since) = now.checked_sub(GIVE_UP_AFTER) else {
            return;
        };
        let old = self.reads.take_older(since);
        out.extend(old.into_iter().map(|read| Output::Dropped {
            ticket: read.ticket,
        }));
    }

    pub(super) fn next_request_tick(&self) -> Option<Millis> {
        let read_again = self
            .reads
            .round
            .as_ref()
            .map(|round| round.sent_at + READ_AGAIN);
        let read_drop = self.reads.oldest().map(|since| since + GIVE_UP_AFTER);
        let send = self
            .submissions
            .next_send()
            .filter(|_| self.decided.is_some());
        [read_again, read_drop, send, self.submissions.next_drop()]
            .into_iter()
            .flatten()
            .min()
    }
}
