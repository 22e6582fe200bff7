//! Which gateway gets reports while the aggregator is unresponsive: the next in rendezvous order, for a bounded time.

use crate::membership::{Gateway, Membership};
use crate::Millis;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The first time that an unresponsive gateway gets no reports.
const INITIAL_BACKOFF_MS: u64 = 1_000;
/// Upper bound of the doublings of that time.
const MAX_DOUBLINGS: u32 = 3;
/// A gateway without a failure for this long is as good as any. Guards against flapping between an aggregator that
/// responds now and then and its successor.
const FAILURE_TTL_MS: u64 = 20_000;

/// A gateway that did not respond.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    incarnation: u64,
    until: Millis,
    failed_at: Millis,
    failures: u32,
}

/// Gateways that did not respond lately.
#[derive(Debug, Default)]
pub(crate) struct Failover {
    unresponsive: BTreeMap<Rc<str>, Backoff>,
}

impl Failover {
    /// The first of the ranked gateways that may get a report.
    pub(crate) fn choose<'a>(&self, ranked: &[&'a Gateway], now: Millis) -> Option<&'a Gateway> {
        ranked
            .iter()
            .copied()
            .find(|gateway| !self.is_unresponsive(gateway, now))
    }

    /// When the first of them may get a report again.
    pub(crate) fn next_retry(&self, ranked: &[&Gateway]) -> Option<Millis> {
        ranked
            .iter()
            .filter_map(|gateway| self.unresponsive.get(&gateway.name))
            .map(|backoff| backoff.until)
            .min()
    }

    /// A gateway did not respond.
    pub(crate) fn record_failure(&mut self, name: &Rc<str>, incarnation: u64, now: Millis) {
        let before = self
            .unresponsive
            .get(name)
            .filter(|backoff| backoff.incarnation == incarnation);
        let recent =
            before.filter(|backoff| now.saturating_sub(backoff.failed_at) < FAILURE_TTL_MS);
        let failures = recent.map_or(0, |backoff| backoff.failures);
        let backoff = Backoff {
            incarnation,
            until: now + (INITIAL_BACKOFF_MS << failures.min(MAX_DOUBLINGS)),
            failed_at: now,
            failures: failures + 1,
        };
        self.unresponsive.insert(name.clone(), backoff);
    }

    /// Removes gateways that have departed or have a new incarnation.
    pub(crate) fn retain_members(&mut self, membership: &Membership) {
        self.unresponsive.retain(|name, backoff| {
            membership
                .find(name)
                .is_some_and(|gateway| gateway.incarnation == backoff.incarnation)
        });
    }

    fn is_unresponsive(&self, gateway: &Gateway, now: Millis) -> bool {
        self.unresponsive.get(&gateway.name).is_some_and(|backoff| {
            backoff.incarnation == gateway.incarnation && now < backoff.until
        })
    }
}
