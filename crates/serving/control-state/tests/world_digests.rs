//! The simulation of each seed must have the digest of messages, times and states that is recorded in
//! `world/digests.txt`. A difference means that the behaviour has changed.

mod world;

use std::fmt::Write;
use world::fault_plan::digest;
use world::Setup;

/// Number of groups of faults in each simulation.
const FAULT_GROUPS: usize = 1;
/// Number of recorded seeds.
const SEEDS: u64 = 100;
/// One seed in this many has large filler payloads, which cause snapshots but slow the simulation down.
const LARGE_PAYLOADS_EVERY: u64 = 20;
const LARGE_PAYLOAD_BYTES: usize = 24_000;

#[test]
fn simulations_match_the_recorded_digests() {
    let mut digests = String::new();
    for seed in 0..SEEDS {
        let large = seed % LARGE_PAYLOADS_EVERY == 1;
        let filler_bytes = if large { LARGE_PAYLOAD_BYTES } else { 0 };
        let setup = Setup {
            filler_bytes,
            ..Setup::new(seed, 3 + seed as usize % 4)
        };
        writeln!(digests, "{seed} {:016x}", digest(setup, FAULT_GROUPS))
            .expect("writing to a string succeeds");
    }
    assert_eq!(digests, include_str!("world/digests.txt"));
}
