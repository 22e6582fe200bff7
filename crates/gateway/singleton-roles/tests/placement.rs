//! Placement of slots: joins and losses move no more than they have to.

use dunespur_singleton_roles::placement::Placement;
use dunespur_singleton_roles::table::Session;
use dunespur_singleton_roles::{Role, Settings};
use std::collections::BTreeMap;

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
        roles: vec![
            Role {
                name: "watch".into(),
                shards: 1,
                by_zone: true,
            },
            Role {
                name: "audit".into(),
                shards,
                by_zone: false,
            },
        ],
        lease_duration: 2.0,
        clock_drift: 0.01,
        renew_interval: 0.5,
        stall_timeout: 0.0,
        tick_interval: 0.05,
        max_revocations: 64,
        disk_check_timeout: 6.0,
    }
}

#[test]
fn a_join_moves_only_what_it_gains_and_a_loss_is_spread() {
    let settings = settings(4096);
    let mut all = BTreeMap::new();
    for i in 0..20u64 {
        all.insert(i, session(&format!("n{i}"), ["x", "y"][i as usize % 2]));
    }
    let mut placement = Placement::new(&settings);
    placement.update(&all, &(0..19).collect());
    let before: Vec<_> = (0..settings.slots())
        .map(|s| placement.preferred(s).unwrap())
        .collect();
    assert!(
        before[0] % 2 == 0 && before[1] % 2 == 1,
        "a zone's slot stays in its zone"
    );
    placement.update(&all, &(0..20).collect());
    let moved: Vec<_> = (0..settings.slots())
        .filter(|s| placement.preferred(*s) != Some(before[*s as usize]))
        .collect();
    assert!(
        moved.iter().all(|s| placement.preferred(*s) == Some(19)),
        "only the newcomer gains"
    );
    assert!(moved.len() < 4096 / 20 * 3 / 2, "{} moved", moved.len());
    // Five is lost: no other gets more than a few times its share of what it had.
    placement.update(&all, &(0..19).collect());
    placement.update(&all, &(0..19).filter(|s| *s != 5).collect());
    let mut gained = BTreeMap::new();
    for s in (0..settings.slots()).filter(|s| before[*s as usize] == 5) {
        *gained
            .entry(placement.preferred(s).unwrap())
            .or_insert(0u32) += 1;
    }
    assert!(
        gained.len() > 10 && gained.values().all(|n| *n < 40),
        "{gained:?}"
    );
    let again: Vec<_> = (0..settings.slots())
        .map(|s| placement.preferred(s))
        .collect();
    let mut anew = Placement::new(&settings);
    anew.update(&all, &(0..19).filter(|s| *s != 5).collect());
    assert_eq!(
        again,
        (0..settings.slots())
            .map(|s| anew.preferred(s))
            .collect::<Vec<_>>()
    );
}
