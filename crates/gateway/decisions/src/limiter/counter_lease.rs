//! Leases from the shared counter. One add requests units for a lease and reports units admitted without one; the
//! reply, the total of the window, shows how much room the customer has over all gateways.

use super::counter_window::{window_at, WindowBounds};
use super::tuning::{EVEN_CHANCE, EWMA_WEIGHT, LEASE_SHRINK_FACTOR, LEASE_SPANS};
use super::Limiter;
use crate::state::{Account, PendingAdd, Plan};
use crate::types::{Action, CounterReply, Invocation};
use std::collections::VecDeque;

/// Least error of a total, in units, that is corrected.
const MIN_CORRECTION: f64 = 0.5;

/// Interpretation of the counter's reply to a lease request.
struct Grant {
    /// Units leased; 0 if there is no room.
    units: f64,
    /// Units that were free before this add.
    room: f64,
    /// Units that the window held before this add.
    total_before: f64,
    /// The correct total after this add.
    target: f64,
    /// Difference from the actual to the correct total.
    correction: f64,
    /// Whether to send the correction to the counter.
    sends_correction: bool,
}

impl Account {
    /// Units to report with the next add, less the units that an even share of the rate has allowed since.
    pub(super) fn take_unreported(&mut self, plan: &Plan, now: f64) -> f64 {
        let earned = plan.rate / self.gateways * (now - self.unreported_at);
        self.unreported_at = now;
        (self.unreported - earned).max(self.unreported.min(0.0))
    }

    /// The backlog of the last reply, less the units that the rate has allowed since.
    pub(super) fn backlog_now(&self, plan: &Plan, now: f64) -> f64 {
        (self.backlog - plan.rate * (now - self.backlog_at)).max(0.0)
    }

    /// Probability that the customer has room, from replies about the customer, or about its plan if there are none.
    pub(super) fn likelihood_of_room(&self, plan: &Plan, repeat: bool) -> f64 {
        let plan_likelihood = plan.had_room[usize::from(repeat)];
        if self.backlog_at <= 0.0 {
            plan_likelihood
        } else if repeat {
            self.room_likelihood.min(plan_likelihood)
        } else {
            self.room_likelihood
        }
    }
}

/// Units leased to this limiter: as requested, fewer near the limit, and none beyond it.
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

/// Interprets the counter's total: the units admitted since the window began. The excess over what the rate allows is
/// the backlog, which is at most the burst.
fn read_total(
    account: &Account,
    plan: &Plan,
    call: &PendingAdd,
    bounds: &WindowBounds,
    total: f64,
    now: f64,
) -> Grant {
    let total_before = total - call.add;
    // Guards against a counter that lost its data: if the total is far below the last known one, the backlog known here
    // is restored. Where the cause was a large return by another limiter, its units become available one span late at
    // worst.
    let known = account.backlog_now(plan, now);
    let counter_lost_data = !account.short_windows
        && account.window == call.window
        && total_before - bounds.allowed < known - plan.burst;
    let least_backlog = if counter_lost_data {
        known
    } else {
        call.carried
    };
    let least_backlog = (least_backlog - call.returned).max(0.0);
    // An idle customer accumulates the burst at most: allowance beyond it is written off once demand could use it. The
    // upper bound of the backlog keeps the room from becoming negative. Guards against units beyond the quota, which
    // use up no allowance, and units that were added but not leased: with hundreds of limiters, their sum occupied free
    // room for seconds.
    let backlog = (total_before - call.returned - bounds.allowed)
        .max(least_backlog)
        .min(bounds.max_units);
    let room = (bounds.max_units - backlog - call.reported).max(0.0);
    let window_over = account.short_windows && now >= bounds.ends;
    let units = grant_units(account, call, room, window_over);
    let target = bounds.allowed + (backlog + call.reported + units).min(bounds.max_units);
    let correction = target - total;
    // Where many gateways serve the customer, one invocation is no sign of demand: otherwise a correction would follow
    // each reply.
    let busy =
        account.demand * account.gateways > plan.burst / 2.0 && account.demand > call.min_units;
    let may_write_off = busy || least_backlog > 0.0 || correction > plan.burst;
    // A short window without room admits nothing until it ends, so its total is not corrected.
    let sends_correction = if account.short_windows {
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
        sends_correction,
    }
}

impl Limiter {
    /// Sends one add to the counter name of the customer's window, sized to local demand and smaller near the limit.
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
        // The total of a new window's counter name starts at 0: the first add carries the known backlog over.
        let carried = if same_window || account.short_windows {
            0.0
        } else {
            backlog
        };
        // The same add returns the units left of the last lease.
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

    /// Processes the counter's reply to the oldest pending add to this name; `seconds` is the response time.
    pub fn counter_answered(&mut self, name: u64, reply: CounterReply, seconds: f64, now: f64) {
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
        self.counter_price.record(reply, seconds, now);
        match reply {
            CounterReply::Total(total) if call.requested > 0.0 => self.take_lease(call, total, now),
            CounterReply::Total(total) => self.check_correction(call, total),
            CounterReply::Refused => {
                self.restore_refused(&call, now);
                self.fail_add(&call, now);
            }
            CounterReply::NoReply => self.fail_add(&call, now),
        }
    }

    /// Restores the state after a refused add: its reports and returns are repeated with the next add, a write-off is
    /// not.
    fn restore_refused(&mut self, call: &PendingAdd, now: f64) {
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

    /// Guards against gateways that write off the same unused allowance at once: a gateway that finds a total above its
    /// own write-off takes its write-off back. Otherwise the customer would owe a whole window's rate.
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
        let first_reply = account.backlog_at <= 0.0;
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
        learn_likelihood_of_room(account, plan, call.repeat, first_reply, has_room);
        if account.short_windows {
            // A full window rejects this gateway until the window ends and no longer, however far the total exceeds it.
            let full_until_end = call.min_units - plan.rate * (bounds.ends - now);
            let free = if has_room {
                grant.room - grant.units
            } else {
                full_until_end
            };
            account.backlog = plan.burst - free;
            account.lease_expires_at = bounds.ends;
        } else {
            // Guards against totals that are corrected a moment later: a backlog above the burst is not believed.
            let corrected = if grant.sends_correction {
                grant.target
            } else {
                total
            };
            account.backlog = (corrected - bounds.allowed).min(plan.burst);
            account.lease_expires_at = now + LEASE_SPANS * plan.span;
        }
        if grant.sends_correction {
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

    /// Asks the owner to place again all invocations that waited for this account's add.
    pub(super) fn wake_waiting(&mut self, index: usize) {
        self.actions
            .extend(self.accounts[index].waiting.drain(..).map(Action::Place));
    }
}

/// Updates the likelihood that the customer, and customers of its plan, have room.
fn learn_likelihood_of_room(
    account: &mut Account,
    plan: &mut Plan,
    repeat: bool,
    first_reply: bool,
    has_room: bool,
) {
    let sample = f64::from(u8::from(has_room));
    if first_reply {
        let plan_likelihood = &mut plan.had_room[usize::from(repeat)];
        account.room_likelihood = *plan_likelihood;
        *plan_likelihood += EWMA_WEIGHT / 4.0 * (sample - *plan_likelihood);
    }
    let weight = if account.below_rate { 1.0 } else { EVEN_CHANCE };
    account.room_likelihood += weight * (sample - account.room_likelihood);
}
