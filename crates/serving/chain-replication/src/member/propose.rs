//! Propose: a submission of the caller is sent to the head, which appends it to the log.

use super::state::requests::ForwardedSubmission;
use super::{Member, Output};
use crate::identity::MemberId;
use crate::limits::{
    MAX_PENDING_SUBMISSION_BYTES, MAX_SUBMISSIONS, MAX_SUBMISSION_BYTES, MAX_UNCOMMITTED,
    MAX_UNCOMMITTED_BYTES,
};
use crate::log::{Entry, Origin, Position, Ticket};
use crate::message::Message;
use crate::payload::Payload;
use crate::timing::Millis;
use crate::view::ViewNumber;

/// The result of a submission at the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AppendOutcome {
    /// The submission is in the head's log.
    Appended,
    /// Too many or too large entries are uncommitted.
    Overloaded,
}

impl Member {
    pub(super) fn submit(&mut self, ticket: Ticket, payload: Vec<u8>) {
        let is_full = self.submissions.pending.len() >= MAX_SUBMISSIONS
            || self.submissions.bytes() >= MAX_PENDING_SUBMISSION_BYTES;
        if is_full || payload.len() > MAX_SUBMISSION_BYTES {
            self.outputs.push(Output::Dropped { ticket });
            return;
        }
        let index = self
            .submissions
            .push(ticket, Payload::from(payload), self.now);
        self.send_submission(index);
    }

    /// Sends all pending submissions again, after a change of the head or a lost connection to it.
    pub(super) fn send_submissions(&mut self) {
        let mut index = 0;
        while index < self.submissions.pending.len() {
            let before = self.submissions.pending.len();
            self.send_submission(index);
            // A submission that the head rejected is no longer pending.
            let dropped = before - self.submissions.pending.len();
            index += 1 - dropped;
        }
    }

    fn send_submission(&mut self, index: usize) {
        let Some(head) = self.view().and_then(|view| view.head()).cloned() else {
            return;
        };
        let submission = &mut self.submissions.pending[index];
        submission.last_sent_at = Some(self.now);
        let origin = Origin {
            incarnation: self.incarnation,
            ticket: submission.ticket,
        };
        let payload = submission.payload.clone();
        if head != self.me.id {
            let view = self.view_number();
            let message = Message::Submit {
                view,
                origin,
                payload,
            };
            return self.send(&head, message);
        }
        if self.is_synced() && self.append_at_head(origin, payload) == AppendOutcome::Overloaded {
            self.on_overloaded(origin);
        }
    }

    pub(super) fn on_submit(
        &mut self,
        from: MemberId,
        view: ViewNumber,
        origin: Origin,
        payload: Payload,
    ) {
        if view > self.view_number() {
            self.request_view_from(&from);
        }
        let submission = ForwardedSubmission {
            from,
            origin,
            payload,
        };
        if self.is_head() && self.is_synced() {
            self.append_forwarded(submission);
        } else if (self.is_head() || view > self.view_number())
            && self.deferred.submissions.len() < MAX_SUBMISSIONS
        {
            self.deferred.submissions.push(submission);
        }
    }

    fn append_forwarded(&mut self, submission: ForwardedSubmission) {
        let ForwardedSubmission {
            from,
            origin,
            payload,
        } = submission;
        if self.append_at_head(origin, payload) == AppendOutcome::Overloaded {
            self.send(&from, Message::Overloaded { origin });
        }
    }

    fn append_at_head(&mut self, origin: Origin, payload: Payload) -> AppendOutcome {
        // A resent submission whose entry is still uncommitted must not get a second entry.
        if self.log.has_origin_after(self.commit_index, origin) {
            return AppendOutcome::Appended;
        }
        if self.has_too_much_uncommitted() {
            return AppendOutcome::Overloaded;
        }
        let position = Position {
            index: self.log.last().index + 1,
            view: self.view_number(),
        };
        self.append(Entry {
            position,
            origin,
            payload,
        });
        AppendOutcome::Appended
    }

    fn has_too_much_uncommitted(&self) -> bool {
        let too_many = self.log.last().index - self.commit_index >= MAX_UNCOMMITTED;
        // The size of the whole log is known, but that of its uncommitted part has to be summed up, so it is computed only if
        // the whole log exceeds the limit.
        let too_large = || {
            self.log.size_bytes() > MAX_UNCOMMITTED_BYTES
                && self.log.bytes_after(self.commit_index) > MAX_UNCOMMITTED_BYTES
        };
        too_many || too_large()
    }

    pub(super) fn on_overloaded(&mut self, origin: Origin) {
        if origin.incarnation == self.incarnation && self.submissions.remove(origin.ticket) {
            self.outputs.push(Output::Dropped {
                ticket: origin.ticket,
            });
        }
    }

    /// Appends the submissions that were deferred until this member was synced.
    pub(super) fn append_deferred(&mut self, submissions: Vec<ForwardedSubmission>) {
        if self.is_head() {
            self.send_submissions();
            for submission in submissions {
                self.append_forwarded(submission);
            }
        }
    }

    pub(super) fn resend_due_submissions(&mut self) {
        let is_head = self.is_head();
        for index in 0..self.submissions.pending.len() {
            if !self.submissions.pending[index].is_resend_due(self.now) {
                continue;
            }
            if is_head {
                // The head's own submission is already in its log, unless it was rejected.
                self.submissions.pending[index].last_sent_at = Some(self.now);
            } else {
                self.send_submission(index);
            }
        }
    }

    pub(super) fn next_submission_tick(&self) -> Option<Millis> {
        let send = self
            .submissions
            .next_resend()
            .filter(|_| self.decided.is_some());
        [send, self.submissions.next_timeout()]
            .into_iter()
            .flatten()
            .min()
    }
}
