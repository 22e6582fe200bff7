//! Linearizable reads. A read request passes along the whole chain, which confirms that each member still belongs to it;
//! the tail replies with its commit index, and the read is ready once commits up to that index are applied here.

use super::state::requests::{ConfirmedReads, PendingRead};
use super::{Member, Output};
use crate::identity::MemberId;
use crate::limits::{MAX_PENDING_READ_REQUESTS, MAX_READS};
use crate::log::{LogIndex, Ticket};
use crate::message::{Message, ReadIndexRequest};
use crate::safeguards::Safeguard;
use crate::timing::{Millis, READ_RETRY};

impl Member {
    pub(super) fn read(&mut self, ticket: Ticket) {
        if self.reads.count() >= MAX_READS {
            self.outputs.push(Output::Dropped { ticket });
            return;
        }
        if !self.safeguards.has(Safeguard::ConfirmReads) {
            self.outputs.push(Output::ReadReady { ticket });
            return;
        }
        self.reads.waiting.push(PendingRead {
            ticket,
            requested_at: self.now,
        });
        self.begin_read_request();
    }

    /// Sends the waiting reads along the chain in one request, unless a request is in flight. A later read can't join that
    /// request: its reply may lack commits that the read must see.
    fn begin_read_request(&mut self) {
        if self.reads.begin_batch(self.now) {
            self.send_read_request();
        }
    }

    /// Sends the request in flight, if there is one, to the head.
    pub(super) fn send_read_request(&mut self) {
        let Some(head) = self.view().and_then(|view| view.head()).cloned() else {
            return;
        };
        let view = self.view_number();
        let Some(batch) = &mut self.reads.in_flight else {
            return;
        };
        batch.sent_at = self.now;
        let request = ReadIndexRequest {
            view,
            reader: self.me.id.clone(),
            request: batch.request,
        };
        self.send(&head, Message::ReadIndex(request));
    }

    pub(super) fn on_read_index(&mut self, from: &MemberId, request: ReadIndexRequest) {
        let Some(view) = self.view() else { return };
        let expects_from = view.is_head(&self.me.id) || view.predecessor(&self.me.id) == Some(from);
        let is_valid = request.view == view.number && expects_from;
        if request.view > view.number {
            self.request_view_from(from);
        }
        if !is_valid && self.safeguards.has(Safeguard::CheckViews) {
            return;
        }
        if self.is_synced() {
            self.forward_read(request);
        } else if self.deferred.reads.len() < MAX_PENDING_READ_REQUESTS {
            self.deferred.reads.push(request);
        }
    }

    /// Forwards a read request to the successor; the tail replies to the reader.
    fn forward_read(&mut self, request: ReadIndexRequest) {
        if let Some(successor) = self.successor() {
            return self.send(&successor, Message::ReadIndex(request));
        }
        let reply = Message::ReadIndexReply {
            request: request.request,
            index: self.commit_index,
        };
        self.send(&request.reader, reply);
    }

    /// Forwards the read requests that were deferred until this member was synced.
    pub(super) fn forward_deferred_reads(&mut self, requests: Vec<ReadIndexRequest>) {
        for request in requests {
            self.forward_read(request);
        }
    }

    pub(super) fn on_read_index_reply(&mut self, request: u64, index: LogIndex) {
        let Some(batch) = self
            .reads
            .in_flight
            .take_if(|batch| batch.request == request)
        else {
            return;
        };
        self.reads.confirmed.push(ConfirmedReads {
            index,
            reads: batch.reads,
        });
        self.notify_ready_reads();
        if index > self.commit_index {
            self.fetch_committed_now();
        }
        self.begin_read_request();
    }

    pub(super) fn retry_read_request(&mut self) {
        let in_flight = self.reads.in_flight.as_mut();
        if let Some(batch) = in_flight.filter(|batch| self.now >= batch.sent_at + READ_RETRY) {
            // Set here too, so that the retry waits also while there is no head to send to.
            batch.sent_at = self.now;
            self.send_read_request();
        }
    }

    pub(super) fn next_read_tick(&self) -> Option<Millis> {
        let retry = self
            .reads
            .in_flight
            .as_ref()
            .map(|batch| batch.sent_at + READ_RETRY);
        [retry, self.reads.next_timeout()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Drops expired requests of the caller and retries pending ones.
    pub(super) fn tick_requests(&mut self) {
        self.drop_expired();
        self.resend_due_submissions();
        self.retry_read_request();
    }
}
