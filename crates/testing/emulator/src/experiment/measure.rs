//! What processes use, read at moments of an experiment.

use dunespur_emulator::scene::Scene;
use dunespur_emulator::system::{Role, Usage};
use std::time::Instant;

/// What all processes had used at a moment.
pub struct Meter {
    at: Instant,
    usages: Vec<Usage>,
}

/// The moments that matter: the system is up, has rested, has carried its load.
pub struct Spans {
    pub up: Meter,
    pub idle: Meter,
    pub loaded: Meter,
}

/// What one process used between two moments.
struct UsageInterval {
    usage: Usage,
    seconds: f64,
}

/// What one process used.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ProcessUse {
    pub name: String,
    pub role: &'static str,
    pub starts: u32,
    /// Until the system was up.
    pub start_ms: u64,
    /// In thousandths of a core, at rest and under load.
    pub idle_millicores: f64,
    pub loaded_millicores: f64,
    pub loaded_wake_ups_a_second: f64,
    pub peak_memory_kb: u64,
}

impl Meter {
    pub fn read(scene: &Scene) -> Meter {
        let usages = scene
            .system
            .machines()
            .iter()
            .map(|machine| machine.usage())
            .collect();
        Meter {
            at: Instant::now(),
            usages,
        }
    }

    fn used(&self, index: usize) -> Usage {
        self.usages.get(index).copied().unwrap_or_default()
    }

    fn since(&self, earlier: &Meter, index: usize) -> UsageInterval {
        UsageInterval {
            usage: self.used(index).since(earlier.used(index)),
            seconds: self.at.duration_since(earlier.at).as_secs_f64(),
        }
    }
}

impl Spans {
    /// What each process used.
    pub fn processes(&self, scene: &Scene) -> Vec<ProcessUse> {
        let machines = scene.system.machines().iter().enumerate();
        machines
            .map(|(index, machine)| {
                let idle = self.idle.since(&self.up, index);
                let loaded = self.loaded.since(&self.idle, index);
                ProcessUse {
                    name: machine.name().to_owned(),
                    role: role_name(machine.plan().role),
                    starts: machine.starts(),
                    start_ms: self.up.used(index).processor_ms,
                    idle_millicores: rate(idle.usage.processor_ms, idle.seconds),
                    loaded_millicores: rate(loaded.usage.processor_ms, loaded.seconds),
                    loaded_wake_ups_a_second: rate(loaded.usage.wake_ups, loaded.seconds),
                    peak_memory_kb: self.loaded.used(index).peak_memory_kb,
                }
            })
            .collect()
    }

    /// How long the load took, to its last answer.
    pub fn loaded_s(&self) -> f64 {
        self.loaded.at.duration_since(self.idle.at).as_secs_f64()
    }
}

fn rate(count: u64, seconds: f64) -> f64 {
    if seconds < 0.1 {
        return 0.0;
    }
    (count as f64 / seconds * 10.0).round() / 10.0
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Core => "core",
        Role::Gateway => "gateway",
        Role::Store => "store",
    }
}
