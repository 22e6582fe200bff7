//! How large a core member's file gets with the largest control state, over many snapshots while changes go on: it has
//! to stay within the disks of core machines.

use dunespur_chain_replication::limits::{MAX_COMPACTION_BYTES, MIN_COMPACTION_BYTES};
use dunespur_chain_replication::{Entry, Origin, Payload, Position, Snapshot, Write};
use dunespur_storage::core::CoreDisk;
use dunespur_storage::Opened;

/// The disks of core machines, less what may be set aside of a file that can't be read.
const DISK_BYTES: u64 = (64 << 20) - dunespur_storage::recovery::MAX_SET_ASIDE_BYTES;
/// 60,000 programs of 154 bytes, 1,000 servers and a configuration of 400 kB come to this.
const LARGEST_STATE_BYTES: usize = 12 << 20;
const SNAPSHOTS: usize = 8;

struct Writer {
    disk: CoreDisk,
    index: u64,
    worst: u64,
    path: std::path::PathBuf,
}

impl Writer {
    fn write(&mut self, writes: &[Write]) {
        self.disk.write(writes).expect("the disk accepts it");
        self.worst = self
            .worst
            .max(std::fs::metadata(&self.path).expect("the file").len());
    }

    fn next_entries(&mut self, size: usize, count: u64) -> Vec<Write> {
        let first = self.index + 1;
        self.index += count;
        let entry = |index| Entry {
            position: Position { index, view: 1 },
            origin: Origin {
                incarnation: 5,
                ticket: index,
            },
            payload: Payload::from(vec![index as u8; size]),
        };
        (first..=self.index)
            .map(|index| Write::Entry {
                entry: entry(index),
            })
            .collect()
    }

    /// So many bytes of entries, in batches as they come together in a sync.
    fn entries(&mut self, bytes: usize, size: usize, batch: u64) {
        let mut written = 0;
        while written < bytes {
            let writes = self.next_entries(size, batch);
            written += batch as usize * (size + 64);
            self.write(&writes);
        }
    }

    /// A snapshot among the entries of a batch, from `behind` entries ago: so many came while it was made.
    fn snapshot(&mut self, bytes: usize, size: usize, batch: u64, behind: u64) {
        let position = Position {
            index: self.index.saturating_sub(behind),
            view: 1,
        };
        let bytes = Payload::from(vec![self.index as u8; bytes]);
        let mut writes = self.next_entries(size, batch);
        writes.push(Write::Snapshot {
            snapshot: Snapshot { position, bytes },
        });
        writes.extend(self.next_entries(size, batch));
        self.write(&writes);
    }
}

fn worst_file(state: usize, entry: usize, batch: u64) -> u64 {
    let folder = std::env::temp_dir().join(format!(
        "dunespur-core-growth-{}-{entry}",
        std::process::id()
    ));
    std::fs::create_dir_all(&folder).expect("a folder for the test");
    let path = folder.join("core.redb");
    let Opened { disk, .. } = CoreDisk::open(&path).expect("a new file");
    let mut writer = Writer {
        disk,
        index: 0,
        worst: 0,
        path,
    };
    for _ in 0..SNAPSHOTS {
        writer.entries(
            state.clamp(MIN_COMPACTION_BYTES, MAX_COMPACTION_BYTES),
            entry,
            batch,
        );
        writer.snapshot(state, entry, batch, batch * 4);
    }
    let worst = writer.worst;
    drop(writer);
    std::fs::remove_dir_all(&folder).expect("the folder goes");
    worst
}

#[test]
fn the_file_of_the_largest_state_fits_the_disk() {
    for (entry, batch) in [(60, 200), (130, 200), (300, 200), (5_000, 8), (400_000, 1)] {
        let worst = worst_file(LARGEST_STATE_BYTES, entry, batch);
        eprintln!("entries of {entry} bytes: {worst} bytes at worst");
        assert!(
            worst <= DISK_BYTES,
            "entries of {entry} bytes: {worst} bytes"
        );
    }
}
