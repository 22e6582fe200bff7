//! One name of the counter, as a broker holds it: what is known of it, the block leased, who waits for it.

use crate::{Answer, LeaseRequest, Name, Output, Settings, Slot};
use std::collections::{BTreeMap, VecDeque};

/// Part of a window's units that are granted at its beginning, where the one before was used up; the rest comes
/// evenly until it ends.
const PACED_START_RATIO: f64 = 0.5;

/// A request that waits for its name.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub(super) from: Name,
    pub(super) run: u64,
    pub(super) slot: Slot,
    pub(super) request: LeaseRequest,
    pub(super) received: f64,
    /// Its borrower knows that the counter is called.
    pub(super) notified: bool,
}

impl WaitingRequest {
    pub(super) fn respond(&self, answer: Answer) -> Output {
        Output::Respond {
            to: self.from.clone(),
            run: self.run,
            slot: self.slot,
            seq: self.request.seq,
            answer,
        }
    }
}

/// An add that is out at the counter.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenAdd {
    pub(super) call: u64,
    pub(super) add: f64,
}

/// A counter's name, as the broker holds it.
#[derive(Clone, Debug, Default)]
pub(super) struct LeasedName {
    pub(super) customer: u64,
    /// The counter's total when it last answered, and when that was.
    pub(super) counter_total: Option<f64>,
    pub(super) last_read: f64,
    /// Units that the counter has counted and nobody was granted; under 0 where refused ones stand in for it.
    pub(super) block: f64,
    pub(super) open_add: Option<OpenAdd>,
    pub(super) waiting: VecDeque<WaitingRequest>,
    pub(super) slot: Slot,
    pub(super) lifetime: f64,
    /// When it is full, as last heard, and by how much that grows a second.
    pub(super) limit: f64,
    pub(super) limit_rate: f64,
    /// Seconds left of its window, and the window's length.
    pub(super) remaining: f64,
    pub(super) window_length: f64,
    pub(super) last_request: f64,
    /// Adds that were refused and that their borrowers are about to take back; no part of the total yet.
    pub(super) pending_corrections: BTreeMap<Name, f64>,
    /// What it has to hold at least when it is first read: the backlog of the customer's name before it.
    pub(super) min_total: Option<f64>,
    /// A window that was found full.
    pub(super) was_full: bool,
    /// A window that follows a full one: it is granted evenly over its time.
    pub(super) paced: bool,
}

/// What a request finds: the name's state with its minimum granted.
struct Headroom {
    /// The total without it.
    before: f64,
    /// No room for its minimum.
    full: bool,
    /// Room, but it is for others or for later.
    barred: bool,
}

impl LeasedName {
    /// Takes over what a request says of the name.
    pub(super) fn update(&mut self, slot: Slot, request: &LeaseRequest, now: f64) {
        self.customer = request.customer;
        self.slot = slot;
        self.lifetime = request.lifetime;
        self.last_request = now;
        self.limit = request.limit;
        self.limit_rate = request.limit_rate;
        self.remaining = request.remaining.max(0.0);
        let remaining_ratio = (1.0 - request.elapsed).max(super::MIN_REMAINING_RATIO);
        self.window_length = self.remaining / remaining_ratio;
    }

    /// What is left of the limit, if it was ever read.
    pub(super) fn remaining_units(&self, now: f64) -> Option<f64> {
        let grown = self.limit_rate * (now - self.last_request).max(0.0);
        Some(self.limit + grown - (self.counter_total? - self.block))
    }

    /// The total that this request gets now; none where the counter has to be called first. `limit` is when the
    /// name is full now, `reserved` what this borrower has to leave there, if it has had its part.
    pub(super) fn answer(
        &mut self,
        from: &str,
        request: &LeaseRequest,
        limit: f64,
        reserved: Option<f64>,
        settings: &Settings,
        now: f64,
    ) -> Option<f64> {
        let before = self.counter_total? - self.block;
        // Guards against two that are refused at once: each would take back what the other was about to.
        // What was refused counts from its correction on, and lowers nothing that others added.
        let correction = self.pending_corrections.remove(from);
        if let Some(refused) = correction.filter(|_| request.requested <= 0.0) {
            let stays = (refused + request.add).max(0.0);
            self.block -= stays;
            return Some(before + stays);
        }
        let headroom = self.headroom(request, before, limit, reserved, settings, now);
        if request.requested <= 0.0 || !(headroom.full || headroom.barred) {
            return self.grant(request, before, reserved.unwrap_or(0.0));
        }
        self.refuse(from, request, limit, &headroom, settings, now)
    }

    fn headroom(
        &mut self,
        request: &LeaseRequest,
        before: f64,
        limit: f64,
        reserved: Option<f64>,
        settings: &Settings,
        now: f64,
    ) -> Headroom {
        let interval = settings.near_limit_interval;
        let rest = request.add - request.requested;
        let with_minimum = before + rest + request.minimum;
        let full = with_minimum > limit;
        // Guards against a call for each unit that comes free, and leaves those without a broker their turn.
        let near_limit = with_minimum + request.limit_rate * interval > limit;
        let too_soon = near_limit
            && reserved.is_some()
            && request.add > self.block
            && now < self.last_read + interval;
        let reserved = reserved.unwrap_or(0.0);
        // Guards against a window that is used up in its first moment, and shut for the rest of it.
        self.was_full |= full;
        let paced_limit = (limit * (PACED_START_RATIO + request.elapsed)).min(limit);
        let too_early = self.paced && with_minimum > paced_limit;
        let for_others = reserved > 0.0 && with_minimum + reserved > limit;
        Headroom {
            before,
            full,
            barred: too_soon || too_early || for_others,
        }
    }

    /// A return fills the block, a request is granted out of it; what is left to others it does not see.
    fn grant(&mut self, request: &LeaseRequest, before: f64, reserved: f64) -> Option<f64> {
        let covered = request.add <= self.block || request.add <= 0.0;
        self.block -= if covered { request.add } else { 0.0 };
        let unseen = if request.requested > 0.0 {
            reserved
        } else {
            0.0
        };
        covered.then_some(before + unseen + request.add)
    }

    /// Full: it is answered from what is known, and read again now and then.
    fn refuse(
        &mut self,
        from: &str,
        request: &LeaseRequest,
        limit: f64,
        headroom: &Headroom,
        settings: &Settings,
        now: f64,
    ) -> Option<f64> {
        if headroom.full && now >= self.last_read + settings.reread_interval {
            return None;
        }
        // Where the limit grows the borrower takes back what it was refused; in a window that ends it does not.
        let remembered = self.pending_corrections.len() < settings.max_borrowers;
        if request.limit_rate > 0.0 && remembered {
            self.pending_corrections
                .insert(from.to_owned(), request.add);
        } else {
            self.block -= request.add - request.requested;
        }
        let total = headroom.before + request.add;
        Some(if headroom.full {
            total
        } else {
            (limit + request.requested).max(total)
        })
    }
}
