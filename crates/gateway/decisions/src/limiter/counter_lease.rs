//! Leases on the shared counter. One add asks for a lease and reports what was admitted without one; its answer, the
//! total of the window, shows how much room the customer has over all gateways.

use super::counter_window::{window_at, WindowBounds};
use super::tuning::{EVEN_CHANCE, EWMA_WEIGHT, LEASE_SHRINK_FACTOR, LEASE_SPANS};
use super::Limiter;
use crate::state::{Account, PendingAdd, Plan};
use crate::types::{Action, Counted, Invocation};
use std::collections::VecDeque;

/// A total that is off by less than this is left as it is.
const MIN_CORRECTION: f64 = 0.5;

/// What the counter's answer means for this limiter.
struct Grant {
    /// Units leased; 0 if there is no room.
    units: f64,
    /// Units that were free before.
    room: f64,
    /// Units that the window held before this add.
    total_before: f64,
    /// The total as it should be.
    target: f64,
    /// What the total is off by.
    correction: f64,
    /// The total is to be put right by `correction`.
    corrects: bool,
}

impl Account {
    /// What the next add reports; what was admitted a while ago has been earned again at an even share.
    pub(super) fn take_unreported(&mut self, plan: &Plan, now: f64) -> f64 {
        let earned = plan.rate / self.gateways * (now - self.unreported_at);
        self.unreported_at = now;
        (self.unreported - earned).max(self.unreported.min(0.0))
    }

    /// The backlog, less what the rate has allowed since it was heard.
    pub(super) fn backlog_now(&self, plan: &Plan, now: f64) -> f64 {
        (self.backlog - plan.rate * (now - self.backlog_at)).max(0.0)
    }

    /// How likely the customer has room, by its own answers, or by its plan's where there was none.
    pub(super) fn likelihood_of_room(&self, plan: &Plan, repeat: bool) -> f64 {
        let usual = plan.had_room[usize::from(repeat)];
        if self.backlog_at <= 0.0 {
            usual
        } else if repeat {
            self.room_likelihood.min(usual)
        } else {
            self.room_likelihood
        }
    }
}

/// Units for this limiter: what it asked for, shrunk near the limit, and none beyond it.
fn grant_units(account: &Account, call: &PendingAdd, room: f64, window_over: bool) -> f64 {
    let mut units = call.requested;
    if units * account.gateways > room {
        units = units.min((room / account.gateways / LEASE_SHRINK_FACTOR).max(call.min_units));
    }
    if units > room || window_over {
        units = 0.0;
    }
    units
}

/// Reads the counter's answer. The name holds units admitted since the window began; what stands above what the rate
/// allows is backlog, and the burst is the most that it may be.
fn read_total(
    account: &Account,
    plan: &Plan,
    call: &PendingAdd,
    bounds: &WindowBounds,
    total: f64,
    now: f64,
) -> Grant {
    let total_before = total - call.add;
    // Guards against an emptied counter: a total far under the last one heard lost its units, so what is known here is
    // put back. Gives a peer's large return back too late by one span at worst.
    let known = account.backlog_now(plan, now);
    let forgot = !account.short_windows
        && account.window == call.window
        && total_before - bounds.allowed < known - plan.burst;
    let least_backlog = (if forgot { known } else { call.carried } - call.returned).max(0.0);
    // An idle customer's store holds the burst at most: the rest is written off once demand could use it. Guards
    // against units beyond the quota, which take nothing, and what was added in vain: with hundreds of limiters their
    // sum stood for seconds where there was room. A store is never under 0.
    let backlog = (total_before - call.returned - bounds.allowed)
        .max(least_backlog)
        .min(bounds.max_units);
    let room = (bounds.max_units - backlog - call.reported).max(0.0);
    let window_over = account.short_windows && now >= bounds.ends;
    let units = grant_units(account, call, room, window_over);
    let target = bounds.allowed + (backlog + call.reported + units).min(bounds.max_units);
    let correction = target - total;
    // In a long set one invocation says little: else a call would follow each answer.
    let busy =
        account.demand * account.gateways > plan.burst / 2.0 && account.demand > call.min_units;
    let may_write_off = busy || least_backlog > 0.0 || correction > plan.burst;
    // A short window that had no room is shut until it ends, so nothing is put right there.
    let corrects = if account.short_windows {
        units > 0.0 && correction < -MIN_CORRECTION
    } else {
        correction < -MIN_CORRECTION || (correction > MIN_CORRECTION && may_write_off)
    };
    Grant {
        units,
        room,
        total_before,
        target,
        correction,
        corrects,
    }
}

impl Limiter {
    /// One add to the customer's window name, sized to local demand and shrunk near the limit.
    pub(super) fn request_lease(&mut self, index: usize, invocation: &Invocation, now: f64) {
        let min_units = invocation.units;
        let account = &mut self.accounts[index];
        let plan = &self.plans[account.plan];
        let window = window_at(account, now);
        let backlog = account.backlog_now(plan, now);
        let room = plan.burst - backlog;
        let wanted = account.demand.max(min_units).min(plan.burst.max(min_units));
        let near_limit = (room / account.gateways / LEASE_SHRINK_FACTOR).max(min_units);
        let requested = if wanted * account.gateways > room {
            wanted.min(near_limit)
        } else {
            wanted
        };
        let same_window = account.window == window;
        // A new name starts at nothing: the backlog known here goes over with the first add.
        let carried = if same_window || account.short_windows {
            0.0
        } else {
            backlog
        };
        // Units left of the last lease go back with the same add.
        let returned = if same_window || !account.short_windows {
            account.lease.min(backlog).max(0.0)
        } else {
            0.0
        };
        let reported = account.take_unreported(plan, now);
        account.unreported = 0.0;
        account.lease = 0.0;
        account.add_pending = true;
        self.send_add(PendingAdd {
            account: index,
            add: requested + carried + reported - returned,
            requested,
            min_units,
            carried,
            reported,
            returned,
            window,
            repeat: invocation.repeat,
        });
    }

