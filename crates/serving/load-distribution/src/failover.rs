//! Failover of reports while an aggregator is unresponsive: the next gateway in rendezvous order gets them for a
//! bounded time.

use crate::membership::{Gateway, Membership};
use crate::Millis;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Backoff after the first failure, during which a gateway gets no reports.
const INITIAL_BACKOFF_MS: u64 = 1_000;
/// Maximum number of times that the backoff is doubled.
const MAX_DOUBLINGS: u32 = 3;
/// Time without a failure after which earlier failures no longer lengthen the backoff. This prevents flapping between
/// an aggregator that responds only at times and its successor.
const FAILURE_TTL_MS: u64 = 20_000;

/// The backoff of a gateway that did not respond.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    incarnation: u64,
    until: Millis,
    failed_at: Millis,
    failures: u32,
}

/// The gateways that recently did not respond.
#[derive(Debug, Default)]
pub(crate) struct Failover {
    backoffs: BTreeMap<Rc<str>, Backoff>,
}

impl Failover {
    /// The first of the ranked gateways that is not in backoff.
    pub(crate) fn choose<'a>(&self, ranked: &[&'a Gateway], now: Millis) -> Option<&'a Gateway> {
        ranked
            .iter()
            .copied()
            .find(|gateway| !self.is_in_backoff(gateway, now))
    }

    /// The earliest end of a backoff among the ranked gateways.
    pub(crate) fn next_retry(&self, ranked: &[&Gateway]) -> Option<Millis> {
        ranked
            .iter()
            .filter_map(|gateway| self.backoffs.get(&gateway.name))
            .map(|backoff| backoff.until)
            .min()
    }

    /// Records that a gateway did not respond, which starts or lengthens its backoff.
    pub(crate) fn record_failure(&mut self, name: &Rc<str>, incarnation: u64, now: Millis) {
        let previous = self
            .backoffs
            .get(name)
            .filter(|backoff| backoff.incarnation == incarnation);
        let recent =
            previous.filter(|backoff| now.saturating_sub(backoff.failed_at) < FAILURE_TTL_MS);
        let failures = recent.map_or(0, |backoff| backoff.failures);
        let backoff = Backoff {
            incarnation,
            until: now + (INITIAL_BACKOFF_MS << failures.min(MAX_DOUBLINGS)),
            failed_at: now,
            failures: failures + 1,
        };
        self.backoffs.insert(name.clone(), backoff);
    }

    /// Removes gateways that have departed or that have restarted with a new incarnation.
    pub(crate) fn retain_members(&mut self, membership: &Membership) {
        self.backoffs.retain(|name, backoff| {
            membership
                .find(name)
                .is_some_and(|gateway| gateway.incarnation == backoff.incarnation)
        });
    }

    fn is_in_backoff(&self, gateway: &Gateway, now: Millis) -> bool {
        self.backoffs.get(&gateway.name).is_some_and(|backoff| {
            backoff.incarnation == gateway.incarnation && now < backoff.until
        })
    }
}
