//! Each guard taken out in turn brings about what it is against. The worlds are those that hold with all guards in
//! place.

mod world;

use dunespur_chain_replication::{Safeguard, Safeguards};
use world::faults::{play, schedule, storm};
use world::Setup;

const PHASES: usize = 3;
/// Seeds that are tried for a counterexample.
const SEEDS: u64 = 400;
const SEEDS_OF_STORMS: u64 = 4_000;

/// What goes wrong first in the worlds without a guard, if anything does. Only broken promises count, not a core that
/// stands still.
fn counterexample(without: impl Fn(&mut Setup)) -> Option<String> {
    (0..SEEDS).find_map(|seed| {
        let mut setup = Setup::new(seed, 3 + (seed % 4) as usize);
        without(&mut setup);
        play(setup, schedule(&setup, PHASES))
            .err()
            .filter(|text| is_broken_promise(text))
    })
}

fn is_broken_promise(text: &str) -> bool {
    [
        "was committed before",
        "two views",
        "out of order",
        "wrong snapshot",
    ]
    .iter()
    .any(|sign| text.contains(sign))
}

fn without(safeguards: Safeguards) -> Option<String> {
    counterexample(|setup| setup.safeguards = safeguards)
}

#[test]
fn views_must_be_checked() {
    let found = without(Safeguards::without(Safeguard::CheckViews));
    assert!(found.is_some(), "nothing went wrong");
    eprintln!("{found:?}");
}

#[test]
fn disks_must_be_told_apart() {
    let found = counterexample(|setup| setup.wiped_keep_identity = true);
    assert!(found.is_some(), "nothing went wrong");
    eprintln!("{found:?}");
}

#[test]
fn syncs_must_come_before_messages() {
    let found = without(Safeguards::without(Safeguard::PersistBeforeSend));
    assert!(found.is_some(), "nothing went wrong");
    eprintln!("{found:?}");
}

#[test]
fn reads_must_be_confirmed() {
    let found = without(Safeguards::without(Safeguard::ConfirmReads));
    assert!(found.is_some(), "nothing went wrong");
    eprintln!("{found:?}");
}

/// It takes two that propose at one moment, and the news of the first one's success to be lost: storms over three
/// members bring that about.
#[test]
fn a_view_must_be_decided_once() {
    let found = (0..SEEDS_OF_STORMS).find_map(|seed| {
        let mut setup = Setup::new(seed, 3);
        setup.max_sync_ms = 4;
        setup.safeguards = Safeguards::without(Safeguard::DecideOnce);
        play(setup, storm(&setup))
            .err()
            .filter(|text| text.contains("two views"))
    });
    assert!(found.is_some(), "nothing went wrong");
    eprintln!("{found:?}");
}

#[test]
fn members_must_be_whole_before_they_count() {
    let found = without(Safeguards::without(Safeguard::CatchUpBeforeSync));
    assert!(found.is_some(), "nothing went wrong");
    eprintln!("{found:?}");
}
