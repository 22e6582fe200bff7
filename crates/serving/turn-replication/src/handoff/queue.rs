//! All transfers of this store, one at a time.

use super::drain::Drain;
use super::hints::{HintTable, HintTableFull};
use super::transfer::{Source, Step, Transfer};
use crate::index::Index;
use crate::membership::Candidate;

/// After this long a failed transfer begins again, in milliseconds.
pub const HANDOFF_RETRY_MS: u64 = 500;

/// The next thing to be done for a transfer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandoffStep {
    /// Offer turns to a store.
    Offer {
        /// The store.
        peer: String,
        /// The turns.
        ids: Vec<String>,
    },
    /// Read turns from the disk and send them.
    Read {
        /// The turns.
        ids: Vec<String>,
    },
}

/// On which stores turns are placed, for draining this one.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// The stores that turns are placed on.
    pub candidates: &'a [Candidate],
    /// How many stores hold each turn.
    pub replication_factor: usize,
}

/// All transfers of this store; one is in progress at a time.
#[derive(Debug, Default)]
pub struct HandoffQueue {
    hints: HintTable,
    drain: Option<Drain>,
    transfer: Option<Transfer>,
    /// Increases with each transfer; replies for an earlier one are void.
    serial: u64,
}

impl HandoffQueue {
    /// Records that this store substitutes for `replica` with this turn.
    ///
    /// # Errors
    ///
    /// [`HintTableFull`] if there are too many hints: the replica has to pull the turn.
    pub fn add_hint(&mut self, replica: &str, id: &str, now_ms: u64) -> Result<(), HintTableFull> {
        self.hints.add(replica, id, now_ms)
    }

    /// A turn was accepted while this store drains: `replica` must hold it, too, before the store is drained.
    pub fn require(&mut self, replica: &str, id: &str, now_ms: u64) {
        if self.add_hint(replica, id, now_ms).is_ok() {
            return;
        }
        // The hint is lost: everything is offered once more.
        if let Some(drain) = &mut self.drain {
            drain.restart(replica, now_ms);
        }
    }

    /// Removes the hints for turns that are not held any more.
    pub fn remove_expired(&mut self, index: &Index) {
        self.hints.remove_expired(index);
    }

    /// Begins to drain this store into these replicas; anew if it was draining.
    pub fn begin_drain(&mut self, replicas: impl IntoIterator<Item = String>, now_ms: u64) {
        self.drain = Some(Drain::begin(replicas, now_ms));
        self.transfer = None;
    }

    /// The store does not drain any more.
    pub fn cancel_drain(&mut self) {
        if self.drain.take().is_some() {
            self.transfer = None;
        }
    }

    /// Whether every new replica has acknowledged all that it should hold, including what was accepted meanwhile.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let finished = self.drain.as_ref().and_then(Drain::finished_replicas);
        finished.is_some_and(|mut replicas| replicas.all(|replica| !self.hints.contains(replica)))
    }

    /// The number of the transfer in progress, for its requests and reads.
    #[must_use]
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// When [`Self::next_step`] may return a step that it does not return now, in milliseconds.
    #[must_use]
    pub fn next_due(&self, is_present: impl Fn(&str) -> bool) -> Option<u64> {
        if self.transfer.is_some() {
            return None;
        }
        let hints = self.hints.next_due(is_present);
        let drain = self.drain.as_ref().and_then(Drain::next_due);
        hints.into_iter().chain(drain).min()
    }

    /// The next thing to be done.
    pub fn next_step(
        &mut self,
        index: &Index,
        placement: Placement<'_>,
        is_present: impl Fn(&str) -> bool,
        now_ms: u64,
    ) -> Option<HandoffStep> {
        loop {
            if let Some(transfer) = &mut self.transfer {
                if transfer.step != Step::Ready {
                    return None;
                }
                let ids = transfer.next_ids(index);
                if !ids.is_empty() {
                    transfer.step = Step::Reading;
                    return Some(HandoffStep::Read { ids });
                }
                self.finish();
                continue;
            }
            let transfer = self
                .next_drain_page(index, placement, now_ms)
                .or_else(|| self.next_hints(&is_present, now_ms))?;
            let offer = HandoffStep::Offer {
                peer: transfer.peer.clone(),
                ids: transfer.offered.clone(),
            };
            let has_nothing_to_offer = transfer.offered.is_empty();
            self.transfer = Some(transfer);
            self.serial += 1;
            if has_nothing_to_offer {
                self.finish();
                continue;
            }
            return Some(offer);
        }
    }

    fn next_drain_page(
        &self,
        index: &Index,
        placement: Placement<'_>,
        now_ms: u64,
    ) -> Option<Transfer> {
        let (replica, after) = self.drain.as_ref()?.next_page(now_ms)?;
        let page = index.page_for_replica(
            replica,
            placement.candidates,
            placement.replication_factor,
            after,
            now_ms,
        );
        let offered = page.turns.into_iter().map(|listed| listed.id).collect();
        let source = Source::Drain { next: page.next };
        Some(Transfer::new(replica, source, offered))
    }

    fn next_hints(&self, is_present: &impl Fn(&str) -> bool, now_ms: u64) -> Option<Transfer> {
        let (replica, offered) = self.hints.next_page(is_present, now_ms)?;
        Some(Transfer::new(replica, Source::Hints, offered))
    }

    /// The other store replied to the offer with the turns that it does not hold.
    pub fn offer_answered(&mut self, serial: u64, missing: Vec<String>) {
        if let Some(transfer) = self.transfer_at(serial, Step::Offering) {
            transfer.missing = missing;
            transfer.step = Step::Ready;
        }
    }

    /// The turns have been read; returns the store to send them to.
    pub fn turns_read(&mut self, serial: u64) -> Option<String> {
        let transfer = self.transfer_at(serial, Step::Reading)?;
        transfer.step = Step::Sending;
        Some(transfer.peer.clone())
    }

    /// The other store has acknowledged the turns that were sent.
    pub fn acknowledged(&mut self, serial: u64) {
        if let Some(transfer) = self.transfer_at(serial, Step::Sending) {
            transfer.step = Step::Ready;
        }
    }

    /// The other store could not be reached or rejected the turns, or the disk failed: again later.
    pub fn failed(&mut self, serial: u64, now_ms: u64) {
        if serial != self.serial {
            return;
        }
        let Some(transfer) = self.transfer.take() else {
            return;
        };
        let retry_at_ms = now_ms.saturating_add(HANDOFF_RETRY_MS);
        match (transfer.source, &mut self.drain) {
            (Source::Hints, _) => self.hints.postpone(&transfer.peer, retry_at_ms),
            (Source::Drain { .. }, Some(drain)) => drain.postpone(&transfer.peer, retry_at_ms),
            (Source::Drain { .. }, None) => {}
        }
    }

    /// Everything of the transfer in progress is at the other store.
    fn finish(&mut self) {
        let Some(transfer) = self.transfer.take() else {
            return;
        };
        match (transfer.source, &mut self.drain) {
            (Source::Hints, _) => self.hints.remove(&transfer.peer, &transfer.offered),
            (Source::Drain { next }, Some(drain)) => drain.finish_page(&transfer.peer, next),
            (Source::Drain { .. }, None) => {}
        }
    }

    fn transfer_at(&mut self, serial: u64, step: Step) -> Option<&mut Transfer> {
        if serial != self.serial {
            return None;
        }
        self.transfer
            .as_mut()
            .filter(|transfer| transfer.step == step)
    }
}
