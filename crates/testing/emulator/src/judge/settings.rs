//! Configurations and time bounds by which the judge decides.

use crate::configuration::{ConfigurationPlan, RoutePlan};

/// Time from the acknowledgement of draining to the last request, in milliseconds.
pub const DRAIN_MS: u64 = 2_000;
/// Time within which an acknowledged configuration is in force, in milliseconds.
pub const CONFIG_APPLY_MS: u64 = 2_000;
/// Configurations and time bounds by which the judge decides.
#[derive(Clone, Debug)]
pub struct JudgeSettings {
    /// All configurations that were ever sent and may be in force.
    pub versions: Vec<ConfigurationPlan>,
    /// Time from the acknowledgement of draining to the last request, in milliseconds.
    pub drain_ms: u64,
    /// Time from the acknowledgement of a configuration to its effect, in milliseconds.
    pub config_apply_ms: u64,
    /// When machines had no contact because of unplanned faults: rules with a time bound are not checked then.
    pub disturbances: Vec<Span>,
}

/// A stretch of time, both ends included.
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
    /// Settings for these versions with the usual bounds and no disturbances.
    #[must_use]
    pub fn of(versions: Vec<ConfigurationPlan>) -> JudgeSettings {
        JudgeSettings {
            versions,
            drain_ms: DRAIN_MS,
            config_apply_ms: CONFIG_APPLY_MS,
            disturbances: Vec::new(),
        }
    }

    /// The routes that take a request, one of each version that has one.
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
