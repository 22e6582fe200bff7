//! Plans of scenes, and the default configuration and program of the tests.

use crate::client::RequestKind;
use crate::configuration::{ConfigurationPlan, EnginePlan, LimitsPlan, RoutePlan, ServicePlan};
use crate::engine::EngineSettings;
use crate::plain::PlainSettings;
use crate::program::{ProgramPlan, SharedPrefix};
use crate::system::{MachinePlan, Role};

/// Host of the routes in the default configuration.
pub const HOST: &str = "agents.example";
/// Name of the service of model servers.
pub const MODELS: &str = "models";
/// Name of the service of plain servers.
pub const TOOLS: &str = "tools";
/// Path prefix of turns that the system stores.
pub const PERSISTED_TURNS: &str = "/kept/";
/// Path prefix of turns that the system does not store.
pub const TURNS: &str = "/turns/";
/// Path prefix of read-only tool calls.
pub const LOOKUP: &str = "/lookup/";
/// Path prefix of mutating tool calls.
pub const RECORD: &str = "/record/";

/// Machines, servers and configuration of a scene.
#[derive(Clone, Debug)]
pub struct ScenePlan {
    /// Machines that are started with the system.
    pub machines: Vec<MachinePlan>,
    /// Number of machines that may be lost at once.
    pub tolerated_losses: u32,
    /// Heartbeat interval of servers, in milliseconds.
    pub heartbeat_ms: u64,
    /// Number of model servers.
    pub engines: usize,
    /// Maximum number of requests that a model server runs at once.
    pub engine_slots: u32,
    /// Settings of the model servers.
    pub engine: EngineSettings,
    /// Number of plain servers.
    pub plains: usize,
    /// Maximum number of requests that a plain server runs at once.
    pub plain_slots: u32,
    /// Settings of the plain servers.
    pub plain: PlainSettings,
    /// Configuration that the operator sends first.
    pub configuration: ConfigurationPlan,
    /// Seed from which all ids are drawn.
    pub seed: u64,
    /// Whether the record stores the request bodies that servers receive.
    pub keep_bodies: bool,
}

impl Default for ScenePlan {
    /// Three core members, one gateway without a disk, three stores, two servers of each service.
    fn default() -> Self {
        let zones = ["zone-a", "zone-b", "zone-c"];
        let mut machines: Vec<MachinePlan> = zones
            .iter()
            .map(|zone| MachinePlan::new(Role::Core, zone))
            .collect();
        machines.push(MachinePlan::new(Role::Gateway, zones[0]));
        machines.extend(zones.iter().map(|zone| MachinePlan::new(Role::Store, zone)));
        ScenePlan {
            machines,
            tolerated_losses: 1,
            heartbeat_ms: 400,
            engines: 2,
            engine_slots: 8,
            engine: EngineSettings::default(),
            plains: 2,
            plain_slots: 4,
            plain: PlainSettings::default(),
            configuration: usual_configuration(),
            seed: 1,
            keep_bodies: true,
        }
    }
}

/// The default configuration: a service of model servers, a service of plain servers, and four routes: for turns that
/// are stored, turns that are not, read-only tool calls and mutating tool calls.
#[must_use]
pub fn usual_configuration() -> ConfigurationPlan {
    let streaming = RequestKind::Streaming { resumable: false };
    let mut persisted = RoutePlan::new("kept", HOST, PERSISTED_TURNS, streaming, MODELS);
    persisted.persisted = true;
    let mut lookup = RoutePlan::new("lookup", HOST, LOOKUP, RequestKind::ReadOnly, TOOLS);
    lookup.retries = 2;
    let engine = EnginePlan {
        slots: 8,
        kv_capacity: 232_000,
        chunk_tokens: 3,
        models: vec!["m".to_owned()],
    };
    ConfigurationPlan {
        generation: 1,
        routes: vec![
            persisted,
            RoutePlan::new("turns", HOST, TURNS, streaming, MODELS),
            lookup,
            RoutePlan::new("record", HOST, RECORD, RequestKind::Mutating, TOOLS),
        ],
        services: vec![
            ServicePlan {
                name: MODELS.to_owned(),
                max_conns: 220,
                engine: Some(engine),
            },
            ServicePlan {
                name: TOOLS.to_owned(),
                max_conns: 120,
                engine: None,
            },
        ],
        limits: LimitsPlan::default(),
    }
}

/// The default program: three stored turns without tools.
#[must_use]
pub fn usual_program() -> ProgramPlan {
    ProgramPlan {
        host: HOST.to_owned(),
        target: format!("{PERSISTED_TURNS}chat"),
        persisted: true,
        turns: 3,
        shared: SharedPrefix {
            id: "5c1e07a2".to_owned(),
            tokens: 800,
        },
        input_bytes: 400,
        input_tokens: 100,
        max_tokens: 12,
        chunk_tokens: 3,
        budget: 1_000,
        tools: Vec::new(),
        sub_agents: None,
        model: "m".to_owned(),
        deadline_ms: 5_000,
        target_ms: 200,
        max_gap_ms: 300,
        retries: 1,
        finish_ms: 20_000,
    }
}
