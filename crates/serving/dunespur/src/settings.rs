//! The settings file of a process (JSON), named by [`SETTINGS_VARIABLE`]. Unknown fields are ignored, as newer
//! platforms add fields. All findings are reported at once, each with its place in the file.

mod fields;
mod read;

use dunespur_configuration::Findings;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::str::FromStr;
use thiserror::Error;

/// The environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "DUNESPUR_CONFIG";

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Serves clients; also a member of the core on a machine with a disk that counts for the quorum.
    Gateway,
    /// Stores turns.
    Store,
}

impl Role {
    /// Name of the role, which is also the subcommand that runs it.
    pub fn name(self) -> &'static str {
        match self {
            Role::Gateway => "gateway",
            Role::Store => "store",
        }
    }
}

/// The error for a text that is not the name of a role.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("unknown role: use gateway or store")]
pub struct UnknownRole;

impl FromStr for Role {
    type Err = UnknownRole;

    fn from_str(text: &str) -> Result<Role, UnknownRole> {
        match text {
            "gateway" => Ok(Role::Gateway),
            "store" => Ok(Role::Store),
            _ => Err(UnknownRole),
        }
    }
}

/// Settings of one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The machine's name.
    pub node: String,
    /// The machine's address.
    pub ip: IpAddr,
    /// The machine's zone; empty in a system with a single zone.
    pub zone: String,
    /// Addresses on which the process listens for clients, readiness checks, servers and operators.
    pub listen: Listen,
    /// Ports for traffic between the processes of the system.
    pub port_range: PortRange,
    /// Control addresses of some machines, from the operator's list at the time the file was written.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the complete system.
    pub bootstrap: bool,
    /// Whether the loss of this machine counts against `fault_tolerance`.
    pub counts_for_quorum: bool,
    /// Resources that the machine grants the process.
    pub limits: ProcessLimits,
    /// The data folder; only on a machine with a disk.
    pub data_dir: Option<PathBuf>,
    /// Interval between a server's heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// The losses that the system must tolerate.
    pub fault_tolerance: FaultTolerance,
}

/// A range of ports, including both ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first port.
    pub first: u16,
    /// The last port.
    pub last: u16,
}

/// Addresses on which the process listens for callers outside the system.
#[derive(Clone, Debug, Default)]
pub struct Listen {
    /// Address for clients.
    pub front: Option<SocketAddr>,
    /// Address for readiness checks.
    pub ready: Option<SocketAddr>,
    /// Address for servers and operators.
    pub control: Option<SocketAddr>,
}

/// Resources that the machine grants the process.
#[derive(Clone, Debug)]
pub struct ProcessLimits {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Maximum number of file descriptors.
    pub max_fds: u64,
    /// Disk in megabytes, if stated.
    pub disk_mb: Option<u64>,
}

/// The losses that the system must tolerate.
#[derive(Clone, Debug, Default)]
pub struct FaultTolerance {
    /// Number of machines that may be lost at the same time.
    pub machines: u32,
}

/// The error for unusable settings. Its text is a single line, however many findings there are.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of reading the file.
        source: std::io::Error,
    },
    /// The file has findings.
    #[error("{}: {}", path.display(), join_findings(findings))]
    Unusable {
        /// The file.
        path: PathBuf,
        /// All findings.
        findings: Findings,
    },
}

fn join_findings(findings: &Findings) -> String {
    let findings: Vec<String> = findings.0.iter().map(ToString::to_string).collect();
    findings.join("; ")
}

impl Settings {
    /// Reads and checks the settings file of a process with this role.
    ///
    /// # Errors
    ///
    /// If the file can't be read, or has findings.
    pub fn read(path: &Path, role: Role) -> Result<Settings, SettingsError> {
        let bytes = std::fs::read(path).map_err(|source| SettingsError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        Settings::parse(&bytes, Some(role)).map_err(|findings| SettingsError::Unusable {
            path: path.to_owned(),
            findings,
        })
    }

    /// Parses and checks settings. Fields that only one role requires are checked only if `role` is given.
    ///
    /// # Errors
    ///
    /// All findings.
    pub fn parse(bytes: &[u8], role: Option<Role>) -> Result<Settings, Findings> {
        read::settings(bytes, role)
    }

    /// Address on which this process listens for other processes of the system.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port_range.first)
    }

    /// Internal addresses of the seeds, sorted; the internal port is the same on all machines.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<_> = self
            .seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), self.port_range.first))
            .collect();
        addresses.sort();
        addresses.dedup();
        addresses
    }

    /// The data folder of the core member, if this machine has one: it needs a disk and a control address, and its loss
    /// has to count for the quorum.
    pub fn core_data_dir(&self) -> Option<&Path> {
        self.data_dir
            .as_deref()
            .filter(|_| self.counts_for_quorum && self.listen.control.is_some())
    }

    /// Number of stores that must have a turn on disk before it is acknowledged.
    pub fn required_replicas(&self) -> usize {
        self.fault_tolerance.machines as usize + 1
    }
}
