//! The parameters of a simulation, and the servers and routers built from them.

use dunespur_routing::{Balancer, EngineParameters, Server};

use super::engine::EngineModel;
use super::router::{Balanced, Baseline, BaselinePolicy, Router};

/// Name of the service to which all engines belong.
pub const ENGINES: &str = "engines";
/// Latency target of all requests.
pub const TARGET_MS: u64 = 200;

/// How the prompt of a conversation grows from turn to turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Growth {
    /// The conversation's last segment grows.
    LastSegment,
    /// Each turn adds a segment.
    NewSegments,
}

/// The parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub zones: usize,
    pub gateways: usize,
    pub engines: usize,
    pub model: EngineModel,
    /// Engines that are slow, with their slowness.
    pub slow: Vec<(usize, f64)>,
    /// An engine that is frozen, and the time range in milliseconds.
    pub frozen: Option<(usize, std::ops::Range<f64>)>,
    pub programs_per_s: f64,
    pub length_ms: f64,
    pub turns: usize,
    /// Probability that a turn of a main conversation starts sub-agents.
    pub subagent_probability: f64,
    /// Number of different segments that programs share beyond the common one.
    pub subjects: usize,
    /// Length of the segment that all programs share.
    pub common_tokens: u32,
    /// Length of a subject's segment.
    pub subject_tokens: u32,
    /// Mean growth of the prompt per turn.
    pub turn_tokens: u32,
    pub output_tokens: u32,
    pub think_time_ms: f64,
    /// Whether all turns of a program arrive at the same gateway.
    pub keeps_gateway: bool,
    pub growth: Growth,
}

/// The policy by which engines are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Balanced,
    Baseline(BaselinePolicy),
}

pub fn gateway_in(scenario: &Scenario, zone: usize, random: &mut fastrand::Rng) -> usize {
    let in_zone = scenario.gateways / scenario.zones;
    zone + scenario.zones * random.usize(..in_zone)
}

pub fn server(scenario: &Scenario, number: usize) -> Server {
    let parameters = EngineParameters {
        kv_capacity: scenario.model.kv_capacity,
        slots: scenario.model.slots as u32,
        chunk_tokens: scenario.model.chunk_tokens,
    };
    Server {
        id: format!("engine-{}-{number}", scenario.seed).into(),
        backend: ENGINES.into(),
        address: ([10, 0, 0, number as u8], 8080).into(),
        zone: format!("zone-{}", number % scenario.zones).into(),
        slots: scenario.model.slots as u32,
        draining: false,
        warmup_left_ms: 0,
        engine: Some(parameters),
        max_conns: 220,
    }
}

pub fn router(
    scenario: &Scenario,
    servers: &[Server],
    policy: Policy,
    gateway: usize,
) -> Box<dyn Router> {
    let seed = scenario.seed * 1_000 + gateway as u64;
    match policy {
        Policy::Baseline(policy) => Box::new(Baseline::new(policy, servers, seed)),
        Policy::Balanced => {
            let zone = format!("zone-{}", gateway % scenario.zones);
            let mut balancer = Balancer::new(zone.into(), seed);
            balancer.set_servers(servers.to_vec(), 0);
            Box::new(Balanced(balancer))
        }
    }
}
