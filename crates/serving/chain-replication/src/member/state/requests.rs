//! Pending submissions and reads.

use crate::identity::MemberId;
use crate::log::{LogIndex, Origin, Ticket};
use crate::message::ReadIndexRequest;
use crate::payload::Payload;
use crate::timing::{Millis, REQUEST_TIMEOUT, RESUBMIT_INTERVAL};
use std::collections::VecDeque;

/// A payload of the caller that hasn't been committed yet.
#[derive(Clone, Debug)]
pub(crate) struct Submission {
    pub(crate) ticket: Ticket,
    pub(crate) payload: Payload,
    submitted_at: Millis,
    /// When it was last sent to the head, or appended to the log if this member is the head.
    pub(crate) last_sent_at: Option<Millis>,
}

impl Submission {
    pub(crate) fn is_resend_due(&self, now: Millis) -> bool {
        self.last_sent_at
            .is_none_or(|at| now >= at + RESUBMIT_INTERVAL)
    }
}

/// The caller's pending submissions at this member, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingSubmissions {
    pub(crate) pending: VecDeque<Submission>,
    bytes: usize,
}

impl PendingSubmissions {
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a submission and returns its index among the pending ones.
    pub(crate) fn push(&mut self, ticket: Ticket, payload: Payload, now: Millis) -> usize {
        self.bytes += payload.len();
        self.pending.push_back(Submission {
            ticket,
            payload,
            submitted_at: now,
            last_sent_at: None,
        });
        self.pending.len() - 1
    }

    /// Removes the submission of a ticket, and returns whether it was pending.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        let index = self
            .pending
            .iter()
            .position(|submission| submission.ticket == ticket);
        let Some(submission) = index.and_then(|index| self.pending.remove(index)) else {
            return false;
        };
        self.bytes -= submission.payload.len();
        true
    }

    pub(crate) fn next_resend(&self) -> Option<Millis> {
        let send_at = |submission: &Submission| {
            submission
                .last_sent_at
                .map_or(0, |at| at + RESUBMIT_INTERVAL)
        };
        self.pending.iter().map(send_at).min()
    }

    pub(crate) fn next_timeout(&self) -> Option<Millis> {
        self.pending
            .front()
            .map(|submission| submission.submitted_at + REQUEST_TIMEOUT)
    }
}

/// A read of the caller.
#[derive(Clone, Debug)]
pub(crate) struct PendingRead {
    pub(crate) ticket: Ticket,
    pub(crate) requested_at: Millis,
}

/// Reads that one read request carries along the chain.
#[derive(Clone, Debug)]
pub(crate) struct ReadBatch {
    pub(crate) request: u64,
    pub(crate) reads: Vec<PendingRead>,
    pub(crate) sent_at: Millis,
}

/// Reads that wait for commits up to an index.
#[derive(Clone, Debug)]
pub(crate) struct ConfirmedReads {
    pub(crate) index: LogIndex,
    pub(crate) reads: Vec<PendingRead>,
}

/// The caller's reads: waiting for the next read request, in the request in flight, or waiting for commits.
#[derive(Clone, Debug)]
pub(crate) struct PendingReads {
    last_request: u64,
    pub(crate) waiting: Vec<PendingRead>,
    pub(crate) in_flight: Option<ReadBatch>,
    pub(crate) confirmed: Vec<ConfirmedReads>,
}

impl PendingReads {
    /// Creates the state without reads. Read requests are numbered from `last_request + 1`; the caller draws
    /// `last_request` at random, so that runs of the process use different numbers.
    pub(crate) fn new(last_request: u64) -> PendingReads {
        PendingReads {
            last_request,
            waiting: Vec::new(),
            in_flight: None,
            confirmed: Vec::new(),
        }
    }

    pub(crate) fn count(&self) -> usize {
        let in_flight = self.in_flight.as_ref().map_or(0, |batch| batch.reads.len());
        let confirmed: usize = self
            .confirmed
            .iter()
            .map(|confirmed| confirmed.reads.len())
            .sum();
        self.waiting.len() + in_flight + confirmed
    }

    /// Puts all waiting reads into one request, unless a request is in flight. Returns whether there is a new request to
    /// send.
    pub(crate) fn begin_batch(&mut self, now: Millis) -> bool {
        if self.in_flight.is_some() || self.waiting.is_empty() {
            return false;
        }
        self.last_request = self.last_request.wrapping_add(1);
        self.in_flight = Some(ReadBatch {
            request: self.last_request,
            reads: std::mem::take(&mut self.waiting),
            sent_at: now,
        });
        true
    }

    fn lists_mut(&mut self) -> impl Iterator<Item = &mut Vec<PendingRead>> {
        let in_flight = self.in_flight.iter_mut().map(|batch| &mut batch.reads);
        let confirmed = self
            .confirmed
            .iter_mut()
            .map(|confirmed| &mut confirmed.reads);
        std::iter::once(&mut self.waiting)
            .chain(in_flight)
            .chain(confirmed)
    }

    /// Removes and returns all reads that were requested at `oldest` or before.
    pub(crate) fn remove_expired(&mut self, oldest: Millis) -> Vec<PendingRead> {
        let mut expired = Vec::new();
        for list in self.lists_mut() {
            expired.extend(
                list.iter()
                    .filter(|read| read.requested_at <= oldest)
                    .cloned(),
            );
            list.retain(|read| read.requested_at > oldest);
        }
        self.confirmed
            .retain(|confirmed| !confirmed.reads.is_empty());
        expired
    }

    /// Removes and returns the confirmed reads that need no commits beyond this index.
    pub(crate) fn remove_ready(&mut self, commit_index: LogIndex) -> Vec<PendingRead> {
        let ready = self
            .confirmed
            .iter()
            .filter(|confirmed| confirmed.index <= commit_index);
        let reads = ready
            .flat_map(|confirmed| confirmed.reads.iter().cloned())
            .collect();
        self.confirmed
            .retain(|confirmed| confirmed.index > commit_index);
        reads
    }

    pub(crate) fn next_timeout(&self) -> Option<Millis> {
        let in_flight = self.in_flight.iter().flat_map(|batch| batch.reads.iter());
        let confirmed = self
            .confirmed
            .iter()
            .flat_map(|confirmed| confirmed.reads.iter());
        let all = self.waiting.iter().chain(in_flight).chain(confirmed);
        all.map(|read| read.requested_at + REQUEST_TIMEOUT).min()
    }
}

/// Requests of other members that arrived before this member was synced.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeferredRequests {
    pub(crate) submissions: Vec<ForwardedSubmission>,
    pub(crate) reads: Vec<ReadIndexRequest>,
}

/// A submission that another member has forwarded to the head.
#[derive(Clone, Debug)]
pub(crate) struct ForwardedSubmission {
    pub(crate) from: MemberId,
    pub(crate) origin: Origin,
    pub(crate) payload: Payload,
}
