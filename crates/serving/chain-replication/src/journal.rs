//! Writes on their way to the disk, and what waits for them. One batch is out at a time; what comes meanwhile makes
//! up the next one.

use crate::disk::Write;
use crate::identity::MemberId;
use crate::message::Message;
use crate::timing::Millis;

/// What happens once a batch is on disk.
#[derive(Clone, Debug)]
pub enum Consequence {
    /// A vote may be sent.
    Vote { to: MemberId, message: Box<Message> },
    /// The first view, set here, may be told to its other members.
    Founded,
    /// The log is on disk up to this index.
    Stored { index: u64 },
    /// The log holds all that it must in this view.
    Synced { view: u64 },
}

/// A batch that the disk has been given.
#[derive(Clone, Debug)]
struct Batch {
    number: u64,
    since: Millis,
    consequences: Vec<Consequence>,
}

#[derive(Clone, Debug, Default)]
pub struct Journal {
    last_number: u64,
    out: Option<Batch>,
    writes: Vec<Write>,
    consequences: Vec<Consequence>,
}

/// A batch to be given to the disk.
pub struct NextBatch {
    pub number: u64,
    pub writes: Vec<Write>,
}

impl Journal {
    pub fn write(&mut self, write: Write) {
        self.writes.push(write);
    }

    /// Waits for all writes so far.
    pub fn then(&mut self, consequence: Consequence) {
        if let (Consequence::Stored { index }, Some(Consequence::Stored { index: stored })) =
            (&consequence, self.consequences.last_mut())
        {
            *stored = *index;
            return;
        }
        self.consequences.push(consequence);
    }

    /// The next batch, if none is out and there is something to write or to wait for.
    pub fn next_batch(&mut self, now: Millis) -> Option<NextBatch> {
        if self.out.is_some() || self.writes.is_empty() {
            return None;
        }
        self.last_number += 1;
        let consequences = std::mem::take(&mut self.consequences);
        self.out = Some(Batch {
            number: self.last_number,
            since: now,
            consequences,
        });
        Some(NextBatch {
            number: self.last_number,
            writes: std::mem::take(&mut self.writes),
        })
    }

    /// What waited for this batch.
    pub fn persisted(&mut self, number: u64) -> Vec<Consequence> {
        match self.out.take() {
            Some(batch) if batch.number == number => batch.consequences,
            other => {
                self.out = other;
                Vec::new()
            }
        }
    }

    /// What waits for nothing: nothing is out or to be written.
    pub fn unhindered(&mut self) -> Vec<Consequence> {
        if self.out.is_some() || !self.writes.is_empty() {
            return Vec::new();
        }
        std::mem::take(&mut self.consequences)
    }

    /// All that waits, whether or not it is on disk; for the guard that is against this.
    pub fn unsynced(&mut self) -> Vec<Consequence> {
        std::mem::take(&mut self.consequences)
    }

    /// Entries after `index` were cut off: what is on disk of them doesn't count.
    pub fn truncated(&mut self, index: u64) {
        let out = self
            .out
            .iter_mut()
            .flat_map(|batch| batch.consequences.iter_mut());
        for consequence in out.chain(self.consequences.iter_mut()) {
            if let Consequence::Stored { index: stored } = consequence {
                *stored = index.min(*stored);
            }
        }
    }

    /// How long the disk has had a batch without an answer.
    pub fn out_for(&self, now: Millis) -> Millis {
        self.out
            .as_ref()
            .map_or(0, |batch| now.saturating_sub(batch.since))
    }
}
