//! Turns on their way to the disk, and those past their time on their way off it.

use super::{DiskWork, JobPurpose, StoreNode, EXPIRY_SWEEP_MS, REMOVE_BOUND};
use crate::commit::{Committed, Waiter};
use crate::message::{Refusal, StoreReply};
use crate::turn::HeldTurn;

impl StoreNode {
    pub(super) fn commit(&mut self, turns: Vec<HeldTurn>, waiter: Waiter, now_ms: u64) {
        if let Err(refusal) = self.commits.push(turns, waiter.clone()) {
            self.commit_failed(waiter, refusal, now_ms);
        }
    }

    pub(super) fn commit_done(&mut self, written: bool, now_ms: u64) {
        for entry in self.commits.finish() {
            if written {
                self.committed(entry, now_ms);
            } else {
                self.commit_failed(entry.waiter, Refusal::Disk, now_ms);
            }
        }
    }

    pub(super) fn committed(&mut self, entry: Committed, now_ms: u64) {
        for turn in &entry.turns {
            self.index
                .insert(&turn.header, now_ms.saturating_add(turn.remaining_ms));
            self.owe(&turn.header, now_ms);
            for put in self.completions.is_here(&turn.header.id) {
                self.go_on_with(put, now_ms);
            }
        }
        match entry.waiter {
            Waiter::Caller { caller, hint } => {
                let id = entry.turns.first().map(|turn| turn.header.id.as_str());
                if let (Some(home), Some(id), true) = (hint, id, self.guards.hints) {
                    self.deliveries.hint(&home, id, now_ms);
                }
                self.reply(caller, StoreReply::Kept);
            }
            Waiter::Pull { pass } => self.repair.committed(pass),
            Waiter::Completion { .. } => {}
        }
    }

    pub(super) fn commit_failed(&mut self, waiter: Waiter, refusal: Refusal, now_ms: u64) {
        match waiter {
            Waiter::Caller { caller, .. } => self.reply(caller, StoreReply::Refused(refusal)),
            Waiter::Pull { pass } if pass == self.repair.pass() => self.repair.failed(now_ms),
            Waiter::Pull { .. } => {}
            Waiter::Completion { id } => self.completions.not_written(&id),
        }
    }

    pub(super) fn sweep(&mut self, now_ms: u64) {
        if now_ms < self.sweep_at_ms {
            return;
        }
        self.sweep_at_ms = now_ms.saturating_add(EXPIRY_SWEEP_MS);
        let expired = self.index.expire(now_ms);
        self.deliveries.forget_expired(&self.index);
        for ids in expired.chunks(REMOVE_BOUND) {
            self.work(JobPurpose::Removal, DiskWork::Remove(ids.to_vec()));
        }
    }
}
