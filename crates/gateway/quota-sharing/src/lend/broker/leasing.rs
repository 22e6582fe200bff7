//! Blocks: leased from the counter ahead of what will be asked, and lent on to those that wait.

use super::held::Waits;
use super::{Broker, WORTH};
use crate::lend::{Answer, Output};
use dunespur_decisions::types::Counted;

/// Near the limit a block is this part of the room (the paper's factor).
const SHRINK: f64 = 2.0;
/// Asks from which a window is held to be too small for them, as a part of what it holds.
const PRESSED: f64 = 0.9;
/// How much further ahead the next block is leased, and the first one as a part of the furthest.
const LONGER: f64 = 2.0;
const SHARE: f64 = 8.0;

impl Broker {
    /// Answers those that wait for a name, in turn, as far as the block goes; else the counter is asked.
    pub(super) fn serve(&mut self, name: u64, now: f64, out: &mut Vec<Output>) {
        loop {
            let Some(held) = self.names.get(&name) else {
                return;
            };
            if held.out.is_some() {
                return;
            }
            let Some(first) = held.waiting.front() else {
                return;
            };
            let (customer, from, ask) = (held.customer, first.from.clone(), first.ask);
            if now > first.at + self.settings.wait * 2.0 {
                // Whoever asked has given up: units lent to it would be nobody's.
                let Some(w) = self
                    .names
                    .get_mut(&name)
                    .and_then(|n| n.waiting.pop_front())
                else {
                    return;
                };
                out.push(w.not());
                continue;
            }
            let grown = ask.full + ask.rate * (now - first.at);
            let others = self.left_to_others(customer, &from, ask.needs, ask.rate, now);
            let Some(held) = self.names.get_mut(&name) else {
                return;
            };
            let Some(total) = held.answer(&from, &ask, grown, others, &self.settings, now) else {
                return self.refill(name, now, out);
            };
            let Some(w) = held.waiting.pop_front() else {
                return;
            };
            if ask.asked > 0.0 {
                // What it takes less, and what it was refused where the limit grows, it takes back itself.
                let got = if total <= grown || ask.rate > 0.0 {
                    ask.asked
                } else {
                    0.0
                };
                self.part(customer, &from, now).lent += got;
            } else {
                let part = self.part(customer, &from, now);
                part.lent = (part.lent + ask.add.min(0.0)).max(0.0);
            }
            let answer = Answer::Total(total);
            out.push(Output::Tell {
                to: w.from,
                run: w.run,
                slot: w.slot,
                seq: ask.seq,
                answer,
            });
        }
    }

    /// One call to the counter for all that wait, and a block ahead of what will be asked.
    pub(super) fn refill(&mut self, name: u64, now: f64, out: &mut Vec<Output>) {
        let Some(held) = self.names.get(&name) else {
            return;
        };
        let by = self.customers.get_mut(&held.customer).map(|c| &mut c.by);
        let span = self.settings.span;
        let mut demand = 0.0;
        for part in by.into_iter().flat_map(|by| by.values_mut()) {
            part.fade(span, now);
            demand += part.demand / span;
        }
        let Some(held) = self.names.get_mut(&name) else {
            return;
        };
        let lead = self.customers.get(&held.customer).map_or(0.0, |c| c.lead);
        let waits: f64 = held.waiting.iter().map(|w| w.ask.add).sum();
        // Before the first answer nothing is known of the room.
        let room = held.known.map_or(0.0, |known| {
            held.full - known - (waits - held.block).max(0.0)
        });
        let near = (demand * self.settings.ahead).min(room / SHRINK).max(0.0);
        // With nobody else about, what will come free is leased before it does, and lent when it has. In a
        // window that ends it is what it holds, where all ask for more than that; else what will be asked for
        // until it ends: limiters that go past the broker find there what it leased, and are shut out.
        let far = match held.rate > 0.0 {
            true => demand.min(held.rate) * lead,
            false => {
                let left = (held.full - held.known.unwrap_or(waits)).max(0.0);
                let pressed = demand * held.length > PRESSED * held.full;
                let want = if pressed {
                    left
                } else {
                    (demand * held.left).min(left)
                };
                want * lead / self.settings.ahead
            }
        };
        let ahead = near.max(far).floor();
        // One that is full is only read, so that what is refused is not added first.
        let full = match (held.known, held.waiting.front()) {
            (Some(known), Some(w)) if w.ask.asked > 0.0 => {
                let grown = w.ask.full + w.ask.rate * (now - w.at);
                known - held.block + w.ask.add - w.ask.asked + w.ask.needs > grown
            }
            (_, first) => first.is_none(),
        };
        let add = if full {
            -held.block
        } else {
            waits - held.block + ahead
        }
        .max(0.0);
        for w in held.waiting.iter_mut().filter(|w| !w.told) {
            w.told = true;
            let (to, run, slot, seq) = (w.from.clone(), w.run, w.slot, w.ask.seq);
            out.push(Output::Tell {
                to,
                run,
                slot,
                seq,
                answer: Answer::Wait,
            });
        }
        self.last_call += 1;
        let call = self.last_call;
        held.out = Some((call, add));
        self.calls.insert(call, (name, now));
        out.push(Output::Count {
            call,
            name,
            add,
            life: held.life,
        });
    }

    /// The counter's answer to a call of this broker.
    pub fn counted(&mut self, call: u64, counted: Counted, now: f64, out: &mut Vec<Output>) {
        let Some((name, _)) = self.calls.remove(&call) else {
            return;
        };
        let Some(held) = self.names.get_mut(&name) else {
            return;
        };
        let Some((_, add)) = held.out.take_if(|o| o.0 == call) else {
            return;
        };
        match counted {
            Counted::Total(total) if total.is_finite() => {
                // A name that is read for the first time may hold what was added before this broker came.
                let others = held.known.map_or(0.0, |known| total - add - known);
                if let Some(customer) = self.customers.get_mut(&held.customer) {
                    // In a window that ends nothing is taken back, so there others only share it.
                    let shared = others.abs() > WORTH;
                    if shared && held.rate > 0.0 {
                        customer.others_at = now;
                    }
                    let alone = now > customer.others_at + self.settings.span * 4.0;
                    let longer = (customer.lead * LONGER).max(self.settings.ahead / SHARE);
                    customer.lead = match (alone, shared) {
                        (false, _) => 0.0,
                        (true, true) => customer.lead / LONGER,
                        (true, false) => longer.min(self.settings.ahead),
                    };
                }
                (held.known, held.read) = (Some(total), now);
                // Guards against limiters that hear no broker and take back what stands above the limit: what
                // was leased ahead is not counted any more, so it can't be lent.
                held.block = (held.block + others.min(0.0)).max(held.block.min(0.0)) + add;
                let missing = held.least.take().map_or(0.0, |least| least - (total - add));
                held.block -= missing.max(0.0);
                self.serve(name, now, out);
            }
            // What may have been added is nobody's: it lapses at the counter.
            _ => {
                out.extend(
                    std::mem::take(&mut held.waiting)
                        .into_iter()
                        .map(Waits::not),
                );
            }
        }
    }
}
