//! Memory of the orders that were taken, so that one that comes again is acknowledged again.

use crate::{Order, OrderKind};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::Xxh3;

/// How many orders are remembered: more than a day of changes holds.
const MAX_ORDERS: usize = 8_192;

/// The orders that were taken, by the generation that each builds on. Generations only rise, so at most one
/// order was ever taken on each.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct TakenOrders {
    by_base: BTreeMap<u64, Fingerprint>,
    /// The newest generation whose order was forgotten.
    forgotten: Option<u64>,
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
        match self.by_base.get(&order.base) {
            Some(taken) if *taken == Fingerprint::of(order) => Memory::Taken,
            Some(_) => Memory::NotTaken,
            None if self.forgotten.is_some_and(|forgotten| order.base <= forgotten) => Memory::Forgotten,
            None => Memory::NotTaken,
        }
    }

    /// Remembers an order that was just taken.
    pub(crate) fn remember(&mut self, order: &Order) {
        self.by_base.insert(order.base, Fingerprint::of(order));
        if self.by_base.len() > MAX_ORDERS {
            let oldest = self.by_base.pop_first();
            self.forgotten = oldest.map(|(base, _)| base);
        }
    }
}

/// Stands for the kind and body of an order. Operators don't craft collisions against themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Fingerprint(u128);

impl Fingerprint {
    fn of(order: &Order) -> Fingerprint {
        let mut hash = Xxh3::new();
        hash.update(&[match order.kind {
            OrderKind::Replace => 0,
            OrderKind::Patch => 1,
        }]);
        hash.update(&order.body);
        Fingerprint(hash.digest128())
    }
}
