//! Errors of starting, signalling and observing processes.

use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

/// Why a system could not be started, changed or observed.
#[derive(Debug, thiserror::Error)]
pub enum SystemError {
    /// No block of loopback addresses could be reserved.
    #[error("no free block of loopback addresses")]
    NoFreeBlock,
    /// All addresses of a block have been given out.
    #[error("all addresses of the system's block of loopback addresses are used")]
    BlockExhausted,
    /// A file or folder could not be created, written or removed.
    #[error("could not create, write or remove {purpose}: {}", path.display())]
    File {
        /// What the file or folder is for.
        purpose: &'static str,
        /// Path of the file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The program could not be started.
    #[error("could not start the program {}", program.display())]
    Spawn {
        /// Path of the program.
        program: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A machine's process was to be started while it runs.
    #[error("{machine}: its process is already running")]
    RunsAlready {
        /// Name of the machine.
        machine: String,
    },
    /// A machine's process was needed, but none runs.
    #[error("{machine}: no process is running")]
    NotRunning {
        /// Name of the machine.
        machine: String,
    },
    /// The `kill` command could not be run.
    #[error("could not run kill -{signal} {process}")]
    KillNotRun {
        /// Name of the signal.
        signal: &'static str,
        /// Id of the process.
        process: u32,
        /// The cause.
        source: io::Error,
    },
    /// The `kill` command ended with an error status.
    #[error("kill -{signal} {process} failed: {status}")]
    KillFailed {
        /// Name of the signal.
        signal: &'static str,
        /// Id of the process.
        process: u32,
        /// Exit status of the command.
        status: ExitStatus,
    },
    /// A process did not end in time.
    #[error("{machine}: its process has not ended within {limit:?}")]
    StillRuns {
        /// Name of the machine.
        machine: String,
        /// Time limit that has passed.
        limit: Duration,
    },
    /// A process ended before it was ready.
    #[error("{machine}: its process ended before it was ready: {status}\n{log}")]
    EndedBeforeReady {
        /// Name of the machine.
        machine: String,
        /// Exit status of the process.
        status: ExitStatus,
        /// Last part of the process's log.
        log: String,
    },
    /// A process was not ready in time.
    #[error("{machine}: not ready within {limit:?}\n{log}")]
    NotReady {
        /// Name of the machine.
        machine: String,
        /// Time limit that has passed.
        limit: Duration,
        /// Last part of the process's log.
        log: String,
    },
}

impl SystemError {
    /// Returns a function that wraps the I/O error of an operation on the file or folder at `path`.
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
