//! Without a safeguard, the failure that it guards against occurs in some world. With all safeguards none occurs in any.

mod world;

use dunespur_chain_replication::{Safeguard, Safeguards};
use world::faults::{overlapping_faults, run_schedule, schedule};
use world::Setup;

const PHASES: usize = 3;
/// Number of seeds that are tried for a counterexample.
const SEEDS: u64 = 400;
/// Number of schedules of overlapping faults that are tried for a counterexample.
const OVERLAPPING_FAULT_SEEDS: u64 = 4_000;

/// The first violation of safety in worlds without a safeguard, if any. A core that stalls doesn't count.
fn counterexample(without: impl Fn(&mut Setup)) -> Option<String> {
    (0..SEEDS).find_map(|seed| {
        let mut setup = Setup::new(seed, 3 + (seed % 4) as usize);
        without(&mut setup);
        run_schedule(setup, schedule(&setup, PHASES))
            .err()
            .filter(|text| is_safety_violation(text))
    })
}

fn is_safety_violation(text: &str) -> bool {
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
fn without_checking_views_a_replaced_chain_commits() {
    let found = without(Safeguards::without(Safeguard::CheckViews));
    assert!(
        found.is_some(),
        "no seed violates safety without this safeguard"
    );
    eprintln!("{found:?}");
}

#[test]
fn without_distinct_disk_identities_commits_are_lost() {
    let found = counterexample(|setup| setup.wiped_keep_identity = true);
    assert!(
        found.is_some(),
        "no seed violates safety without this safeguard"
    );
    eprintln!("{found:?}");
}

#[test]
fn without_persisting_before_sending_commits_are_lost() {
    let found = without(Safeguards::without(Safeguard::PersistBeforeSend));
    assert!(
        found.is_some(),
        "no seed violates safety without this safeguard"
    );
    eprintln!("{found:?}");
}

#[test]
fn without_confirming_reads_old_state_is_read() {
    let found = without(Safeguards::without(Safeguard::ConfirmReads));
    assert!(
        found.is_some(),
        "no seed violates safety without this safeguard"
    );
    eprintln!("{found:?}");
}

/// The failure takes two members that propose at the same time, and the loss of the message that the first proposal was
/// decided. This happens under overlapping faults with three members.
#[test]
fn without_deciding_once_two_views_have_one_number() {
    let found = (0..OVERLAPPING_FAULT_SEEDS).find_map(|seed| {
        let mut setup = Setup::new(seed, 3);
        setup.max_sync_ms = 4;
        setup.safeguards = Safeguards::without(Safeguard::DecideOnce);
        run_schedule(setup, overlapping_faults(&setup))
            .err()
            .filter(|text| text.contains("two views"))
    });
    assert!(
        found.is_some(),
        "no seed violates safety without this safeguard"
    );
    eprintln!("{found:?}");
}

#[test]
fn without_catching_up_before_syncing_commits_are_lost() {
    let found = without(Safeguards::without(Safeguard::CatchUpBeforeSync));
    assert!(
        found.is_some(),
        "no seed violates safety without this safeguard"
    );
    eprintln!("{found:?}");
}
