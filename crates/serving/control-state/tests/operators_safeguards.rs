//! Each guard taken out in turn brings about what it is against, in worlds that hold with all guards in place.

mod world;

use dunespur_chain_replication::Safeguard as ChainSafeguard;
use dunespur_control_state::Safeguard;
use world::faults::play;
use world::{Safeguards, Setup};

const ROUNDS: usize = 3;
/// Seeds that are tried for a counterexample.
const SEEDS: u64 = 400;
/// Copies of refused orders that meet the very state in which they could be taken are rare: one of the next seeds
/// brings one about.
const RARE_SEED: u64 = 1_587;
/// The same for orders to empty a store.
const RARE_STORE_SEED: u64 = 31;

/// What goes wrong first without some guards. It has to be what they are against, not another broken promise.
fn counterexample(safeguards: Safeguards, sign: &str) -> String {
    counterexample_from(0, safeguards, sign)
}

fn counterexample_from(first: u64, safeguards: Safeguards, sign: &str) -> String {
    let found = (first..first + SEEDS).find_map(|seed| {
        let setup = Setup {
            safeguards,
            ..Setup::new(seed, 3 + seed as usize % 4)
        };
        play(setup, ROUNDS).err().filter(|text| text.contains(sign))
    });
    let found = found.unwrap_or_else(|| panic!("in {SEEDS} seeds nothing went wrong"));
    eprintln!("{found}");
    found
}

#[test]
fn a_refusal_needs_currency() {
    let safeguards = Safeguards {
        rejects_unconfirmed: true,
        ..Safeguards::default()
    };
    counterexample(safeguards, "was current between");
}

#[test]
fn currency_after_a_freeze_counts_from_the_sending() {
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
fn a_member_that_has_started_again_awaits_its_commits() {
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
        "was taken, and refused",
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
        "was taken, and refused",
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
        "is emptied, and every call",
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
