//! One machine: its address, its files and its process.

use super::error::SystemError;
use super::plan::MachinePlan;
use std::fs::File;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Interval at which the end of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of bytes at the end of a log that errors show.
const LOG_TAIL_BYTES: usize = 4_000;
/// Unit of processor time in /proc: hundredths of a second.
const TICK_MS: u64 = 10;
/// Index of the user time among the fields after the program's name in /proc/PID/stat.
const USER_TIME_FIELD: usize = 11;
/// Index of the system time among the same fields.
const SYSTEM_TIME_FIELD: usize = 12;

/// Resources that a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time, in milliseconds.
    pub processor_ms: u64,
    /// Peak resident memory, in kibibytes.
    pub peak_memory_kb: u64,
    /// Number of voluntary context switches: how often the main thread went to sleep and was woken.
    pub wake_ups: u64,
}

impl Usage {
    /// The usage of two processes of a machine, of which `later` started after the first one ended.
    #[must_use]
    pub fn and(self, later: Usage) -> Usage {
        Usage {
            processor_ms: self.processor_ms + later.processor_ms,
            peak_memory_kb: self.peak_memory_kb.max(later.peak_memory_kb),
            wake_ups: self.wake_ups + later.wake_ups,
        }
    }

    /// The usage since `earlier`; the peak memory is that of the whole time.
    #[must_use]
    pub fn since(self, earlier: Usage) -> Usage {
        Usage {
            processor_ms: self.processor_ms.saturating_sub(earlier.processor_ms),
            peak_memory_kb: self.peak_memory_kb,
            wake_ups: self.wake_ups.saturating_sub(earlier.wake_ups),
        }
    }
}

/// A machine, whether or not its process is running. Dropping this kills the process.
#[derive(Debug)]
pub struct Machine {
    plan: MachinePlan,
    name: String,
    ip: IpAddr,
    folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    starts: u32,
    /// Whether the present process has been sent SIGKILL.
    kill_sent: bool,
    /// Usage of earlier processes that were killed.
    used_before: Usage,
}

impl Machine {
    pub(super) fn new(
        plan: MachinePlan,
        number: usize,
        ip: IpAddr,
        folder: PathBuf,
        program: PathBuf,
    ) -> Result<Machine, SystemError> {
        let name = plan.name(number);
        let machine = Machine {
            plan,
            name,
            ip,
            folder,
            program,
            child: None,
            starts: 0,
            kill_sent: false,
            used_before: Usage::default(),
        };
        std::fs::create_dir_all(machine.data_folder())
            .map_err(SystemError::file("a data folder", machine.data_folder()))?;
        Ok(machine)
    }

    /// The machine's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The machine's address.
    #[must_use]
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// The machine's role and zone.
    #[must_use]
    pub fn plan(&self) -> &MachinePlan {
        &self.plan
    }

    /// Path of the process's settings file.
    #[must_use]
    pub fn settings_path(&self) -> PathBuf {
        self.folder.join("node.json")
    }

    /// Path of the folder that serves as the machine's disk.
    #[must_use]
    pub fn data_folder(&self) -> PathBuf {
        self.folder.join("data")
    }

    /// Sets the program that the machine runs from its next start on.
    pub fn set_program(&mut self, program: PathBuf) {
        self.program = program;
    }

