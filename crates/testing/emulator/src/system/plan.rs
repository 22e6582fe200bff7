//! Plan of a system: its machines with their roles and zones.

use std::path::PathBuf;

/// Machines and settings of a system.
#[derive(Clone, Debug)]
pub struct SystemPlan {
    /// Path of the program, which has a subcommand for each role.
    pub program: PathBuf,
    /// Machines that are started with the system.
    pub machines: Vec<MachinePlan>,
    /// Heartbeat interval of servers, in milliseconds.
    pub heartbeat_ms: u64,
    /// Number of machines that may be lost at once.
    pub tolerated_losses: u32,
}

/// Role of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A gateway without a disk.
    Gateway,
    /// A gateway that has a disk and is a member of the core, the group of gateways that replicates the control state.
    Core,
    /// A store, which holds replicas of turns (see the crate `dunespur_turn_replication`).
    Store,
}

impl Role {
    /// The program's subcommand for the role.
    #[must_use]
    pub fn command(self) -> &'static str {
        match self {
            Role::Gateway | Role::Core => "gateway",
            Role::Store => "store",
        }
    }
}

/// A machine to be started.
#[derive(Clone, Debug)]
pub struct MachinePlan {
    /// Role of the machine.
    pub role: Role,
    /// Failure domain.
    pub zone: String,
}

impl MachinePlan {
    /// A machine with this role in this zone.
    #[must_use]
    pub fn new(role: Role, zone: &str) -> MachinePlan {
        MachinePlan {
            role,
            zone: zone.to_owned(),
        }
    }

    /// The name of the machine with this number in the system.
    #[must_use]
    pub fn name(&self, number: usize) -> String {
        let class = match self.role {
            Role::Store => "storage",
            Role::Gateway | Role::Core => "front",
        };
        format!("{class}-{}-{number}", self.zone)
    }
}
