//! What the simulated limiters serve: customers with quotas who come too often, a counter that takes so many
//! calls a second, servers that answer or hang, and between them the module itself with its borrower and its
//! broker. It plays; it decides nothing. Times are true seconds: the platform has limiters agree on windows.
//! Beside each customer runs a bucket filled at its rate, which no limiter sees, to tell what was let in
//! beyond the quota and what was refused with room.

mod broker;
mod counter;
mod event;

pub use event::{Event, Out, Tally};

use crate::quotas::Bucket;
use crate::trial::Quota;
use dunespur_decisions::types::{
    self as types, Action, Arrival, AttemptResult, CounterReply, Decision, Effect, Invocation,
    Outcome, Readiness,
};
use dunespur_decisions::Limiter;
use dunespur_quota_sharing::{
    self as quota_sharing, Borrower, Broker, CounterCall, LeaseRequest, Route,
};
use dunespur_singleton_roles::{Slot, SlotRange};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::{BTreeMap, BTreeSet};

/// Calls of a broker are numbered from here on.
const BROKER: u64 = 1 << 62;
/// The latency objective, the client's patience, and the counter's time-out.
const OBJECTIVE: f64 = 0.6;
const PATIENCE: f64 = 2.0;
const COUNT_WAIT: f64 = 0.05;
/// A healthy server answers within, and a call's way to the counter or a server.
const WORK: (f64, f64) = (0.008, 0.03);
const WAY: f64 = 0.0005;

struct PendingInvocation {
    inv: Invocation,
    customer: usize,
    came: f64,
    open: u32,
}

/// One limiter.
struct Gate {
    epoch: u64,
    up: bool,
    limiter: Limiter,
    borrower: Borrower,
    broker: Broker,
    due: f64,
    pending: BTreeMap<u64, PendingInvocation>,
    calls: BTreeMap<u64, (u64, f64)>,
    last_call: u64,
    known: BTreeSet<Slot>,
}

pub struct Service {
    quota: Quota,
    limiters: usize,
    broker_slots: Option<SlotRange>,
    settings: quota_sharing::Settings,
    gates: Vec<Gate>,
    buckets: Vec<Bucket>,
    worst_overshoot: f64,
    counter: BTreeMap<u64, f64>,
    /// Until when the counter is busy with what it took.
    busy: f64,
    pub counter_silent: bool,
    pub hung: BTreeSet<usize>,
    rng: Xoshiro256PlusPlus,
    last: u64,
    pub measure_from: f64,
    pub tally: Tally,
}

pub fn quota_sharing_settings() -> quota_sharing::Settings {
    quota_sharing::Settings {
        max_lead: 1.0,
        demand_window: 4.0,
        counter_timeout: COUNT_WAIT * 0.7,
        reread_interval: 3.0,
        near_limit_interval: 0.25,
        broker_backoff: 1.0,
        max_names: 20_000,
        max_waiting: 1024,
        max_borrowers: 1024,
    }
}

