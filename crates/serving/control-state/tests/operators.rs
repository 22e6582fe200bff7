//! Configuration requests and reads are linearizable for operators who meet partitions, suspended processes and losses
//! of power and disks, and repeat what got no definite answer.

mod world;

use world::fault_plan::play;
use world::history::Tally;
use world::Setup;

const FAULT_GROUPS: usize = 3;
/// Seeds that are played for each size of the core.
const SEEDS: u64 = 40;
const SIZES: [usize; 4] = [3, 4, 5, 6];

fn is_linearizable(machines: usize) {
    for seed in 0..SEEDS {
        if let Err(violation) = play(Setup::new(seed, machines), FAULT_GROUPS) {
            panic!("{violation}");
        }
    }
}

#[test]
fn three_members() {
    is_linearizable(SIZES[0]);
}

#[test]
fn four_members() {
    is_linearizable(SIZES[1]);
}

#[test]
fn five_members() {
    is_linearizable(SIZES[2]);
}

#[test]
fn six_members() {
    is_linearizable(SIZES[3]);
}

/// Seeds that failed before a fix, each with its core's size. 1,025 was the checker's fault, which judged a request
/// both rejected and accepted though another call was made in between; the others showed stale state to followers.
const ONCE_BROKEN: [(u64, usize); 8] = [
    (1_017, 4),
    (1_025, 4),
    (22, 6),
    (133_637, 4),
    (133_675, 6),
    (133_755, 6),
    (133_831, 6),
    (167_352, 3),
];

#[test]
fn seeds_that_once_broke() {
    for (seed, machines) in ONCE_BROKEN {
        play(Setup::new(seed, machines), FAULT_GROUPS)
            .unwrap_or_else(|violation| panic!("{violation}"));
    }
}

/// As many seeds as requested: `FIRST` and `SEEDS` in the environment.
#[test]
#[ignore = "runs for as long as its settings say"]
fn many_seeds() {
    let number = |name: &str| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
    };
    let first = number("FIRST").unwrap_or(1_000);
    let (mut violations, mut sum) = (0, Tally::default());
    for seed in first..first + number("SEEDS").unwrap_or(1_000) {
        match play(
            Setup::new(seed, SIZES[seed as usize % SIZES.len()]),
            FAULT_GROUPS,
        ) {
            Ok(tally) => sum.add(tally),
            Err(violation) => {
                violations += 1;
                eprintln!("{violation}");
            }
        }
    }
    eprintln!("violations {violations}, {sum:?}");
    assert_eq!(violations, 0);
}
