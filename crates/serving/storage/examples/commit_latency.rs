//! Prints the commit latency of a turn store whose file grows from empty: median, 99th percentile and maximum, in
//! microseconds.
//!
//! Run `cargo run --release -p dunespur-storage --example commit_latency -- FOLDER`. It writes a file to FOLDER, which
//! should be on the disk to be tested, and removes the file at the end.

use dunespur_storage::turns::TurnDisk;
use dunespur_turn_replication::turn::Turn;
use std::error::Error;
use std::fs;
use std::path::Path;
use std::time::Instant;

const COMMITS: u64 = 4_000;
const TURNS_PER_COMMIT: u64 = 4;
const INPUT_BYTES: usize = 5_000;
const OUTPUT_BYTES: usize = 500;

fn turn(number: u64) -> Turn {
    Turn {
        id: format!("{:016x}", number.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
        previous: None,
        program: format!("{number:06x}"),
        input: vec![1; INPUT_BYTES].into(),
        output: vec![2; OUTPUT_BYTES].into(),
        ended_at_ms: number,
        retention_ms: 60_000,
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let folder = std::env::args()
        .nth(1)
        .ok_or("usage: commit_latency FOLDER")?;
    let path = Path::new(&folder).join("commit-latency.redb");
    let disk = TurnDisk::open(&path)?.disk;
    let mut latencies_us = Vec::new();
    for commit in 0..COMMITS {
        let first = commit * TURNS_PER_COMMIT;
        let turns: Vec<Turn> = (first..first + TURNS_PER_COMMIT).map(turn).collect();
        let started = Instant::now();
        disk.put(&turns)?;
        latencies_us.push(started.elapsed().as_micros());
    }
    drop(disk);
    fs::remove_file(&path)?;
    latencies_us.sort_unstable();
    let percentile = |percent: usize| latencies_us[(latencies_us.len() - 1) * percent / 100];
    println!(
        "p50 {} us, p99 {} us, max {} us",
        percentile(50),
        percentile(99),
        percentile(100)
    );
    Ok(())
}
