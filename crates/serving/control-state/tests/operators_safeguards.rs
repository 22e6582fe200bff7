//! Removes each safeguard in turn and shows that the fault it prevents then happens, in simulations that are
//! linearizable with all safeguards.

mod world;

use dunespur_chain_replication::Safeguard as ChainSafeguard;
use dunespur_control_state::Safeguard;
use world::fault_plan::run;
use world::violation::Violation;
use world::{Safeguards, Setup};

/// Number of groups of faults in each simulation.
const FAULT_GROUPS: usize = 3;
/// Number of seeds that are searched for a counterexample.
const SEEDS: u64 = 400;
/// First seed of the search for a duplicate of a rejected configuration request that arrives when the request could be
/// accepted. Such duplicates are rare.
const RARE_SEED: u64 = 1_587;
/// First seed of the search for such a duplicate of a request to retire a store.
const RARE_STORE_SEED: u64 = 31;

/// Returns the first violation with these safeguards whose description contains `expected`, the mark of the fault that
/// the removed safeguard prevents.
fn counterexample(safeguards: Safeguards, expected: &str) -> Violation {
    counterexample_from(0, safeguards, expected)
}

/// As [`counterexample`], but searches from the seed `first`.
fn counterexample_from(first: u64, safeguards: Safeguards, expected: &str) -> Violation {
    let found = (first..first + SEEDS).find_map(|seed| {
        let setup = Setup {
            safeguards,
            ..Setup::new(seed, 3 + seed as usize % 4)
        };
        run(setup, FAULT_GROUPS)
            .err()
            .filter(|violation| violation.mentions(expected))
    });
    let found = found
        .unwrap_or_else(|| panic!("no violation with {expected:?} in {SEEDS} seeds from {first}"));
    eprintln!("{found}");
    found
}

#[test]
fn a_rejection_must_be_committed() {
    let safeguards = Safeguards {
        rejects_unconfirmed: true,
        ..Safeguards::default()
    };
    counterexample(safeguards, "was current between");
}

#[test]
fn a_quorum_after_a_suspension_counts_from_the_send_time() {
    let chain = dunespur_chain_replication::Safeguards::without(ChainSafeguard::QuorumBySendTime);
    counterexample(
        Safeguards {
            chain,
            ..Safeguards::default()
        },
        "as current",
    );
}

#[test]
fn a_restarted_member_awaits_its_commits() {
    let chain = dunespur_chain_replication::Safeguards::without(ChainSafeguard::AwaitKnownCommits);
    counterexample(
        Safeguards {
            chain,
            ..Safeguards::default()
        },
        "as current",
    );
}

#[test]
fn reads_are_confirmed() {
    let chain = dunespur_chain_replication::Safeguards::without(ChainSafeguard::ConfirmReads);
    counterexample(
        Safeguards {
            chain,
            ..Safeguards::default()
        },
        "was current between",
    );
}

#[test]
fn a_snapshot_contains_which_requests_were_accepted() {
    let control =
        dunespur_control_state::Safeguards::without(Safeguard::AcceptedRequestsInSnapshot);
    counterexample(
        Safeguards {
            control,
            ..Safeguards::default()
        },
        "was accepted, and rejected",
    );
}

#[test]
fn the_first_writer_wins() {
    let control = dunespur_control_state::Safeguards::without(Safeguard::FirstWriterWins);
    counterexample(
        Safeguards {
            control,
            ..Safeguards::default()
        },
        "had been accepted after that base",
    );
}

#[test]
fn rejections_are_fenced() {
    let control = dunespur_control_state::Safeguards::without(Safeguard::RejectionsFenced);
    counterexample_from(
        RARE_SEED,
        Safeguards {
            control,
            ..Safeguards::default()
        },
        "was accepted, and rejected",
    );
}

#[test]
fn retirement_requests_are_fenced() {
    let control = dunespur_control_state::Safeguards::without(Safeguard::RejectionsFenced);
    counterexample_from(
        RARE_STORE_SEED,
        Safeguards {
            control,
            ..Safeguards::default()
        },
        "is being emptied, although every call",
    );
}

#[test]
fn acknowledged_data_is_on_disk() {
    let chain = dunespur_chain_replication::Safeguards::without(ChainSafeguard::PersistBeforeSend);
    counterexample(
        Safeguards {
            chain,
            ..Safeguards::default()
        },
        "commits another payload at index",
    );
}
