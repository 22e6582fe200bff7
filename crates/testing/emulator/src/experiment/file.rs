//! Format of experiment files.

use dunespur_emulator::system::Role;
use serde::Deserialize;

/// An experiment as its file describes it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Seed of all random numbers.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Duration of the traffic, in seconds: no request or program starts afterwards.
    pub traffic_s: f64,
    /// Time without load before the traffic, in seconds, to measure the system's usage when idle.
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

/// Number of machines of each role; they are spread over the zones in turn.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machines {
    pub zones: Vec<String>,
    pub core: usize,
    pub gateways: usize,
    pub stores: usize,
    #[serde(default = "default_tolerated_losses")]
    pub tolerated_losses: u32,
    #[serde(default = "default_heartbeat_ms")]
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

/// A class of programs that start at a rate.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramClass {
    pub name: String,
    /// Programs that start per second.
    pub rate: f64,
    /// Whether the system stores the turns.
    #[serde(rename = "kept")]
    pub persisted: bool,
    pub turns: u32,
    #[serde(default)]
    pub shared_tokens: u64,
    pub input_tokens: u64,
    #[serde(default = "default_input_bytes")]
    pub input_bytes: usize,
    /// Maximum number of tokens that a turn generates.
    #[serde(rename = "most")]
    pub max_tokens: u64,
    /// Token budget of a program; where it is left out, a budget that is enough for all turns.
    pub budget: Option<u64>,
    /// Read-only tool calls after each turn.
    #[serde(default)]
    pub lookups: usize,
    /// Mutating tool calls after each turn.
    #[serde(default)]
    pub records: usize,
    /// Share of the programs that start two sub-agents, of two turns each, after their first turn.
    #[serde(default)]
    pub sub_agents: f64,
    /// Time within which a program has to finish to count as in time, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub target_ms: u64,
    #[serde(default = "default_retries")]
    pub retries: u32,
}

/// A class of requests that are sent at a rate, in addition to those of programs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    pub name: String,
    pub rate: f64,
    pub kind: RequestClassKind,
    #[serde(rename = "aim_ms")]
    pub target_ms: u64,
    pub deadline_ms: u64,
    #[serde(default = "default_retries")]
    pub retries: u32,
}

/// Kind of the requests of a class.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RequestClassKind {
    ReadOnly,
    Mutating,
}

/// A fault or an operation that the experiment carries out.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in seconds from the start of the traffic.
    pub at_s: f64,
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// Number of the affected machine among those of its role, or of the affected server.
    #[serde(default)]
    pub number: usize,
    /// Duration in seconds, after which a machine is started again or thawed, or a server's fault ends.
    #[serde(default = "default_duration_s")]
    pub lasts_s: f64,
}

/// Kind of a fault or an operation.
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
    /// A plain server runs requests and closes their connections without a response.
    LoseAnswers,
    /// A model server is drained and leaves, after another one has been started in its place.
    ReplaceModel,
    /// A model server crashes, after another one has been started in its place.
    CrashModel,
    /// A route is added by a patch.
    Patch,
}

impl FaultKind {
    /// Whether no machine loses contact: the kind is planned work or a fault of servers.
    pub fn keeps_contact(self) -> bool {
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

    /// The role of the affected machine; `None` where servers or all machines are affected.
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

fn default_seed() -> u64 {
    1
}

fn default_tolerated_losses() -> u32 {
    1
}

fn default_heartbeat_ms() -> u64 {
    1_200
}

fn default_input_bytes() -> usize {
    2_000
}

fn default_retries() -> u32 {
    1
}

fn default_duration_s() -> f64 {
    0.5
}
