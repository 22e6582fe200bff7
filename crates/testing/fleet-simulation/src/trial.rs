//! A trial's file, the same for both worlds: the fleet, its duties, the network, and faults with their time,
//! length and target. Reads and checks it; a file that can't be used gets one line that names place and
//! remedy. docs/trials.md is its page.

use crate::error::{FaultError, FaultPlace, TargetError, TrialError};
use dunespur_singleton_roles::{Role, Settings as RoleSettings};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trial {
    pub name: String,
    /// How long it is played, in seconds.
    pub seconds: f64,
    /// After the last fault all must be well within so many seconds.
    #[serde(default = "ten")]
    pub settle: f64,
    #[serde(default)]
    pub fleet: Fleet,
    #[serde(default)]
    pub net: Net,
    #[serde(default)]
    pub load: Load,
    /// Customers with quotas who come too often; without it processes get a light load and the simulated
    /// world serves nobody.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

fn ten() -> f64 {
    10.0
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    pub limiters: usize,
    pub voters: usize,
    pub zones: Vec<String>,
    pub lease: f64,
    pub renew: f64,
    pub drift: f64,
    pub stall: f64,
    pub tick: f64,
    pub duties: Vec<Role>,
    /// How far the clocks of the simulated machines run apart, as a share; under `drift` they keep to it.
    pub skew: f64,
    /// Receivers that are no limiters, as servers and the counter are.
    pub receivers: usize,
}

impl Default for Fleet {
    fn default() -> Self {
        let duty = |name: &str, shards, by_zone| Role {
            name: name.into(),
            shards,
            by_zone,
        };
        Fleet {
            limiters: 5,
            voters: 3,
            zones: vec!["a".into(), "b".into(), "c".into()],
            lease: 2.0,
            renew: 0.5,
            drift: 0.01,
            stall: 0.0,
            tick: 0.05,
            duties: vec![
                duty("watch", 1, true),
                duty("probe", 2, false),
                duty("audit", 2, false),
            ],
            skew: 0.005,
            receivers: 2,
        }
    }
}

/// The network without faults. Seconds and shares.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    pub delay: f64,
    pub jitter: f64,
    pub lose: f64,
    pub fsync: f64,
}

impl Default for Net {
    fn default() -> Self {
        Net {
            delay: 0.0005,
            jitter: 0.001,
            lose: 0.0,
            fsync: 0.003,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Invocations a second over the whole fleet; processes only.
    pub rate: f64,
    /// Effects of each held duty a second.
    pub effects: f64,
    /// False starts the same limiters with no operators' file, to measure what a fleet costs; processes only.
    pub fleet: bool,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            rate: 50.0,
            effects: 10.0,
            fleet: true,
        }
    }
}

/// Units and units a second, of each customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Quota {
    pub customers: usize,
    pub rate: f64,
    pub burst: f64,
    /// A hard ceiling over it; 0 for none.
    pub hard_rate: f64,
    pub hard_burst: f64,
    /// Load, as a multiple of all quotas.
    pub times: f64,
    /// Limiters that each customer comes in by; all, if there are fewer.
    pub spread: usize,
    /// One of them gets twenty-five times what each other one gets.
    pub thin: bool,
    /// Servers, and calls a second that the counter takes; simulated only.
    pub servers: usize,
    pub counter: f64,
}

