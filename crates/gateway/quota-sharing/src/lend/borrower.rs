//! A limiter's side of the duty `lend`.

use super::{Answer, Settings};
use crate::Slot;
use dunespur_decisions::types::Counted;
use std::collections::{BTreeMap, BTreeSet};

/// Answers in a row without the counter behind them after which a borrower asks the counter itself.
const NOTS: u32 = 8;
/// A borrower waits this part of the broker's own wait, then it calls the counter: both fit into its time.
const PATIENCE: f64 = 0.5;
/// A broker that goes on failing is left alone up to so many times the stated pause.
const LONGEST: f64 = 8.0;

/// Where a call goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Way {
    Counter,
    Broker(Slot),
}

#[derive(Clone, Debug, Default)]
struct Trust {
    /// Calls that are out at this broker.
    out: u32,
    /// Failed in a row, and until when it is left alone.
    failed: u32,
    nots: u32,
    until: f64,
}

#[derive(Clone, Debug)]
struct Out {
    name: u64,
    slot: Option<Slot>,
    add: f64,
    life: f64,
    at: f64,
}

/// A call that goes to the counter after all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Anew {
    pub call: u64,
    pub name: u64,
    pub add: f64,
    pub life: f64,
}

/// A limiter's side: where each of its adds goes, by how the brokers answer.
#[derive(Clone, Debug)]
pub struct Borrower {
    pause: f64,
    /// A broker's answer is awaited this long, then the counter is called.
    patience: f64,
    trust: BTreeMap<Slot, Trust>,
    calls: BTreeMap<u64, Out>,
    /// Of them, those at brokers; their numbers grow with time.
    at_brokers: BTreeSet<u64>,
    /// Calls that are out by name, and where they went: later ones follow them.
    names: BTreeMap<u64, (u32, Option<Slot>)>,
    /// Answers that nobody waited for.
    pub late: u64,
    pub by_broker: u64,
    pub by_counter: u64,
}

impl Borrower {
    pub fn new(settings: &Settings) -> Self {
        Borrower {
            pause: settings.pause,
            patience: settings.wait * PATIENCE,
            trust: BTreeMap::new(),
            calls: BTreeMap::new(),
            at_brokers: BTreeSet::new(),
            names: BTreeMap::new(),
            late: 0,
            by_broker: 0,
            by_counter: 0,
        }
    }

    /// Where this call goes; `broker` says whether the slot's holder is known.
    pub fn way(&mut self, anew: Anew, slot: Slot, broker: bool, now: f64) -> Way {
        let Anew {
            call,
            name,
            add,
            life,
        } = anew;
        let open = {
            let trust = self.trust.entry(slot).or_default();
            // One that failed is tried with one call first.
            broker && now >= trust.until && (trust.failed == 0 || trust.out == 0)
        };
        // Guards against answers that overtake each other: calls on one name stay together.
        let to = match self.names.get(&name) {
            Some((n, place)) if *n > 0 => *place,
            _ => open.then_some(slot),
        };
        let of = self.names.entry(name).or_insert((0, to));
        *of = (of.0 + 1, to);
        self.calls.insert(
            call,
            Out {
                name,
                slot: to,
                add,
                life,
                at: now,
            },
        );
        match to {
            Some(slot) => {
                self.by_broker += 1;
                self.at_brokers.insert(call);
                self.trust.entry(slot).or_default().out += 1;
                Way::Broker(slot)
            }
            None => {
                self.by_counter += 1;
                Way::Counter
            }
        }
    }

    fn over(&mut self, call: u64) -> Option<Option<Slot>> {
        let out = self.calls.remove(&call)?;
        self.at_brokers.remove(&call);
        if let Some(of) = self.names.get_mut(&out.name) {
            of.0 -= 1;
            if of.0 == 0 {
                self.names.remove(&out.name);
            }
        }
        if let Some(trust) = out.slot.and_then(|slot| self.trust.get_mut(&slot)) {
            trust.out = trust.out.saturating_sub(1);
        }
        Some(out.slot)
    }

    /// When a broker's answer is overdue.
    pub fn next_due(&self) -> f64 {
        let first = self.at_brokers.first().and_then(|c| self.calls.get(c));
        first.map_or(f64::INFINITY, |o| o.at + self.patience)
    }

    /// Calls whose broker is overdue, with all others on their names: they go to the counter now. What the
    /// broker may have added all the same lapses at the counter; no invocation is decided blind for it.
    pub fn overdue(&mut self, chance: f64, now: f64) -> Vec<Anew> {
        let mut anew = Vec::new();
        while let Some(call) = self
            .at_brokers
            .first()
            .copied()
            .filter(|_| now >= self.next_due())
        {
            let Some(Some(slot)) = self.calls.get(&call).map(|o| o.slot) else {
                break;
            };
            let name = self.calls.get(&call).map_or(0, |o| o.name);
            self.fail(slot, chance, now);
            let of: Vec<u64> = self
                .at_brokers
                .iter()
                .filter(|c| self.calls[*c].name == name)
                .copied()
                .collect();
            for call in of {
                self.at_brokers.remove(&call);
                let Some(out) = self.calls.get_mut(&call) else {
                    continue;
                };
                out.slot = None;
                anew.push(Anew {
                    call,
                    name,
                    add: out.add,
                    life: out.life,
                });
                if let Some(trust) = self.trust.get_mut(&slot) {
                    trust.out = trust.out.saturating_sub(1);
                }
            }
            if let Some(of) = self.names.get_mut(&name) {
                of.1 = None;
            }
        }
        anew
    }

    fn fail(&mut self, slot: Slot, chance: f64, now: f64) {
        let trust = self.trust.entry(slot).or_default();
        let longer = f64::from(1u32 << trust.failed.min(8)).min(LONGEST);
        trust.failed += 1;
        trust.until = now + self.pause * longer * (0.75 + chance / 2.0);
    }

    /// Whether a call is at a broker.
    pub fn at_broker(&self, call: u64) -> bool {
        self.calls.get(&call).is_some_and(|o| o.slot.is_some())
    }

    /// A call that went to the counter has ended.
    pub fn counted(&mut self, call: u64) {
        self.over(call);
    }

    /// A broker's answer, whose token the caller's fence has accepted. What the limiter is told, if it waits.
    pub fn told(&mut self, call: u64, answer: Answer, chance: f64, now: f64) -> Option<Counted> {
        if !self.at_broker(call) {
            self.late += u64::from(answer != Answer::Wait);
            return None;
        }
        if answer == Answer::Wait {
            // It goes on waiting, for as long as it would for the counter.
            self.at_brokers.remove(&call);
            return None;
        }
        let Some(Some(slot)) = self.over(call) else {
            return None;
        };
        let trust = self.trust.entry(slot).or_default();
        trust.failed = 0;
        match answer {
            Answer::Total(total) if total.is_finite() => {
                trust.nots = 0;
                Some(Counted::Total(total))
            }
            _ => {
                trust.nots += 1;
                if trust.nots >= NOTS {
                    trust.nots = 0;
                    trust.until = now + self.pause * (0.75 + chance / 2.0);
                }
                Some(Counted::Refused)
            }
        }
    }

    /// Nobody waits for this call any more. `chance` is from 0 to 1: limiters come back one after the other.
    pub fn abandoned(&mut self, call: u64, chance: f64, now: f64) {
        if let Some(Some(slot)) = self.over(call) {
            self.fail(slot, chance, now);
        }
    }
}

#[cfg(test)]
mod tests;