    /// The counter's answer to the oldest add under this name, after so many seconds.
    pub fn counted(&mut self, name: u64, answer: Counted, seconds: f64, now: f64) {
        let Some(call) = self
            .pending_adds
            .get_mut(&name)
            .and_then(VecDeque::pop_front)
        else {
            return;
        };
        if self.pending_adds[&name].is_empty() {
            self.pending_adds.remove(&name);
        }
        self.counter_price.record(answer, seconds, now);
        match answer {
            Counted::Total(total) if call.requested > 0.0 => self.take_lease(call, total, now),
            Counted::Total(total) => self.check_correction(call, total),
            Counted::Refused => {
                self.put_back(&call, now);
                self.fail_add(&call, now);
            }
            Counted::Silent => self.fail_add(&call, now),
        }
    }

    /// Nothing was added: what the add was to report or return goes with the next one, a write-off does not.
    fn put_back(&mut self, call: &PendingAdd, now: f64) {
        let account = &mut self.accounts[call.account];
        let plan = &self.plans[account.plan];
        let correction = if call.requested > 0.0 {
            0.0
        } else {
            call.add.min(0.0)
        };
        account.unreported = account.take_unreported(plan, now) + call.reported + correction;
        account.lease += call.returned;
    }

    fn fail_add(&mut self, call: &PendingAdd, now: f64) {
        if call.requested > 0.0 {
            let account = &mut self.accounts[call.account];
            account.add_pending = false;
            account.add_failed_at = now;
            self.wake_waiting(call.account);
        }
    }

    /// Guards against gateways that write off the same rest at once: whoever finds more than it wrote takes its own
    /// back, else the customer would owe a whole window's rate.
    fn check_correction(&mut self, call: PendingAdd, total: f64) {
        let burst = self.plans[self.accounts[call.account].plan].burst;
        let written_twice = (total - call.min_units).min(call.add);
        if call.add > burst && written_twice > call.add / 2.0 {
            self.send_add(PendingAdd {
                add: -written_twice,
                ..call
            });
        }
    }

    fn take_lease(&mut self, call: PendingAdd, total: f64, now: f64) {
        let index = call.account;
        let outage_ended = self.counter_price.outage_ended();
        let account = &mut self.accounts[index];
        let plan = &mut self.plans[account.plan];
        let bounds = WindowBounds::new(account, plan, call.window, outage_ended, now);
        let grant = read_total(account, plan, &call, &bounds, total, now);
        let first_answer = account.backlog_at <= 0.0;
        account.window = call.window;
        account.backlog_at = now;
        account.lease = grant.units;
        account.add_pending = false;
        let has_room = grant.units > 0.0;
        if !has_room {
            account.window_full_at = now;
        }
        account.below_rate = if account.short_windows {
            grant.room > bounds.max_units / 2.0
        } else {
            grant.total_before + call.requested < bounds.allowed
        };
        learn_room(account, plan, call.repeat, first_answer, has_room);
        if account.short_windows {
            // Who found it full is shut out until it ends, and no longer, whatever was added beyond.
            let shut_out = call.min_units - plan.rate * (bounds.ends - now);
            let free = if has_room {
                grant.room - grant.units
            } else {
                shut_out
            };
            account.backlog = plan.burst - free;
            account.lease_expires_at = bounds.ends;
        } else {
            // Guards against totals that are put right a moment later: over its burst none is believed.
            let believed = if grant.corrects { grant.target } else { total };
            account.backlog = (believed - bounds.allowed).min(plan.burst);
            account.lease_expires_at = now + LEASE_SPANS * plan.span;
        }
        if grant.corrects {
            self.send_add(PendingAdd {
                add: grant.correction,
                requested: 0.0,
                min_units: grant.target,
                reported: 0.0,
                returned: 0.0,
                ..call
            });
        }
        self.wake_waiting(index);
    }

    /// Asks the owner to place the invocations again that waited for this account's add.
    pub(super) fn wake_waiting(&mut self, index: usize) {
        self.actions
            .extend(self.accounts[index].waiting.drain(..).map(Action::Ask));
    }
}

/// Takes one answer into the likelihood that the customer, and customers of its plan, have room.
fn learn_room(
    account: &mut Account,
    plan: &mut Plan,
    repeat: bool,
    first_answer: bool,
    has_room: bool,
) {
    let seen = f64::from(u8::from(has_room));
    if first_answer {
        let usual = &mut plan.had_room[usize::from(repeat)];
        account.room_likelihood = *usual;
        *usual += EWMA_WEIGHT / 4.0 * (seen - *usual);
    }
    let weight = if account.below_rate { 1.0 } else { EVEN_CHANCE };
    account.room_likelihood += weight * (seen - account.room_likelihood);
}
