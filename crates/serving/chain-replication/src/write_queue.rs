//! Writes queued for the disk, and the completions that wait for them. One batch is in flight at a time; the writes queued
//! meanwhile make up the next batch (group commit).

use crate::durable::Write;
use crate::identity::MemberId;
use crate::log::LogIndex;
use crate::message::Message;
use crate::timing::Millis;
use crate::view::ViewNumber;

/// An action that runs once the writes queued before it are on disk.
#[derive(Clone, Debug)]
pub(crate) enum Completion {
    /// A promise or an acceptance may be sent.
    SendVote { to: MemberId, message: Box<Message> },
    /// The first view, bootstrapped at this member, may be sent to its other members.
    AnnounceFirstView,
    /// The log is on disk up to this index.
    LogPersisted { index: LogIndex },
    /// The record that the log is complete as of this view is on disk.
    SyncedViewPersisted { view: ViewNumber },
}

/// A batch that was handed to the disk and isn't complete.
#[derive(Clone, Debug)]
struct BatchInFlight {
    number: u64,
    started_at: Millis,
    completions: Vec<Completion>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct WriteQueue {
    last_number: u64,
    in_flight: Option<BatchInFlight>,
    writes: Vec<Write>,
    completions: Vec<Completion>,
}

/// A batch to be handed to the disk.
pub(crate) struct NextBatch {
    pub(crate) number: u64,
    pub(crate) writes: Vec<Write>,
}

impl WriteQueue {
    pub(crate) fn write(&mut self, write: Write) {
        self.writes.push(write);
    }

    /// Queues a completion to run once all writes queued so far are on disk.
    pub(crate) fn when_persisted(&mut self, completion: Completion) {
        if let (
            Completion::LogPersisted { index },
            Some(Completion::LogPersisted { index: last_index }),
        ) = (&completion, self.completions.last_mut())
        {
            *last_index = *index;
            return;
        }
        self.completions.push(completion);
    }

    /// The next batch, if none is in flight and there is something to write.
    pub(crate) fn next_batch(&mut self, now: Millis) -> Option<NextBatch> {
        if self.in_flight.is_some() || self.writes.is_empty() {
            return None;
        }
        self.last_number += 1;
        self.in_flight = Some(BatchInFlight {
            number: self.last_number,
            started_at: now,
            completions: std::mem::take(&mut self.completions),
        });
        Some(NextBatch {
            number: self.last_number,
            writes: std::mem::take(&mut self.writes),
        })
    }

    /// Records that a batch is on disk, and gives its completions.
    pub(crate) fn complete_batch(&mut self, number: u64) -> Vec<Completion> {
        match self.in_flight.take() {
            Some(batch) if batch.number == number => batch.completions,
            other => {
                self.in_flight = other;
                Vec::new()
            }
        }
    }

    /// The completions that needn't wait, as no write is in flight or queued.
    pub(crate) fn take_ready(&mut self) -> Vec<Completion> {
        if self.in_flight.is_some() || !self.writes.is_empty() {
            return Vec::new();
        }
        std::mem::take(&mut self.completions)
    }

    /// The queued completions, whether or not their writes are on disk: for tests that remove
    /// `Safeguard::PersistBeforeSend`.
    pub(crate) fn take_unpersisted(&mut self) -> Vec<Completion> {
        std::mem::take(&mut self.completions)
    }

    /// Lowers the pending completions to `index`, as the entries after it were removed from the log.
    pub(crate) fn truncate(&mut self, index: LogIndex) {
        let in_flight = self
            .in_flight
            .iter_mut()
            .flat_map(|batch| batch.completions.iter_mut());
        for completion in in_flight.chain(self.completions.iter_mut()) {
            if let Completion::LogPersisted { index: persisted } = completion {
                *persisted = index.min(*persisted);
            }
        }
    }

    /// How long the present batch has been in flight; 0 if there is none.
    pub(crate) fn in_flight_for(&self, now: Millis) -> Millis {
        self.in_flight
            .as_ref()
            .map_or(0, |batch| now.saturating_sub(batch.started_at))
    }
}