impl Default for Quota {
    fn default() -> Self {
        Quota {
            customers: 10,
            rate: 10.0,
            burst: 20.0,
            hard_rate: 0.0,
            hard_burst: 0.0,
            times: 3.0,
            spread: 1000,
            thin: false,
            servers: 12,
            counter: 10_000.0,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// SIGKILL; starts again when the fault ends, with what `disk` says.
    Kill,
    /// SIGSTOP, SIGCONT when the fault ends.
    Stall,
    /// SIGTERM; starts again when the fault ends.
    Term,
    /// SIGTERM, then a start with version `amount` of the talk between limiters.
    Upgrade,
    /// A second process of the same name.
    Twin,
    /// No message passes between target and `peer`.
    Cut,
    /// A share `amount` of messages is lost.
    Lose,
    /// Messages take `amount` seconds longer.
    Delay,
    /// Messages overtake each other by up to `amount` seconds.
    Reorder,
    /// Everything comes twice.
    Double,
    /// Open connections stay open and silent, new ones come up and say nothing.
    HalfOpen,
    /// Everything the target does takes `amount` seconds longer.
    Slow,
    /// Each write to the target's disk takes `amount` seconds.
    SlowDisk,
    /// The target's wall clock is stepped by `amount` seconds.
    Clock,
    /// The target gets on with nothing while it holds.
    Idle,
    /// A server (`server:N`) takes everything and answers nothing; simulated with a quota only.
    Hang,
    /// The counter (`counter`) loses all names; simulated with a quota only.
    Forget,
    /// The counter takes everything and answers nothing; simulated with a quota only.
    Silence,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Disk {
    #[default]
    Kept,
    Lost,
    /// As it was `older` seconds before the fault.
    Older,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    #[default]
    Both,
    /// Only what the target sends.
    From,
    /// Only what the target would hear.
    To,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: Kind,
    /// Seconds from the start.
    pub at: f64,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub length: f64,
    /// `limiter:N`, `holder:DUTY:SHARD`, `leader`, `voter:N`, `voters`, `zone:NAME`, `half`, `all`, `any`,
    /// `receivers`, `server:N`, `counter`.
    pub target: String,
    /// The other side of a link; all but the target where it is missing, receivers included.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<String>,
    #[serde(default)]
    pub way: Way,
    #[serde(default)]
    pub amount: f64,
    #[serde(default)]
    pub disk: Disk,
    #[serde(default)]
    pub older: f64,
    /// Again every so many seconds, on for half of each.
    #[serde(default)]
    pub every: f64,
}

impl Fault {
    /// A fault of this kind with nothing else said.
    pub fn new(kind: Kind, at: f64, length: f64, target: &str) -> Self {
        Fault {
            kind,
            at,
            length,
            target: target.to_owned(),
            peer: None,
            way: Way::Both,
            amount: 0.0,
            disk: Disk::Kept,
            older: 0.0,
            every: 0.0,
        }
    }
}

/// A fault that is on, with the limiters that its target and peer named when it began.
pub struct Active {
    /// Which of the trial's faults it is.
    pub n: usize,
    pub from: Vec<usize>,
    pub to: Option<Vec<usize>>,
}

impl Active {
    /// Whether it lies on what one limiter sends to another at this moment.
    pub fn hits(&self, fault: &Fault, from: usize, to: usize, now: f64) -> bool {
        let on = fault.every <= 0.0 || ((now - fault.at) / fault.every).fract() < 0.5;
        let other = |n: usize| {
            self.to
                .as_ref()
                .map_or(!self.from.contains(&n), |to| to.contains(&n))
        };
        let out = self.from.contains(&from) && other(to);
        let back = self.from.contains(&to) && other(from);
        on && match fault.way {
            Way::Both => out || back,
            Way::From => out,
            Way::To => back,
        }
    }
}

/// Stand-ins for servers in the world of processes.
pub const SERVERS: usize = 6;

/// Most limiters in each world.
pub const MAX_SIMULATED: usize = 1_000;
pub const MAX_PROCESSES: usize = 15;

fn check_share(key: &str, value: f64) -> Result<(), TrialError> {
    if (0.0..1.0).contains(&value) {
        return Ok(());
    }
    let key = key.to_owned();
    Err(TrialError::Share { key, value })
}

fn check_quota(quota: &Quota) -> Result<(), TrialError> {
    let amounts = [quota.rate, quota.burst, quota.times, quota.counter];
    let sound = (1..=1_000_000).contains(&quota.customers)
        && amounts.iter().all(|amount| *amount > 0.0 && *amount < 1e9)
        && quota.spread > 0
        && (1..=10_000).contains(&quota.servers);
    if !sound {
        return Err(TrialError::Quota);
    }
    let (hard_rate, hard_burst) = (quota.hard_rate, quota.hard_burst);
    if hard_rate != 0.0 && !(hard_rate > quota.rate && hard_burst >= quota.burst) {
        return Err(TrialError::QuotaCeiling {
            hard_rate,
            hard_burst,
        });
    }
    Ok(())
}

impl Trial {
    /// Reads and checks a trial's file.
    pub fn parse(text: &str) -> Result<Self, TrialError> {
        let trial: Trial = toml::from_str(text).map_err(|error| {
            let before = error.span().map(|s| &text[..s.start.min(text.len())]);
            TrialError::Syntax {
                line: before.map(|before| before.matches('\n').count() + 1),
                message: error.message().replace('\n', " "),
            }
        })?;
        trial.check()?;
        Ok(trial)
    }

    /// Checks ranges, and that each fault's target can be understood.
    pub fn check(&self) -> Result<(), TrialError> {
        self.check_fleet()?;
        check_share("net.lose", self.net.lose)?;
        if let Some(quota) = &self.quota {
            check_quota(quota)?;
        }
        check_share("fleet.skew", self.fleet.skew)?;
        for (index, fault) in self.faults.iter().enumerate() {
            let place = FaultPlace::new(index, fault);
            self.check_fault(fault)
                .map_err(|problem| TrialError::Fault { place, problem })?;
        }
        Ok(())
    }

    fn check_fleet(&self) -> Result<(), TrialError> {
        let fleet = &self.fleet;
        if !(self.seconds > 0.0 && self.seconds <= 86_400.0) {
            return Err(TrialError::Length(self.seconds));
        }
        if self.settle <= 0.0 || self.settle.is_nan() {
            return Err(TrialError::Settle(self.settle));
        }
        let (limiters, voters) = (fleet.limiters, fleet.voters);
        if !(3..=MAX_SIMULATED).contains(&limiters) || voters > limiters {
            return Err(TrialError::Limiters { limiters, voters });
        }
        if fleet.zones.is_empty() || fleet.zones.len() > limiters {
            return Err(TrialError::Zones(fleet.zones.len()));
        }
        self.roles().validate()?;
        Ok(())
    }

    fn check_fault(&self, fault: &Fault) -> Result<(), FaultError> {
        let (at, length) = (fault.at, fault.length);
        if !(at >= 0.0 && length >= 0.0 && at.is_finite() && length.is_finite()) {
            return Err(FaultError::Times);
        }
        let (end, settle, seconds) = (at + length, self.settle, self.seconds);
        if end + settle > seconds {
            return Err(FaultError::EndsLate {
                end,
                settle,
                seconds,
            });
        }
        if fault.kind == Kind::Lose && !(0.0..1.0).contains(&fault.amount) {
            return Err(FaultError::Share(fault.amount));
        }
        if fault.kind == Kind::Upgrade && !(fault.amount >= 1.0 && fault.amount <= 1000.0) {
            return Err(FaultError::Version);
        }
        if !(fault.amount.is_finite() && fault.every >= 0.0 && fault.older >= 0.0) {
            return Err(FaultError::Numbers);
        }
        self.check_target(&fault.target)?;
        if let Some(peer) = &fault.peer {
            self.check_target(peer)?;
        }
        Ok(())
    }

    /// Whether a target can be understood.
    fn check_target(&self, target: &str) -> Result<(), TargetError> {
        let number = |text: &str, count: usize| match text.parse::<usize>() {
            Ok(number) if number < count => Ok(()),
            _ => Err(TargetError::Number {
                target: target.to_owned(),
                count,
            }),
        };
        let parts: Vec<&str> = target.split(':').collect();
        match parts.as_slice() {
            ["leader" | "voters" | "half" | "all" | "any" | "receivers"] => Ok(()),
            ["server", n] => number(n, SERVERS),
            ["counter"] => Ok(()),
            ["limiter", n] => number(n, self.fleet.limiters),
            ["voter", n] => number(n, self.fleet.voters),
            ["zone", z] if self.fleet.zones.iter().any(|k| k == z) => Ok(()),
            ["holder", role, shard] => match self.roles().slots_of(role) {
                Some(range) => number(shard, range.count as usize),
                None => Err(TargetError::Role {
                    target: target.to_owned(),
                    role: (*role).to_owned(),
                }),
            },
            _ => Err(TargetError::Unknown {
                target: target.to_owned(),
            }),
        }
    }

    pub fn limiter(&self, n: usize) -> String {
        format!("n{n}")
    }

    pub fn zone(&self, n: usize) -> usize {
        n % self.fleet.zones.len()
    }

    pub fn roles(&self) -> RoleSettings {
        let f = &self.fleet;
        RoleSettings {
            fleet: "trial".into(),
            voters: (0..f.voters).map(|n| self.limiter(n)).collect(),
            zones: f.zones.clone(),
            roles: f.duties.clone(),
            lease_duration: f.lease,
            clock_drift: f.drift,
            renew_interval: f.renew,
            stall_timeout: f.stall,
            tick_interval: f.tick,
            max_revocations: 64,
            disk_check_timeout: 6.0,
        }
    }

    /// The limiters that a target names whatever happens; none for one that has to be looked up.
    pub fn named(&self, target: &str) -> Option<Vec<usize>> {
        let f = &self.fleet;
        let number = |n: &str| n.parse::<usize>().unwrap_or(0);
        match target.split(':').collect::<Vec<_>>().as_slice() {
            ["limiter" | "voter", n] => Some(vec![number(n)]),
            ["voters"] => Some((0..f.voters).collect()),
            ["zone", z] => Some(
                (0..f.limiters)
                    .filter(|n| f.zones[self.zone(*n)] == *z)
                    .collect(),
            ),
            ["half"] => Some((0..f.limiters / 2).collect()),
            ["all"] => Some((0..f.limiters).collect()),
            _ => None,
        }
    }

    /// When the last fault is over.
    pub fn calm_from(&self) -> f64 {
        self.faults
            .iter()
            .map(|f| f.at + f.length)
            .fold(0.0, f64::max)
    }
}
