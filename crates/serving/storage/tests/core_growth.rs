//! With the largest control state, a core member's file must fit on the disk of a core machine, over many snapshots
//! that are taken while entries are written.

use dunespur_chain_replication::limits::{MAX_COMPACTION_BYTES, MIN_COMPACTION_BYTES};
use dunespur_chain_replication::{Entry, Origin, Payload, Position, Snapshot, Write};
use dunespur_storage::core::CoreDisk;
use dunespur_storage::OpenedDisk;

/// Disk size of a core machine, less the space for an unreadable file that was set aside.
const DISK_BYTES: u64 = (64 << 20) - dunespur_storage::recovery::MAX_SET_ASIDE_BYTES;
/// 60,000 programs of 154 bytes, 1,000 servers and a configuration of 400 kB.
const LARGEST_STATE_BYTES: usize = 12 << 20;
const SNAPSHOTS: usize = 8;

struct Writer {
    disk: CoreDisk,
    index: u64,
    largest_file: u64,
    path: std::path::PathBuf,
}

impl Writer {
    fn write(&mut self, writes: &[Write]) {
        self.disk.write(writes).expect("the write succeeds");
        self.largest_file = self
            .largest_file
            .max(std::fs::metadata(&self.path).expect("the file").len());
    }

    fn next_entries(&mut self, entry_bytes: usize, count: u64) -> Vec<Write> {
        let first = self.index + 1;
        self.index += count;
        let entry = |index| Entry {
            position: Position { index, view: 1 },
            origin: Origin {
                incarnation: 5,
                ticket: index,
            },
            payload: Payload::from(vec![index as u8; entry_bytes]),
        };
        (first..=self.index)
            .map(|index| Write::Entry {
                entry: entry(index),
            })
            .collect()
    }

    /// Writes entries of `total_bytes` in all, `batch` entries in each synced write.
    fn write_entries(&mut self, total_bytes: usize, entry_bytes: usize, batch: u64) {
        let mut written = 0;
        while written < total_bytes {
            let writes = self.next_entries(entry_bytes, batch);
            written += batch as usize * (entry_bytes + 64);
            self.write(&writes);
        }
    }

    /// Writes a snapshot between two batches of entries. Its position is `behind` entries back, as entries are appended
    /// while a snapshot is taken.
    fn write_snapshot(
        &mut self,
        snapshot_bytes: usize,
        entry_bytes: usize,
        batch: u64,
        behind: u64,
    ) {
        let position = Position {
            index: self.index.saturating_sub(behind),
            view: 1,
        };
        let bytes = Payload::from(vec![self.index as u8; snapshot_bytes]);
        let mut writes = self.next_entries(entry_bytes, batch);
        writes.push(Write::Snapshot {
            snapshot: Snapshot { position, bytes },
        });
        writes.extend(self.next_entries(entry_bytes, batch));
        self.write(&writes);
    }
}

fn largest_file(state_bytes: usize, entry_bytes: usize, batch: u64) -> u64 {
    let folder = std::env::temp_dir().join(format!(
        "dunespur-core-growth-{}-{entry_bytes}",
        std::process::id()
    ));
    std::fs::create_dir_all(&folder).expect("a folder for the test");
    let path = folder.join("core.redb");
    let OpenedDisk { disk, .. } = CoreDisk::open(&path).expect("the file is created");
    let mut writer = Writer {
        disk,
        index: 0,
        largest_file: 0,
        path,
    };
    for _ in 0..SNAPSHOTS {
        writer.write_entries(
            state_bytes.clamp(MIN_COMPACTION_BYTES, MAX_COMPACTION_BYTES),
            entry_bytes,
            batch,
        );
        writer.write_snapshot(state_bytes, entry_bytes, batch, batch * 4);
    }
    let largest_file = writer.largest_file;
    drop(writer);
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    largest_file
}

#[test]
fn the_file_of_the_largest_state_fits_the_disk() {
    for (entry_bytes, batch) in [(60, 200), (130, 200), (300, 200), (5_000, 8), (400_000, 1)] {
        let file_bytes = largest_file(LARGEST_STATE_BYTES, entry_bytes, batch);
        eprintln!("entries of {entry_bytes} bytes: the file had {file_bytes} bytes at most");
        assert!(
            file_bytes <= DISK_BYTES,
            "entries of {entry_bytes} bytes: the file had {file_bytes} bytes, the disk {DISK_BYTES}"
        );
    }
}
