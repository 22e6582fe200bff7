//! Deliveries to other stores, of hints and while this store is being emptied.

use super::{AskPurpose, DiskOutcome, DiskWork, JobPurpose, StoreNode};
use crate::handoff::{DeliveryStep, Placement};
use crate::message::{StoreReply, StoreRequest};

impl StoreNode {
    pub(super) fn delivery_answered(
        &mut self,
        serial: u64,
        reply: Option<StoreReply>,
        now_ms: u64,
    ) {
        match reply {
            Some(StoreReply::Lacks { ids }) => self.deliveries.lacks(serial, ids),
            Some(StoreReply::Kept) => self.deliveries.handed_over(serial),
            _ => self.deliveries.failed(serial, now_ms),
        }
    }

    pub(super) fn delivery_read(&mut self, serial: u64, outcome: DiskOutcome, now_ms: u64) {
        let DiskOutcome::Turns(turns) = outcome else {
            return self.deliveries.failed(serial, now_ms);
        };
        let Some(peer) = self.deliveries.read(serial) else {
            return;
        };
        let turns = self.with_time_left(turns, now_ms);
        self.ask(
            peer,
            AskPurpose::Delivery { serial },
            StoreRequest::Handoff { turns },
            now_ms,
        );
    }

    pub(super) fn deliver(&mut self, now_ms: u64) {
        let stores = &self.stores;
        let present = |name: &str| {
            stores
                .iter()
                .any(|store| store.name == name && store.present && !store.retired)
        };
        let placement = Placement {
            candidates: &self.candidates,
            copies: self.settings.copies,
        };
        let Some(step) = self
            .deliveries
            .next_step(&self.index, placement, present, now_ms)
        else {
            return;
        };
        let serial = self.deliveries.serial();
        match step {
            DeliveryStep::Offer { peer, ids } => {
                self.ask(
                    peer,
                    AskPurpose::Delivery { serial },
                    StoreRequest::Offer { ids },
                    now_ms,
                );
            }
            DeliveryStep::Read { ids } => {
                self.work(JobPurpose::Delivery { serial }, DiskWork::Get(ids))
            }
        }
    }
}
