//! The broker: takes asks, keeps time, forgets what was not asked for lately.

mod held;
mod leasing;
mod shares;

use super::{Answer, Ask, Output, Settings};
use crate::Slot;
use dunespur_decisions::types::Counted;
use held::{Held, Waits};
use shares::Customer;
use std::collections::BTreeMap;

/// Least that is worth a call of its own to give back, in units.
const WORTH: f64 = 0.5;
/// Least part of a window that is held to be left.
const SOON: f64 = 0.05;

/// The holder's side of the duty, over all its shards.
#[derive(Clone, Debug)]
pub struct Broker {
    settings: Settings,
    names: BTreeMap<u64, Held>,
    customers: BTreeMap<u64, Customer>,
    /// Calls that are out: their name, and since when. Numbers grow with time.
    calls: BTreeMap<u64, (u64, f64)>,
    last_call: u64,
    swept: f64,
    flushed: f64,
    /// Asks that could not be taken: unsound, or over a bound.
    pub refused: u64,
}

impl Broker {
    /// Its calls are numbered from `first` on.
    pub fn new(settings: Settings, first: u64) -> Self {
        Broker {
            settings,
            names: BTreeMap::new(),
            customers: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: first,
            swept: f64::NEG_INFINITY,
            flushed: f64::NEG_INFINITY,
            refused: 0,
        }
    }

    pub fn names(&self) -> usize {
        self.names.len()
    }

    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    /// Units counted at the counter and lent to nobody, over all names.
    pub fn unlent(&self) -> f64 {
        self.names.values().map(|n| n.block.max(0.0)).sum()
    }

    /// A limiter asks. The caller has seen that this one holds the slot.
    pub fn ask(
        &mut self,
        from: &str,
        run: u64,
        slot: Slot,
        ask: Ask,
        now: f64,
        out: &mut Vec<Output>,
    ) {
        let not = |out: &mut Vec<Output>| {
            out.push(Output::Tell {
                to: from.into(),
                run,
                slot,
                seq: ask.seq,
                answer: Answer::Not,
            });
        };
        if !ask.sound() {
            self.refused += 1;
            return not(out);
        }
        if !self.names.contains_key(&ask.name) && self.names.len() >= self.settings.names {
            self.sweep(now, out);
            if self.names.len() >= self.settings.names {
                self.refused += 1;
                return not(out);
            }
        }
        if ask.asked > 0.0 {
            self.part(ask.customer, from, now).demand += ask.needs;
        }
        if !self.names.contains_key(&ask.name) {
            // A new name starts at nothing. Each limiter brings over what it believes, which is old; here the
            // room that the one before has left is known.
            let before = self
                .customers
                .get(&ask.customer)
                .and_then(|c| self.names.get(&c.name));
            let room = before.and_then(|n| n.room(now)).filter(|_| ask.rate > 0.0);
            let least = room.map(|room| ask.full - room.max(0.0));
            let even = ask.rate <= 0.0 && before.is_some_and(|n| n.was_full);
            self.names.insert(
                ask.name,
                Held {
                    least,
                    even,
                    ..Held::default()
                },
            );
        }
        if let Some(customer) = self.customers.get_mut(&ask.customer) {
            customer.name = ask.name;
        }
        let held = self.names.entry(ask.name).or_default();
        if held.waiting.len() >= self.settings.waiting {
            self.refused += 1;
            return not(out);
        }
        (held.customer, held.slot, held.life, held.touched) = (ask.customer, slot, ask.life, now);
        (held.full, held.rate, held.left) = (ask.full, ask.rate, ask.left.max(0.0));
        held.length = held.left / (1.0 - ask.elapsed).max(SOON);
        // In turn: a limiter's adds to one name must not overtake each other.
        held.waiting.push_back(Waits {
            from: from.into(),
            run,
            slot,
            ask,
            at: now,
            told: false,
        });
        self.serve(ask.name, now, out);
    }

    pub fn next_due(&self) -> f64 {
        let call = self
            .calls
            .first_key_value()
            .map_or(f64::INFINITY, |c| c.1 .1 + self.settings.wait);
        let sweep = if self.names.is_empty() {
            f64::INFINITY
        } else {
            self.flushed + self.settings.again
        };
        call.min(sweep)
    }

    pub fn tick(&mut self, now: f64, out: &mut Vec<Output>) {
        while let Some((&call, _)) = self
            .calls
            .first_key_value()
            .filter(|c| now >= c.1 .1 + self.settings.wait)
        {
            out.push(Output::Abandon { call });
            self.counted(call, Counted::Silent, now, out);
        }
        if now >= self.flushed + self.settings.again {
            // What was let in without the counter is reported, asked for or not.
            self.flushed = now;
            let owes = |n: &Held| {
                n.block <= -WORTH && n.out.is_none() && now > n.touched + self.settings.again
            };
            let due: Vec<u64> = self
                .names
                .iter()
                .filter(|n| owes(n.1))
                .map(|n| *n.0)
                .collect();
            due.into_iter().for_each(|name| self.refill(name, now, out));
        }
        if now >= self.swept + self.settings.span {
            self.sweep(now, out);
        }
    }

    /// Forgets what was not asked for lately; what is left of a block goes back.
    fn sweep(&mut self, now: f64, out: &mut Vec<Output>) {
        self.swept = now;
        let old = self.settings.span * 4.0;
        let idle = |n: &Held| n.out.is_none() && n.waiting.is_empty() && now > n.touched + old;
        let over: Vec<u64> = self
            .names
            .iter()
            .filter(|n| idle(n.1))
            .map(|n| *n.0)
            .collect();
        over.into_iter().for_each(|name| self.give_back(name, out));
        for customer in self.customers.values_mut() {
            customer.by.retain(|_, p| now < p.at + old);
        }
        self.customers.retain(|_, customer| !customer.by.is_empty());
    }

    fn give_back(&mut self, name: u64, out: &mut Vec<Output>) {
        let Some(held) = self.names.remove(&name) else {
            return;
        };
        // A name whose limit does not grow ends with its window, and what is left of it too.
        if held.block >= WORTH && held.rate > 0.0 {
            self.last_call += 1;
            out.push(Output::Count {
                call: self.last_call,
                name,
                add: -held.block,
                life: held.life,
            });
        }
    }

    /// The duty's slot is another's now, or nobody's: no more is lent, what is left goes back.
    pub fn ended(&mut self, slot: Slot, out: &mut Vec<Output>) {
        let names: Vec<u64> = self
            .names
            .iter()
            .filter(|n| n.1.slot == slot)
            .map(|n| *n.0)
            .collect();
        for name in names {
            let waiting = self
                .names
                .get_mut(&name)
                .map(|n| std::mem::take(&mut n.waiting));
            out.extend(waiting.into_iter().flatten().map(Waits::not));
            self.give_back(name, out);
        }
    }
}

#[cfg(test)]
mod tests;
