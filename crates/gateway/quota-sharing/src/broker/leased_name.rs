//! A broker's state of one counter name: the last known total, the leased block and the waiting requests.

use crate::{BrokerAnswer, LeaseRequest, Name, Output, Settings, Slot};
use std::collections::{BTreeMap, VecDeque};

/// Part of a window's units that may be granted at its start if the window before was used up; the rest becomes
/// available evenly until the window ends.
const PACED_START_RATIO: f64 = 0.5;

/// A request that waits for units of its name.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub(super) from: Name,
    /// Incarnation of the borrower's process.
    pub(super) run: u64,
    pub(super) slot: Slot,
    pub(super) request: LeaseRequest,
    pub(super) received: f64,
    /// Whether its borrower has been told that the counter is called.
    pub(super) notified: bool,
}

impl WaitingRequest {
    pub(super) fn respond(&self, answer: BrokerAnswer) -> Output {
        Output::Respond {
            to: self.from.clone(),
            run: self.run,
            slot: self.slot,
            seq: self.request.seq,
            answer,
        }
    }
}

/// An add that waits for the counter's reply.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenAdd {
    pub(super) call: u64,
    pub(super) add: f64,
}

/// A broker's state of one counter name.
#[derive(Clone, Debug, Default)]
pub(super) struct LeasedName {
    pub(super) customer: u64,
    /// The counter's total at its last reply.
    pub(super) counter_total: Option<f64>,
    /// Time of the counter's last reply.
    pub(super) last_read: f64,
    /// Units that the counter has counted and that are not granted yet; negative where refused requests
    /// reported units that the counter has not counted yet.
    pub(super) block: f64,
    pub(super) open_add: Option<OpenAdd>,
    pub(super) waiting: VecDeque<WaitingRequest>,
    pub(super) slot: Slot,
    pub(super) lifetime: f64,
    /// Limit of the name at the last request.
    pub(super) limit: f64,
    /// Growth of the limit, units per second.
    pub(super) limit_rate: f64,
    /// Seconds left of the name's window at the last request.
    pub(super) remaining: f64,
    /// Length of the name's window, seconds.
    pub(super) window_length: f64,
    pub(super) last_request: f64,
    /// Refused adds that their borrowers are expected to take back; not part of the total yet.
    pub(super) pending_corrections: BTreeMap<Name, f64>,
    /// Lower bound of the total at the first read: the backlog of the customer's previous name.
    pub(super) min_total: Option<f64>,
    /// Whether the window was found full.
    pub(super) was_full: bool,
    /// Whether the window follows a full one, so that its units are granted evenly over time.
    pub(super) paced: bool,
}

/// Room for a request's minimum.
struct Headroom {
    /// The total before the request.
    before: f64,
    /// Whether there is no room for the minimum.
    full: bool,
    /// Whether there is room, but reserved for other borrowers or for later.
    reserved: bool,
}

impl LeasedName {
    /// Updates the name's properties from a request.
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

    /// Units left under the limit; `None` if the total was never read.
    pub(super) fn remaining_units(&self, now: f64) -> Option<f64> {
        let grown = self.limit_rate * (now - self.last_request).max(0.0);
        Some(self.limit + grown - (self.counter_total? - self.block))
    }

    /// The total with which to answer the request now; `None` if the counter has to be called first. `limit` is the
    /// present limit of the name, `reserved` the units that this borrower has to leave to others, or `None` if the
    /// borrower has not had its fair share.
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
        // Guards against two requests refused at once: each borrower would take back the other's add as well.
        // A refused add counts only from its correction on, and the correction does not lower what others added.
        let correction = self.pending_corrections.remove(from);
        if let Some(refused) = correction.filter(|_| request.requested <= 0.0) {
            let kept = (refused + request.add).max(0.0);
            self.block -= kept;
            return Some(before + kept);
        }
        let headroom = self.headroom(request, before, limit, reserved, settings, now);
        if request.requested <= 0.0 || !(headroom.full || headroom.reserved) {
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
        let reported = request.add - request.requested;
        let with_minimum = before + reported + request.minimum;
        let full = with_minimum > limit;
        // Guards against a call for each unit that becomes available, and leaves units to limiters without a broker.
        let near_limit = with_minimum + request.limit_rate * interval > limit;
        let too_soon = near_limit
            && reserved.is_some()
            && request.add > self.block
            && now < self.last_read + interval;
        let reserved = reserved.unwrap_or(0.0);
        // Guards against a window that is used up at its start and then rejects everything until it ends.
        self.was_full |= full;
        let paced_limit = (limit * (PACED_START_RATIO + request.elapsed)).min(limit);
        let too_early = self.paced && with_minimum > paced_limit;
        let for_others = reserved > 0.0 && with_minimum + reserved > limit;
        Headroom {
            before,
            full,
            reserved: too_soon || too_early || for_others,
        }
    }

    /// Grants a request from the block, or adds returned units to it. Units reserved for others are reported to the
    /// borrower as used.
    fn grant(&mut self, request: &LeaseRequest, before: f64, reserved: f64) -> Option<f64> {
        let covered = request.add <= self.block || request.add <= 0.0;
        self.block -= if covered { request.add } else { 0.0 };
        let withheld = if request.requested > 0.0 {
            reserved
        } else {
            0.0
        };
        covered.then_some(before + withheld + request.add)
    }

    /// Refuses a request: answers with a total over the limit, or `None` if it is time to read the full name again.
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
        // Where the limit grows, the borrower takes a refused add back; in a short window it does not.
        let has_capacity = self.pending_corrections.len() < settings.max_borrowers;
        if request.limit_rate > 0.0 && has_capacity {
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
