//! Fairness between a customer's borrowers: the units that each requested and was granted recently, and the units
//! that it has to leave to the others (max-min fairness over the demand window).

use super::Broker;
use crate::Name;
use std::collections::BTreeMap;

/// Upper bound of the units reserved for others: the units of a demand window divided by this.
const MAX_RESERVED_DIVISOR: f64 = 16.0;
/// Units are reserved for borrowers whose satisfaction is this much lower than the requester's.
const BEHIND_RATIO: f64 = 0.1;
/// Units reserved for each such borrower, as a multiple of the requester's minimum.
const RESERVED_EACH: f64 = 2.0;

/// A customer and its borrowers.
#[derive(Clone, Debug)]
pub(super) struct Customer {
    pub(super) borrowers: BTreeMap<Name, BorrowerUsage>,
    /// The counter name of the last request.
    pub(super) last_name: u64,
    /// Time of future demand that blocks cover, seconds.
    pub(super) lead: f64,
    /// Time of the last call that showed adds by others.
    pub(super) last_foreign_add: f64,
}

impl Default for Customer {
    fn default() -> Self {
        Customer {
            borrowers: BTreeMap::new(),
            last_name: 0,
            lead: 0.0,
            last_foreign_add: f64::NEG_INFINITY,
        }
    }
}

/// Units that one borrower recently requested and was granted, decayed over the demand window.
#[derive(Clone, Debug, Default)]
pub(super) struct BorrowerUsage {
    pub(super) demand: f64,
    pub(super) granted: f64,
    pub(super) updated: f64,
}

impl BorrowerUsage {
    /// Decays the usage to the present time.
    fn decay(&mut self, window: f64, now: f64) {
        let keep = (-(now - self.updated).max(0.0) / window).exp();
        self.demand *= keep;
        self.granted *= keep;
        self.updated = now;
    }

    /// Granted units as a share of the borrower's demand or of the fair share, whichever is less.
    fn satisfaction(&self, fair_share: f64) -> f64 {
        self.granted / self.demand.min(fair_share).max(1e-9)
    }
}

impl Broker {
    /// The usage of a borrower, decayed to the present time.
    pub(super) fn borrower(&mut self, customer: u64, from: &str, now: f64) -> &mut BorrowerUsage {
        let max_borrowers = self.settings.max_borrowers;
        let window = self.settings.demand_window;
        let borrowers = &mut self.customers.entry(customer).or_default().borrowers;
        if !borrowers.contains_key(from) && borrowers.len() >= max_borrowers {
            borrowers.retain(|_, borrower| now < borrower.updated + window);
            // If there are still too many, the borrower with the oldest request is dropped.
            if borrowers.len() >= max_borrowers {
                let by_age = |left: &(&Name, &BorrowerUsage), right: &(&Name, &BorrowerUsage)| {
                    left.1.updated.total_cmp(&right.1.updated)
                };
                let oldest = borrowers.iter().min_by(by_age);
                if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                    borrowers.remove(&oldest);
                }
            }
        }
        let borrower = borrowers.entry(from.to_owned()).or_default();
        borrower.decay(window, now);
        borrower
    }

    /// Demand of all borrowers of the customer, units per second.
    pub(super) fn demand(&mut self, customer: u64, now: f64) -> f64 {
        let window = self.settings.demand_window;
        let customer = self.customers.get_mut(&customer);
        let borrowers = customer.map(|c| &mut c.borrowers).into_iter();
        let mut demand = 0.0;
        for borrower in borrowers.flat_map(BTreeMap::values_mut) {
            borrower.decay(window, now);
            demand += borrower.demand / window;
        }
        demand
    }

    /// Units that this borrower must leave to others: if demand exceeds the rate, some for each borrower that has had a
    /// smaller part of its fair share. `None` if this borrower itself has not had its fair share. Guards against a
    /// busy limiter that takes each unit as it becomes available, while a limiter with little traffic finds the name
    /// full.
    pub(super) fn reserved_for_others(
        &mut self,
        customer: u64,
        from: &str,
        minimum: f64,
        rate: f64,
        now: f64,
    ) -> Option<f64> {
        let window = self.settings.demand_window;
        let available = rate * window;
        let customer = self.customers.get_mut(&customer);
        let borrowers = customer.map(|c| &mut c.borrowers);
        let Some(borrowers) = borrowers.filter(|borrowers| borrowers.len() > 1) else {
            return Some(0.0);
        };
        let mut demand = 0.0;
        for borrower in borrowers.values_mut() {
            borrower.decay(window, now);
            demand += borrower.demand;
        }
        if rate <= 0.0 || demand <= available {
            return Some(0.0);
        }
        let demands = borrowers.values().map(|borrower| borrower.demand).collect();
        let fair = fair_share(demands, available);
        let own = borrowers
            .get(from)
            .map_or(0.0, |borrower| borrower.satisfaction(fair));
        let is_behind = |borrower: &&BorrowerUsage| {
            borrower.demand >= minimum && borrower.satisfaction(fair) < own - BEHIND_RATIO
        };
        let behind = borrowers.values().filter(is_behind).count();
        if behind == 0 && own < 1.0 - BEHIND_RATIO {
            return None;
        }
        // At most a part of the window's units: otherwise many borrowers with little traffic would block the rest.
        let max_reserved = (available / MAX_RESERVED_DIVISOR).max(minimum);
        Some((behind as f64 * RESERVED_EACH * minimum).min(max_reserved))
    }
}

/// The max-min fair share: small demands are met and the rest is divided evenly.
fn fair_share(mut demands: Vec<f64>, available: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let (mut left, mut fair) = (available, 0.0);
    for (n, demand) in demands.iter().enumerate() {
        fair = left / (demands.len() - n) as f64;
        if *demand > fair {
            break;
        }
        left -= demand;
    }
    fair
}
