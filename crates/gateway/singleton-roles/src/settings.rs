//! Settings of the voter group and the singleton roles, from the operators' file.

use crate::{Name, Slot};
use serde::{Deserialize, Serialize};
use std::ops::Range;

/// Maximum number of slots over all roles.
pub const MAX_SLOTS: u32 = 65_536;

/// One singleton role in the operators' file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Role {
    /// The role's name in the file and in logs.
    pub name: String,
    /// Number of shards; ignored with `by_zone`, which gives one shard per zone.
    #[serde(default = "one_shard")]
    pub shards: u32,
    /// Shard n belongs to the n-th zone and is held by a limiter of that zone.
    #[serde(default)]
    pub by_zone: bool,
}

fn one_shard() -> u32 {
    1
}

/// Settings of the voter group and the roles. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The fleet's name; voter groups of different fleets ignore each other's messages.
    pub fleet: String,
    /// Names of the limiters that vote: 3, 5 or 7.
    pub voters: Vec<Name>,
    /// Names of the failure domains that limiters run in.
    pub zones: Vec<String>,
    /// The singleton roles; their order determines the slot numbers.
    pub roles: Vec<Role>,
    /// How long a renewed lease is valid, counted by the client from before its request.
    pub lease_duration: f64,
    /// How much faster one machine's clock may run than another's, as a fraction.
    pub clock_drift: f64,
    /// Time from one renewal to the next.
    pub renew_interval: f64,
    /// Time without progress after which an owner releases a slot; 0 disables this.
    pub stall_timeout: f64,
    /// The voters' time step; a leader that is silent for 10 to 20 ticks is replaced.
    pub tick_interval: f64,
    /// Maximum number of slots that are being revoked from live owners at a time.
    pub max_revocations: usize,
    /// How long a starting voter waits for enough other voters to confirm that its disk is not an older copy;
    /// after that, half of the other voters suffice. Use a very long time where a restored older disk
    /// is the greater danger.
    pub disk_check_timeout: f64,
}

/// An invalid setting, with its remedy. Keys are those of the operators' file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The number of voters is not 3, 5 or 7.
    #[error("fleet.voters: {count} names; list 3, 5 or 7 limiters on different machines")]
    VoterCount {
        /// Number of names in the file.
        count: usize,
    },
    /// A name is listed as a voter more than once.
    #[error("fleet.voters: {name} is listed twice; list each voter once")]
    DuplicateVoter {
        /// The name that is listed twice.
        name: Name,
    },
    /// A time is not a positive, finite number of seconds.
    #[error("fleet.{key}: {seconds}; give a finite number of seconds over 0")]
    NotPositive {
        /// The setting's key.
        key: &'static str,
        /// The value in the file.
        seconds: f64,
    },
    /// The clock drift is out of range.
    #[error("fleet.drift: {ratio}; give a share from 0 to under 0.5")]
    ClockDrift {
        /// The value in the file.
        ratio: f64,
    },
    /// The stall timeout is not longer than the lease.
    #[error("fleet.stall: {seconds}; give more seconds than fleet.lease, or 0 to disable it")]
    StallTimeout {
        /// The value in the file.
        seconds: f64,
    },
    /// The lease would be lost after one or two lost renewals.
    #[error(
        "fleet.lease: {lease} s is shorter than three renewals of {renew} s; increase fleet.lease \
         or reduce fleet.renew"
    )]
    LeaseTooShort {
        /// The lease, in seconds.
        lease: f64,
        /// The time between renewals, in seconds.
        renew: f64,
    },
    /// The lease is shorter than two of the voters' time steps.
    #[error(
        "fleet.lease: {lease} s is shorter than two ticks of {tick} s; increase fleet.lease or \
         reduce fleet.tick"
    )]
    LeaseUnderTwoTicks {
        /// The lease, in seconds.
        lease: f64,
        /// The voters' time step, in seconds.
        tick: f64,
    },
    /// A role has no name or no shards.
    #[error("fleet.duties: a role lacks a name or shards; give it a name and at least 1 shard")]
    IncompleteRole,
    /// The roles have more slots than [`MAX_SLOTS`].
    #[error("fleet.duties: {slots} shards over all roles; give at most {MAX_SLOTS}")]
    TooManySlots {
        /// Number of slots over all roles.
        slots: u64,
    },
}

/// The slots of one role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRange {
    /// The slot of the role's first shard.
    pub first: Slot,
    /// Number of shards of the role.
    pub count: u32,
}

