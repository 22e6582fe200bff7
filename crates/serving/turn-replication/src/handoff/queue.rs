//! Schedules the transfers of this store, one at a time.

use super::drain::Drain;
use super::hints::{HintTable, HintTableFull};
use super::transfer::{Step, Transfer, TransferReason};
use crate::index::Index;
use crate::membership::Candidate;

/// Delay before a failed transfer is retried, in milliseconds.
pub const HANDOFF_RETRY_MS: u64 = 500;

/// The next step of a transfer, to be carried out by the store node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandoffStep {
    /// Offer turns to a store.
    Offer {
        /// The store to send the offer to.
        peer: String,
        /// Ids of the offered turns.
        ids: Vec<String>,
    },
    /// Read turns from the disk and send them.
    Read {
        /// Ids of the turns to read.
        ids: Vec<String>,
    },
}

/// The parameters that determine the replicas of each turn, used to drain this store.
#[derive(Clone, Copy, Debug)]
pub struct PlacementParameters<'a> {
    /// The stores that turns may be placed on.
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
    /// Serial number of the latest transfer. Replies for earlier transfers are ignored.
    serial: u64,
}

impl HandoffQueue {
    /// Records that this store accepted the turn `id` as a substitute for `replica`.
    ///
    /// # Errors
    ///
    /// [`HintTableFull`] if there are too many hints; the replica then has to pull the turn.
    pub fn add_hint(&mut self, replica: &str, id: &str, now_ms: u64) -> Result<(), HintTableFull> {
        self.hints.add(replica, id, now_ms)
    }

    /// Requires that `replica` holds the turn `id` before this store is drained, because the turn was accepted while
    /// the store drains.
    pub fn require_transfer(&mut self, replica: &str, id: &str, now_ms: u64) {
        if self.add_hint(replica, id, now_ms).is_ok() {
            return;
        }
        // No hint could be recorded, so all turns are offered to the replica again.
        if let Some(drain) = &mut self.drain {
            drain.restart(replica, now_ms);
        }
    }

    /// Removes the hints for turns that are no longer in the index.
    pub fn remove_expired(&mut self, index: &Index) {
        self.hints.remove_expired(index);
    }

    /// Begins to drain this store into the given replicas; a drain in progress starts over.
    pub fn begin_drain(&mut self, replicas: impl IntoIterator<Item = String>, now_ms: u64) {
        self.drain = Some(Drain::begin(replicas, now_ms));
        self.transfer = None;
    }

    /// Cancels the drain, if there is one.
    pub fn cancel_drain(&mut self) {
        if self.drain.take().is_some() {
            self.transfer = None;
        }
    }

    /// Whether every new replica has acknowledged all turns that it should hold, including the turns that this store
    /// accepted while draining.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let finished = self.drain.as_ref().and_then(Drain::finished_replicas);
        finished.is_some_and(|mut replicas| replicas.all(|replica| !self.hints.contains(replica)))
    }

    /// Serial number of the latest transfer, which identifies its requests and reads.
    #[must_use]
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Earliest time at which a waiting transfer may begin, in milliseconds; [`Self::next_step`] has to be called then.
    #[must_use]
    pub fn next_due(&self, is_present: impl Fn(&str) -> bool) -> Option<u64> {
        if self.transfer.is_some() {
            return None;
        }
        let hints = self.hints.next_due(is_present);
        let drain = self.drain.as_ref().and_then(Drain::next_due);
        hints.into_iter().chain(drain).min()
    }

    /// Returns the next step of the current or of the next due transfer.
    pub fn next_step(
        &mut self,
        index: &Index,
        placement: PlacementParameters<'_>,
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
                self.finish_transfer();
                continue;
            }
            let transfer = self
                .next_drain_page(index, placement, now_ms)
                .or_else(|| self.next_hint_page(&is_present, now_ms))?;
            let offer = HandoffStep::Offer {
                peer: transfer.peer.clone(),
                ids: transfer.offered.clone(),
            };
            let has_nothing_to_offer = transfer.offered.is_empty();
            self.transfer = Some(transfer);
            self.serial += 1;
            if has_nothing_to_offer {
                self.finish_transfer();
                continue;
            }
            return Some(offer);
        }
    }

    fn next_drain_page(
        &self,
        index: &Index,
        placement: PlacementParameters<'_>,
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
        let reason = TransferReason::Drain { next: page.next };
        Some(Transfer::new(replica, reason, offered))
    }

    fn next_hint_page(&self, is_present: &impl Fn(&str) -> bool, now_ms: u64) -> Option<Transfer> {
        let (replica, offered) = self.hints.next_page(is_present, now_ms)?;
        Some(Transfer::new(replica, TransferReason::Hints, offered))
    }

    /// The other store replied to the offer with the turns that it does not hold.
    pub fn offer_replied(&mut self, serial: u64, missing: Vec<String>) {
        if let Some(transfer) = self.transfer_in_step(serial, Step::Offering) {
            transfer.missing = missing;
            transfer.step = Step::Ready;
        }
    }

    /// The turns were read from disk; returns the store to send them to.
    pub fn turns_read(&mut self, serial: u64) -> Option<String> {
        let transfer = self.transfer_in_step(serial, Step::Reading)?;
        transfer.step = Step::Sending;
        Some(transfer.peer.clone())
    }

    /// The other store has acknowledged the turns that were sent.
    pub fn acknowledged(&mut self, serial: u64) {
        if let Some(transfer) = self.transfer_in_step(serial, Step::Sending) {
            transfer.step = Step::Ready;
        }
    }

    /// The other store could not be reached or rejected the turns, or the disk failed: the transfer is retried after
    /// [`HANDOFF_RETRY_MS`].
    pub fn failed(&mut self, serial: u64, now_ms: u64) {
        if serial != self.serial {
            return;
        }
        let Some(transfer) = self.transfer.take() else {
            return;
        };
        let retry_at_ms = now_ms.saturating_add(HANDOFF_RETRY_MS);
        match (transfer.reason, &mut self.drain) {
            (TransferReason::Hints, _) => self.hints.postpone(&transfer.peer, retry_at_ms),
            (TransferReason::Drain { .. }, Some(drain)) => {
                drain.postpone(&transfer.peer, retry_at_ms)
            }
            (TransferReason::Drain { .. }, None) => {}
        }
    }

    /// Ends the transfer in progress, all of whose turns the other store holds now.
    fn finish_transfer(&mut self) {
        let Some(transfer) = self.transfer.take() else {
            return;
        };
        match (transfer.reason, &mut self.drain) {
            (TransferReason::Hints, _) => self.hints.remove(&transfer.peer, &transfer.offered),
            (TransferReason::Drain { next }, Some(drain)) => {
                drain.finish_page(&transfer.peer, next)
            }
            (TransferReason::Drain { .. }, None) => {}
        }
    }

    fn transfer_in_step(&mut self, serial: u64, step: Step) -> Option<&mut Transfer> {
        if serial != self.serial {
            return None;
        }
        self.transfer
            .as_mut()
            .filter(|transfer| transfer.step == step)
    }
}
