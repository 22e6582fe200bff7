//! The experiment file.

use dunespur_emulator::system::Role;
use serde::Deserialize;

/// An experiment as its file describes it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Everything random is drawn from this.
    #[serde(default = "one")]
    pub seed: u64,
    /// How long new requests and programs begin.
    pub traffic_s: f64,
    /// How long the system is left alone before, to measure what rest costs.
    #[serde(default)]
    pub idle_s: f64,
    pub machines: Machines,
    #[serde(default, rename = "service")]
    pub services: Services,
    #[serde(default, rename = "program")]
    pub programs: Vec<ProgramClass>,
    #[serde(default, rename = "request")]
    pub requests: Vec<RequestClass>,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// Machines by role, spread over the zones in turn.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machines {
    pub zones: Vec<String>,
    pub core: usize,
    pub gateways: usize,
    pub stores: usize,
    #[serde(default = "one_loss")]
    pub tolerated_losses: u32,
    #[serde(default = "usual_heartbeat")]
    pub heartbeat_ms: u64,
}

/// The two services of an experiment.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Services {
    pub models: ModelService,
    pub tools: ToolService,
}

/// Model servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ModelService {
    pub servers: usize,
    pub slots: u32,
    pub queue: usize,
    pub memory_tokens: u64,
    pub step_us: u64,
    pub per_running_us: u64,
    pub read_per_ms: f64,
    #[serde(rename = "piece_tokens")]
    pub prefill_chunk_tokens: u64,
    pub chunk_tokens: u64,
    pub max_connections: u32,
}

impl Default for ModelService {
    fn default() -> Self {
        ModelService {
            servers: 12,
            slots: 24,
            queue: 8,
            memory_tokens: 232_000,
            step_us: 5_470,
            per_running_us: 120,
            read_per_ms: 38.7,
            prefill_chunk_tokens: 512,
            chunk_tokens: 3,
            max_connections: 220,
        }
    }
}

/// Plain servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ToolService {
    pub servers: usize,
    pub slots: u32,
    pub queue: usize,
    pub work_ms: u64,
    pub body_bytes: usize,
    pub max_connections: u32,
}

impl Default for ToolService {
    fn default() -> Self {
        ToolService {
            servers: 7,
            slots: 6,
            queue: 6,
            work_ms: 26,
            body_bytes: 800,
            max_connections: 120,
        }
    }
}

/// Programs that begin at a rate.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramClass {
    pub name: String,
    /// Programs that begin in a second.
    pub rate: f64,
    /// Whether the system stores the turns.
    #[serde(rename = "kept")]
    pub persisted: bool,
    pub turns: u32,
    #[serde(default)]
    pub shared_tokens: u64,
    pub input_tokens: u64,
    #[serde(default = "usual_input")]
    pub input_bytes: usize,
    /// The most that a turn generates.
    #[serde(rename = "most")]
    pub max_tokens: u64,
    /// Enough for all turns where it is left out.
    pub budget: Option<u64>,
    /// Reading and recording calls after each turn.
    #[serde(default)]
    pub lookups: usize,
    #[serde(default)]
    pub records: usize,
    /// Share of the programs that start two sub-agents of two turns after their first turn.
    #[serde(default)]
    pub sub_agents: f64,
    /// A program that has ended by then is in time.
    #[serde(rename = "aim_ms")]
    pub target_ms: u64,
    #[serde(default = "usual_retries")]
    pub retries: u32,
}

/// Requests that are sent at a rate, beside the programs' own.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    pub name: String,
    pub rate: f64,
    pub kind: RequestKind,
    #[serde(rename = "aim_ms")]
    pub target_ms: u64,
    pub deadline_ms: u64,
    #[serde(default = "usual_retries")]
    pub retries: u32,
}

/// What a request is.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    ReadOnly,
    Mutating,
}

/// Something that happens to the system.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// From the beginning of traffic.
    pub at_s: f64,
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// Which machine of its role, or which server.
    #[serde(default)]
    pub number: usize,
    /// Duration: afterwards a machine is started again or thawed, or a server's fault ends.
    #[serde(default = "short")]
    pub lasts_s: f64,
}

/// What happens.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    KillCore,
    KillGateway,
    KillStore,
    KillAll,
    TerminateCore,
    TerminateGateway,
    FreezeCore,
    FreezeStore,
    WipeCore,
    WipeStore,
    /// A machine is lost for good, and an empty one joins at another address.
    ReplaceCore,
    ReplaceStore,
    /// A store is emptied, then decommissioned.
    RetireStore,
    AddGateway,
    AddStore,
    /// A plain server runs requests and closes without an answer.
    LoseAnswers,
    /// A model server drains and departs, and another one takes its place.
    ReplaceModel,
    /// A model server crashes, and another one takes its place.
    CrashModel,
    /// A route is added by a patch.
    Patch,
}

impl FaultKind {
    /// Whether it is planned work or a fault of servers, by which no machine loses contact.
    pub fn leaves_in_touch(self) -> bool {
        matches!(
            self,
            FaultKind::TerminateCore
                | FaultKind::TerminateGateway
                | FaultKind::RetireStore
                | FaultKind::AddGateway
                | FaultKind::AddStore
                | FaultKind::LoseAnswers
                | FaultKind::ReplaceModel
                | FaultKind::CrashModel
                | FaultKind::Patch
        )
    }

    /// The role of the machines that it is about; nothing where it is about servers or all machines.
    pub fn role(self) -> Option<Role> {
        match self {
            FaultKind::KillCore
            | FaultKind::TerminateCore
            | FaultKind::FreezeCore
            | FaultKind::WipeCore
            | FaultKind::ReplaceCore => Some(Role::Core),
            FaultKind::KillGateway | FaultKind::TerminateGateway => Some(Role::Gateway),
            FaultKind::KillStore
            | FaultKind::FreezeStore
            | FaultKind::WipeStore
            | FaultKind::ReplaceStore
            | FaultKind::RetireStore => Some(Role::Store),
            FaultKind::KillAll
            | FaultKind::AddGateway
            | FaultKind::AddStore
            | FaultKind::LoseAnswers
            | FaultKind::ReplaceModel
            | FaultKind::CrashModel
            | FaultKind::Patch => None,
        }
    }
}

impl Experiment {
    /// A summary of machines and faults on one line.
    pub fn summary(&self) -> String {
        let machines = &self.machines;
        let mut faults: Vec<&Fault> = self.faults.iter().collect();
        faults.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
        let faults: Vec<String> = faults
            .iter()
            .map(|fault| {
                format!(
                    "{:.1} {:?}({}, {:.1} s)",
                    fault.at_s, fault.kind, fault.number, fault.lasts_s
                )
            })
            .collect();
        let (core, gateways, stores) = (machines.core, machines.gateways, machines.stores);
        format!(
            "{core} core, {gateways} gateways, {stores} stores; {}",
            faults.join(", ")
        )
    }
}

fn one() -> u64 {
    1
}

fn one_loss() -> u32 {
    1
}

fn usual_heartbeat() -> u64 {
    1_200
}

fn usual_input() -> usize {
    2_000
}

fn usual_retries() -> u32 {
    1
}

fn short() -> f64 {
    0.5
}
