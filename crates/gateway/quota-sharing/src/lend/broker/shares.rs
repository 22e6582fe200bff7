//! Customers and their borrowers: what each asked for and was lent lately, and what it has to leave to the others.

use super::Broker;
use crate::Name;
use std::collections::BTreeMap;

/// Who has had its part leaves others up to this part of what comes free in a span.
const SPARED: f64 = 16.0;
/// Who has had so much less of its part than the asker is left something.
const BEHIND: f64 = 0.1;
/// What is left for each that has not, in units of the asker's invocation.
const EACH: f64 = 2.0;

/// A customer of a broker, with its borrowers.
#[derive(Clone, Debug, Default)]
pub(super) struct Customer {
    pub(super) by: BTreeMap<Name, Part>,
    /// The name that was asked for last.
    pub(super) name: u64,
    /// How far ahead blocks are leased, in seconds: more with each call that shows nobody else's adds. When
    /// one last did.
    pub(super) lead: f64,
    pub(super) others_at: f64,
}

/// One borrower of a customer: units it asked for and units it was lent lately, fading over the span.
#[derive(Clone, Debug, Default)]
pub(super) struct Part {
    pub(super) demand: f64,
    pub(super) lent: f64,
    pub(super) at: f64,
}

impl Part {
    pub(super) fn fade(&mut self, span: f64, now: f64) {
        let keep = (-(now - self.at).max(0.0) / span).exp();
        (self.demand, self.lent, self.at) = (self.demand * keep, self.lent * keep, now);
    }
}

impl Broker {
    /// This borrower's figures, brought up to now.
    pub(super) fn part(&mut self, customer: u64, from: &str, now: f64) -> &mut Part {
        let most = self.settings.borrowers;
        let span = self.settings.span;
        let fresh = || Customer {
            others_at: f64::NEG_INFINITY,
            ..Customer::default()
        };
        let by = &mut self.customers.entry(customer).or_insert_with(fresh).by;
        if !by.contains_key(from) && by.len() >= most {
            by.retain(|_, p| now < p.at + span);
            // Still too many: the one heard of longest ago makes room.
            if by.len() >= most {
                let oldest = by
                    .iter()
                    .min_by(|a, b| a.1.at.total_cmp(&b.1.at))
                    .map(|p| p.0.clone());
                oldest.map(|o| by.remove(&o));
            }
        }
        let part = by.entry(from.to_owned()).or_default();
        part.fade(span, now);
        part
    }

    /// Units that this borrower must leave to others: where all ask for more than the rate gives, it leaves some
    /// for each that has had less of its even part. Guards against a busy limiter that takes each
    /// unit as it comes free, while a thin one finds the name full. None for one that has not had its part.
    pub(super) fn left_to_others(
        &mut self,
        customer: u64,
        from: &str,
        needs: f64,
        rate: f64,
        now: f64,
    ) -> Option<f64> {
        let span = self.settings.span;
        let all = rate * span;
        let Some(by) = self
            .customers
            .get_mut(&customer)
            .map(|c| &mut c.by)
            .filter(|by| by.len() > 1)
        else {
            return Some(0.0);
        };
        let mut sum = 0.0;
        for part in by.values_mut() {
            part.fade(span, now);
            sum += part.demand;
        }
        if rate <= 0.0 || sum <= all {
            return Some(0.0);
        }
        let mut demands: Vec<f64> = by.values().map(|p| p.demand).collect();
        demands.sort_by(f64::total_cmp);
        let (mut left, mut each) = (all, 0.0);
        for (n, d) in demands.iter().enumerate() {
            each = left / (demands.len() - n) as f64;
            if *d > each {
                break;
            }
            left -= d;
        }
        // What each has had of its part, at most the even one.
        let had = |p: &Part| p.lent / p.demand.min(each).max(1e-9);
        let own = by.get(from).map_or(0.0, had);
        let short = by
            .values()
            .filter(|p| p.demand >= needs && had(p) < own - BEHIND)
            .count();
        if short == 0 && own < 1.0 - BEHIND {
            return None;
        }
        // Not more than comes free in a part of the span: else many thin ones keep the room from all.
        Some((short as f64 * EACH * needs).min((all / SPARED).max(needs)))
    }
}
