//! Reads and validates the operators' file, which configures the fleet beside the platform's configuration. The file
//! is optional: without it, or without its `fleet` section, this process is not part of a fleet.

use crate::error::GatewayError;
use dunespur_gossip_membership::Settings as MembershipSettings;
use dunespur_peer_transport::Limits;
use dunespur_quota_sharing as quota_sharing;
use dunespur_singleton_roles::{
    audit, discovery_relay, health_check, Role, Settings as RoleSettings, SettingsError,
};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::PathBuf;

/// Environment variable that holds the path of the file.
pub const PATH_VARIABLE: &str = "DUNESPUR_OPERATORS";

/// Reasons why the operators' file is rejected, with the remedy where it is not obvious. Keys are those of the file.
#[derive(Debug, thiserror::Error)]
pub enum OperatorsFileError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] std::io::Error),
    /// The text is not valid TOML or does not match the expected structure.
    #[error("line {line}: {message}")]
    Syntax { line: usize, message: String },
    /// The settings of the fleet or its roles are invalid.
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
    #[error("{key}: {text} is not an IPv4 address with a port; write it like 10.0.0.4:7100")]
    Address { key: &'static str, text: String },
    #[error("fleet.zone: {zone} is not among the zones {}", zones.join(", "))]
    UnknownZone { zone: String, zones: Vec<String> },
    #[error("fleet.disk: {name} is a voter and needs a file on a persistent disk")]
    VoterWithoutDisk { name: String },
    #[error("fleet.listen: {listen} differs from the address {listed} of {name} in the voters' list; use the same address in both")]
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
        "fleet.lend.wait: {wait} must be less than the counter's timeout of {counter_timeout}; otherwise the borrower \
         gives up before it gets an answer"
    )]
    LendWait { wait: f64, counter_timeout: f64 },
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorsFile {
    fleet: Option<FleetSection>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct VoterEntry {
    name: String,
    address: String,
}

/// The `fleet` section as written in the file. Times are in seconds.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetSection {
    name: String,
    listen: String,
    #[serde(default)]
    zone: Option<String>,
    #[serde(default)]
    zones: Option<Vec<String>>,
    #[serde(default)]
    machine: Option<String>,
    /// Approximate number of limiters in the fleet.
    #[serde(default = "default_size")]
    size: u32,
    #[serde(rename = "voter")]
    voters: Vec<VoterEntry>,
    /// File in which a voter stores its log.
    #[serde(default)]
    disk: Option<PathBuf>,
    #[serde(default = "default_lease")]
    lease: f64,
    #[serde(default = "default_renew")]
    renew: f64,
    #[serde(default = "default_drift")]
    drift: f64,
    #[serde(default)]
    stall: f64,
    #[serde(default = "default_tick")]
    tick: f64,
    #[serde(default = "default_moves")]
    moves: usize,
    #[serde(default = "default_disk_wait")]
    disk_wait: f64,
    #[serde(default = "default_duties", rename = "duty")]
    duties: Vec<Role>,
    #[serde(default)]
    members: MembersSection,
    #[serde(default)]
    links: LinksSection,
    #[serde(default)]
    watch: WatchSection,
    #[serde(default)]
    probe: ProbeSection,
    #[serde(default)]
    audit: AuditSection,
    #[serde(default)]
    lend: LendSection,
    #[serde(default)]
    trial: Option<Trial>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct MembersSection {
    probe: f64,
    answer: f64,
    suspect: f64,
    gossip: f64,
    again: f64,
    datagram: usize,
}

impl Default for MembersSection {
    fn default() -> Self {
        MembersSection {
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
struct LinksSection {
    peers: usize,
    queue: usize,
    frame: usize,
    dial: f64,
    idle: f64,
}

impl Default for LinksSection {
    fn default() -> Self {
        LinksSection {
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
struct WatchSection {
    beat: f64,
    stale: f64,
    spread: f64,
    trust: f64,
}

impl Default for WatchSection {
    fn default() -> Self {
        WatchSection {
            beat: 0.5,
            stale: 1.6,
            spread: 0.5,
            trust: 5.0,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ProbeSection {
    unanswered: u32,
    many: usize,
    window: f64,
    again: f64,
    servers: usize,
}

impl Default for ProbeSection {
    fn default() -> Self {
        ProbeSection {
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
struct AuditSection {
    quiet: f64,
    names: usize,
    units: f64,
}

impl Default for AuditSection {
    fn default() -> Self {
        AuditSection {
            quiet: 2.0,
            names: 10_000,
            units: 0.01,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LendSection {
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

impl Default for LendSection {
    fn default() -> Self {
        let (names, waiting, borrowers) = (20_000, 1024, 1024);
        LendSection {
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

/// Settings for trials only, never for production.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Trial {
    /// Actual addresses of peers, by the address that the file gives them.
    pub via: BTreeMap<String, String>,
    /// File to which held roles and accepted tokens are written, one JSON object per line.
    pub history: Option<PathBuf>,
    /// Trial effects per second for each held slot, sent to members and receivers.
    pub effects: f64,
    pub receivers: Vec<SocketAddrV4>,
    /// Seconds added to the wall clock.
    pub wall: f64,
    /// File that holds the extra delay of each disk write in seconds, read before each write.
    pub slow_disk: Option<PathBuf>,
    /// Protocol version to announce to other limiters; a version above this build's also sends frames of an unknown
    /// kind.
    pub version: Option<u16>,
}

fn default_size() -> u32 {
    30
}
fn default_lease() -> f64 {
    2.0
}
fn default_renew() -> f64 {
    0.5
}
fn default_drift() -> f64 {
    0.01
}
fn default_tick() -> f64 {
    0.05
}
fn default_disk_wait() -> f64 {
    10.0
}
fn default_moves() -> usize {
    64
}
fn default_duties() -> Vec<Role> {
    let role = |name: &str, by_zone| Role {
        name: name.into(),
        shards: 1,
        by_zone,
    };
    vec![
        role("watch", true),
        role("probe", false),
        role("audit", false),
    ]
}

/// Validated configuration of this process as a member of the fleet.
pub struct FleetConfig {
    pub listen: SocketAddrV4,
    pub zone: String,
    pub machine: String,
    pub voters: Vec<(String, SocketAddrV4)>,
    pub disk: Option<PathBuf>,
    pub roles: RoleSettings,
    pub members: MembershipSettings,
    pub transport_limits: Limits,
    pub watch: discovery_relay::Settings,
    pub probe: health_check::Settings,
    pub audit: audit::Settings,
    pub lend: quota_sharing::Settings,
    pub trial: Trial,
    pub via: BTreeMap<SocketAddrV4, SocketAddrV4>,
}

fn parse_address(key: &'static str, text: &str) -> Result<SocketAddrV4, OperatorsFileError> {
    text.parse().map_err(|_| OperatorsFileError::Address {
        key,
        text: text.to_owned(),
    })
}

/// Parses and validates the text of the file for the limiter with this name and zone, on a platform with these zones.
pub fn parse(
    text: &str,
    name: &str,
    zones: &[String],
    zone: usize,
    counter_timeout: f64,
) -> Result<Option<FleetConfig>, OperatorsFileError> {
    let Some(fleet) = parse_toml(text)?.fleet else {
        return Ok(None);
    };
    let voters = fleet.voter_addresses()?;
    let zones = fleet.zones.clone().unwrap_or_else(|| zones.to_vec());
    let zone = fleet
        .zone
        .clone()
        .unwrap_or_else(|| zones.get(zone).cloned().unwrap_or_default());
    if !zones.contains(&zone) {
        return Err(OperatorsFileError::UnknownZone { zone, zones });
    }
    let roles = fleet.role_settings(&voters, zones)?;
    let listen = fleet.listen_address(&voters, name)?;
    let seeds = voters.iter().map(|voter| voter.1).collect();
    let members = fleet.members.settings(fleet.size, seeds)?;
    let transport_limits = fleet.links.transport_limits(voters.len())?;
    let watch = fleet.watch.settings()?;
    let probe = fleet.probe.settings()?;
    let audit = fleet.audit.settings()?;
    let lend = fleet.lend.settings(counter_timeout)?;
    let trial = fleet.trial.unwrap_or_default();
    let via = trial.via.iter().map(|(peer, actual)| {
        Ok((
            parse_address("fleet.trial.via", peer)?,
            parse_address("fleet.trial.via", actual)?,
        ))
    });
    let via = via.collect::<Result<_, OperatorsFileError>>()?;
    let machine = fleet.machine.unwrap_or_else(|| name.to_owned());
    let disk = fleet.disk;
    Ok(Some(FleetConfig {
        listen,
        zone,
        machine,
        voters,
        disk,
        roles,
        members,
        transport_limits,
        watch,
        probe,
        audit,
        lend,
        trial,
        via,
    }))
}

fn parse_toml(text: &str) -> Result<OperatorsFile, OperatorsFileError> {
    toml::from_str(text).map_err(|error| {
        let text_before = error.span().map(|span| &text[..span.start.min(text.len())]);
        OperatorsFileError::Syntax {
            line: text_before.map_or(1, |text| text.matches('\n').count() + 1),
            message: error.message().replace('\n', " "),
        }
    })
}

impl FleetSection {
    fn voter_addresses(&self) -> Result<Vec<(String, SocketAddrV4)>, OperatorsFileError> {
        let voters = self.voters.iter();
        voters
            .map(|voter| {
                Ok((
                    voter.name.clone(),
                    parse_address("fleet.voter.address", &voter.address)?,
                ))
            })
            .collect()
    }

    fn role_settings(
        &self,
        voters: &[(String, SocketAddrV4)],
        zones: Vec<String>,
    ) -> Result<RoleSettings, OperatorsFileError> {
        let roles = RoleSettings {
            fleet: self.name.clone(),
            voters: voters.iter().map(|voter| voter.0.clone()).collect(),
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

    /// Returns the listen address. That of a voter must equal its address in the voter list, and a voter needs a
    /// disk.
    fn listen_address(
        &self,
        voters: &[(String, SocketAddrV4)],
        name: &str,
    ) -> Result<SocketAddrV4, OperatorsFileError> {
        let listen = parse_address("fleet.listen", &self.listen)?;
        let voter = voters.iter().find(|voter| voter.0 == name);
        if voter.is_some() && self.disk.is_none() {
            let name = name.to_owned();
            return Err(OperatorsFileError::VoterWithoutDisk { name });
        }
        if let Some((_, listed)) = voter.filter(|voter| voter.1 != listen) {
            return Err(OperatorsFileError::ListenAddress {
                listen,
                name: name.to_owned(),
                listed: *listed,
            });
        }
        Ok(listen)
    }
}

impl MembersSection {
    fn settings(
        &self,
        size: u32,
        seeds: Vec<SocketAddrV4>,
    ) -> Result<MembershipSettings, OperatorsFileError> {
        let members = MembershipSettings {
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

impl LinksSection {
    fn transport_limits(&self, voters: usize) -> Result<Limits, OperatorsFileError> {
        let LinksSection {
            peers,
            queue,
            frame,
            dial,
            idle,
        } = *self;
        if peers < voters || queue == 0 || frame < 4096 || !(dial > 0.0 && idle > 0.0) {
            return Err(OperatorsFileError::Links {
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

impl WatchSection {
    fn settings(&self) -> Result<discovery_relay::Settings, OperatorsFileError> {
        let WatchSection {
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

impl ProbeSection {
    fn settings(&self) -> Result<health_check::Settings, OperatorsFileError> {
        let ProbeSection {
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

impl AuditSection {
    fn settings(&self) -> Result<audit::Settings, OperatorsFileError> {
        let AuditSection {
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

impl LendSection {
    /// `counter_timeout` is how long the limiter waits for a reply of the counter, in seconds.
    fn settings(
        &self,
        counter_timeout: f64,
    ) -> Result<quota_sharing::Settings, OperatorsFileError> {
        let lend = quota_sharing::Settings {
            max_lead: self.ahead,
            demand_window: self.span,
            // The broker must give up before the borrower does, so that its answer arrives in time.
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
            return Err(OperatorsFileError::LendWait {
                wait: lend.counter_timeout,
                counter_timeout,
            });
        }
        Ok(lend)
    }
}

/// Loads the fleet configuration from the file that the environment names; `None` without one.
pub fn load(
    name: &str,
    zones: &[String],
    zone: usize,
    counter_timeout: f64,
) -> Result<Option<FleetConfig>, GatewayError> {
    let Ok(path) = std::env::var(PATH_VARIABLE) else {
        return Ok(None);
    };
    let config_error = |error: OperatorsFileError| GatewayError::Config(format!("{path}: {error}"));
    let text = std::fs::read_to_string(&path).map_err(|e| config_error(e.into()))?;
    parse(&text, name, zones, zone, counter_timeout).map_err(config_error)
}

#[cfg(test)]
mod tests;
