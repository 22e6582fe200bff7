//! Configurations and time bounds that the judge checks a record against.

use crate::configuration::{ConfigurationPlan, RoutePlan};

/// Time after the acknowledgement of a server's draining within which requests may still arrive, in milliseconds.
pub const DRAIN_MS: u64 = 2_000;
/// Time after its acknowledgement within which a configuration must come into force, in milliseconds.
pub const CONFIG_APPLY_MS: u64 = 2_000;

/// Configurations and time bounds that the judge checks a record against.
#[derive(Clone, Debug)]
pub struct JudgeSettings {
    /// All configurations that were sent during the test and may be in force.
    pub versions: Vec<ConfigurationPlan>,
    /// Time after the acknowledgement of a server's draining within which requests may still arrive, in milliseconds.
    pub drain_ms: u64,
    /// Time after its acknowledgement within which a configuration must come into force, in milliseconds.
    pub config_apply_ms: u64,
    /// Periods in which machines had no contact because of unplanned faults; rules with a time bound are not checked then.
    pub disturbances: Vec<Span>,
}

/// A period of time, including both ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Beginning, in milliseconds of the shared clock.
    pub from_ms: u64,
    /// End, in milliseconds of the shared clock.
    pub to_ms: u64,
}

impl Span {
    fn contains(self, at_ms: u64) -> bool {
        (self.from_ms..=self.to_ms).contains(&at_ms)
    }
}

impl JudgeSettings {
    /// Settings for `versions` with the default time bounds and no disturbances.
    #[must_use]
    pub fn of(versions: Vec<ConfigurationPlan>) -> JudgeSettings {
        JudgeSettings {
            versions,
            drain_ms: DRAIN_MS,
            config_apply_ms: CONFIG_APPLY_MS,
            disturbances: Vec::new(),
        }
    }

    /// The route of a request in each version that has one.
    pub(super) fn routes_for<'a>(
        &'a self,
        host: &'a str,
        target: &'a str,
    ) -> impl Iterator<Item = &'a RoutePlan> {
        self.versions
            .iter()
            .filter_map(move |version| version.route(host, target))
    }

    pub(super) fn is_undisturbed_during(&self, from_ms: u64, to_ms: u64) -> bool {
        !self
            .disturbances
            .iter()
            .any(|span| span.from_ms <= to_ms && from_ms <= span.to_ms)
    }

    pub(super) fn is_undisturbed(&self, at_ms: u64) -> bool {
        !self.disturbances.iter().any(|span| span.contains(at_ms))
    }
}
