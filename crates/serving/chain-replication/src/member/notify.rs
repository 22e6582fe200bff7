//! Notify: the caller is notified of ended submissions and reads, of views and of quorum changes.

use super::{Member, Output};
use crate::log::{Origin, Ticket};
use crate::timing::REQUEST_TIMEOUT;

impl Member {
    /// Ends the submission of a committed entry. Returns its ticket, if the entry was submitted here and is committed for
    /// the first time.
    pub(super) fn complete_submission(&mut self, origin: Origin) -> Option<Ticket> {
        let is_own = origin.incarnation == self.incarnation;
        (is_own && self.submissions.remove(origin.ticket)).then_some(origin.ticket)
    }

    /// Emits the reads whose commit index is applied.
    pub(super) fn notify_ready_reads(&mut self) {
        let ready = self.reads.remove_ready(self.commit_index);
        self.outputs
            .extend(ready.into_iter().map(|read| Output::ReadReady {
                ticket: read.ticket,
            }));
    }

    /// Drops submissions and reads that are older than [`REQUEST_TIMEOUT`].
    pub(super) fn drop_expired(&mut self) {
        while self
            .submissions
            .next_timeout()
            .is_some_and(|at| self.now >= at)
        {
            let ticket = self.submissions.pending[0].ticket;
            self.submissions.remove(ticket);
            self.outputs.push(Output::Dropped { ticket });
        }
        let Some(oldest) = self.now.checked_sub(REQUEST_TIMEOUT) else {
            return;
        };
        let expired = self.reads.remove_expired(oldest);
        self.outputs
            .extend(expired.into_iter().map(|read| Output::Dropped {
                ticket: read.ticket,
            }));
    }

    pub(super) fn notify_view(&mut self) {
        let has_quorum = self.has_quorum(self.now);
        if let Some(view) = self.view().cloned() {
            self.outputs.push(Output::ViewChanged { view, has_quorum });
            self.notified_quorum = has_quorum;
        }
    }

    /// At the end of each step: notifies the caller if the quorum was gained or lost.
    pub(super) fn notify_quorum_change(&mut self) {
        if self.has_quorum(self.now) != self.notified_quorum {
            self.notify_view();
        }
    }
}
