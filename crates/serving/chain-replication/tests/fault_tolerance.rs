//! After a change of its machines, the core may tolerate fewer losses than required only for less than the time for which
//! a restarted or new machine may count as lost.

mod world;

use dunespur_chain_replication::Millis;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use world::fault_tolerance::{tolerated, window, Change};

/// Seeds for each change and size; the ignored table test reads `WINDOW_SEEDS` instead.
const SEEDS: u64 = 30;
const SIZES: std::ops::RangeInclusive<usize> = 3..=6;
/// Time that a machine may take to catch up after its return or start, by the number of tolerated losses.
const CATCH_UP: [Millis; 3] = [0, 4_200, 6_000];
const WORKERS: usize = 4;

/// The windows of many seeds, sorted by length, and the failures of seeds that violated a guarantee.
struct Windows {
    lengths: Vec<(Millis, u64)>,
    failed: Vec<String>,
}

impl Windows {
    fn measured(change: Change, machines: usize, seeds: u64) -> Windows {
        let next = AtomicU64::new(0);
        let windows = Mutex::new(Windows {
            lengths: Vec::new(),
            failed: Vec::new(),
        });
        let workers = std::thread::available_parallelism()
            .map_or(2, |count| count.get())
            .min(WORKERS);
        std::thread::scope(|scope| {
            for _ in 0..workers {
                scope.spawn(|| loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds {
                        return;
                    }
                    let measured = window(change, machines, seed);
                    windows
                        .lock()
                        .expect("no worker panics")
                        .add(seed, measured);
                });
            }
        });
        let mut windows = windows.into_inner().expect("no worker panics");
        windows.lengths.sort_unstable();
        windows.failed.sort();
        windows
    }

    fn add(&mut self, seed: u64, measured: Result<Millis, String>) {
        match measured {
            Ok(length) => self.lengths.push((length, seed)),
            Err(text) => self.failed.push(text),
        }
    }

    fn quantile(&self, quantile: f64) -> Millis {
        let index = (self.lengths.len() as f64 * quantile) as usize;
        self.lengths
            .get(index.min(self.lengths.len().saturating_sub(1)))
            .map_or(0, |(length, _)| *length)
    }

    fn worst(&self) -> (Millis, u64) {
        self.lengths.last().copied().unwrap_or_default()
    }
}

fn check(change: Change) {
    for machines in SIZES {
        let windows = Windows::measured(change, machines, SEEDS);
        assert!(
            windows.failed.is_empty(),
            "{change:?} of {machines}: {:#?}",
            windows.failed
        );
        let (worst, seed) = windows.worst();
        let limit = CATCH_UP[tolerated(machines)];
        assert!(
            worst < limit,
            "{change:?} of {machines}, seed {seed}: {worst} ms"
        );
    }
}

#[test]
fn a_kill_and_restart_restore_fault_tolerance_in_time() {
    check(Change::KillAndReturn);
}

#[test]
fn a_wiped_disk_restores_fault_tolerance_in_time() {
    check(Change::WipeAndReturn);
}

#[test]
fn an_unplanned_replacement_restores_fault_tolerance_in_time() {
    check(Change::UnplannedReplacement);
}

#[test]
fn a_planned_replacement_restores_fault_tolerance_in_time() {
    check(Change::PlannedReplacement);
}

#[test]
fn an_addition_restores_fault_tolerance_in_time() {
    check(Change::Addition);
}

#[test]
fn a_planned_leaving_restores_fault_tolerance_in_time() {
    check(Change::PlannedLeaving);
}

#[test]
fn a_rolling_restart_restores_fault_tolerance_in_time() {
    check(Change::RollingRestart);
}

/// In these seeds the head leaves right after a change of view. The core stalled for good when only the head counted as a
/// complete replica.
#[test]
fn a_head_that_leaves_right_after_a_change_does_not_stall_the_core() {
    for (machines, seed) in [(4, 827), (5, 566), (6, 968)] {
        window(Change::PlannedReplacement, machines, seed).unwrap_or_else(|text| panic!("{text}"));
    }
}

#[test]
#[ignore = "prints the table of the guarantees' page: WINDOW_SEEDS=10000, in release; WINDOW_CHANGE=Addition for one"]
fn table() {
    let seeds = std::env::var("WINDOW_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEEDS);
    println!("| change | machines | further losses | p50 | p99 | worst | its seed | failed |");
    let wanted = std::env::var("WINDOW_CHANGE").ok();
    let is_wanted = |change: &Change| {
        wanted
            .as_ref()
            .is_none_or(|name| *name == format!("{change:?}"))
    };
    for change in Change::ALL.into_iter().filter(is_wanted) {
        for machines in SIZES {
            let windows = Windows::measured(change, machines, seeds);
            let (worst, seed) = windows.worst();
            let (median, p99) = (windows.quantile(0.5), windows.quantile(0.99));
            let losses_to_tolerate = change.losses_to_tolerate(machines);
            let failed = windows.failed.len();
            println!(
                "| {change:?} | {machines} | {losses_to_tolerate} | {median} | {p99} | {worst} | {seed} | {failed} |"
            );
            for text in windows.failed.iter().take(2) {
                println!("  {text}");
            }
        }
    }
}

#[test]
#[ignore = "runs one seed for debugging: WINDOW_CHANGE=PlannedReplacement WINDOW_MACHINES=4 WINDOW_SEED=n CHAIN_TRACE=1"]
fn one_seed() {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let name = std::env::var("WINDOW_CHANGE").unwrap_or_default();
    let change = Change::ALL
        .into_iter()
        .find(|change| format!("{change:?}") == name);
    let change = change.unwrap_or(Change::PlannedReplacement);
    let machines = number("WINDOW_MACHINES").unwrap_or(3) as usize;
    let measured = window(change, machines, number("WINDOW_SEED").unwrap_or(0));
    println!("{change:?} of {machines}: {measured:?}");
}
