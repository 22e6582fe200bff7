//! Which gateway is asked while the home is silent: the next in rendezvous order, for a bounded time.

use crate::roster::{Gateway, Roster};
use crate::Millis;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The first time that a gateway without an answer is left alone.
const FIRST_PAUSE_MS: u64 = 1_000;
/// Doublings of that time at most.
const MOST_DOUBLINGS: u32 = 3;
/// A gateway without a failure for this long is as good as any. Guards against going back and forth between a home
/// that answers now and then and the one that stands in for it.
const FORGIVEN_AFTER_MS: u64 = 20_000;

/// A gateway that gave no answer.
#[derive(Clone, Copy, Debug)]
struct Silence {
    life: u64,
    until: Millis,
    failed_at: Millis,
    failures: u32,
}

/// Gateways that gave no answer lately.
#[derive(Debug, Default)]
pub(crate) struct Failover {
    silent: BTreeMap<Rc<str>, Silence>,
}

impl Failover {
    /// The first of the ranked gateways that may be asked.
    pub(crate) fn choose<'a>(&self, ranked: &[&'a Gateway], now: Millis) -> Option<&'a Gateway> {
        ranked
            .iter()
            .copied()
            .find(|gateway| !self.is_silent(gateway, now))
    }

    /// When the first of them may be asked again.
    pub(crate) fn next_chance(&self, ranked: &[&Gateway]) -> Option<Millis> {
        ranked
            .iter()
            .filter_map(|gateway| self.silent.get(&gateway.name))
            .map(|silence| silence.until)
            .min()
    }

    /// A gateway gave no answer.
    pub(crate) fn failed(&mut self, name: &Rc<str>, life: u64, now: Millis) {
        let before = self.silent.get(name).filter(|silence| silence.life == life);
        let lately =
            before.filter(|silence| now.saturating_sub(silence.failed_at) < FORGIVEN_AFTER_MS);
        let failures = lately.map_or(0, |silence| silence.failures);
        let pause = FIRST_PAUSE_MS << failures.min(MOST_DOUBLINGS);
        let silence = Silence {
            life,
            until: now + pause,
            failed_at: now,
            failures: failures + 1,
        };
        self.silent.insert(name.clone(), silence);
    }

    /// Forgets gateways that are gone or live anew.
    pub(crate) fn keep(&mut self, roster: &Roster) {
        self.silent.retain(|name, silence| {
            roster
                .find(name)
                .is_some_and(|gateway| gateway.life == silence.life)
        });
    }

    fn is_silent(&self, gateway: &Gateway, now: Millis) -> bool {
        let silence = self.silent.get(&gateway.name);
        silence.is_some_and(|silence| silence.life == gateway.life && now < silence.until)
    }
}