impl Service {
    pub fn new(quota: &Quota, limiters: usize, broker_slots: Option<SlotRange>, seed: u64) -> Self {
        let mut service = Service {
            quota: quota.clone(),
            limiters,
            broker_slots,
            settings: quota_sharing_settings(),
            gates: Vec::new(),
            buckets: vec![Bucket::new(quota); quota.customers],
            worst_overshoot: 0.0,
            counter: BTreeMap::new(),
            busy: 0.0,
            counter_silent: false,
            hung: BTreeSet::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed ^ 0x5EED),
            last: 0,
            measure_from: 0.0,
            tally: Tally::default(),
        };
        for n in 0..limiters {
            let gate = service.gate(n, 0, 0.0);
            service.gates.push(Gate { up: false, ..gate });
        }
        service
    }

    fn gate(&mut self, n: usize, epoch: u64, now: f64) -> Gate {
        let q = &self.quota;
        let plan = types::PlanSettings {
            rate: q.rate,
            burst: q.burst,
            hard_rate: q.hard_rate,
            hard_burst: q.hard_burst,
            beyond_quota_cost: 1.0,
            price: 1.0,
            ..Default::default()
        };
        let operation = types::OperationSettings {
            effect: Effect::Idempotent,
            latency_target: OBJECTIVE,
            integration_timeout: PATIENCE,
            billed_value: 1.0,
            late_share: 0.0,
        };
        let settings = types::Settings {
            seed: self.rng.random(),
            fleet_index: n as u32,
            fleet_size: self.limiters as u32,
            zone: n % 3,
            operations: vec![operation],
            plans: vec![plan],
            has_counter: true,
            counter_timeout: COUNT_WAIT,
            call_price: 0.02,
            max_retry_after: 0.5,
            max_attempts: 6,
            warm_up_from: 0.2,
            warm_up_time: 10.0,
            overload_multiple: 4.0,
            response_slack: 0.016,
            endpoints_on_request: false,
        };
        let mut limiter = Limiter::new(&settings, now);
        let server = |tgt| types::Server {
            index: tgt,
            zone: tgt % 3,
            cell: tgt as u64,
            started_at: 0.0,
            readiness: Readiness::Live,
        };
        let servers: Vec<types::Server> = (0..q.servers).map(server).collect();
        limiter.update_endpoints(&servers, true, now);
        Gate {
            epoch,
            up: true,
            limiter,
            borrower: Borrower::new(&self.settings),
            broker: Broker::new(self.settings.clone(), BROKER),
            due: f64::INFINITY,
            pending: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            known: BTreeSet::new(),
        }
    }

    /// The process starts; what an earlier one held is gone with it.
    pub fn start(&mut self, n: usize, epoch: u64, now: f64) {
        if n < self.limiters {
            self.gates[n] = self.gate(n, epoch, now);
        }
    }

    pub fn stop(&mut self, n: usize) {
        if n < self.limiters {
            self.gates[n].up = false;
            self.gates[n].pending.clear();
        }
    }

    /// Which slots have a holder that this limiter knows of.
    pub fn know(&mut self, n: usize, known: BTreeSet<Slot>) {
        if n < self.limiters {
            self.gates[n].known = known;
        }
    }

    fn lives(&self, gate: usize, epoch: u64) -> bool {
        self.gates[gate].up && self.gates[gate].epoch == epoch
    }

    pub fn step(&mut self, ev: Event, now: f64, out: &mut Vec<Out>) {
        match ev {
            Event::ClientArrives => self.come(now, out),
            Event::Retry { gate, epoch, num } if self.lives(gate, epoch) => {
                self.place(gate, num, now, out)
            }
            Event::AttemptTimeout {
                gate,
                epoch,
                num,
                n,
            } if self.lives(gate, epoch) => {
                self.ended(gate, num, n, AttemptResult::Timeout, now, out);
            }
            Event::AttemptEnded {
                gate,
                epoch,
                num,
                n,
                ending,
            } if self.lives(gate, epoch) => {
                self.ended(gate, num, n, ending, now, out);
            }
            Event::CounterCall {
                gate,
                epoch,
                call,
                name,
                add,
            } => self.count(gate, epoch, call, name, add, now, out),
            Event::CounterTotal {
                gate,
                epoch,
                call,
                total,
            } if self.lives(gate, epoch) => {
                self.counted(gate, call, CounterReply::Total(total), now, out);
            }
            Event::CounterTimeout { gate, epoch, call }
                if self.lives(gate, epoch) && self.gates[gate].calls.contains_key(&call) =>
            {
                if self.gates[gate].borrower.is_at_broker(call) {
                    let chance = self.rng.random();
                    self.gates[gate].borrower.abandon(call, chance, now);
                }
                self.counted(gate, call, CounterReply::NoReply, now, out);
            }
            Event::BorrowerDue { gate, epoch } if self.lives(gate, epoch) => {
                let chance = self.rng.random();
                let g = &mut self.gates[gate];
                for CounterCall {
                    call, name, add, ..
                } in g.borrower.take_overdue(chance, now)
                {
                    out.push(Out::At(
                        now + WAY,
                        Event::CounterCall {
                            gate,
                            epoch,
                            call,
                            name,
                            add,
                        },
                    ));
                }
                let due = g.borrower.next_due();
                if due.is_finite() {
                    out.push(Out::At(
                        due.max(now) + 1e-6,
                        Event::BorrowerDue { gate, epoch },
                    ));
                }
            }
            Event::BrokerDue { gate, epoch } if self.lives(gate, epoch) => {
                let mut said = Vec::new();
                self.gates[gate].due = f64::INFINITY;
                self.gates[gate].broker.tick(now, &mut said);
                self.carry_out_broker(gate, said, now, out);
            }
            _ => {}
        }
    }

    /// An open loop over all customers, each over its own limiters.
    fn come(&mut self, now: f64, out: &mut Vec<Out>) {
        let q = &self.quota;
        let all = q.rate * q.times * q.customers as f64;
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / all;
        let customer = self.rng.random_range(0..q.customers);
        let gateways = q.spread.clamp(1, self.limiters);
        let first = customer * 7 % self.limiters;
        // A thin customer comes in at its first limiter twenty-five times as often as at the others.
        let door = match q.thin {
            true if self.rng.random_bool(25.0 / (25.0 + gateways as f64 - 1.0)) => 0,
            true => self.rng.random_range(0..gateways),
            false => self.rng.random_range(0..gateways),
        };
        let gate = (first + door) % self.limiters;
        out.push(Out::At(now + pause, Event::ClientArrives));
        if !self.gates[gate].up {
            return;
        }
        self.last += 1;
        let num = self.last;
        let inv = Invocation::from(Arrival {
            id: num,
            customer: customer as u64 * 0x9E37_79B9 + 11,
            plan: 0,
            operation: 0,
            units: 1.0,
            first_gateway: first as u32,
            gateways: gateways as u32,
            arrived_at: now,
            client_deadline: now + PATIENCE,
        });
        self.gates[gate].pending.insert(
            num,
            PendingInvocation {
                inv,
                customer,
                came: now,
                open: 0,
            },
        );
        self.place(gate, num, now, out);
    }

    fn place(&mut self, gate: usize, num: u64, now: f64, out: &mut Vec<Out>) {
        let g = &mut self.gates[gate];
        let Some(held) = g.pending.get_mut(&num) else {
            return;
        };
        if matches!(held.inv.stage, types::Stage::InFlight | types::Stage::Done) {
            return;
        }
        let answer = g.limiter.place(&mut held.inv, now);
        self.answer(gate, num, answer, now, out);
        self.carry_out(gate, now, out);
    }

    fn answer(&mut self, gate: usize, num: u64, answer: Decision, now: f64, out: &mut Vec<Out>) {
        let g = &mut self.gates[gate];
        let (epoch, measured) = (g.epoch, now >= self.measure_from);
        let Some(held) = g.pending.get_mut(&num) else {
            return;
        };
        let wait = g.limiter.wait_time(&held.inv, now);
        match answer {
            Decision::Send(tgt) => {
                let n = held.inv.attempts.len() - 1;
                held.open += 1;
                let first = n == 0;
                let (customer, until) = (held.customer, (now + wait).min(held.inv.client_deadline));
                out.push(Out::At(
                    until,
                    Event::AttemptTimeout {
                        gate,
                        epoch,
                        num,
                        n,
                    },
                ));
                if !self.hung.contains(&tgt) {
                    let at = now + 2.0 * WAY + self.rng.random_range(WORK.0..WORK.1);
                    out.push(Out::At(
                        at,
                        Event::AttemptEnded {
                            gate,
                            epoch,
                            num,
                            n,
                            ending: AttemptResult::Succeeded,
                        },
                    ));
                }
                if first {
                    let over = self.take(customer, now);
                    self.tally.sent += u64::from(measured);
                    self.tally.beyond += u64::from(measured && over);
                    self.tally.tries += u64::from(measured);
                    out.push(Out::Answered {
                        sent: now,
                        gate,
                        customer,
                        ok: true,
                    });
                }
            }
            Decision::Hold if held.inv.stage != types::Stage::InFlight => {
                out.push(Out::At(
                    now + wait.max(1e-4),
                    Event::Retry { gate, epoch, num },
                ));
            }
            Decision::Throttle { cause, .. } => {
                let (sent, customer) = (held.came, held.customer);
                if held.inv.attempts.is_empty() {
                    let room = self.has_headroom(customer, now);
                    self.tally.tries += u64::from(measured);
                    self.tally.refused += u64::from(measured);
                    self.tally.with_room += u64::from(measured && room);
                    if measured {
                        let name = types::ThrottleCause::ALL
                            .iter()
                            .find(|c| c.0 == cause)
                            .map_or("", |c| c.1);
                        *self.tally.by_cause.entry(name).or_default() += 1;
                    }
                    out.push(Out::Answered {
                        sent,
                        gate,
                        customer,
                        ok: false,
                    });
                }
            }
            _ => {}
        }
        let g = &mut self.gates[gate];
        if g.pending
            .get(&num)
            .is_some_and(|h| h.inv.stage == types::Stage::Done && h.inv.in_flight == 0)
        {
            g.pending.remove(&num);
        }
    }

    fn ended(
        &mut self,
        gate: usize,
        num: u64,
        n: usize,
        ending: AttemptResult,
        now: f64,
        out: &mut Vec<Out>,
    ) {
        let g = &mut self.gates[gate];
        let Some(held) = g.pending.get_mut(&num) else {
            return;
        };
        // The latest delivery is the one that is out: an earlier one has had its end.
        if held.open == 0 || n + 1 != held.inv.attempts.len() {
            return;
        }
        held.open -= 1;
        let done = ending == AttemptResult::Succeeded || held.inv.stage == types::Stage::Done;
        let spent = now - held.inv.attempts[n].1;
        let outcome = Outcome {
            attempt: n,
            result: ending,
            duration: spent,
            answered: done,
            usage: None,
            settled_units: None,
        };
        let answer = g.limiter.attempt_ended(&mut held.inv, &outcome, now);
        self.answer(gate, num, answer, now, out);
        self.carry_out(gate, now, out);
    }

    /// What the module wants done.
    fn carry_out(&mut self, gate: usize, now: f64, out: &mut Vec<Out>) {
        while let Some(action) = self.gates[gate].limiter.next_action() {
            match action {
                Action::Place(num) => self.place(gate, num, now, out),
                Action::AddToCounter {
                    name,
                    add,
                    lifetime: life,
                    context: about,
                } => {
                    let g = &mut self.gates[gate];
                    g.last_call += 1;
                    let (call, epoch) = (g.last_call, g.epoch);
                    g.calls.insert(call, (name, now));
                    out.push(Out::At(
                        now + COUNT_WAIT,
                        Event::CounterTimeout { gate, epoch, call },
                    ));
                    let slot = self.broker_slots.map(|range| {
                        range.first + (about.customer % u64::from(range.count)) as Slot
                    });
                    let counter_call = CounterCall {
                        call,
                        name,
                        add,
                        lifetime: life,
                    };
                    let route = slot.map_or(Route::Counter, |slot| {
                        g.borrower
                            .route(counter_call, slot, g.known.contains(&slot), now)
                    });
                    match route {
                        Route::Counter => out.push(Out::At(
                            now + WAY,
                            Event::CounterCall {
                                gate,
                                epoch,
                                call,
                                name,
                                add,
                            },
                        )),
                        Route::Broker(slot) => {
                            self.tally.brokered += u64::from(now >= self.measure_from);
                            let request =
                                LeaseRequest::new(counter_call, &about, now - about.window_start);
                            out.push(Out::Borrow {
                                gate,
                                slot,
                                request,
                            });
                            let due = g.borrower.next_due().max(now) + 1e-6;
                            out.push(Out::At(due, Event::BorrowerDue { gate, epoch }));
                        }
                    }
                }
                _ => {}
            }
        }
    }

    /// One was let in; says whether it was beyond the quota.
    fn take(&mut self, customer: usize, now: f64) -> bool {
        let (bucket, quota) = (&mut self.buckets[customer], &self.quota);
        bucket.fill(quota, now);
        let beyond = bucket.take();
        self.worst_overshoot = self.worst_overshoot.max(bucket.over(quota));
        beyond
    }

    fn has_headroom(&mut self, customer: usize, now: f64) -> bool {
        let (bucket, quota) = (&mut self.buckets[customer], &self.quota);
        bucket.fill(quota, now);
        bucket.has_room(quota)
    }

    /// The most that any customer was let in over its quota, over any time: units.
    pub fn overshoot(&self) -> f64 {
        self.worst_overshoot
    }
}
