//! Memory of orders: those that were taken, so that one that comes again is acknowledged again, and refusals, so that
//! a copy of a refused order that is still under way can't take effect later.

use crate::{Order, OrderKind};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::Xxh3;

/// How many taken orders are remembered: those of twelve days of 5,200 changes each.
const MAX_TAKEN: usize = 65_536;

/// How many generations that are not reached yet are remembered for refused orders on them. Against callers that
/// make generations up: what goes beyond is not refused clearly.
const MAX_REFUSED_AHEAD: usize = 1_024;

/// The orders that were taken, by the generation that each builds on. Generations only rise, so at most one
/// order was ever taken on each.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct TakenOrders {
    /// In the order in which they were taken, which is that of their generations.
    orders: VecDeque<TakenOrder>,
    /// The newest generation whose order was forgotten.
    forgotten: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct TakenOrder {
    base: u64,
    content: ContentHash,
}

/// What is known of an order.
pub(crate) enum Memory {
    /// This very order was taken.
    Taken,
    /// It wasn't taken.
    NotTaken,
    /// It builds on a generation of which no memory is left.
    Forgotten,
}

impl TakenOrders {
    /// What is known of an order.
    pub(crate) fn recall(&self, order: &Order) -> Memory {
        let taken = self
            .orders
            .binary_search_by_key(&order.base, |taken| taken.base);
        match taken {
            Ok(index) if self.orders[index].content == ContentHash::of(order) => Memory::Taken,
            Ok(_) => Memory::NotTaken,
            Err(_)
                if self
                    .forgotten
                    .is_some_and(|forgotten| order.base <= forgotten) =>
            {
                Memory::Forgotten
            }
            Err(_) => Memory::NotTaken,
        }
    }

    /// Remembers an order that was just taken.
    pub(crate) fn remember(&mut self, order: &Order) {
        self.orders.push_back(TakenOrder {
            base: order.base,
            content: ContentHash::of(order),
        });
        if self.orders.len() > MAX_TAKEN {
            self.forgotten = self.orders.pop_front().map(|oldest| oldest.base);
        }
    }
}

/// Stands for the kind and body of an order. Operators don't craft collisions against themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ContentHash(u64);

impl ContentHash {
    fn of(order: &Order) -> ContentHash {
        let mut hash = Xxh3::new();
        hash.update(&[match order.kind {
            OrderKind::Replace => 0,
            OrderKind::Patch => 1,
        }]);
        hash.update(&order.body);
        ContentHash(hash.digest())
    }
}

/// Refusals of orders on generations that were not reached yet. Such an order could be taken later, and copies of it
/// may be under way: on such a generation only calls count whose fence is that of the newest refusal.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct RefusedAhead {
    refusals: u64,
    /// The fence of each generation on which an order was refused.
    fences: BTreeMap<u64, u64>,
}

impl RefusedAhead {
    /// Notes a refusal on a generation; says whether there was room to remember it.
    pub(crate) fn note(&mut self, base: u64) -> bool {
        let room = self.fences.len() < MAX_REFUSED_AHEAD || self.fences.contains_key(&base);
        if room {
            self.refusals += 1;
            self.fences.insert(base, self.refusals);
        }
        room
    }

    /// The fence that a call on this generation has to carry, if there is one.
    pub(crate) fn fence(&self, base: u64) -> Option<u64> {
        self.fences.get(&base).copied()
    }

    /// A generation has become current: no order on an earlier one can be taken any more.
    pub(crate) fn reached(&mut self, generation: u64) {
        self.fences = self.fences.split_off(&generation);
    }
}
