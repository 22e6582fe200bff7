//! The size of a turn store's file relative to the turns in it. The library doubles the file when it needs more space;
//! the share of its disk that a store may fill (`DISK_PERCENT` in crates/serving/dunespur/src/store) depends on this
//! ratio.

use dunespur_storage::turns::TurnDisk;
use dunespur_storage::OpenedDisk;
use dunespur_turn_replication::turn::Turn;

/// Largest allowed ratio of the file's size to the size of the turns, from [`MIN_CHECKED_BYTES`] on.
const MAX_FILE_TO_TURNS: u64 = 4;
/// Bytes of turns to write.
const TURN_BYTES: u64 = 12 << 20;
/// With fewer bytes of turns, the minimum size of the file dominates the ratio.
const MIN_CHECKED_BYTES: u64 = 4 << 20;
const TURNS_PER_BATCH: u64 = 8;

fn turn(number: u64, input_bytes: usize) -> Turn {
    Turn {
        id: format!("{:016x}", number.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
        previous: None,
        program: format!("{number:06x}"),
        input: vec![1; input_bytes].into(),
        output: vec![2; 500].into(),
        ended_at_ms: number,
        retention_ms: 60_000,
    }
}

#[test]
fn the_file_is_at_most_four_times_as_large_as_its_turns() {
    for input_bytes in [1_000, 5_000, 140_000] {
        let folder = std::env::temp_dir().join(format!(
            "dunespur-growth-{}-{input_bytes}",
            std::process::id()
        ));
        std::fs::create_dir_all(&folder).expect("a folder for the test");
        let path = folder.join("turns.redb");
        let OpenedDisk { disk, .. } = TurnDisk::open(&path).expect("the file is created");
        let (mut turn_bytes, mut first_number, mut excess) = (0, 0, (0, 0));
        while turn_bytes < TURN_BYTES {
            let turns: Vec<Turn> = (first_number..first_number + TURNS_PER_BATCH)
                .map(|number| turn(number, input_bytes))
                .collect();
            first_number += TURNS_PER_BATCH;
            turn_bytes += turns.iter().map(Turn::size).sum::<u64>();
            disk.put(&turns).expect("the put succeeds");
            let file_bytes = std::fs::metadata(&path).expect("the file").len();
            if turn_bytes >= MIN_CHECKED_BYTES && file_bytes > turn_bytes * MAX_FILE_TO_TURNS {
                excess = (file_bytes, turn_bytes);
            }
        }
        drop(disk);
        std::fs::remove_dir_all(&folder).expect("the folder is removed");
        assert_eq!(
            excess,
            (0, 0),
            "size of the file and of the turns, with inputs of {input_bytes} bytes"
        );
    }
}
