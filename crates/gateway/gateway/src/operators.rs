//! The operators' file: what is theirs to switch on beside the platform's configuration. Owns its form and
//! its checks. It must never be needed: without it, or without its `fleet` section, nothing of it runs.

use crate::fault::Fault;
use dunespur_gossip_membership::Settings as Members;
use dunespur_peer_transport::Limits;
use dunespur_quota_sharing as quota_sharing;
use dunespur_singleton_roles::{
    audit, discovery_relay, health_check, Role, Settings as RoleSettings, SettingsError,
};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::PathBuf;

/// The variable that names the file.
pub const VARIABLE: &str = "DUNESPUR_OPERATORS";

/// What makes the operators' file unusable, with its remedy. Keys are those of the file.
#[derive(Debug, thiserror::Error)]
pub enum OperatorsError {
    /// The file can't be read.
    #[error(transparent)]
    Read(#[from] std::io::Error),
    /// The text is not of the file's form.
    #[error("line {line}: {message}")]
    Syntax { line: usize, message: String },
    /// The group's settings or the roles.
    #[error(transparent)]
    Roles(#[from] SettingsError),
    #[error(transparent)]
    Watch(#[from] discovery_relay::SettingsError),
    #[error(transparent)]
    Probe(#[from] health_check::SettingsError),
    #[error(transparent)]
    Audit(#[from] audit::SettingsError),
    #[error(transparent)]
    Lend(#[from] quota_sharing::SettingsError),
    #[error(transparent)]
    Members(#[from] dunespur_gossip_membership::SettingsError),
    #[error("{key}: {text} is no IPv4 address with a port; write it like 10.0.0.4:7100")]
    Address { key: &'static str, text: String },
    #[error("fleet.zone: {zone} is not among the zones {}", zones.join(", "))]
    UnknownZone { zone: String, zones: Vec<String> },
    #[error("fleet.disk: {name} is a voter and needs a file on a disk that persists")]
    VoterWithoutDisk { name: String },
    #[error("fleet.listen: {listen}, but the voters' list has {name} at {listed}")]
    ListenAddress {
        listen: SocketAddrV4,
        name: String,
        listed: SocketAddrV4,
    },
    #[error(
        "fleet.links: peers {peers} (no fewer than voters), queue {queue} (1 or more), frame {frame} (4096 or \
         more), dial {dial} and idle {idle} (over 0)"
    )]
    Links {
        peers: usize,
        queue: usize,
        frame: usize,
        dial: f64,
        idle: f64,
    },
    #[error(
        "fleet.lend.wait: {wait} is no less than the counter's time-out of {counter_timeout}; a borrower would \
         never hear of it"
    )]
    LendWait { wait: f64, counter_timeout: f64 },
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    fleet: Option<Fleet>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Voter {
    name: String,
    address: String,
}

/// The `fleet` section as it is written. Times are seconds.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Fleet {
    name: String,
    listen: String,
    #[serde(default)]
    zone: Option<String>,
    #[serde(default)]
    zones: Option<Vec<String>>,
    #[serde(default)]
    machine: Option<String>,
    /// About how many limiters there are.
    #[serde(default = "thirty")]
    size: u32,
    #[serde(rename = "voter")]
    voters: Vec<Voter>,
    /// Where a voter keeps its part of the log.
    #[serde(default)]
    disk: Option<PathBuf>,
    #[serde(default = "two")]
    lease: f64,
    #[serde(default = "half")]
    renew: f64,
    #[serde(default = "hundredth")]
    drift: f64,
    #[serde(default)]
    stall: f64,
    #[serde(default = "tick")]
    tick: f64,
    #[serde(default = "sixty_four")]
    moves: usize,
    #[serde(default = "ten")]
    disk_wait: f64,
    #[serde(default = "duties", rename = "duty")]
    duties: Vec<Role>,
    #[serde(default)]
    members: MembersPart,
    #[serde(default)]
    links: LinksPart,
    #[serde(default)]
    watch: WatchPart,
    #[serde(default)]
    probe: ProbePart,
    #[serde(default)]
    audit: AuditPart,
    #[serde(default)]
    lend: LendPart,
    #[serde(default)]
    trial: Option<Trial>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct MembersPart {
    probe: f64,
    answer: f64,
    suspect: f64,
    gossip: f64,
    again: f64,
    datagram: usize,
}

impl Default for MembersPart {
    fn default() -> Self {
        MembersPart {
            probe: 1.0,
            answer: 0.3,
            suspect: 4.0,
            gossip: 0.2,
            again: 5.0,
            datagram: 1400,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LinksPart {
    peers: usize,
    queue: usize,
    frame: usize,
    dial: f64,
    idle: f64,
}

impl Default for LinksPart {
    fn default() -> Self {
        LinksPart {
            peers: 64,
            queue: 256,
            frame: 1 << 20,
            dial: 0.5,
            idle: 30.0,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct WatchPart {
    beat: f64,
    stale: f64,
    spread: f64,
    trust: f64,
}

impl Default for WatchPart {
    fn default() -> Self {
        WatchPart {
            beat: 0.5,
            stale: 1.6,
            spread: 0.5,
            trust: 5.0,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ProbePart {
    unanswered: u32,
    many: usize,
    window: f64,
    again: f64,
    servers: usize,
}

impl Default for ProbePart {
    fn default() -> Self {
        ProbePart {
            unanswered: 1,
            many: 2,
            window: 5.0,
            again: 2.0,
            servers: 256,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct AuditPart {
    quiet: f64,
    names: usize,
    units: f64,
}

impl Default for AuditPart {
    fn default() -> Self {
        AuditPart {
            quiet: 2.0,
            names: 10_000,
            units: 0.01,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LendPart {
    ahead: f64,
    span: f64,
    wait: f64,
    again: f64,
    pace: f64,
    pause: f64,
    names: usize,
    waiting: usize,
    borrowers: usize,
}

impl Default for LendPart {
    fn default() -> Self {
        let (names, waiting, borrowers) = (20_000, 1024, 1024);
        LendPart {
            ahead: 1.0,
            span: 4.0,
            wait: 0.0,
            again: 3.0,
            pace: 0.25,
            pause: 1.0,
            names,
            waiting,
            borrowers,
        }
    }
}

/// For trials alone: never in service.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Trial {
    /// Where a peer is really reached.
    pub via: BTreeMap<String, String>,
    /// What it holds and accepts, a JSON line each.
    pub history: Option<PathBuf>,
    /// Effects a second for each slot it holds, sent to members and receivers.
    pub effects: f64,
    pub receivers: Vec<SocketAddrV4>,
    /// Added to the wall clock.
    pub wall: f64,
    /// A file that holds how many seconds longer each write to the disk takes, read before each.
    pub slow_disk: Option<PathBuf>,
    /// Plays this version of the talk between limiters; one over ours also sends kinds we don't know.
    pub version: Option<u16>,
}

fn thirty() -> u32 {
    30
}
fn two() -> f64 {
    2.0
}
fn half() -> f64 {
    0.5
}
fn hundredth() -> f64 {
    0.01
}
fn tick() -> f64 {
    0.05
}
fn ten() -> f64 {
    10.0
}
fn sixty_four() -> usize {
    64
}
fn duties() -> Vec<Role> {
    let duty = |name: &str, by_zone| Role {
        name: name.into(),
        shards: 1,
        by_zone,
    };
    vec![
        duty("watch", true),
        duty("probe", false),
        duty("audit", false),
    ]
}

/// What the fleet's part of the process is made from.
pub struct Plan {
    pub listen: SocketAddrV4,
    pub zone: String,
    pub machine: String,
    pub voters: Vec<(String, SocketAddrV4)>,
    pub disk: Option<PathBuf>,
    pub roles: RoleSettings,
    pub members: Members,
    pub bounds: Limits,
    pub watch: discovery_relay::Settings,
    pub probe: health_check::Settings,
    pub audit: audit::Settings,
    pub lend: quota_sharing::Settings,
    pub trial: Trial,
    pub via: BTreeMap<SocketAddrV4, SocketAddrV4>,
}

fn address(key: &'static str, text: &str) -> Result<SocketAddrV4, OperatorsError> {
    text.parse().map_err(|_| OperatorsError::Address {
        key,
        text: text.to_owned(),
    })
}

/// Reads the file's text for the limiter of this name and zone, in a platform with these zones.
pub fn read(
    text: &str,
    name: &str,
    zones: &[String],
    zone: usize,
    counter_timeout: f64,
) -> Result<Option<Plan>, OperatorsError> {
    let Some(fleet) = parse(text)?.fleet else {
        return Ok(None);
    };
    let voters = fleet.voter_addresses()?;
    let zones = fleet.zones.clone().unwrap_or_else(|| zones.to_vec());
    let zone = fleet
        .zone
        .clone()
        .unwrap_or_else(|| zones.get(zone).cloned().unwrap_or_default());
    if !zones.contains(&zone) {
        return Err(OperatorsError::UnknownZone { zone, zones });
    }
    let roles = fleet.role_settings(&voters, zones)?;
    let listen = fleet.listen_address(&voters, name)?;
    let seeds = voters.iter().map(|v| v.1).collect();
    let members = fleet.members.settings(fleet.size, seeds)?;
    let bounds = fleet.links.bounds(voters.len())?;
    let watch = fleet.watch.settings()?;
    let probe = fleet.probe.settings()?;
    let audit = fleet.audit.settings()?;
    let lend = fleet.lend.settings(counter_timeout)?;
    let trial = fleet.trial.unwrap_or_default();
    let via = trial
        .via
        .iter()
        .map(|(a, b)| Ok((address("via", a)?, address("via", b)?)));
    let via = via.collect::<Result<_, OperatorsError>>()?;
    let machine = fleet.machine.unwrap_or_else(|| name.to_owned());
    let disk = fleet.disk;
    Ok(Some(Plan {
        listen,
        zone,
        machine,
        voters,
        disk,
        roles,
        members,
        bounds,
        watch,
        probe,
        audit,
        lend,
        trial,
        via,
    }))
}

fn parse(text: &str) -> Result<File, OperatorsError> {
    toml::from_str(text).map_err(|error| {
        let before = error.span().map(|span| &text[..span.start.min(text.len())]);
        OperatorsError::Syntax {
            line: before.map_or(1, |before| before.matches('\n').count() + 1),
            message: error.message().replace('\n', " "),
        }
    })
}

impl Fleet {
    fn voter_addresses(&self) -> Result<Vec<(String, SocketAddrV4)>, OperatorsError> {
        let voters = self.voters.iter();
        voters
            .map(|v| Ok((v.name.clone(), address("fleet.voter.address", &v.address)?)))
            .collect()
    }

    fn role_settings(
        &self,
        voters: &[(String, SocketAddrV4)],
        zones: Vec<String>,
    ) -> Result<RoleSettings, OperatorsError> {
        let roles = RoleSettings {
            fleet: self.name.clone(),
            voters: voters.iter().map(|v| v.0.clone()).collect(),
            zones,
            roles: self.duties.clone(),
            lease_duration: self.lease,
            clock_drift: self.drift,
            renew_interval: self.renew,
            stall_timeout: self.stall,
            tick_interval: self.tick,
            max_revocations: self.moves,
            disk_check_timeout: self.disk_wait,
        };
        roles.validate()?;
        Ok(roles)
    }

    /// Where it listens; a voter's has to be the address that the voters' list has, and it needs a disk.
    fn listen_address(
        &self,
        voters: &[(String, SocketAddrV4)],
        name: &str,
    ) -> Result<SocketAddrV4, OperatorsError> {
        let listen = address("fleet.listen", &self.listen)?;
        let votes = voters.iter().find(|v| v.0 == name);
        if votes.is_some() && self.disk.is_none() {
            let name = name.to_owned();
            return Err(OperatorsError::VoterWithoutDisk { name });
        }
        if let Some((_, listed)) = votes.filter(|v| v.1 != listen) {
            return Err(OperatorsError::ListenAddress {
                listen,
                name: name.to_owned(),
                listed: *listed,
            });
        }
        Ok(listen)
    }
}

impl MembersPart {
    fn settings(&self, size: u32, seeds: Vec<SocketAddrV4>) -> Result<Members, OperatorsError> {
        let members = Members {
            expected_members: size,
            seeds,
            probe_interval: self.probe,
            probe_timeout: self.answer,
            suspicion_timeout: self.suspect,
            gossip_interval: self.gossip,
            rejoin_interval: self.again,
            max_datagram_bytes: self.datagram,
        };
        members.check()?;
        Ok(members)
    }
}

impl LinksPart {
    fn bounds(&self, voters: usize) -> Result<Limits, OperatorsError> {
        let LinksPart {
            peers,
            queue,
            frame,
            dial,
            idle,
        } = *self;
        if peers < voters || queue == 0 || frame < 4096 || !(dial > 0.0 && idle > 0.0) {
            return Err(OperatorsError::Links {
                peers,
                queue,
                frame,
                dial,
                idle,
            });
        }
        Ok(Limits {
            peers,
            queued_frames: queue,
            frame_bytes: frame,
            connect_timeout_s: dial,
            idle_timeout_s: idle,
        })
    }
}

impl WatchPart {
    fn settings(&self) -> Result<discovery_relay::Settings, OperatorsError> {
        let WatchPart {
            beat,
            stale,
            spread,
            trust,
        } = *self;
        let watch = discovery_relay::Settings {
            heartbeat_interval: beat,
            stale_after: stale,
            reopen_spread: spread,
            max_source_age: trust,
        };
        watch.validate()?;
        Ok(watch)
    }
}

impl ProbePart {
    fn settings(&self) -> Result<health_check::Settings, OperatorsError> {
        let ProbePart {
            unanswered,
            many,
            window,
            again,
            servers,
        } = *self;
        let probe = health_check::Settings {
            failure_threshold: unanswered,
            min_complainants: many,
            complaint_window: window,
            min_interval: again,
            max_servers: servers,
        };
        probe.validate()?;
        Ok(probe)
    }
}

impl AuditPart {
    fn settings(&self) -> Result<audit::Settings, OperatorsError> {
        let AuditPart {
            quiet,
            names,
            units,
        } = *self;
        let audit = audit::Settings {
            quiet_period: quiet,
            max_names: names,
            tolerance: units,
        };
        audit.validate()?;
        Ok(audit)
    }
}

impl LendPart {
    /// `count_wait` is how long the counter's answer is awaited, in seconds.
    fn settings(&self, counter_timeout: f64) -> Result<quota_sharing::Settings, OperatorsError> {
        let lend = quota_sharing::Settings {
            max_lead: self.ahead,
            demand_window: self.span,
            // A borrower has to hear of it before its own time is up.
            counter_timeout: if self.wait > 0.0 {
                self.wait
            } else {
                counter_timeout * 0.7
            },
            reread_interval: self.again,
            near_limit_interval: self.pace,
            broker_backoff: self.pause,
            max_names: self.names,
            max_waiting: self.waiting,
            max_borrowers: self.borrowers,
        };
        lend.validate()?;
        if lend.counter_timeout >= counter_timeout {
            return Err(OperatorsError::LendWait {
                wait: lend.counter_timeout,
                counter_timeout,
            });
        }
        Ok(lend)
    }
}

/// The plan that the environment names; none where it names no file.
pub fn plan(
    name: &str,
    zones: &[String],
    zone: usize,
    counter_timeout: f64,
) -> Result<Option<Plan>, Fault> {
    let Ok(path) = std::env::var(VARIABLE) else {
        return Ok(None);
    };
    let fail = |e: OperatorsError| Fault::Config(format!("{path}: {e}"));
    let text = std::fs::read_to_string(&path).map_err(|e| fail(e.into()))?;
    read(&text, name, zones, zone, counter_timeout).map_err(fail)
}

#[cfg(test)]
mod tests;
