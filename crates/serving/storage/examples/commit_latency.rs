//! How long the commits of a turn store take while its file grows from nothing.
//!
//! `cargo run --release -p dunespur-storage --example commit_latency -- FOLDER` writes a file in FOLDER, on the disk
//! that is to be measured, and removes it again. It prints the median, the 99th percentile and the maximum of the
//! commits in microseconds.

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
    let at = |hundredths: usize| latencies_us[(latencies_us.len() - 1) * hundredths / 100];
    println!("p50 {} us, p99 {} us, max {} us", at(50), at(99), at(100));
    Ok(())
}
