//! How much space the turns' file takes for the bodies in it. The share of a disk that a store fills rests on it
//! (`DISK_PERCENT` in crates/serving/dunespur/src/store.rs): the library doubles the file when it needs more.

use dunespur_storage::turns::TurnDisk;
use dunespur_storage::Opened;
use dunespur_turn_replication::turn::Turn;

/// The file is at most this many times the bodies, once there are some megabytes of them.
const MAX_FILE_TO_BODIES: u64 = 4;
/// Bodies written.
const BODIES: u64 = 12 << 20;
/// Below this the file's least size counts for more than what is in it.
const ENOUGH: u64 = 4 << 20;
const BATCH: u64 = 8;

fn turn(number: u64, input: usize) -> Turn {
    Turn {
        id: format!("{:016x}", number.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
        previous: None,
        program: format!("{number:06x}"),
        input: vec![1; input].into(),
        output: vec![2; 500].into(),
        ended_at_ms: number,
        retention_ms: 60_000,
    }
}

#[test]
fn the_file_takes_no_more_than_four_times_the_bodies() {
    for input in [1_000, 5_000, 140_000] {
        let folder =
            std::env::temp_dir().join(format!("dunespur-growth-{}-{input}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for the test");
        let path = folder.join("turns.redb");
        let Opened { disk, .. } = TurnDisk::open(&path).expect("a new file");
        let (mut bodies, mut number, mut worst) = (0, 0, (0, 0));
        while bodies < BODIES {
            let turns: Vec<Turn> = (number..number + BATCH)
                .map(|number| turn(number, input))
                .collect();
            number += BATCH;
            bodies += turns.iter().map(Turn::size).sum::<u64>();
            disk.put(&turns).expect("the disk accepts them");
            let file = std::fs::metadata(&path).expect("the file is there").len();
            if bodies >= ENOUGH && file > bodies * MAX_FILE_TO_BODIES {
                worst = (file, bodies);
            }
        }
        drop(disk);
        std::fs::remove_dir_all(&folder).expect("the folder goes");
        assert_eq!(
            worst,
            (0, 0),
            "file and bodies, turns with {input} bytes of input"
        );
    }
}
