//! The simulated worlds run as they did when `world/digests.txt` was written: same messages, same times, same states.

mod world;

use std::fmt::Write;
use world::fault_plan::digest;
use world::Setup;

const FAULT_GROUPS: usize = 1;
const SEEDS: u64 = 100;
/// Large payloads, which bring on snapshots, take most of the time: only some seeds have them.
const LARGE_PAYLOADS_EVERY: u64 = 20;
const LARGE_PAYLOAD_BYTES: usize = 24_000;

#[test]
fn worlds_go_as_recorded() {
    let mut digests = String::new();
    for seed in 0..SEEDS {
        let large = seed % LARGE_PAYLOADS_EVERY == 1;
        let filling = if large { LARGE_PAYLOAD_BYTES } else { 0 };
        let setup = Setup {
            filling,
            ..Setup::new(seed, 3 + seed as usize % 4)
        };
        writeln!(digests, "{seed} {:016x}", digest(setup, FAULT_GROUPS))
            .expect("a string takes text");
    }
    assert_eq!(digests, include_str!("world/digests.txt"));
}
