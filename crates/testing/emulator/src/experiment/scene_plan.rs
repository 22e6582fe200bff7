//! The scene plan of an experiment.

use super::file::Experiment;
use dunespur_emulator::configuration::ConfigurationPlan;
use dunespur_emulator::engine::{EngineSettings, StepParameters};
use dunespur_emulator::plain::PlainSettings;
use dunespur_emulator::scene::{usual_configuration, ScenePlan, MODELS};
use dunespur_emulator::server::ConnectionSettings;
use dunespur_emulator::system::{MachinePlan, Role};
use std::time::Duration;

/// Plan of a scene with the machines, servers and configuration that the experiment's file describes.
pub fn scene_plan(experiment: &Experiment) -> ScenePlan {
    let services = &experiment.services;
    let models = &services.models;
    let tools = &services.tools;
    let step_parameters = StepParameters {
        step_us: models.step_us,
        per_running_us: models.per_running_us,
        prefill_tokens_per_ms: models.read_per_ms,
        prefill_chunk_tokens: models.prefill_chunk_tokens,
    };
    let engine = EngineSettings {
        step_parameters,
        queue: models.queue,
        memory_tokens: models.memory_tokens,
        chunk_tokens: models.chunk_tokens,
        time_scale: 1.0,
        connections: connection_settings(models.max_connections),
        ..EngineSettings::default()
    };
    let plain = PlainSettings {
        queue: tools.queue,
        work_time: Duration::from_millis(tools.work_ms),
        body_bytes: tools.body_bytes,
        connections: connection_settings(tools.max_connections),
    };
    ScenePlan {
        machines: machines(experiment),
        tolerated_losses: experiment.machines.tolerated_losses,
        heartbeat_ms: experiment.machines.heartbeat_ms,
        engines: models.servers,
        engine_slots: models.slots,
        engine,
        plains: tools.servers,
        plain_slots: tools.slots,
        plain,
        configuration: configuration(experiment),
        seed: experiment.seed,
        keep_bodies: false,
    }
}

fn connection_settings(max_connections: u32) -> ConnectionSettings {
    ConnectionSettings {
        max_connections: max_connections as usize,
        ..ConnectionSettings::default()
    }
}

fn machines(experiment: &Experiment) -> Vec<MachinePlan> {
    let machines = &experiment.machines;
    let roles = [
        (Role::Core, machines.core),
        (Role::Gateway, machines.gateways),
        (Role::Store, machines.stores),
    ];
    let mut plans = Vec::new();
    for (role, count) in roles {
        let zones = machines.zones.iter().cycle().take(count);
        plans.extend(zones.map(|zone| MachinePlan::new(role, zone)));
    }
    plans
}

fn configuration(experiment: &Experiment) -> ConfigurationPlan {
    let mut configuration = usual_configuration();
    let services = &experiment.services;
    for service in &mut configuration.services {
        let is_models = service.name == MODELS;
        service.max_conns = if is_models {
            services.models.max_connections
        } else {
            services.tools.max_connections
        };
        if let Some(engine) = &mut service.engine {
            engine.slots = services.models.slots;
            engine.kv_capacity = services.models.memory_tokens;
            engine.chunk_tokens = services.models.chunk_tokens;
        }
    }
    configuration
}
