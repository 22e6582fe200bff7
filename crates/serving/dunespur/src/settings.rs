//! The settings file of a process (JSON), named by [`SETTINGS_VARIABLE`]. Unknown fields are ignored: newer
//! platforms add some. All findings are reported at once, each with its place in the file.

mod fields;
mod read;

use dunespur_configuration::Findings;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::str::FromStr;

/// The environment variable that holds the path of the settings file.
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

impl FromStr for Role {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Role, Self::Err> {
        match text {
            "gateway" => Ok(Role::Gateway),
            "store" => Ok(Role::Store),
            _ => Err("a role is gateway or store"),
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
    pub listen: Listen,
    /// First and last port for traffic between the processes.
    pub port_range: (u16, u16),
    /// Addresses of `control` of some machines, as the operator's list had them when the file was written.
    pub seeds: Vec<SocketAddr>,
    /// True at the first start of the complete system.
    pub bootstrap: bool,
    /// Whether the loss of this machine counts against `fault_tolerance`.
    pub counts_for_quorum: bool,
    pub limits: ProcessLimits,
    pub data_dir: Option<PathBuf>,
    /// Pause between heartbeats of a server, in milliseconds.
    pub heartbeat_ms: u64,
    pub fault_tolerance: FaultTolerance,
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
    pub memory_mb: u64,
    pub max_fds: u64,
    pub disk_mb: Option<u64>,
}

/// What may be lost at once.
#[derive(Clone, Debug, Default)]
pub struct FaultTolerance {
    pub machines: u32,
}

/// Why settings can't be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable {
        path: PathBuf,
        error: std::io::Error,
    },
    /// What stands in it can't be used.
    Unusable { path: PathBuf, findings: Findings },
}

impl fmt::Display for SettingsError {
    /// One line, however many findings there are.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable { path, error } => write!(f, "{}: {error}", path.display()),
            SettingsError::Unusable { path, findings } => {
                let lines: Vec<String> = findings.0.iter().map(ToString::to_string).collect();
                write!(f, "{}: {}", path.display(), lines.join("; "))
            }
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads and checks the file of a process with this role.
    pub fn read(path: &Path, role: Role) -> Result<Settings, SettingsError> {
        let bytes = std::fs::read(path).map_err(|error| SettingsError::Unreadable {
            path: path.to_owned(),
            error,
        })?;
        Settings::parse(&bytes, Some(role)).map_err(|findings| SettingsError::Unusable {
            path: path.to_owned(),
            findings,
        })
    }

    /// Reads settings out of their bytes; says all that can't be used. What one role alone needs is asked for
    /// only where the role is known.
    pub fn parse(bytes: &[u8], role: Option<Role>) -> Result<Settings, Findings> {
        read::settings(bytes, role)
    }

    /// Where this process listens for the others of the system.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port_range.0)
    }

    /// Internal addresses of the seeds: the port is alike on all machines.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<_> = self
            .seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), self.port_range.0))
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

    /// Machines that have to hold what is acknowledged.
    pub fn required_replicas(&self) -> usize {
        self.fault_tolerance.machines as usize + 1
    }
}