    /// Whether a process was started and has not been seen to end.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// The exit status of the process, if it has ended by itself since the last call.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.child = None;
        Some(status)
    }

    /// Sends SIGTERM, on which the process shuts down gracefully.
    ///
    /// # Errors
    ///
    /// Fails where no process runs.
    pub fn terminate(&mut self) -> Result<(), SystemError> {
        self.signal("TERM")
    }

    /// Sends SIGHUP, on which the process reads its settings again.
    ///
    /// # Errors
    ///
    /// Fails where no process runs.
    pub fn hang_up(&mut self) -> Result<(), SystemError> {
        self.signal("HUP")
    }

    /// Freezes the process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Fails where no process runs.
    pub fn freeze(&mut self) -> Result<(), SystemError> {
        self.signal("STOP")
    }

    /// Resumes a frozen process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Fails where no process runs.
    pub fn thaw(&mut self) -> Result<(), SystemError> {
        self.signal("CONT")
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.send_kill();
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Waits up to `limit` for the process to end by itself.
    ///
    /// # Errors
    ///
    /// Fails where no process runs or it has not ended within `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, SystemError> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.ended() {
                return Ok(status);
            }
            if self.child.is_none() {
                return Err(self.not_running());
            }
            if Instant::now() >= deadline {
                return Err(SystemError::StillRuns {
                    machine: self.name.clone(),
                    limit,
                });
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Resources used by the machine's processes so far; the usage of processes that ended by themselves is not known.
    #[must_use]
    pub fn usage(&self) -> Usage {
        let current = self
            .child
            .as_ref()
            .filter(|_| !self.kill_sent)
            .and_then(|child| usage_of(child.id()));
        self.used_before.and(current.unwrap_or_default())
    }

    /// Number of times that a process was started on this machine.
    #[must_use]
    pub fn starts(&self) -> u32 {
        self.starts
    }

    /// The last part of the log of the machine's processes.
    #[must_use]
    pub fn log_tail(&self) -> String {
        let bytes = std::fs::read(self.log_path()).unwrap_or_default();
        let start = bytes.len().saturating_sub(LOG_TAIL_BYTES);
        String::from_utf8_lossy(&bytes[start..]).into_owned()
    }

    /// The complete log of this machine's processes.
    #[must_use]
    pub fn log(&self) -> String {
        let bytes = std::fs::read(self.log_path()).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    pub(super) fn start(&mut self) -> Result<(), SystemError> {
        if self.child.is_some() {
            return Err(SystemError::RunsAlready {
                machine: self.name.clone(),
            });
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path())
            .map_err(SystemError::file("a log file", self.log_path()))?;
        let child = Command::new(&self.program)
            .arg(self.plan.role.command())
            .env_clear()
            .env("DUNESPUR_CONFIG", self.settings_path())
            .stdin(Stdio::null())
            .stdout(
                log.try_clone()
                    .map_err(SystemError::file("a log file", self.log_path()))?,
            )
            .stderr(log)
            .current_dir(&self.folder)
            .spawn()
            .map_err(|source| SystemError::Spawn {
                program: self.program.clone(),
                source,
            })?;
        self.child = Some(child);
        self.kill_sent = false;
        self.starts += 1;
        Ok(())
    }

    pub(super) fn send_kill(&mut self) {
        self.used_before = self.usage();
        self.kill_sent = true;
        if let Some(child) = &mut self.child {
            let _ = child.kill();
        }
    }

    /// Empties the disk of a machine whose process is not running.
    ///
    /// # Errors
    ///
    /// Fails where the folder could not be removed or created anew.
    pub fn wipe(&self) -> Result<(), SystemError> {
        std::fs::remove_dir_all(self.data_folder()).map_err(SystemError::file(
            "the contents of a data folder",
            self.data_folder(),
        ))?;
        std::fs::create_dir_all(self.data_folder()).map_err(SystemError::file(
            "an empty data folder",
            self.data_folder(),
        ))
    }

    fn log_path(&self) -> PathBuf {
        Path::new(&self.folder).join("log")
    }

    fn not_running(&self) -> SystemError {
        SystemError::NotRunning {
            machine: self.name.clone(),
        }
    }

    fn signal(&mut self, signal: &'static str) -> Result<(), SystemError> {
        let process = self.child.as_ref().ok_or_else(|| self.not_running())?.id();
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(process.to_string())
            .status()
            .map_err(|source| SystemError::KillNotRun {
                signal,
                process,
                source,
            })?;
        if status.success() {
            return Ok(());
        }
        Err(SystemError::KillFailed {
            signal,
            process,
            status,
        })
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

fn usage_of(process: u32) -> Option<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field).and_then(|text| text.parse::<u64>().ok());
    let processor_ms = (ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?) * TICK_MS;
    let number_after = |name: &str| {
        let value = status.lines().find_map(|line| line.strip_prefix(name))?;
        value
            .trim()
            .trim_end_matches(" kB")
            .trim()
            .parse::<u64>()
            .ok()
    };
    let peak_memory_kb = number_after("VmHWM:")?;
    let wake_ups = number_after("voluntary_ctxt_switches:")?;
    Some(Usage {
        processor_ms,
        peak_memory_kb,
        wake_ups,
    })
}
