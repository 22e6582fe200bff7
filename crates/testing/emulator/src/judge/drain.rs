//! DRAIN: a request reaches a server too long after the server's draining was acknowledged.

use super::indexed_record::IndexedRecord;
use super::rule::{Rule, Violation};
use super::settings::JudgeSettings;
use crate::record::{Acknowledged, Observation};
use std::collections::HashMap;

pub(super) fn judge(
    record: &IndexedRecord,
    settings: &JudgeSettings,
    violations: &mut Vec<Violation>,
) {
    let mut drained: HashMap<&str, u64> = HashMap::new();
    for acknowledgement in &record.acknowledgements {
        let (Acknowledged::Draining { instance } | Acknowledged::Left { instance }) =
            &acknowledgement.event
        else {
            continue;
        };
        let at_ms = drained.entry(instance).or_insert(acknowledgement.at_ms);
        *at_ms = (*at_ms).min(acknowledgement.at_ms);
    }
    for observation in &record.observations {
        let Some(acknowledged_ms) = drained.get(observation.instance.as_str()) else {
            continue;
        };
        let late = observation.at_ms > acknowledged_ms + settings.drain_ms;
        if late && settings.is_undisturbed(observation.at_ms) && !is_misdirected(observation) {
            let late_ms = observation.at_ms - acknowledged_ms;
            let detail = format!(
                "{:?} reached {} {late_ms} ms after its draining was acknowledged",
                observation.request, observation.instance
            );
            violations.push(Violation {
                rule: Rule::Drain,
                detail,
            });
        }
    }
}

fn is_misdirected(observation: &Observation) -> bool {
    observation.status == Some(421)
}
