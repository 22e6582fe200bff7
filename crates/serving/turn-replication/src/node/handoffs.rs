//! Transfers to other stores: of hinted turns, and of all turns while this store drains.

use super::interface::{DiskOutcome, DiskWork};
use super::purposes::{JobPurpose, RequestPurpose};
use super::state::StoreNode;
use crate::handoff::{HandoffStep, PlacementParameters};
use crate::membership::Candidate;
use crate::message::{StoreReply, StoreRequest};
use crate::placement;
use crate::safeguards::Safeguard;
use crate::turn::TurnHeader;

impl StoreNode {
    pub(super) fn handoff_replied(&mut self, serial: u64, reply: Option<StoreReply>, now_ms: u64) {
        match reply {
            Some(StoreReply::Missing { ids }) => self.handoffs.offer_replied(serial, ids),
            Some(StoreReply::Stored) => self.handoffs.acknowledged(serial),
            _ => self.handoffs.failed(serial, now_ms),
        }
    }

    /// Sends the turns that were read from disk to the store that lacks them.
    pub(super) fn send_handoff(&mut self, serial: u64, outcome: DiskOutcome, now_ms: u64) {
        let DiskOutcome::Turns(turns) = outcome else {
            return self.handoffs.failed(serial, now_ms);
        };
        let Some(peer) = self.handoffs.turns_read(serial) else {
            return;
        };
        let turns = self.with_remaining_retention(turns, now_ms);
        let request = StoreRequest::Handoff { turns };
        self.send(peer, RequestPurpose::Handoff { serial }, request, now_ms);
    }

    pub(super) fn continue_handoff(&mut self, now_ms: u64) {
        let stores = &self.stores;
        let is_present = |name: &str| {
            let mut stores = stores.iter();
            stores.any(|store| store.name == name && store.present && !store.retired)
        };
        let placement = PlacementParameters {
            candidates: &self.candidates,
            replication_factor: self.settings.replication_factor,
        };
        let step = self
            .handoffs
            .next_step(&self.index, placement, is_present, now_ms);
        let serial = self.handoffs.serial();
        match step {
            Some(HandoffStep::Offer { peer, ids }) => {
                let request = StoreRequest::Offer { ids };
                self.send(peer, RequestPurpose::Handoff { serial }, request, now_ms);
            }
            Some(HandoffStep::Read { ids }) => {
                self.submit_job(JobPurpose::Handoff { serial }, DiskWork::Get(ids));
            }
            None => {}
        }
    }

    /// Requires that a turn accepted while this store drains is on its replicas before the store is drained.
    pub(super) fn require_handoff(&mut self, turn: &TurnHeader, now_ms: u64) {
        if !self.is_draining() || !self.safeguards.has(Safeguard::LateTurnsHandedOff) {
            return;
        }
        let candidates: Vec<&Candidate> = self.candidates.iter().collect();
        let ranked = placement::by_preference(&turn.program, &candidates);
        for replica in ranked.into_iter().take(self.settings.replication_factor) {
            self.handoffs
                .require_transfer(&replica.name, &turn.id, now_ms);
        }
    }
}
