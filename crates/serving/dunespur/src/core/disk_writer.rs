//! The thread that writes to a core member's disk: syncs block, and a slow disk must not delay the data plane.

use crate::status::DiskStatus;
use dunespur_chain_replication::Write;
use dunespur_storage::core::CoreDisk;
use std::cell::Cell;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// Delay before a failed write is retried, for example on a full disk; nothing is acknowledged meanwhile.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Stack size of the thread in bytes.
const STACK_SIZE: usize = 256 * 1024;

/// Writes that are synced together.
pub struct Batch {
    /// The number by which the state machine identifies the batch.
    pub number: u64,
    /// The writes, in the order in which they are applied.
    pub writes: Vec<Write>,
}

/// Queues batches for the disk thread.
pub struct DiskWriter {
    batches: mpsc::Sender<Batch>,
    queued: Cell<u64>,
    progress: Arc<Progress>,
}

/// Counters that the disk thread updates.
#[derive(Default)]
struct Progress {
    done: AtomicU64,
    failed: AtomicU64,
}

impl DiskWriter {
    /// Starts the disk thread, which sends the number of each synced batch to `persisted`. The number of uncommitted
    /// operations in the chain bounds both queues.
    pub fn start(disk: CoreDisk, persisted: UnboundedSender<u64>) -> std::io::Result<DiskWriter> {
        let (batches, queue) = mpsc::channel::<Batch>();
        let progress = Arc::new(Progress::default());
        let thread_progress = progress.clone();
        thread::Builder::new()
            .name("core-disk".to_owned())
            .stack_size(STACK_SIZE)
            .spawn(move || {
                while let Ok(batch) = queue.recv() {
                    write(&disk, &batch, &thread_progress.failed);
                    thread_progress.done.fetch_add(1, Ordering::Relaxed);
                    if persisted.send(batch.number).is_err() {
                        return;
                    }
                }
            })?;
        Ok(DiskWriter {
            batches,
            queued: Cell::new(0),
            progress,
        })
    }

    /// Queues a batch.
    pub fn write(&self, batch: Batch) {
        self.queued.set(self.queued.get() + 1);
        let _ = self.batches.send(batch);
    }

    /// Numbers of waiting batches, completed batches and failed write attempts.
    pub fn status(&self) -> DiskStatus {
        let done = self.progress.done.load(Ordering::Relaxed);
        DiskStatus {
            waiting: self.queued.get().saturating_sub(done),
            done,
            failed: self.progress.failed.load(Ordering::Relaxed),
        }
    }
}

fn write(disk: &CoreDisk, batch: &Batch, failed: &AtomicU64) {
    while let Err(error) = disk.write(&batch.writes) {
        failed.fetch_add(1, Ordering::Relaxed);
        log::error!(
            "core disk: writing batch {} failed, retrying in {} ms: {}",
            batch.number,
            RETRY_DELAY.as_millis(),
            error.with_causes()
        );
        thread::sleep(RETRY_DELAY);
    }
}
