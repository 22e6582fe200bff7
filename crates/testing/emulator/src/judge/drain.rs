//! DRAIN: a request reaches a server long after its draining was acknowledged.

use super::view::View;
use super::{Rule, Terms, Violation};
use crate::record::{Acknowledged, Sighting};
use std::collections::HashMap;

pub(super) fn judge(view: &View, terms: &Terms, violations: &mut Vec<Violation>) {
    let mut drained: HashMap<&str, u64> = HashMap::new();
    for acknowledgement in &view.acknowledgements {
        let (Acknowledged::Draining { instance } | Acknowledged::Left { instance }) =
            &acknowledgement.what
        else {
            continue;
        };
        let at_ms = drained.entry(instance).or_insert(acknowledgement.at_ms);
        *at_ms = (*at_ms).min(acknowledgement.at_ms);
    }
    for sighting in &view.sightings {
        let Some(acknowledged_ms) = drained.get(sighting.instance.as_str()) else {
            continue;
        };
        let late = sighting.at_ms > acknowledged_ms + terms.drain_ms;
        if late && terms.calm(sighting.at_ms) && !is_misdirected(sighting) {
            let late = sighting.at_ms - acknowledged_ms;
            let detail = format!(
                "{:?} came to {} {late} ms after",
                sighting.request, sighting.instance
            );
            violations.push(Violation {
                rule: Rule::Drain,
                detail,
            });
        }
    }
}

fn is_misdirected(sighting: &Sighting) -> bool {
    sighting.status == Some(421)
}
