//! What a system consists of: machines with their roles and zones.

use std::path::PathBuf;

/// What a system consists of.
#[derive(Clone, Debug)]
pub struct SystemPlan {
    /// The program that plays all roles.
    pub program: PathBuf,
    /// Machines of the first start.
    pub machines: Vec<MachinePlan>,
    /// Heartbeat interval of servers, in milliseconds.
    pub heartbeat_ms: u64,
    /// Machines that may be lost at once.
    pub tolerated_losses: u32,
}

/// What a machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A gateway without a disk.
    Gateway,
    /// A gateway with a disk: a member of the core.
    Core,
    /// Stores replicas of turns.
    Store,
}

impl Role {
    /// The subcommand that plays the role.
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
    /// What the machine does.
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

    /// The machine's name, by its number in the system.
    #[must_use]
    pub fn name(&self, number: usize) -> String {
        let class = match self.role {
            Role::Store => "storage",
            Role::Gateway | Role::Core => "front",
        };
        format!("{class}-{}-{number}", self.zone)
    }
}
