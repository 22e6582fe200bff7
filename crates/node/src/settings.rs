//! The settings file of a process (JSON), named by [`SETTINGS_VARIABLE`]. Unknown fields are ignored: newer
//! platforms add some.

use serde::Deserialize;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// The environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "DUNESPUR_CONFIG";

/// Settings of one process.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The machine's name.
    pub node: String,
    /// The machine's address.
    pub ip: IpAddr,
    pub zone: String,
    #[serde(default)]
    pub listen: Listen,
    /// First and last port for traffic between the processes.
    pub port_range: (u16, u16),
    /// Addresses of `control` of some machines, as the operator's list had them when the file was written.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// True at the first start of the whole system.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the loss of this machine counts against `fault_tolerance`.
    #[serde(default)]
    pub counts_for_quorum: bool,
    #[serde(default)]
    pub limits: ProcessLimits,
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Pause between heartbeats of a server, in milliseconds.
    #[serde(default = "default_heartbeat")]
    pub heartbeat_ms: u64,
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
}

/// Addresses that the process listens on for others than itself.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listen {
    /// Clients.
    pub front: Option<SocketAddr>,
    /// Readiness checks.
    pub ready: Option<SocketAddr>,
    /// Servers and the operator.
    pub control: Option<SocketAddr>,
}

/// What the machine grants the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct ProcessLimits {
    pub memory_mb: u64,
    pub max_fds: u64,
    pub disk_mb: Option<u64>,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        ProcessLimits { memory_mb: 256, max_fds: 1024, disk_mb: None }
    }
}

/// What may be lost at once.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct FaultTolerance {
    pub machines: u32,
}

fn default_heartbeat() -> u64 {
    1000
}

/// Why settings can't be used: all findings, each with its place.
#[derive(Debug)]
pub struct SettingsError {
    pub path: PathBuf,
    pub findings: Vec<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.findings.join("; "))
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads and checks the file.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let fail = |findings| SettingsError { path: path.to_owned(), findings };
        let bytes = std::fs::read(path).map_err(|e| fail(vec![e.to_string()]))?;
        Settings::parse(&bytes).map_err(fail)
    }

    /// Reads settings out of their bytes; says all that can't be used.
    pub fn parse(bytes: &[u8]) -> Result<Settings, Vec<String>> {
        let settings: Settings = serde_json::from_slice(bytes).map_err(|e| vec![e.to_string()])?;
        let findings = settings.findings();
        if findings.is_empty() {
            return Ok(settings);
        }
        Err(findings)
    }

    fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        if self.node.is_empty() {
            findings.push("node: is empty".to_owned());
        }
        if self.port_range.0 > self.port_range.1 {
            findings.push("port_range: the first port is above the last".to_owned());
        }
        if self.heartbeat_ms == 0 {
            findings.push("heartbeat_ms: is 0".to_owned());
        }
        findings
    }

    /// Where this process listens for the others of the system.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port_range.0)
    }

    /// Internal addresses of the seeds: the port is alike on all machines.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<_> =
            self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.port_range.0)).collect();
        addresses.sort();
        addresses.dedup();
        addresses
    }

    /// Whether this process may be a member of the core: it has a disk, and its loss counts.
    pub fn core_disk(&self) -> Option<&Path> {
        self.data_dir.as_deref().filter(|_| self.counts_for_quorum && self.listen.control.is_some())
    }

    /// Machines that have to hold what is acknowledged.
    pub fn copies(&self) -> usize {
        self.fault_tolerance.machines as usize + 1
    }
}
