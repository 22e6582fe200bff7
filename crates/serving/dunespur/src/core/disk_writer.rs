//! The thread that writes a core member's disk: syncs block, and a slow disk must not delay the data plane.

use crate::status::DiskStatus;
use dunespur_chain_replication::Write;
use dunespur_storage::core::CoreDisk;
use std::cell::Cell;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// Delay before a write that failed (a full disk, for example) is retried; nothing is acknowledged meanwhile.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Stack of the thread in bytes.
const STACK_SIZE: usize = 256 * 1024;

/// Writes that are synced together.
pub struct Batch {
    /// By which the state machine knows it.
    pub number: u64,
    /// In the order in which they are applied.
    pub writes: Vec<Write>,
}

/// Hands batches to the disk's thread.
pub struct DiskWriter {
    batches: mpsc::Sender<Batch>,
    queued: Cell<u64>,
    progress: Arc<Progress>,
}

/// What the thread has done so far.
#[derive(Default)]
struct Progress {
    done: AtomicU64,
    failed: AtomicU64,
}

impl DiskWriter {
    /// Starts the thread; `persisted` gets the number of each batch that is synced. Both queues are bounded by what
    /// the chain has under way.
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

    /// Batches queued, done and failed.
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
            "the core's disk failed to write batch {}: {}",
            batch.number,
            error.with_causes()
        );
        thread::sleep(RETRY_DELAY);
    }
}
