//! The thread that works on a store's disk: syncs block, and a slow disk must not delay requests.

use dunespur_storage::turns::TurnDisk;
use dunespur_turn_replication::ids::JobId;
use dunespur_turn_replication::node::{DiskOutcome, DiskWork};
use std::sync::mpsc;
use std::thread;
use tokio::sync::mpsc::UnboundedSender;

/// Stack of the thread in bytes.
const STACK_SIZE: usize = 512 * 1024;

/// Work for the disk, under the number by which the state machine knows it.
pub struct DiskJob {
    /// The number.
    pub id: JobId,
    /// What is to be done.
    pub work: DiskWork,
}

/// How a job ended.
pub struct DiskCompletion {
    /// The job's number.
    pub id: JobId,
    /// Its result.
    pub outcome: DiskOutcome,
}

/// Starts the thread; jobs are done in the order in which they are sent. Without a thread no job completes.
pub fn start(
    disk: TurnDisk,
    completions: UnboundedSender<DiskCompletion>,
) -> mpsc::Sender<DiskJob> {
    let (jobs, queue) = mpsc::channel::<DiskJob>();
    let run = move || {
        while let Ok(DiskJob { id, work }) = queue.recv() {
            let outcome = disk.perform(&work).unwrap_or_else(|error| {
                log::error!("the disk failed a job: {}", error.with_causes());
                DiskOutcome::Failed
            });
            if completions.send(DiskCompletion { id, outcome }).is_err() {
                return;
            }
        }
    };
    let thread = thread::Builder::new()
        .name("turns".to_owned())
        .stack_size(STACK_SIZE);
    if let Err(error) = thread.spawn(run) {
        log::error!("no thread for the disk: {error}");
    }
    jobs
}
