//! What makes a trial unplayable, with its remedy. Keys are those of the trial's file.

use crate::trial::{Fault, Kind, MAX_PROCESSES, MAX_SIMULATED};
use dunespur_singleton_roles::SettingsError;
use std::io;
use std::path::PathBuf;

/// A trial's file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum TrialError {
    /// The text is not of the file's form.
    #[error("{}{message}", line.map_or(String::new(), |line| format!("line {line}: ")))]
    Syntax {
        line: Option<usize>,
        message: String,
    },
    #[error("seconds: {0}; give a length over 0 and up to a day")]
    Length(f64),
    #[error("settle: {0}; give seconds over 0")]
    Settle(f64),
    #[error("fleet.limiters: {limiters}; give 3 to {MAX_SIMULATED}, and no fewer than voters ({voters})")]
    Limiters { limiters: usize, voters: usize },
    #[error("fleet.zones: {0} of them; give one or more, no more than limiters")]
    Zones(usize),
    /// The voters' group or the roles.
    #[error(transparent)]
    Roles(#[from] SettingsError),
    #[error("{key}: {value}; give a share from 0 to under 1")]
    Share { key: String, value: f64 },
    #[error(
        "quota: customers, rate, burst, times, spread, servers and counter are over 0, and \
         no more than a million customers and 10000 servers"
    )]
    Quota,
    #[error("quota.hard_rate: {hard_rate} with hard_burst {hard_burst}; a ceiling stands over the quota, or is 0")]
    QuotaCeiling { hard_rate: f64, hard_burst: f64 },
    #[error("{place}: {problem}")]
    Fault {
        place: FaultPlace,
        problem: FaultError,
    },
}

/// Which fault of a file it is.
#[derive(Clone, Copy, Debug)]
pub struct FaultPlace {
    /// From 1, in the order of the file.
    pub number: usize,
    pub kind: Kind,
    /// Seconds from the trial's start.
    pub at: f64,
}

impl FaultPlace {
    pub fn new(index: usize, fault: &Fault) -> Self {
        FaultPlace {
            number: index + 1,
            kind: fault.kind,
            at: fault.at,
        }
    }
}

impl std::fmt::Display for FaultPlace {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let FaultPlace { number, kind, at } = self;
        write!(f, "fault {number} ({kind:?} at {at})")
    }
}

/// What is wrong with a fault.
#[derive(Debug, thiserror::Error)]
pub enum FaultError {
    #[error("at and for are seconds from 0 up")]
    Times,
    #[error("ends at {end}, which leaves less than settle ({settle}) of {seconds} seconds")]
    EndsLate { end: f64, settle: f64, seconds: f64 },
    #[error("amount: {0}; give a share from 0 to under 1")]
    Share(f64),
    #[error("amount is the version it starts with, from 1 up")]
    Version,
    #[error("amount, every and older are numbers, the last two from 0 up")]
    Numbers,
    #[error(transparent)]
    Target(#[from] TargetError),
}

/// A target can't be understood.
#[derive(Debug, thiserror::Error)]
pub enum TargetError {
    #[error("{target}: no such number; there are {count}, from 0")]
    Number { target: String, count: usize },
    #[error("{target}: there is no duty {role}")]
    Role { target: String, role: String },
    #[error(
        "target {target} is unknown; give limiter:N, holder:DUTY:SHARD, leader, voter:N, voters, zone:NAME, \
         half, all, any"
    )]
    Unknown { target: String },
}

/// A trial can't be played in a world.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    #[error(
        "fault {kind:?} at {at}: only the world of processes plays it without a quota section"
    )]
    NotSimulated { kind: Kind, at: f64 },
    #[error("fault {kind:?} at {at}: only the simulated world plays it")]
    OnlySimulated { kind: Kind, at: f64 },
    #[error("fleet.limiters: {0}; the world of processes starts up to {MAX_PROCESSES}")]
    TooManyProcesses(usize),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Settings(#[from] serde_json::Error),
    #[error(transparent)]
    OperatorsFile(#[from] toml::ser::Error),
    #[error("{}: {source}", program.display())]
    Spawn { program: PathBuf, source: io::Error },
    #[error("{name} did not start: {last_line}")]
    NotReady { name: String, last_line: String },
    #[error("interrupted")]
    Interrupted,
}
