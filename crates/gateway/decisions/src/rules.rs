//! All decisions of a limiter. A front asks three things of a [`Limiter`]: `place` (where to send this
//! invocation, or not yet, or never), `after` (what to do after this outcome) and `wait` (how long to
//! wait: for a delivery until it is abandoned, for a held invocation until `place` is asked again). It
//! passes on what it observes through `endpoints`, `counted`, `gone`, `watch_lost` and `tick`, and after
//! each call carries out what `next_action` yields. The interface, all plain values, is in `types.rs`.

use crate::calls::Calls;
use crate::ceilings::{whole, Ceiling};
use crate::state::*;
use crate::types::*;
use std::collections::{HashMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A count's name covers half of the longest life that counters offer, so none is forgotten in use.
const NAME_LIFE: f64 = 60.0;
const WINDOW: f64 = NAME_LIFE / 2.0;
/// Near the limit a grant is the headroom over the customer's gateways and this (the paper's factor).
const SHRINK: f64 = 2.0;
/// Share of the latency objective that a healthy answer stays within.
const CALM: f64 = 0.5;
/// Share of it that a server's mean answer time may reach before its places shrink: about twice the bare
/// work where the objective leaves room for the slowest in a hundred.
const FULL: f64 = 0.25;
/// Share of the latency objective that the queue may hold an invocation; more only makes all late.
const QUEUE: f64 = 0.1;
/// Share of recent deliveries ending late or turned away from which the limiter sees overload.
const PRESSED: f64 = 0.2;
/// Share of a server's recent deliveries ending badly from which it is rested, if others do better.
const SICK: f64 = 0.5;
/// Places that all limiters together start with at one server, shared evenly: enough to learn from.
const START: f64 = 3.0;
/// Surest that a customer's room is held to be: the calmest are asked about now and then.
const SURE: f64 = 0.95;
/// Spans that a lease lives: its units are counted, and a long set uses them slowly.
const HOLD: f64 = 4.0;
/// Units that a limiter's part of a ceiling has to cover, else short windows stand in for it.
const COARSE: f64 = 16.0;
/// Least burst, in units, that short windows under a ceiling may hold.
const LEAST: f64 = 4.0;
/// Latency objectives over which figures about a server fade.
const FADE: f64 = 4.0;
/// Weight of one new reading in the running figures.
const NEWEST: f64 = 0.1;
/// Mean answers that a delivery is awaited before it counts as lost: with fewer, one in ten under load was
/// given up on, ran all the same and was sent again, by all limiters at once.
const LOST: f64 = 8.0;
/// Deliveries beyond the first while there is no overload (the users' present system).
const FURTHER: usize = 2;

/// The same at every gateway.
fn mix(a: u64, b: u64) -> u64 {
    xxh3_64_with_seed(&a.to_le_bytes(), b)
}

impl Account {
    /// What the next add reports; what was let in a while ago has been earned again at an even share.
    fn owed(&mut self, plan: &Plan, now: f64) -> f64 {
        let earned = plan.rate / self.gateways * (now - self.debt_at);
        self.debt_at = now;
        (self.debt - earned).max(self.debt.min(0.0))
    }

    /// How likely it has room, by what was heard of it, or of its plan where nothing was.
    fn likely(&self, plan: &Plan, repeat: bool) -> f64 {
        let usual = plan.had_room[usize::from(repeat)];
        let known = if repeat {
            self.likely.min(usual)
        } else {
            self.likely
        };
        if self.heard > 0.0 {
            known
        } else {
            usual
        }
    }
}

#[derive(Default)]
pub struct Limiter {
    operations: Vec<Operation>,
    plans: Vec<Plan>,
    fleet: u32,
    slot: u32,
    zone: usize,
    counter: bool,
    count_wait: f64,
    max_pause: f64,
    most_deliveries: usize,
    cold_from: f64,
    cold_for: f64,
    lead: f64,
    slack: f64,
    watch: bool,
    /// The shortest latency objective, the unit for health.
    objective: f64,
    born: f64,
    rng: fastrand::Rng,
    servers: Servers,
    by_customer: HashMap<u64, usize>,
    accounts: Vec<Account>,
    hand: usize,
    calls: HashMap<u64, VecDeque<Call>>,
    /// What calls to the counter are worth and cost, and the mean worth of an invocation.
    pricing: Calls,
    /// Billed value of the operation and number of those that wait for a place, the dearest first.
    queue: VecDeque<(f64, u64)>,
    pressure: f64,
    /// Recent share of those with their units that got no place.
    crowd: f64,
    fleet_bad: f64,
    /// Recent share of those awaited for long that never ended.
    missing: f64,
    faded_at: f64,
    /// Places at all servers in use, when last counted, and when those under one last shrank.
    window: f64,
    shrunk: f64,
    fleet_slow: f64,
    answered: f64,
    /// Recent sends to warm servers.
    sends: f64,
    flow_at: f64,
    actions: VecDeque<Action>,
}

impl Limiter {
    pub fn new(s: &Settings, now: f64) -> Self {
        let plans = s.plans.iter().map(|p| {
            let span = if p.rate > 0.0 {
                (p.burst / p.rate).max(1e-3)
            } else {
                WINDOW
            };
            let room = p.hard_rate > p.rate && p.hard_burst > p.burst;
            let (rate, burst) = (p.rate, p.burst);
            let hard = (p.hard_rate, p.hard_burst);
            Plan {
                rate,
                burst,
                open: p.open,
                span,
                hard: Ceiling {
                    rate: hard.0,
                    burst: hard.1,
                    quota_rate: rate,
                    quota_burst: burst,
                },
                halves: s.counter && p.rate > 0.0 && p.burst >= LEAST && room,
                had_room: [1.0 - CALM * CALM, CALM],
                price: p.price,
                excess: (p.beyond_costs - p.over_worth).max(0.0),
                beyond_pays: p.over_worth > p.beyond_costs,
                openness: (2.0 - p.beyond_costs).clamp(1.0, 2.0),
            }
        });
        let operations = s.operations.iter().map(|o| Operation {
            effect: o.effect,
            objective: o.objective.min(o.integration_timeout),
            value: o.billed_value,
            pays_late: o.late_share > 0.0,
        });
        let operations: Vec<Operation> = operations.collect();
        let objective = operations
            .iter()
            .map(|o| o.objective)
            .fold(f64::INFINITY, f64::min);
        let plans: Vec<Plan> = plans.collect();
        let each = operations
            .iter()
            .flat_map(|o| plans.iter().map(move |p| o.value * p.price));
        let worth = each.sum::<f64>() / (operations.len() * plans.len()).max(1) as f64;
        Limiter {
            plans,
            fleet: s.fleet.max(1),
            slot: s.slot,
            zone: s.zone,
            counter: s.counter,
            count_wait: s.count_wait,
            max_pause: s.max_pause,
            most_deliveries: s.most_deliveries.max(1) as usize,
            cold_from: s.cold_from.clamp(0.01, 1.0),
            cold_for: s.cold_for.max(1e-3),
            lead: (s.fall_multiple / 2.0).clamp(1.0, 2.0),
            slack: s.answer_slack,
            watch: s.watch_on_request,
            objective: if objective.is_finite() {
                objective.max(1e-3)
            } else {
                1.0
            },
            operations,
            born: now,
            rng: fastrand::Rng::with_seed(s.seed),
            pricing: Calls::new(s.count_wait, s.call_price, worth),
            faded_at: now,
            shrunk: now,
            fleet_slow: CALM / 2.0,
            answered: CALM / 2.0,
            flow_at: now,
            actions: s
                .watch_on_request
                .then_some(Action::WatchEndpoints)
                .into_iter()
                .collect(),
            ..Limiter::default()
        }
    }

    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    pub fn customers(&self) -> usize {
        self.by_customer.len()
    }

    // ---- The three calls ----

    /// Where to send this invocation: the ordinary path, top to bottom.
    pub fn place(&mut self, inv: &mut Invocation, now: f64) -> Answer {
        if matches!(inv.stage, Stage::Out | Stage::Done) {
            return if inv.stage == Stage::Done {
                Answer::Done
            } else {
                Answer::Hold
            };
        }
        let a = self.account(inv, now);
        if inv.stage == Stage::New {
            let account = &mut self.accounts[a];
            let keep = (-(now - account.seen) / self.plans[inv.plan].span).exp();
            (account.demand, account.seen) = (account.demand * keep + inv.units, now);
        }
        if now >= self.give_up(inv) {
            return self.refuse(inv, Cause::Waited, self.objective, now);
        }
        // A queue too long to clear in time is refused at once, before it costs quota.
        if inv.stage == Stage::New {
            let clears = self.ahead(inv, false) as f64 * self.fleet_slow / self.window.max(1.0);
            if clears > QUEUE {
                let pause = clears * self.operations[inv.operation].objective;
                return self.refuse(inv, Cause::Queue, pause, now);
            }
        }
        // Over the hard ceiling nothing else matters: no lease, no place.
        let short = self.accounts[a].short;
        if let (false, Some(pause)) = (short, self.over_ceiling(a, inv, now)) {
            return self.refuse(inv, Cause::Ceiling, pause, now);
        }
        if !inv.paid && !inv.beyond {
            // Admit from the lease while its units cover the invocation; refill it when they do not.
            let account = &mut self.accounts[a];
            let plan = &self.plans[inv.plan];
            // A plan limited by open deliveries gets an even whole part of the limit, at least one.
            if plan.open > 0.0 && account.open >= (plan.open / account.gateways).floor().max(1.0) {
                return self.beyond(inv, Cause::Open, self.objective, now);
            }
            if plan.rate > 0.0 {
                if now >= account.lapses || account.lease + 1e-6 < inv.units {
                    if account.asking {
                        if !account.waiting.contains(&inv.num) {
                            account.waiting.push(inv.num);
                        }
                        inv.stage = Stage::Quota;
                        return Answer::Hold;
                    }
                    let room =
                        plan.burst - (account.backlog - plan.rate * (now - account.heard)).max(0.0);
                    if account.heard > 0.0 && room < inv.units {
                        return self.beyond(inv, Cause::Quota, (inv.units - room) / plan.rate, now);
                    }
                    // A crowded counter is asked first where a wrong guess costs most.
                    let closed = short && self.over_ceiling(a, inv, now).is_some();
                    let blind = !closed && self.local_share(a, inv, now);
                    let stake = self.stake(a, inv, blind, now);
                    // Who waited for a call that failed decides without: asking again adds to the crowd.
                    let failed = now - self.accounts[a].failed_at < self.count_wait;
                    if !failed && self.counter && self.pricing.open(stake, self.rng.f64(), now) {
                        self.refill(a, inv, now);
                        self.accounts[a].waiting.push(inv.num);
                        inv.stage = Stage::Quota;
                        return Answer::Hold;
                    }
                    if !blind {
                        return self.beyond(inv, Cause::Unasked, self.max_pause, now);
                    }
                    self.let_in_unasked(a, inv.units, now);
                } else {
                    // What was leased in a short window lies under the ceiling by itself.
                    inv.drawn = short;
                }
                self.accounts[a].lease -= inv.units;
            }
            inv.paid = true;
        }
        // In the queue for a place at a server.
        if inv.stage != Stage::Queued {
            inv.stage = Stage::Queued;
            if self.join(inv, false) > 0 {
                return Answer::Hold;
            }
        }
        match self.pick(inv, now) {
            Some(tgt) => self.send(inv, tgt, now),
            None => Answer::Hold,
        }
    }

    /// What to do after this outcome.
    pub fn after(&mut self, inv: &mut Invocation, outcome: &Outcome, now: f64) -> Answer {
        let Some(&(tgt, at)) = inv.sent.get(outcome.n) else {
            return Answer::Done;
        };
        inv.out = inv.out.saturating_sub(1);
        self.learn(tgt, inv, outcome, at, now);
        self.ask_front();
        if !outcome.ending.never_ran() && inv.may_have_run.is_none_or(|n| outcome.n < n) {
            inv.may_have_run = Some(outcome.n);
        }
        if let Some(&a) = self.by_customer.get(&inv.customer) {
            let account = &mut self.accounts[a];
            account.open = (account.open - 1.0).max(0.0);
            // A meter well over the rate tells without the counter that the limiters let in too much.
            let rate = self.plans[inv.plan].rate;
            if outcome
                .used
                .is_some_and(|used| used * rate > rate + inv.units)
            {
                (account.share, account.calm, account.likely) = (0.0, false, account.likely * CALM);
            }
            if let (Some(units), true) = (outcome.settled, inv.paid) {
                account.debt += units - inv.units;
            }
        }
        if outcome.done || inv.stage == Stage::Done {
            return self.finish(inv, Answer::Done);
        }
        if inv.out > 0 {
            return Answer::Hold;
        }
        // Another delivery only where it is allowed, can still earn, and adds nothing to an overload.
        let left =
            inv.sent.len() < self.most_deliveries.min(FURTHER + 1) && self.pressure < PRESSED;
        if left
            && outcome.ending != Ending::Moot
            && now < self.give_up(inv)
            && self.resendable(inv, now)
        {
            inv.stage = Stage::Queued;
            if let Some(tgt) = self.pick(inv, now) {
                return self.send(inv, tgt, now);
            }
            self.join(inv, true);
            return Answer::Hold;
        }
        if inv.may_have_run.is_none() {
            return self.refuse(inv, Cause::Undelivered, self.objective, now);
        }
        self.finish(inv, Answer::Error)
    }

    /// How long to wait: for a delivery until it is abandoned, for a held one until it is asked again.
    pub fn wait(&self, inv: &Invocation, now: f64) -> f64 {
        match inv.stage {
            Stage::Out => (inv.limit - now).max(0.0),
            _ => (self.objective * NEWEST).min((self.give_up(inv) - now).max(0.0)),
        }
    }

    // ---- Leases on the shared counter ----

    /// One add to the customer's window name, sized to local demand and shrunk near the limit.
    fn refill(&mut self, a: usize, inv: &Invocation, now: f64) {
        let (needs, account) = (inv.units, &mut self.accounts[a]);
        let plan = &mut self.plans[account.plan];
        let window =
            ((now + phase(account.customer, account.length)) / account.length).floor() as i64;
        let backlog = (account.backlog - plan.rate * (now - account.heard)).max(0.0);
        let room = plan.burst - backlog;
        let want = account.demand.max(needs).min(plan.burst.max(needs));
        let few = (room / account.gateways / SHRINK).max(needs);
        let asked = if want * account.gateways > room {
            want.min(few)
        } else {
            want
        };
        // A new name starts at nothing: the backlog known here goes over with the first add.
        let carried = if account.window == window || account.short {
            0.0
        } else {
            backlog
        };
        // Units left of the last lease go back with the same add.
        let fresh = account.window == window || !account.short;
        let back = if fresh {
            account.lease.min(backlog).max(0.0)
        } else {
            0.0
        };
        let debt = account.owed(plan, now);
        (account.debt, account.lease, account.asking) = (0.0, 0.0, true);
        let add = asked + carried + debt - back;
        self.count(Call {
            account: a,
            add,
            asked,
            needs,
            carried,
            debt,
            back,
            window,
            repeat: inv.repeat,
        });
    }

    fn count(&mut self, call: Call) {
        let account = &self.accounts[call.account];
        let (customer, plan) = (account.customer, &self.plans[account.plan]);
        let most = if account.short {
            plan.hard.window(account.gateways).0
        } else {
            plan.burst
        };
        let most = if account.short {
            whole(most, call.window)
        } else {
            most
        };
        let rate = if account.short { 0.0 } else { plan.rate };
        let start = window_start(customer, call.window, account.length);
        let (plan, asked, needs) = (account.plan, call.asked, call.needs);
        let about = About {
            customer,
            plan,
            asked,
            needs,
            start,
            length: account.length,
            rate,
            most,
        };
        let name = mix(customer, call.window as u64) >> 1;
        self.actions.push_back(Action::Count {
            name,
            add: call.add,
            life: NAME_LIFE,
            about,
        });
        self.calls.entry(name).or_default().push_back(call);
    }

    /// The counter's answer. The name holds units let in since the window began; what stands above the
    /// line of the rate is backlog, and the burst is the most that it may be.
    pub fn counted(&mut self, name: u64, counted: Counted, spent: f64, now: f64) {
        let Some(call) = self.calls.get_mut(&name).and_then(VecDeque::pop_front) else {
            return;
        };
        if self.calls[&name].is_empty() {
            self.calls.remove(&name);
        }
        let a = call.account;
        self.pricing.heard(counted, spent, now);
        let Counted::Total(total) = counted else {
            self.not_counted(call, counted, now);
            return;
        };
        if call.asked <= 0.0 {
            self.corrected(call, total);
            return;
        }
        let account = &mut self.accounts[a];
        let plan = &mut self.plans[account.plan];
        let start = window_start(account.customer, call.window, account.length);
        let ends = start + account.length;
        // A short window holds what was leased in it.
        let (line, most) = match account.short {
            // One that lately filled a window, or used turns, gets no more than its rate gives in one.
            true if now - account.full_at.max(self.pricing.silent_until()) < HOLD * plan.span => {
                (0.0, plan.rate * account.length)
            }
            true => (0.0, plan.hard.window(account.gateways).0),
            false => (plan.rate * (now - start), plan.burst),
        };
        let most = if account.short {
            whole(most, call.window)
        } else {
            most
        };
        let before = total - call.add;
        // Guards against an emptied counter: a total far under the last one heard lost its units, so
        // what is known here is put back. Gives a peer's large return back too late by one span at worst.
        let known = (account.backlog - plan.rate * (now - account.heard)).max(0.0);
        let forgot =
            !account.short && account.window == call.window && before - line < known - plan.burst;
        let floor = (if forgot { known } else { call.carried } - call.back).max(0.0);
        // An idle customer's store holds the burst at most: the rest is written off once demand could use it.
        // Guards against units beyond the quota, which take nothing, and what was added in vain: with hundreds
        // of limiters their sum stood for seconds where there was room. A store is never under 0.
        let base = (before - call.back - line).max(floor).min(most);
        let room = (most - base - call.debt).max(0.0);
        let mut grant = call.asked;
        if grant * account.gateways > room {
            grant = grant.min((room / account.gateways / SHRINK).max(call.needs));
        }
        if grant > room || (account.short && now >= ends) {
            grant = 0.0;
        }
        let target = line + (base + call.debt + grant).min(most);
        let off = target - total;
        // In a long set one invocation says little: else a call would follow each answer.
        let hot =
            account.demand * account.gateways > plan.burst / 2.0 && account.demand > call.needs;
        let idle = hot || floor > 0.0 || off > plan.burst;
        // A short window that had no room is shut until it ends, so nothing is put right there.
        let correct = if account.short {
            grant > 0.0 && off < -0.5
        } else {
            off < -0.5 || (off > 0.5 && idle)
        };
        let first = account.heard <= 0.0;
        (account.window, account.heard, account.lease, account.asking) =
            (call.window, now, grant, false);
        let over = grant <= 0.0;
        account.full_at = if over { now } else { account.full_at };
        account.calm = if account.short {
            room > most / 2.0
        } else {
            before + call.asked < line
        };
        let had_room = f64::from(u8::from(!over));
        if first {
            let usual = &mut plan.had_room[usize::from(call.repeat)];
            account.likely = std::mem::replace(usual, *usual + NEWEST / 4.0 * (had_room - *usual));
        }
        account.likely += if account.calm { 1.0 } else { CALM } * (had_room - account.likely);
        if account.short {
            // Who found it full is shut out until it ends, and no longer, whatever was added beyond.
            let shut = call.needs - plan.rate * (ends - now);
            account.backlog = plan.burst - if over { shut } else { room - grant };
            account.lapses = ends;
        } else {
            // Guards against totals that are put right a moment later: over its burst none is believed.
            account.backlog = (if correct { target } else { total } - line).min(plan.burst);
            account.lapses = now + HOLD * plan.span;
        }
        if correct {
            self.count(Call {
                add: off,
                asked: 0.0,
                needs: target,
                debt: 0.0,
                back: 0.0,
                ..call
            });
        }
        self.wake(a);
    }

    /// A call that brought no total: refused by the counter, or lost.
    fn not_counted(&mut self, call: Call, counted: Counted, now: f64) {
        let account = &mut self.accounts[call.account];
        let plan = &self.plans[account.plan];
        if counted == Counted::Refused {
            // Nothing was added: what it was to report or return goes with the next one, a write-off not.
            let correction = if call.asked > 0.0 {
                0.0
            } else {
                call.add.min(0.0)
            };
            account.debt = account.owed(plan, now) + call.debt + correction;
            account.lease += call.back;
        }
        if call.asked > 0.0 {
            (account.asking, account.failed_at) = (false, now);
            self.wake(call.account);
        }
    }

    /// The answer to a call that asked for nothing and put the total right.
    fn corrected(&mut self, call: Call, total: f64) {
        let plan = &self.plans[self.accounts[call.account].plan];
        // Guards against gateways that write off the same rest at once: whoever finds more than it
        // wrote takes its own back, else the customer would owe a whole window's rate.
        let twice = (total - call.needs).min(call.add);
        if call.add > plan.burst && twice > call.add / 2.0 {
            self.count(Call {
                add: -twice,
                ..call
            });
        }
    }

    fn wake(&mut self, a: usize) {
        self.actions
            .extend(self.accounts[a].waiting.drain(..).map(Action::Ask));
    }

    /// What this invocation earns if it is sent now: its worth times the chance of an answer in its time.
    fn value(&self, inv: &Invocation, now: f64) -> f64 {
        let operation = &self.operations[inv.operation];
        let left = inv.until.min(inv.came + operation.objective) - now;
        let mean = (self.fleet_slow * operation.objective).max(1e-9);
        self.worth(inv) * (1.0 - (-left.max(0.0) / mean).exp())
    }

    fn worth(&self, inv: &Invocation) -> f64 {
        self.operations[inv.operation].value * self.plans[inv.plan].price * inv.units
    }

    /// What a wrong guess about this invocation costs on average. Takes the mean worth on the way.
    fn stake(&mut self, a: usize, inv: &Invocation, blind: bool, now: f64) -> f64 {
        let worth = self.worth(inv);
        self.pricing.seen(worth);
        let (account, plan) = (&self.accounts[a], &self.plans[inv.plan]);
        // What was heard gives way to what is usual over a span: else one without room is never asked again.
        let (likely, usual) = (
            account.likely(plan, inv.repeat),
            plan.had_room[usize::from(inv.repeat)],
        );
        let likely =
            (usual + (likely - usual) * (-(now - account.heard) / plan.span).exp()).min(SURE);
        // A lease that serves many is worth more than one that serves one, as near the limit of a long set.
        let few = if account.demand * account.gateways > plan.burst {
            0.0
        } else {
            account.demand
        };
        let serves = (few / inv.units.max(1e-9)).max(1.0);
        worth
            * serves
            * if blind {
                (1.0 - likely) * plan.excess
            } else {
                likely
            }
    }

    /// Without the counter each limiter admits its share of the quota, opened as far as the plan's price of
    /// an excess allows. Guards against sets so long that no share covers one invocation: where it earns
    /// more than it risks, one is let in for each span. What it lets in is owed to the counter.
    fn local_share(&mut self, a: usize, inv: &Invocation, now: f64) -> bool {
        let (units, value) = (inv.units, self.value(inv, now));
        let account = &mut self.accounts[a];
        let plan = &mut self.plans[account.plan];
        // One that was heard to use less than its rate may come unevenly: here it gets the whole.
        let part = if account.calm {
            1.0
        } else {
            (plan.openness / account.gateways).min(1.0)
        };
        let most = (plan.burst * part).max(units);
        let since = now - account.share_at;
        if since > plan.span {
            let room = plan.burst - (account.backlog - plan.rate * (now - account.heard)).max(0.0);
            let likely = account.likely(plan, inv.repeat);
            // Where places are short, one let in costs what it keeps out.
            let gains = value * (likely - (1.0 - likely) * plan.excess);
            let blind = gains > self.crowd * self.pricing.worth();
            let floor = if blind { units.min(room) } else { 0.0 };
            account.share = (room * part).max(floor);
        } else {
            account.share = (account.share + since * plan.rate * part).min(most);
        }
        account.share_at = now;
        account.share + 1e-9 >= units
    }

    fn let_in_unasked(&mut self, a: usize, units: f64, now: f64) {
        let account = &mut self.accounts[a];
        let plan = &mut self.plans[account.plan];
        account.share -= units;
        account.debt = (account.owed(plan, now) + units).min(plan.burst);
        (account.lease, account.lapses) = (units, now + HOLD * plan.span);
    }

    /// Beyond the quota: throttled at once, unless the plan says that an excess pays and servers idle.
    fn beyond(&mut self, inv: &mut Invocation, cause: Cause, pause: f64, now: f64) -> Answer {
        let idle = self.queue.is_empty() && self.pressure < PRESSED / 2.0;
        if self.plans[inv.plan].beyond_pays && idle {
            inv.beyond = true;
            if let Some(tgt) = self.pick(inv, now) {
                return self.send(inv, tgt, now);
            }
        }
        self.refuse(inv, cause, pause, now)
    }

    // ---- Ceilings ----

    /// This limiter draws on its own part of the ceiling, so that no counter, restart or uneven entry can
    /// add up past it. It starts at nothing with the limiter: an earlier life may have spent the rest.
    /// Over it, the time until the part covers the invocation.
    fn over_ceiling(&mut self, a: usize, inv: &Invocation, now: f64) -> Option<f64> {
        let account = &mut self.accounts[a];
        let plan = &self.plans[account.plan];
        if inv.drawn || plan.hard.rate <= 0.0 {
            return None;
        }
        let (rate, burst) = plan.hard.part(account.gateways, account.short);
        // Where no part covers a unit, the limiters let in by turns while the counter is silent.
        if account.short && burst <= 0.0 {
            let rank = (self.slot + self.fleet - inv.first_gateway % self.fleet) % self.fleet;
            let apart = phase(account.customer, account.gateways / plan.hard.rate);
            let turn = plan
                .hard
                .turn(account.gateways, f64::from(rank), apart, now);
            let since = self.pricing.silent_since().unwrap_or(now);
            account.turn = turn.filter(|turn| *turn > since.max(account.spent));
            return (account.turn.is_none() || inv.units > 1.0).then_some(self.max_pause);
        }
        account.hard = (account.hard + rate * (now - account.hard_at)).min(burst);
        account.hard_at = now;
        (account.hard < inv.units).then(|| (inv.units - account.hard) / rate)
    }

    /// The customer's books, opened on first sight. Each opening closes idle ones, so that customers seen
    /// once do not pile up; a closed one would have been full again.
    fn account(&mut self, inv: &Invocation, now: f64) -> usize {
        if let Some(&a) = self.by_customer.get(&inv.customer) {
            return a;
        }
        let (plan, gateways) = (
            &self.plans[inv.plan],
            f64::from(inv.gateways.clamp(1, self.fleet)),
        );
        // Where a part of the ceiling covers little, short windows bound leases whatever is forgotten.
        // In a set so long that no gateway's part of the burst covers a unit a lease serves one invocation;
        // what a refused one added would cost another call to take back, and windows forget it themselves.
        let thin =
            self.counter && plan.hard.rate <= 0.0 && plan.rate > 0.0 && plan.burst < gateways;
        let short = thin || (plan.halves && plan.hard.burst < COARSE * gateways);
        let (hard_rate, hard_burst) = plan.hard.part(gateways, short);
        let account = Account {
            customer: inv.customer,
            plan: inv.plan,
            gateways,
            seen: now,
            window: i64::MIN,
            debt_at: now,
            share_at: f64::NEG_INFINITY,
            failed_at: f64::NEG_INFINITY,
            spent: f64::NEG_INFINITY,
            short,
            length: if short {
                plan.hard.window(gateways).1
            } else {
                WINDOW
            },
            full_at: f64::NEG_INFINITY,
            hard: (hard_rate * (now - self.born)).min(hard_burst),
            hard_at: now,
            ..Account::default()
        };
        for _ in 0..2.min(self.accounts.len()) {
            self.hand = (self.hand + 1) % self.accounts.len();
            let idle = &self.accounts[self.hand];
            let plan = &self.plans[idle.plan];
            let refilled = if plan.hard.rate > 0.0 {
                plan.hard.burst / plan.hard.rate
            } else {
                0.0
            };
            let quiet = now - idle.seen > WINDOW.max(2.0 * plan.span).max(2.0 * refilled);
            if quiet && !idle.asking && idle.waiting.is_empty() && idle.open <= 0.0 {
                self.by_customer.remove(&idle.customer);
                self.by_customer.insert(inv.customer, self.hand);
                self.accounts[self.hand] = account;
                return self.hand;
            }
        }
        self.accounts.push(account);
        self.by_customer
            .insert(inv.customer, self.accounts.len() - 1);
        self.accounts.len() - 1
    }

    // ---- The queue ----

    /// When an unsent invocation, or one between deliveries, can no longer be answered in time.
    fn give_up(&self, inv: &Invocation) -> f64 {
        let operation = &self.operations[inv.operation];
        let late = if operation.pays_late {
            f64::INFINITY
        } else {
            inv.came + operation.objective
        };
        let ends = inv.until.min(late) - self.fleet_slow.min(CALM) * operation.objective / 2.0;
        // Guards against a counter that is slow beside short objectives: its time-out is waited out.
        let held = (QUEUE * operation.objective).max(self.count_wait);
        ends.min(if inv.sent.is_empty() {
            inv.came + held
        } else {
            f64::INFINITY
        })
    }

    /// How many are ahead in the queue: dearer operations, whatever the plan, and equals unless it was out.
    fn ahead(&self, inv: &Invocation, again: bool) -> usize {
        let value = self.operations[inv.operation].value;
        self.queue
            .partition_point(|&(v, _)| v > value || (v == value && !again))
    }

    fn join(&mut self, inv: &Invocation, again: bool) -> usize {
        let ahead = self.ahead(inv, again);
        self.queue
            .insert(ahead, (self.operations[inv.operation].value, inv.num));
        ahead
    }

    fn ask_front(&mut self) {
        self.actions
            .extend(self.queue.front().map(|&(_, num)| Action::Ask(num)));
    }

    fn refuse(&mut self, inv: &mut Invocation, cause: Cause, pause: f64, now: f64) -> Answer {
        let unsent = inv.paid && inv.sent.is_empty();
        let crowded = cause == Cause::Queue || (unsent && inv.stage == Stage::Queued);
        self.crowd += if crowded {
            NEWEST * (1.0 - self.crowd)
        } else {
            0.0
        };
        let unrun = inv.may_have_run.is_none() && inv.out == 0;
        let effect = self.operations[inv.operation].effect;
        let all = matches!(
            effect,
            Effect::Idempotent
                | Effect::Tokened {
                    group: Group::All,
                    ..
                }
        );
        // Units leased for one that was never sent go back to the lease, but not into another short window.
        if let (true, Some(&a)) = (unsent, self.by_customer.get(&inv.customer)) {
            let account = &mut self.accounts[a];
            let same = inv.drawn && inv.came >= account.lapses - account.length;
            let lasts = now < account.lapses && (same || !account.short);
            *(if lasts {
                &mut account.lease
            } else {
                &mut account.share
            }) += inv.units;
        }
        let throttle = Answer::Throttle {
            pause: pause.max(0.0).min(self.max_pause),
            cause,
        };
        self.finish(
            inv,
            if unrun || all {
                throttle
            } else {
                Answer::Error
            },
        )
    }

    fn finish(&mut self, inv: &mut Invocation, answer: Answer) -> Answer {
        if inv.stage == Stage::Queued {
            // Guards against a queue that stands with nothing out: whoever leaves asks its front.
            self.queue.retain(|&(_, num)| num != inv.num);
            self.ask_front();
        }
        inv.stage = Stage::Done;
        answer
    }

    /// The client left, or the front lost the invocation.
    pub fn gone(&mut self, inv: &mut Invocation) {
        self.finish(inv, Answer::Done);
    }

    // ---- Servers ----

    /// The server for the next piece: the one with a free place that should answer soonest.
    fn pick(&mut self, inv: &Invocation, now: f64) -> Option<usize> {
        self.fade(now);
        let v = &self.servers;
        // Guards against a signal that condemns the whole fleet: a quarter of it always stays in use.
        let mut used: Vec<usize> = (0..v.live.len()).filter(|&s| v.live[s]).collect();
        let resting = used.iter().filter(|&&s| v.rest_until[s] > now).count();
        if (used.len() - resting) * 4 >= used.len() {
            used.retain(|&s| v.rest_until[s] <= now);
        }
        // A server's places may be under one where many limiters share it: then not all are in use at once.
        self.window = used.iter().map(|&s| v.places[s]).sum();
        if used.iter().map(|&s| v.out[s]).sum::<f64>() + 1.0 > self.window.max(1.0) {
            return None;
        }
        let mut best: Option<((bool, f64), usize)> = None;
        for s in used {
            if !self.usable(s, now) || !self.in_group(inv, s) {
                continue;
            }
            let v = &self.servers;
            let (far, good) = (
                if v.zone[s] == self.zone { 1.0 } else { 1.05 },
                (1.0 - v.bad[s]).max(0.05),
            );
            let soon = (v.out[s] + 1.0) * v.slow[s].max(0.02) * far / (good * good);
            // One whose rest is over gets its trial at once, with one delivery.
            let soon = if v.on_trial[s] {
                0.0
            } else {
                soon * (1.0 + 0.1 * self.rng.f64())
            };
            let key = (inv.sent.iter().any(|&(t, _)| t == s), soon);
            if best.is_none_or(|(least, _)| key < least) {
                best = Some((key, s));
            }
        }
        best.map(|(_, s)| s)
    }

    /// Guards against figures that outlive their cause: a server that was slow or failing gets too little
    /// to show that it recovered, so what is known of it fades to the fleet's over a few objectives. A
    /// server that stays bad costs one delivery now and then.
    fn fade(&mut self, now: f64) {
        let step = 1.0 - ((self.faded_at - now) / (FADE * self.objective)).exp();
        self.faded_at = now;
        let (first, v) = (START / f64::from(self.fleet), &mut self.servers);
        for s in 0..v.live.len() {
            v.slow[s] += (self.fleet_slow - v.slow[s]).min(0.0) * step;
            v.bad[s] -= v.bad[s] * step;
            v.places[s] += (first - v.places[s]).max(0.0) * step;
        }
    }

    fn usable(&self, s: usize, now: f64) -> bool {
        let v = &self.servers;
        let most = if v.on_trial[s] {
            1.0
        } else {
            v.places[s].max(1.0).ceil()
        };
        if v.out[s] + 1.0 > most || v.paced_until[s] > now {
            return false;
        }
        // Guards against servers that take work and answer nothing, before any time-out tells: with
        // something out and no answer for half an objective, each further delivery waits another half for
        // each that is out. So one that loses a part of what it takes stays in use, a hung one hardly.
        let (half, since) = (CALM * self.objective, now - v.quiet_since[s]);
        v.out[s] <= 0.0 || since <= half || since.min(now - v.sent_at[s]) > half * v.out[s]
    }

    fn in_group(&self, inv: &Invocation, s: usize) -> bool {
        let Some(n) = inv.may_have_run else {
            return true;
        };
        let first = inv.sent[n].0;
        match self.operations[inv.operation].effect {
            Effect::Tokened {
                group: Group::Zone, ..
            } => self.servers.zone[s] == self.servers.zone[first],
            Effect::Tokened {
                group: Group::Cell, ..
            } => self.servers.cell[s] == self.servers.cell[first],
            _ => true,
        }
    }

    /// No effect twice: whether a further delivery is allowed now.
    pub fn resendable(&self, inv: &Invocation, now: f64) -> bool {
        let Some(n) = inv.may_have_run else {
            return true;
        };
        match self.operations[inv.operation].effect {
            Effect::Idempotent => true,
            Effect::Tokened { window, .. } => now < inv.sent[n].1 + window - self.slack,
            Effect::NonIdempotent => false,
        }
    }

    fn send(&mut self, inv: &mut Invocation, tgt: usize, now: f64) -> Answer {
        if !self.resendable(inv, now) {
            return self.finish(inv, Answer::Error);
        }
        let a = self.account(inv, now);
        if let Some(pause) = self.over_ceiling(a, inv, now) {
            return self.refuse(inv, Cause::Ceiling, pause, now);
        }
        if !inv.drawn {
            let account = &mut self.accounts[a];
            account.hard -= inv.units;
            account.spent = account.turn.take().unwrap_or(account.spent);
            inv.drawn = true;
        }
        self.accounts[a].open += 1.0;
        self.crowd -= if inv.sent.is_empty() {
            NEWEST * self.crowd
        } else {
            0.0
        };
        self.finish(inv, Answer::Done);
        let kept = self.sends * (-(now - self.flow_at) / (2.0 * self.objective)).exp();
        (self.sends, self.flow_at) = (kept, now);
        let operation = &self.operations[inv.operation];
        // Leaves room for another delivery where one could follow; else this one has until the end.
        let more = self.pressure < PRESSED
            && inv.sent.len() < FURTHER
            && inv.sent.len() + 1 < self.most_deliveries
            && operation.effect != Effect::NonIdempotent;
        let ends = inv.came + operation.objective;
        let means = if self.missing > CALM {
            LOST / 2.0
        } else {
            LOST
        };
        let patience = ((ends - now) * CALM).max(means * self.fleet_slow * operation.objective);
        inv.limit = if more && now + patience < ends {
            now + patience
        } else {
            inv.until
        };
        let v = &mut self.servers;
        v.quiet_since[tgt] = if v.out[tgt] <= 0.0 {
            now
        } else {
            v.quiet_since[tgt]
        };
        (v.sent_at[tgt], v.out[tgt]) = (now, v.out[tgt] + 1.0);
        let cold = now - v.cold_since[tgt] < self.cold_for;
        let (pace, none_warm) = self.pace(tgt, now);
        if cold {
            self.servers.paced_until[tgt] = now + pace;
        }
        if !cold || none_warm {
            self.sends += 1.0;
        }
        (inv.stage, inv.out) = (Stage::Out, inv.out + 1);
        inv.sent.push((tgt, now));
        Answer::Send(tgt)
    }

    /// Time between sends to a cold server: it gets its present part of what a warm one gets and a lead on
    /// it, half of what pushes it over when the warm ones are full, if the other limiters do alike.
    fn pace(&self, tgt: usize, now: f64) -> (f64, bool) {
        let v = &self.servers;
        let warm = (0..v.live.len())
            .filter(|&s| v.live[s] && now - v.cold_since[s] >= self.cold_for)
            .count();
        let part =
            self.cold_from + (1.0 - self.cold_from) * (now - v.cold_since[tgt]) / self.cold_for;
        let each = (self.sends / 2.0 / warm.max(1) as f64).max(1.0 / f64::from(self.fleet))
            / self.objective;
        (1.0 / (each * part * self.lead), warm == 0)
    }

    /// Takes one outcome into the figures of its server and of the fleet.
    fn learn(&mut self, tgt: usize, inv: &Invocation, outcome: &Outcome, at: f64, now: f64) {
        let v = &mut self.servers;
        v.out[tgt] = (v.out[tgt] - 1.0).max(0.0);
        if matches!(outcome.ending, Ending::Moot | Ending::Cancelled) {
            return;
        }
        let (fleet, objective) = (
            f64::from(self.fleet),
            self.operations[inv.operation].objective,
        );
        let share = (outcome.spent / objective).min(2.0);
        // Turned away counts as failed: a server that is quick to say no would draw ever more.
        let (ok, end) = (
            outcome.ending == Ending::Succeeded,
            outcome.ending == Ending::Timeout,
        );
        // Guards against answers that get lost: one awaited for several times a quick mean tells nothing of
        // load. Clients that give up before that do.
        let lost = self.answered < 0.75 * FULL && share > 3.0 * self.answered;
        let timed = ok || (end && !lost);
        let late = outcome.ending == Ending::Full || (timed && share > 1.5 * CALM);
        // Where most that outlast half of the patience never end, answers are lost, and it is halved. Only
        // those awaited to their end tell, so that what was abandoned is no proof that it was right to.
        if share > LOST / 2.0 * self.fleet_slow && (ok || (end && inv.limit >= inv.until)) {
            self.missing += NEWEST * (f64::from(u8::from(end)) - self.missing);
        }
        if !matches!(outcome.ending, Ending::Timeout | Ending::ConnectFailed) {
            v.quiet_since[tgt] = now;
        }
        let (bad, fleet_bad) = (f64::from(u8::from(!ok)), self.fleet_bad);
        self.fleet_bad += NEWEST / 4.0 * (bad - fleet_bad);
        v.bad[tgt] += 2.0 * NEWEST * (bad - v.bad[tgt]);
        if v.bad[tgt] < SICK {
            self.pressure += NEWEST / 2.0 * (f64::from(u8::from(late)) - self.pressure);
        }
        let weight = |counts: bool| if counts { NEWEST / 2.0 } else { 0.0 };
        v.slow[tgt] += 2.0 * weight(ok || end) * (share - v.slow[tgt]);
        self.fleet_slow += weight(timed) * (share - self.fleet_slow);
        self.answered += weight(ok) * (share - self.answered);
        if ok {
            v.rest[tgt] = 0.0;
            if v.on_trial[tgt] {
                // Trust returns slowly: the server may be back cold before the list says so.
                v.on_trial[tgt] = false;
                v.bad[tgt] = SICK / 2.0;
                v.places[tgt] = START / fleet;
                v.cold_since[tgt] = v.cold_since[tgt].max(now - self.cold_for / 2.0);
            }
        }
        // Guards against servers that slow down under what they hold, and stay slow: places grow by one
        // while the mean answer is quick and all are in use, and shrink once for what was sent since the
        // last shrink. A fresh server's cap doubles as fast; one with slow work of its own gets less.
        let used = v.out.iter().sum::<f64>() + 2.0 > self.window || !self.queue.is_empty();
        if v.places[tgt] < 1.0 {
            // Guards against figures that rest on a handful of answers: where many limiters share a server
            // and each has under one place there, one answer speaks for all servers. A delivery that was
            // given up on, by whomever, was not quick, and its server may still work on it.
            let mut scale = 1.0;
            if late || (timed && !ok) || self.fleet_slow > CALM {
                if at > self.shrunk {
                    (scale, self.shrunk) = (0.8, now);
                }
            } else if ok && used && self.fleet_slow < 1.5 * FULL {
                scale += v.live.len() as f64 / fleet / (self.window * self.window).max(1.0);
            }
            v.places
                .iter_mut()
                .filter(|p| **p < 1.0)
                .for_each(|p| *p = (*p * scale).max(1.0 / fleet));
        } else if late || (lost && !ok) || v.slow[tgt] > FULL {
            if at > v.shrunk[tgt] {
                v.shrunk[tgt] = now;
                v.places[tgt] = (v.places[tgt] * 0.8).max(1.0 / fleet);
            }
        } else if ok && (v.out[tgt] + 2.0 > v.places[tgt] || !self.queue.is_empty()) {
            v.places[tgt] += 1.0 / (fleet * v.places[tgt]);
        }
        // Rested when it fails far more than the fleet; an error that many return is not one server's
        // fault. Covers crashes, hangs, cut links and quick errors; hurts a server that had bad luck.
        if !ok && (v.on_trial[tgt] || (v.bad[tgt] > SICK && v.bad[tgt] > 2.0 * fleet_bad)) {
            v.rest[tgt] = (v.rest[tgt] * 2.0).clamp(2.0 * self.objective, self.cold_for / 2.0);
            (v.rest_until[tgt], v.on_trial[tgt]) =
                (now + v.rest[tgt] * (0.75 + self.rng.f64() / 2.0), true);
        }
    }

    /// What the fleet saw of a server: a bad one rests for so long, one good again rests no longer.
    pub fn told(&mut self, tgt: usize, bad: bool, pause: f64, now: f64) {
        let v = &mut self.servers;
        if bad || v.rest_until[tgt] > now + pause {
            (v.rest_until[tgt], v.on_trial[tgt]) = (now + pause, true);
        }
    }

    /// The endpoints: changed entries, or the complete list.
    pub fn endpoints(&mut self, entries: &[Server], complete: bool, now: f64) {
        if complete {
            self.servers.live.iter_mut().for_each(|l| *l = false);
        }
        for e in entries {
            let v = &mut self.servers;
            while v.live.len() <= e.tgt {
                [&mut v.live, &mut v.on_trial]
                    .into_iter()
                    .for_each(|column| column.push(false));
                v.zone.push(0);
                v.cell.push(0);
                v.places.push(START / f64::from(self.fleet));
                v.slow.push(CALM / 2.0);
                let never = [&mut v.cold_since, &mut v.shrunk];
                never
                    .into_iter()
                    .for_each(|column| column.push(f64::NEG_INFINITY));
                let times = [
                    &mut v.quiet_since,
                    &mut v.sent_at,
                    &mut v.rest_until,
                    &mut v.paced_until,
                ];
                times.into_iter().for_each(|column| column.push(0.0));
                let rest = [&mut v.came_up, &mut v.out, &mut v.bad, &mut v.rest];
                rest.into_iter().for_each(|column| column.push(0.0));
            }
            let s = e.tgt;
            if e.came_up > v.came_up[s] {
                // A new start: cold, and nothing learned of the old process holds.
                v.cold_since[s] = v.cold_since[s].max(e.came_up);
                v.places[s] = START / f64::from(self.fleet);
                v.shrunk[s] = f64::NEG_INFINITY;
                v.slow[s] = self.fleet_slow;
                (v.bad[s], v.rest_until[s], v.rest[s], v.on_trial[s]) = (0.0, 0.0, 0.0, false);
                // Hundreds of limiters that each send one at once push it over: first sends are spread out.
                if now < e.came_up + self.cold_for {
                    let first = self.pace(s, now).0.max(self.objective);
                    self.servers.paced_until[s] = now + first * self.rng.f64();
                }
            }
            let v = &mut self.servers;
            (v.came_up[s], v.live[s]) = (e.came_up, e.readiness == Readiness::Live);
            (v.zone[s], v.cell[s]) = (e.zone, e.cell);
        }
        self.ask_front();
    }

    /// The watch broke; what it misses counts as told soon, however long objectives are.
    pub fn watch_lost(&mut self) {
        let again = Action::Tick(self.objective.min(0.5) * (1.0 + self.rng.f64()));
        self.actions.extend(self.watch.then_some(again));
    }

    pub fn tick(&mut self) {
        self.actions
            .extend(self.watch.then_some(Action::WatchEndpoints));
    }
}

/// Windows are staggered over customers, so that leases do not all end together.
fn phase(customer: u64, window: f64) -> f64 {
    (mix(customer, 7) >> 11) as f64 / 9007199254740992.0 * window
}

fn window_start(customer: u64, index: i64, window: f64) -> f64 {
    index as f64 * window - phase(customer, window)
}
