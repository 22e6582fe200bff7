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
    /// Send a promise or an acceptance to this member.
    SendVote { to: MemberId, message: Box<Message> },
    /// Send the first view, bootstrapped at this member, to its other members.
    AnnounceFirstView,
    /// Note that the log is on disk up to this index.
    LogPersisted { index: LogIndex },
    /// Note that the record is on disk that the log is complete as of this view.
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

    /// Queues a completion to run once all writes queued so far are on disk. A [`Completion::LogPersisted`] that follows
    /// another one replaces its index.
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

    /// Records that a batch is on disk, and returns its completions.
    pub(crate) fn complete_batch(&mut self, number: u64) -> Vec<Completion> {
        match self.in_flight.take() {
            Some(batch) if batch.number == number => batch.completions,
            other => {
                self.in_flight = other;
                Vec::new()
            }
        }
    }

    /// Removes and returns the queued completions if no write is in flight or queued, so that they need not wait.
    pub(crate) fn take_ready(&mut self) -> Vec<Completion> {
        if self.in_flight.is_some() || !self.writes.is_empty() {
            return Vec::new();
        }
        std::mem::take(&mut self.completions)
    }

    /// Removes and returns the queued completions, whether or not their writes are on disk. For tests that remove
    /// `Safeguard::PersistBeforeSend`.
    pub(crate) fn take_unpersisted(&mut self) -> Vec<Completion> {
        std::mem::take(&mut self.completions)
    }

    /// Limits the index of every pending [`Completion::LogPersisted`] to `index`, because the log entries after it were
    /// removed.
    pub(crate) fn limit_persisted_index(&mut self, index: LogIndex) {
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
