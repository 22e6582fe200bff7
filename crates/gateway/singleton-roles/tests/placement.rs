//! Placement of slots: a join or loss of a limiter moves no more slots than necessary.

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
fn a_join_moves_only_slots_to_the_new_limiter_and_a_loss_is_spread() {
    let settings = settings(4096);
    let mut sessions = BTreeMap::new();
    for i in 0..20u64 {
        sessions.insert(i, session(&format!("n{i}"), ["x", "y"][i as usize % 2]));
    }
    let mut placement = Placement::new(&settings);
    placement.update(&sessions, &(0..19).collect());
    let before: Vec<_> = (0..settings.slots())
        .map(|slot| placement.preferred(slot).unwrap())
        .collect();
    assert!(
        before[0] % 2 == 0 && before[1] % 2 == 1,
        "a zone's slot stays in its zone"
    );
    placement.update(&sessions, &(0..20).collect());
    let moved: Vec<_> = (0..settings.slots())
        .filter(|slot| placement.preferred(*slot) != Some(before[*slot as usize]))
        .collect();
    assert!(
        moved
            .iter()
            .all(|slot| placement.preferred(*slot) == Some(19)),
        "only the new limiter gains slots"
    );
    assert!(
        moved.len() < 4096 / 20 * 3 / 2,
        "{} slots moved",
        moved.len()
    );
    // Session 5 is lost: no other session gains more than a few times its share of the freed slots.
    placement.update(&sessions, &(0..19).collect());
    placement.update(&sessions, &(0..19).filter(|s| *s != 5).collect());
    let mut gained = BTreeMap::new();
    for slot in (0..settings.slots()).filter(|slot| before[*slot as usize] == 5) {
        *gained
            .entry(placement.preferred(slot).unwrap())
            .or_insert(0u32) += 1;
    }
    assert!(
        gained.len() > 10 && gained.values().all(|n| *n < 40),
        "slots gained by session: {gained:?}"
    );
    let incremental: Vec<_> = (0..settings.slots())
        .map(|slot| placement.preferred(slot))
        .collect();
    let mut rebuilt = Placement::new(&settings);
    rebuilt.update(&sessions, &(0..19).filter(|s| *s != 5).collect());
    assert_eq!(
        incremental,
        (0..settings.slots())
            .map(|slot| rebuilt.preferred(slot))
            .collect::<Vec<_>>()
    );
}
