//! Settings of the voters' group and of the singleton roles, as the operators' file gives them.

use crate::{Name, Slot};
use serde::{Deserialize, Serialize};
use std::ops::Range;

/// Most slots over all roles.
pub const MAX_SLOTS: u32 = 65_536;

/// One singleton role, as it stands in the operators' file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Role {
    /// What the role is called in the file and in the log.
    pub name: String,
    /// How many shards it has; with `by_zone` one for each zone, whatever stands here.
    #[serde(default = "one_shard")]
    pub shards: u32,
    /// Shard n belongs to the n-th zone and is held by a limiter of it.
    #[serde(default)]
    pub by_zone: bool,
}

fn one_shard() -> u32 {
    1
}

/// What the operators' file says of the group. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The fleet's name; groups of different fleets never talk to each other.
    pub fleet: String,
    /// The limiters that vote: 3, 5 or 7 names.
    pub voters: Vec<Name>,
    /// Names of the failure domains that limiters run in.
    pub zones: Vec<String>,
    /// The singleton roles, in the order that numbers their slots.
    pub roles: Vec<Role>,
    /// How long a renewal holds, counted by the client from before its request.
    pub lease_duration: f64,
    /// How much faster one machine's clock may run than another's, as a share.
    pub clock_drift: f64,
    /// Time from one renewal to the next.
    pub renew_interval: f64,
    /// An owner that makes no progress for this long releases the slot; 0 watches nobody.
    pub stall_timeout: f64,
    /// The voters' time step; a leader that is not heard for 10 to 20 of them is replaced.
    pub tick_interval: f64,
    /// Most slots that are revoked from living owners in one time step.
    pub max_revocations: usize,
    /// A voter that starts waits this long for so many others that an older disk can't go unseen; then half
    /// of the others will do. Very long where a put-back disk is the greater danger.
    pub disk_check_timeout: f64,
}

/// What makes the settings unusable, with its remedy. Keys are those of the operators' file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A group needs an odd number of voters.
    #[error("fleet.voters: {count} names; give 3, 5 or 7, an odd number over several machines")]
    VoterCount {
        /// How many names the file has.
        count: usize,
    },
    /// A name is in the list of voters more than once.
    #[error("fleet.voters: {name} stands there twice; each voter is another limiter")]
    DuplicateVoter {
        /// The name that is there twice.
        name: Name,
    },
    /// A time is not a positive number.
    #[error("fleet.{key}: {seconds}; give seconds over 0")]
    NotPositive {
        /// The setting's key.
        key: &'static str,
        /// What the file says.
        seconds: f64,
    },
    /// The share by which clocks may drift is out of range.
    #[error("fleet.drift: {ratio}; give a share from 0 to under 0.5")]
    ClockDrift {
        /// What the file says.
        ratio: f64,
    },
    /// The stall timeout is within the lease.
    #[error("fleet.stall: {seconds}; give more than the lease, or 0 for none")]
    StallTimeout {
        /// What the file says.
        seconds: f64,
    },
    /// A lost renewal or two would cost the lease.
    #[error(
        "fleet.lease: {lease} is shorter than three renewals of {renew}; lengthen it or renew more often"
    )]
    LeaseTooShort {
        /// The lease, in seconds.
        lease: f64,
        /// Time between renewals, in seconds.
        renew: f64,
    },
    /// The voters' time step is too coarse for the lease.
    #[error("fleet.lease: {lease} is under two ticks of {tick}")]
    LeaseUnderTwoTicks {
        /// The lease, in seconds.
        lease: f64,
        /// The voters' time step, in seconds.
        tick: f64,
    },
    /// A role has no name or no shard.
    #[error("fleet.duties: a duty needs a name and a shard or more")]
    IncompleteRole,
    /// The roles have more slots than [`MAX_SLOTS`].
    #[error("fleet.duties: {slots} shards in all; the bound is {MAX_SLOTS}")]
    TooManySlots {
        /// Slots over all roles.
        slots: u64,
    },
}

/// The slots of one role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRange {
    /// The slot of its first shard.
    pub first: Slot,
    /// How many shards it has.
    pub count: u32,
}

impl SlotRange {
    /// The first `max` of these slots.
    #[must_use]
    pub fn truncated(self, max: u32) -> Self {
        SlotRange {
            count: self.count.min(max),
            ..self
        }
    }

    /// The slots by number.
    #[must_use]
    pub fn slots(self) -> Range<Slot> {
        self.first..self.first + self.count
    }
}

/// What a slot stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotInfo<'a> {
    /// The role's name; empty for a slot that no role has.
    pub role: &'a str,
    /// The shard within the role.
    pub shard: u32,
    /// The zone that its owner has to be in.
    pub zone: Option<&'a str>,
}

impl Settings {
    /// Checks ranges and how the settings fit together.
    ///
    /// # Errors
    /// The first setting that can't be used.
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

    /// How many slots all roles have together.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.roles.iter().map(|role| self.shards(role)).sum()
    }

    /// The slots of a role, if the file has it.
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

    /// What a slot stands for.
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

    /// How long the granting side waits after the last renewal before it gives a limiter's slots to another,
    /// in seconds: the lease on the client's clock, however far the two clocks drift apart.
    #[must_use]
    pub fn expiry_wait(&self) -> f64 {
        self.lease_duration * (1.0 + self.clock_drift) / (1.0 - self.clock_drift)
    }
}
