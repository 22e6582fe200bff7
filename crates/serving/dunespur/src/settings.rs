//! The settings file of a process (JSON), named by [`SETTINGS_VARIABLE`]. Unknown fields are ignored: newer
//! platforms add some. All findings are reported at once, each with its place in the file.

mod fields;
mod read;

use dunespur_configuration::Findings;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::str::FromStr;
use thiserror::Error;

/// The environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "DUNESPUR_CONFIG";

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Carries the traffic; a member of the core where it has a disk that counts.
    Gateway,
    /// Keeps turns.
    Store,
}

impl Role {
    /// Its name, which is the subcommand that plays it.
    pub fn name(self) -> &'static str {
        match self {
            Role::Gateway => "gateway",
            Role::Store => "store",
        }
    }
}

/// A text that names no role.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a role is gateway or store")]
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
    /// Where it stands; empty in a system of one place.
    pub zone: String,
    /// Where it listens for others than itself.
    pub listen: Listen,
    /// First and last port for traffic between the processes.
    pub port_range: PortRange,
    /// Addresses of `control` of some machines, as the operator's list had them when the file was written.
    pub seeds: Vec<SocketAddr>,
    /// True at the first start of the complete system.
    pub bootstrap: bool,
    /// Whether the loss of this machine counts against `fault_tolerance`.
    pub counts_for_quorum: bool,
    /// What the machine grants it.
    pub limits: ProcessLimits,
    /// The folder of its files, on a machine with a disk.
    pub data_dir: Option<PathBuf>,
    /// Interval between heartbeats of a server, in milliseconds.
    pub heartbeat_ms: u64,
    /// What may be lost at once.
    pub fault_tolerance: FaultTolerance,
}

/// Ports, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first one.
    pub first: u16,
    /// The last one.
    pub last: u16,
}

/// Addresses that the process listens on for others than itself.
#[derive(Clone, Debug, Default)]
pub struct Listen {
    /// Clients.
    pub front: Option<SocketAddr>,
    /// Readiness checks.
    pub ready: Option<SocketAddr>,
    /// Servers and the operator.
    pub control: Option<SocketAddr>,
}

/// What the machine grants the process.
#[derive(Clone, Debug)]
pub struct ProcessLimits {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Descriptors.
    pub max_fds: u64,
    /// Disk in megabytes, where it is stated.
    pub disk_mb: Option<u64>,
}

/// What may be lost at once.
#[derive(Clone, Debug, Default)]
pub struct FaultTolerance {
    /// Machines.
    pub machines: u32,
}

/// Why settings can't be used. One line, however many findings there are.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What reading it came to.
        source: std::io::Error,
    },
    /// What stands in it can't be used.
    #[error("{}: {}", path.display(), one_line(findings))]
    Unusable {
        /// The file.
        path: PathBuf,
        /// All that can't be used.
        findings: Findings,
    },
}

fn one_line(findings: &Findings) -> String {
    let findings: Vec<String> = findings.0.iter().map(ToString::to_string).collect();
    findings.join("; ")
}

impl Settings {
    /// Reads and checks the file of a process with this role.
    ///
    /// # Errors
    ///
    /// If the file can't be read, or anything in it can't be used.
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

    /// Reads settings out of their bytes. What one role alone needs is checked only where the role is known.
    ///
    /// # Errors
    ///
    /// All that can't be used.
    pub fn parse(bytes: &[u8], role: Option<Role>) -> Result<Settings, Findings> {
        read::settings(bytes, role)
    }

    /// Where this process listens for the others of the system.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port_range.first)
    }

    /// Internal addresses of the seeds: the port is alike on all machines.
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

    /// Whether this process may be a member of the core: it has a disk, and its loss counts.
    pub fn core_disk(&self) -> Option<&Path> {
        self.data_dir
            .as_deref()
            .filter(|_| self.counts_for_quorum && self.listen.control.is_some())
    }

    /// Machines that have to store what is acknowledged.
    pub fn required_replicas(&self) -> usize {
        self.fault_tolerance.machines as usize + 1
    }
}
