//! Each safeguard removed in turn lets the fault happen that it prevents, in worlds that are linearizable with all
//! safeguards in place.

mod world;

use dunespur_chain_replication::Safeguard as ChainSafeguard;
use dunespur_control_state::Safeguard;
use world::fault_plan::play;
use world::violation::Violation;
use world::{Safeguards, Setup};

const FAULT_GROUPS: usize = 3;
/// Seeds that are tried for a counterexample.
const SEEDS: u64 = 400;
/// Duplicates of rejected requests that meet the very state in which they could be accepted are rare: one of the next
/// seeds has one.
const RARE_SEED: u64 = 1_587;
/// The same for requests to retire a store.
const RARE_STORE_SEED: u64 = 31;

/// The first violation without some safeguards. It has to be the one that they prevent, not another.
fn counterexample(safeguards: Safeguards, sign: &str) -> Violation {
    counterexample_from(0, safeguards, sign)
}

fn counterexample_from(first: u64, safeguards: Safeguards, sign: &str) -> Violation {
    let found = (first..first + SEEDS).find_map(|seed| {
        let setup = Setup {
            safeguards,
            ..Setup::new(seed, 3 + seed as usize % 4)
        };
        play(setup, FAULT_GROUPS)
            .err()
            .filter(|violation| violation.mentions(sign))
    });
    let found = found.unwrap_or_else(|| panic!("in {SEEDS} seeds nothing went wrong"));
    eprintln!("{found}");
    found
}

#[test]
fn a_rejection_needs_its_commit() {
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
        "was as well",
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
        "is being emptied, and every call",
    );
}

#[test]
fn what_is_acknowledged_is_on_disk() {
    let chain = dunespur_chain_replication::Safeguards::without(ChainSafeguard::PersistBeforeSend);
    counterexample(
        Safeguards {
            chain,
            ..Safeguards::default()
        },
        "commits something else",
    );
}
