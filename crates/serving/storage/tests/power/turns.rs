//! Turns over losses of power.

use crate::support::{Disk, Random, Syncs};
use bytes::Bytes;
use dunespur_storage::turns::{DiskIdentity, TurnDisk};
use dunespur_turn_replication::turn::{Turn, TurnHeader};
use std::collections::BTreeMap;
use std::panic::catch_unwind;

/// Losses of power over one disk.
const LIVES: u64 = 6;

fn open(disk: &Disk) -> anyhow::Result<(TurnDisk, DiskIdentity, Vec<TurnHeader>)> {
    let handle = disk.handle();
    TurnDisk::open_backend(move || handle.clone())
}

fn turn(number: u64, random: &mut Random) -> Turn {
    let body =
        |random: &mut Random, fill: u8| Bytes::from(vec![fill; random.below(9_000) as usize]);
    Turn {
        id: format!("turn-{number:06}"),
        previous: (number > 0).then(|| format!("turn-{:06}", number - 1)),
        program: format!("program-{}", number % 7),
        input: body(random, number as u8),
        output: body(random, !(number as u8)),
        ended_at_ms: number,
        retention_ms: 60_000,
    }
}

/// What a caller was told.
#[derive(Default)]
struct Told {
    acknowledged: BTreeMap<String, Turn>,
    number: u64,
    whole: bool,
}

/// Puts and removes until the power goes.
fn work(turns: &TurnDisk, told: &mut Told, random: &mut Random) {
    for _ in 0..40 {
        let batch: Vec<Turn> = (0..1 + random.below(5))
            .map(|_| {
                told.number += 1;
                turn(told.number, random)
            })
            .collect();
        if turns.put(&batch).is_err() {
            return;
        }
        told.acknowledged
            .extend(batch.into_iter().map(|turn| (turn.id.clone(), turn)));
        if random.below(4) == 0 {
            remove_one(turns, told, random);
        }
        if random.below(30) == 0 {
            told.whole |= turns.mark_whole().is_ok();
        }
    }
}

fn remove_one(turns: &TurnDisk, told: &mut Told, random: &mut Random) {
    let position = random.below(told.acknowledged.len() as u64) as usize;
    let Some(id) = told.acknowledged.keys().nth(position).cloned() else {
        return;
    };
    told.acknowledged.remove(&id);
    // It may come back or not.
    let _ = turns.remove(&[id]);
}

/// What is wrong after a loss of power, if anything.
fn wrong(
    opened: &anyhow::Result<(TurnDisk, DiskIdentity, Vec<TurnHeader>)>,
    identity: DiskIdentity,
    told: &Told,
) -> Option<String> {
    let (turns, now, entries) = match opened {
        Ok(opened) => (&opened.0, opened.1, &opened.2),
        Err(error) => return Some(format!("it does not open: {error:#}")),
    };
    if now.disk != identity.disk {
        return Some("it is another disk".to_owned());
    }
    if told.whole && now.fresh {
        return Some("it has forgotten that it was whole".to_owned());
    }
    for (id, acknowledged) in &told.acknowledged {
        if !entries.iter().any(|entry| entry.id == *id) {
            return Some(format!("{id} is not listed"));
        }
        match turns.get(id) {
            Ok(Some(found)) if found == *acknowledged => {}
            other => return Some(format!("{id} is read as {other:?}")),
        }
    }
    let unreadable = entries
        .iter()
        .find(|entry| !matches!(turns.get(&entry.id), Ok(Some(_))));
    unreadable.map(|entry| format!("{} is listed and can't be read", entry.id))
}

/// Several losses of power on one disk; what was wrong first.
fn play(seed: u64, syncs: Syncs) -> Option<String> {
    let mut random = Random::new(seed);
    let disk = Disk::new(syncs);
    let mut told = Told::default();
    let (mut turns, identity, _) = open(&disk).expect("a new disk opens");
    for _ in 0..LIVES {
        disk.loses_power_after(random.below(600));
        work(&turns, &mut told, &mut random);
        disk.lose_power(&mut random);
        // What the old process still does on its end reaches nothing.
        drop(turns);
        let opened = open(&disk);
        if let Some(wrong) = wrong(&opened, identity, &told) {
            return Some(format!("seed {seed}: {wrong}"));
        }
        turns = opened.ok()?.0;
    }
    None
}

#[test]
fn what_was_acknowledged_is_found_after_losses_of_power() {
    for seed in 0..60 {
        assert_eq!(play(seed, Syncs::Honest), None);
    }
}

#[test]
fn a_disk_that_does_not_sync_is_noticed() {
    // On such a file the library may assert.
    let notices = |seed: u64| !matches!(catch_unwind(|| play(seed, Syncs::Ignored)), Ok(None));
    let noticed = (0..20).filter(|seed| notices(*seed)).count();
    assert!(noticed >= 18, "only {noticed} of 20 seeds notice it");
}
