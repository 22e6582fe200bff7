//! Resource usage of the processes, read at certain times of an experiment.

use dunespur_emulator::scene::Scene;
use dunespur_emulator::system::{Role, Usage};
use std::time::Instant;

/// Usage of all processes up to a point in time.
pub struct UsageSnapshot {
    at: Instant,
    usages: Vec<Usage>,
}

/// Usage after the system's start, after the idle time that follows, and after the load.
pub struct Measurements {
    pub after_start: UsageSnapshot,
    pub after_idle: UsageSnapshot,
    pub after_load: UsageSnapshot,
}

/// Usage of one process between two snapshots.
struct UsageInterval {
    usage: Usage,
    seconds: f64,
}

/// Usage of one machine's processes, as the findings report it.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ProcessUsage {
    pub name: String,
    pub role: &'static str,
    pub starts: u32,
    /// Processor time until the system served, in milliseconds.
    pub start_ms: u64,
    /// Processor usage without load, in thousandths of a core.
    pub idle_millicores: f64,
    /// Processor usage under load, in thousandths of a core.
    pub loaded_millicores: f64,
    pub loaded_wake_ups_a_second: f64,
    pub peak_memory_kb: u64,
}

impl UsageSnapshot {
    pub fn read(scene: &Scene) -> UsageSnapshot {
        let usages = scene
            .system
            .machines()
            .iter()
            .map(|machine| machine.usage())
            .collect();
        UsageSnapshot {
            at: Instant::now(),
            usages,
        }
    }

    fn used(&self, index: usize) -> Usage {
        self.usages.get(index).copied().unwrap_or_default()
    }

    fn since(&self, earlier: &UsageSnapshot, index: usize) -> UsageInterval {
        UsageInterval {
            usage: self.used(index).since(earlier.used(index)),
            seconds: self.at.duration_since(earlier.at).as_secs_f64(),
        }
    }
}

impl Measurements {
    /// Usage of each machine's processes.
    pub fn processes(&self, scene: &Scene) -> Vec<ProcessUsage> {
        let machines = scene.system.machines().iter().enumerate();
        machines
            .map(|(index, machine)| {
                let idle = self.after_idle.since(&self.after_start, index);
                let loaded = self.after_load.since(&self.after_idle, index);
                ProcessUsage {
                    name: machine.name().to_owned(),
                    role: role_name(machine.plan().role),
                    starts: machine.starts(),
                    start_ms: self.after_start.used(index).processor_ms,
                    idle_millicores: rate(idle.usage.processor_ms, idle.seconds),
                    loaded_millicores: rate(loaded.usage.processor_ms, loaded.seconds),
                    loaded_wake_ups_a_second: rate(loaded.usage.wake_ups, loaded.seconds),
                    peak_memory_kb: self.after_load.used(index).peak_memory_kb,
                }
            })
            .collect()
    }

    /// Duration of the load until its last program or request ended, in seconds.
    pub fn loaded_s(&self) -> f64 {
        self.after_load
            .at
            .duration_since(self.after_idle.at)
            .as_secs_f64()
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
