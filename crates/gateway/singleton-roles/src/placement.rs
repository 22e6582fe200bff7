//! Who should hold a slot: rendezvous hashing over the living, by name, so that a restart keeps its slots, a
//! join moves its share and no more, and what a dead limiter held is spread over the others.

use crate::book::Session;
use crate::{Settings, Slot};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Each slot's best placed session, kept up as sessions come and go.
#[derive(Debug, Default)]
pub struct Placement {
    best: Vec<Option<(u64, u64)>>,
    /// Each session's hash and zone.
    among: BTreeMap<u64, (u64, String)>,
    /// The zone each slot is bound to.
    bound: Vec<Option<String>>,
}

fn score(hash: u64, slot: Slot) -> u64 {
    xxh3_64_with_seed(&slot.to_le_bytes(), hash)
}

impl Placement {
    pub fn new(settings: &Settings) -> Self {
        let bound = (0..settings.slots())
            .map(|s| settings.slot(s).2.map(str::to_owned))
            .collect::<Vec<_>>();
        Placement {
            best: vec![None; bound.len()],
            among: BTreeMap::new(),
            bound,
        }
    }

    /// Takes the sessions that may hold now. Costs the slots once for each that joined, and all sessions
    /// once for each slot of one that left.
    pub fn among(&mut self, sessions: &BTreeMap<u64, Session>, live: &BTreeSet<u64>) {
        let left: Vec<u64> = self
            .among
            .keys()
            .filter(|s| !live.contains(s))
            .copied()
            .collect();
        let joined: Vec<u64> = live
            .iter()
            .filter(|s| !self.among.contains_key(s))
            .copied()
            .collect();
        if left.is_empty() && joined.is_empty() {
            return;
        }
        left.iter().for_each(|s| {
            self.among.remove(s);
        });
        for s in &joined {
            if let Some(of) = sessions.get(s) {
                self.among.insert(
                    *s,
                    (xxh3_64_with_seed(of.name.as_bytes(), 0), of.zone.clone()),
                );
            }
        }
        for slot in 0..self.best.len() {
            let orphan = self.best[slot].is_some_and(|b| left.contains(&b.1));
            if orphan {
                self.best[slot] = None;
            }
            let fits = |zone: &str| self.bound[slot].as_deref().is_none_or(|z| z == zone);
            let mut best = self.best[slot];
            let mut offer = |s: u64| {
                let Some((hash, zone)) = self.among.get(&s) else {
                    return;
                };
                if fits(zone) {
                    best = best.max(Some((score(*hash, slot as Slot), s)));
                }
            };
            if orphan {
                self.among.keys().for_each(|s| offer(*s));
            } else {
                joined.iter().for_each(|s| offer(*s));
            }
            self.best[slot] = best;
        }
    }

    pub fn best(&self, slot: Slot) -> Option<u64> {
        self.best[slot as usize].map(|b| b.1)
    }

    /// The best placed one that is not among these.
    pub fn best_but(&self, slot: Slot, not: impl Fn(u64) -> bool) -> Option<u64> {
        if self.best(slot).is_none_or(|b| !not(b)) {
            return self.best(slot);
        }
        let bound = self.bound[slot as usize].as_deref();
        let fit = self
            .among
            .iter()
            .filter(|(s, a)| !not(**s) && bound.is_none_or(|z| z == a.1));
        fit.max_by_key(|(s, a)| (score(a.0, slot), **s))
            .map(|(s, _)| *s)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Duty;

    fn session(name: &str, zone: &str) -> Session {
        Session {
            name: name.into(),
            run: 1,
            zone: zone.into(),
            machine: name.into(),
            replaced: false,
        }
    }

    fn settings(shards: u32) -> Settings {
        Settings {
            fleet: "f".into(),
            voters: vec!["a".into(), "b".into(), "c".into()],
            zones: vec!["x".into(), "y".into()],
            duties: vec![
                Duty {
                    name: "watch".into(),
                    shards: 1,
                    by_zone: true,
                },
                Duty {
                    name: "audit".into(),
                    shards,
                    by_zone: false,
                },
            ],
            lease: 2.0,
            drift: 0.01,
            renew: 0.5,
            stall: 0.0,
            tick: 0.05,
            moves: 64,
            disk_wait: 6.0,
        }
    }

    #[test]
    fn a_join_moves_its_share_and_a_loss_is_spread() {
        let settings = settings(4096);
        let mut all = BTreeMap::new();
        for i in 0..20u64 {
            all.insert(i, session(&format!("n{i}"), ["x", "y"][i as usize % 2]));
        }
        let mut placement = Placement::new(&settings);
        placement.among(&all, &(0..19).collect());
        let before: Vec<_> = (0..settings.slots())
            .map(|s| placement.best(s).unwrap())
            .collect();
        assert!(
            before[0] % 2 == 0 && before[1] % 2 == 1,
            "a zone's slot stays in its zone"
        );
        placement.among(&all, &(0..20).collect());
        let moved: Vec<_> = (0..settings.slots())
            .filter(|s| placement.best(*s) != Some(before[*s as usize]))
            .collect();
        assert!(
            moved.iter().all(|s| placement.best(*s) == Some(19)),
            "only the newcomer gains"
        );
        assert!(moved.len() < 4096 / 20 * 3 / 2, "{} moved", moved.len());
        // Five is lost: no other gets more than a few times its share of what it had.
        placement.among(&all, &(0..19).collect());
        placement.among(&all, &(0..19).filter(|s| *s != 5).collect());
        let mut gained = BTreeMap::new();
        for s in (0..settings.slots()).filter(|s| before[*s as usize] == 5) {
            *gained.entry(placement.best(s).unwrap()).or_insert(0u32) += 1;
        }
        assert!(
            gained.len() > 10 && gained.values().all(|n| *n < 40),
            "{gained:?}"
        );
        let again: Vec<_> = (0..settings.slots()).map(|s| placement.best(s)).collect();
        let mut anew = Placement::new(&settings);
        anew.among(&all, &(0..19).filter(|s| *s != 5).collect());
        assert_eq!(
            again,
            (0..settings.slots())
                .map(|s| anew.best(s))
                .collect::<Vec<_>>()
        );
    }
}
