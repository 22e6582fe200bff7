//! The thread that performs a store's disk jobs: syncs block, and a slow disk must not delay requests.

use dunespur_storage::turns::TurnDisk;
use dunespur_turn_replication::ids::JobId;
use dunespur_turn_replication::node::{DiskOutcome, DiskWork};
use std::sync::mpsc;
use std::thread;
use tokio::sync::mpsc::UnboundedSender;

/// Stack size of the thread in bytes.
const STACK_SIZE: usize = 512 * 1024;

/// A job for the disk thread.
pub struct DiskJob {
    /// The id by which the state machine knows the job.
    pub id: JobId,
    /// The work to perform.
    pub work: DiskWork,
}

/// The completion of a disk job.
pub struct DiskCompletion {
    /// Id of the completed job.
    pub id: JobId,
    /// Result of the job.
    pub outcome: DiskOutcome,
}

/// Starts the disk thread, which performs jobs in the order in which they are sent. If the thread can't be started, no
/// job ever completes.
pub fn start(
    disk: TurnDisk,
    completions: UnboundedSender<DiskCompletion>,
) -> mpsc::Sender<DiskJob> {
    let (jobs, queue) = mpsc::channel::<DiskJob>();
    let run = move || {
        while let Ok(DiskJob { id, work }) = queue.recv() {
            let outcome = disk.perform(&work).unwrap_or_else(|error| {
                log::error!("store disk: a job failed: {}", error.with_causes());
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
        log::error!(
            "store disk: starting the thread failed, no turn can be stored or read: {error}"
        );
    }
    jobs
}