impl SlotRange {
    /// The first `max` slots of the range.
    #[must_use]
    pub fn truncated(self, max: u32) -> Self {
        SlotRange {
            count: self.count.min(max),
            ..self
        }
    }

    /// The slot numbers of the range.
    #[must_use]
    pub fn slots(self) -> Range<Slot> {
        self.first..self.first + self.count
    }
}

/// The role and shard of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotInfo<'a> {
    /// The role's name; empty if no role has this slot.
    pub role: &'a str,
    /// The shard within the role.
    pub shard: u32,
    /// The zone that the slot's owner must be in, if the slot is bound to one.
    pub zone: Option<&'a str>,
}

impl Settings {
    /// Checks the ranges of the settings and their relations.
    ///
    /// # Errors
    /// The first invalid setting.
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.validate_voters()?;
        self.validate_times()?;
        self.validate_roles()
    }

    fn validate_voters(&self) -> Result<(), SettingsError> {
        let count = self.voters.len();
        if !matches!(count, 3 | 5 | 7) {
            return Err(SettingsError::VoterCount { count });
        }
        for (i, name) in self.voters.iter().enumerate() {
            if self.voters[..i].contains(name) {
                let name = name.clone();
                return Err(SettingsError::DuplicateVoter { name });
            }
        }
        Ok(())
    }

    fn validate_times(&self) -> Result<(), SettingsError> {
        let (lease, renew, tick) = (self.lease_duration, self.renew_interval, self.tick_interval);
        let positive = [
            ("lease", lease),
            ("renew", renew),
            ("tick", tick),
            ("disk_wait", self.disk_check_timeout),
        ];
        for (key, seconds) in positive {
            if !(seconds > 0.0 && seconds.is_finite()) {
                return Err(SettingsError::NotPositive { key, seconds });
            }
        }
        let ratio = self.clock_drift;
        if !(0.0..0.5).contains(&ratio) {
            return Err(SettingsError::ClockDrift { ratio });
        }
        let seconds = self.stall_timeout;
        if seconds != 0.0 && (seconds <= lease || seconds.is_nan()) {
            return Err(SettingsError::StallTimeout { seconds });
        }
        if lease < 3.0 * renew {
            return Err(SettingsError::LeaseTooShort { lease, renew });
        }
        if lease < 2.0 * tick {
            return Err(SettingsError::LeaseUnderTwoTicks { lease, tick });
        }
        Ok(())
    }

    fn validate_roles(&self) -> Result<(), SettingsError> {
        let incomplete = |role: &Role| role.shards == 0 || role.name.is_empty();
        if self.roles.iter().any(incomplete) {
            return Err(SettingsError::IncompleteRole);
        }
        let slots: u64 = self
            .roles
            .iter()
            .map(|role| u64::from(self.shards(role)))
            .sum();
        if slots > u64::from(MAX_SLOTS) {
            return Err(SettingsError::TooManySlots { slots });
        }
        Ok(())
    }

    fn shards(&self, role: &Role) -> u32 {
        if role.by_zone {
            self.zones.len() as u32
        } else {
            role.shards
        }
    }

    /// Number of slots over all roles.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.roles.iter().map(|role| self.shards(role)).sum()
    }

    /// The slots of a role, if the role is configured.
    #[must_use]
    pub fn slots_of(&self, role: &str) -> Option<SlotRange> {
        let mut first = 0;
        for other in &self.roles {
            let count = self.shards(other);
            if other.name == role {
                return Some(SlotRange { first, count });
            }
            first += count;
        }
        None
    }

    /// The role and shard of a slot.
    #[must_use]
    pub fn slot_info(&self, slot: Slot) -> SlotInfo<'_> {
        let mut first = 0;
        for role in &self.roles {
            let count = self.shards(role);
            if slot < first + count {
                let shard = slot - first;
                let zone = role.by_zone.then(|| self.zones[shard as usize].as_str());
                return SlotInfo {
                    role: &role.name,
                    shard,
                    zone,
                };
            }
            first += count;
        }
        SlotInfo {
            role: "",
            shard: slot,
            zone: None,
        }
    }

    /// Seconds that the granter waits after a limiter's last renewal before it expires the session: long enough
    /// for the lease to end on the client's clock too, at the largest clock drift.
    #[must_use]
    pub fn expiry_wait(&self) -> f64 {
        self.lease_duration * (1.0 + self.clock_drift) / (1.0 - self.clock_drift)
    }
}
