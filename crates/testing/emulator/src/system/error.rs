//! Errors of the platform that starts and stops processes.

use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

/// Why a system could not be started, changed or observed.
#[derive(Debug, thiserror::Error)]
pub enum SystemError {
    /// Each block of loopback addresses is in use.
    #[error("no free block of addresses on loopback")]
    NoFreeBlock,
    /// A block has no address left.
    #[error("all addresses of the block are used")]
    BlockExhausted,
    /// A file or folder could not be created, written or removed.
    #[error("{purpose}: {}", path.display())]
    File {
        /// What the file or folder is for.
        purpose: &'static str,
        /// Its path.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The program could not be started.
    #[error("{}", program.display())]
    Spawn {
        /// Path of the program.
        program: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A machine's process runs already.
    #[error("{machine} runs already")]
    RunsAlready {
        /// Name of the machine.
        machine: String,
    },
    /// A machine has no process.
    #[error("no process runs on {machine}")]
    NotRunning {
        /// Name of the machine.
        machine: String,
    },
    /// The command that sends signals could not be run.
    #[error("kill -{signal} {process}")]
    SignalCommand {
        /// Name of the signal.
        signal: &'static str,
        /// Id of the process.
        process: u32,
        /// The cause.
        source: io::Error,
    },
    /// A signal could not be sent.
    #[error("kill -{signal} {process}: {status}")]
    Signal {
        /// Name of the signal.
        signal: &'static str,
        /// Id of the process.
        process: u32,
        /// Exit status of the command.
        status: ExitStatus,
    },
    /// A process has not ended in time.
    #[error("{machine} has not ended after {limit:?}")]
    StillRuns {
        /// Name of the machine.
        machine: String,
        /// The time it had.
        limit: Duration,
    },
    /// A process ended before it was ready.
    #[error("{machine} ended by itself: {status}\n{log}")]
    Ended {
        /// Name of the machine.
        machine: String,
        /// Exit status of the process.
        status: ExitStatus,
        /// End of its log.
        log: String,
    },
    /// A process was not ready in time.
    #[error("{machine} is not ready after {limit:?}\n{log}")]
    NotReady {
        /// Name of the machine.
        machine: String,
        /// The time it had.
        limit: Duration,
        /// End of its log.
        log: String,
    },
}

impl SystemError {
    /// Turns the failure of an operation on a file or folder into an error.
    pub(super) fn file(
        purpose: &'static str,
        path: impl Into<PathBuf>,
    ) -> impl FnOnce(io::Error) -> SystemError {
        let path = path.into();
        move |source| SystemError::File {
            purpose,
            path,
            source,
        }
    }
}
