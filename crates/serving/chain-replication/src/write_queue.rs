//! Writes on their way to the disk, and what waits for them. One batch is in flight at a time; what is queued meanwhile
//! makes up the next one (group commit).

use crate::durable::Write;
use crate::identity::MemberId;
use crate::log::LogIndex;
use crate::message::Message;
use crate::timing::Millis;
use crate::view::ViewNumber;

/// What happens once the writes queued before it are on disk.
#[derive(Clone, Debug)]
pub(crate) enum Completion {
    /// A promise or an acceptance may be sent.
    SendVote { to: MemberId, message: Box<Message> },
    /// The first view, bootstrapped here, may be sent to its other members.
    AnnounceFirstView,
    /// The log is on disk up to this index.
    LogPersisted { index: LogIndex },
    /// It is on disk that the log is complete as of this view.
    SyncedViewPersisted { view: ViewNumber },
}

/// A batch that the disk has been given.
#[derive(Clone, Debug)]
struct BatchInFlight {
    number: u64,
    since: Millis,
    completions: Vec<Completion>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct WriteQueue {
    last_number: u64,
    in_flight: Option<BatchInFlight>,
    writes: Vec<Write>,
    completions: Vec<Completion>,
}

/// A batch to be given to the disk.
pub(crate) struct NextBatch {
    pub(crate) number: u64,
    pub(crate) writes: Vec<Write>,
}

impl WriteQueue {
    pub(crate) fn write(&mut self, write: Write) {
        self.writes.push(write);
    }

    /// Waits for all writes so far.
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
            since: now,
            completions: std::mem::take(&mut self.completions),
        });
        Some(NextBatch {
            number: self.last_number,
            writes: std::mem::take(&mut self.writes),
        })
    }

    /// The batch is on disk: what waited for it.
    pub(crate) fn complete_batch(&mut self, number: u64) -> Vec<Completion> {
        match self.in_flight.take() {
            Some(batch) if batch.number == number => batch.completions,
            other => {
                self.in_flight = other;
                Vec::new()
            }
        }
    }

    /// What waits for nothing, as nothing is in flight or to be written.
    pub(crate) fn take_ready(&mut self) -> Vec<Completion> {
        if self.in_flight.is_some() || !self.writes.is_empty() {
            return Vec::new();
        }
        std::mem::take(&mut self.completions)
    }

    /// All that waits, whether or not it is on disk: for tests that remove `Safeguard::PersistBeforeSend`.
    pub(crate) fn take_unpersisted(&mut self) -> Vec<Completion> {
        std::mem::take(&mut self.completions)
    }

    /// Entries after `index` were removed: what is on disk of them doesn't count.
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

    /// How long the disk has had the batch in flight.
    pub(crate) fn in_flight_for(&self, now: Millis) -> Millis {
        self.in_flight
            .as_ref()
            .map_or(0, |batch| now.saturating_sub(batch.since))
    }
}
