//! Customers and their borrowers: what each requested and was granted lately, and what it has to leave to the
//! others (max-min fairness over the demand window).

use super::Broker;
use crate::Name;
use std::collections::BTreeMap;

/// Who has had its part leaves others up to this part of what comes free in a demand window.
const MAX_RESERVED_DIVISOR: f64 = 16.0;
/// Who has had so much less of its part than the asker is left something.
const BEHIND_RATIO: f64 = 0.1;
/// What is left for each that has not, in units of the asker's invocation.
const RESERVED_EACH: f64 = 2.0;

/// A customer of a broker, with its borrowers.
#[derive(Clone, Debug)]
pub(super) struct Customer {
    pub(super) borrowers: BTreeMap<Name, BorrowerUsage>,
    /// The name that was requested last.
    pub(super) last_name: u64,
    /// How far ahead blocks are leased, in seconds.
    pub(super) lead: f64,
    /// When a call last showed adds of somebody else.
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

/// One borrower of a customer: units it requested and units it was granted lately, fading over the demand window.
#[derive(Clone, Debug, Default)]
pub(super) struct BorrowerUsage {
    pub(super) demand: f64,
    pub(super) granted: f64,
    pub(super) updated: f64,
}

impl BorrowerUsage {
    fn fade(&mut self, window: f64, now: f64) {
        let keep = (-(now - self.updated).max(0.0) / window).exp();
        self.demand *= keep;
        self.granted *= keep;
        self.updated = now;
    }

    /// What it has had of its part, which is at most the even one.
    fn satisfied(&self, fair: f64) -> f64 {
        self.granted / self.demand.min(fair).max(1e-9)
    }
}

impl Broker {
    /// This borrower's figures, brought up to now.
    pub(super) fn borrower(&mut self, customer: u64, from: &str, now: f64) -> &mut BorrowerUsage {
        let max_borrowers = self.settings.max_borrowers;
        let window = self.settings.demand_window;
        let borrowers = &mut self.customers.entry(customer).or_default().borrowers;
        if !borrowers.contains_key(from) && borrowers.len() >= max_borrowers {
            borrowers.retain(|_, borrower| now < borrower.updated + window);
            // Still too many: the one heard of longest ago makes room.
            if borrowers.len() >= max_borrowers {
                let by_age = |a: &(&Name, &BorrowerUsage), b: &(&Name, &BorrowerUsage)| {
                    a.1.updated.total_cmp(&b.1.updated)
                };
                let oldest = borrowers.iter().min_by(by_age);
                if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                    borrowers.remove(&oldest);
                }
            }
        }
        let borrower = borrowers.entry(from.to_owned()).or_default();
        borrower.fade(window, now);
        borrower
    }

    /// Units a second that the customer's borrowers ask for.
    pub(super) fn demand(&mut self, customer: u64, now: f64) -> f64 {
        let window = self.settings.demand_window;
        let customer = self.customers.get_mut(&customer);
        let borrowers = customer.map(|c| &mut c.borrowers).into_iter();
        let mut demand = 0.0;
        for borrower in borrowers.flat_map(BTreeMap::values_mut) {
            borrower.fade(window, now);
            demand += borrower.demand / window;
        }
        demand
    }

    /// Units that this borrower must leave to others: where all ask for more than the rate gives, it leaves some
    /// for each that has had less of its even part. Guards against a busy limiter that takes each unit as it
    /// comes free, while a thin one finds the name full. None for one that has not had its part.
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
            borrower.fade(window, now);
            demand += borrower.demand;
        }
        if rate <= 0.0 || demand <= available {
            return Some(0.0);
        }
        let demands = borrowers.values().map(|b| b.demand).collect();
        let fair = fair_share(demands, available);
        let own = borrowers.get(from).map_or(0.0, |b| b.satisfied(fair));
        let behind = borrowers
            .values()
            .filter(|b| b.demand >= minimum && b.satisfied(fair) < own - BEHIND_RATIO)
            .count();
        if behind == 0 && own < 1.0 - BEHIND_RATIO {
            return None;
        }
        // Not more than comes free in a part of the window: else many thin ones keep the room from all.
        let most = (available / MAX_RESERVED_DIVISOR).max(minimum);
        Some((behind as f64 * RESERVED_EACH * minimum).min(most))
    }
}

/// What each gets at most when small demands are met and the rest is split evenly.
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
