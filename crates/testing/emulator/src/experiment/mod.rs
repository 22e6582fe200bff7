//! Experiments: a system, its load and its faults are read from a file, played against real processes and measured.

mod bounds;
mod faults;
mod file;
mod final_checks;
mod findings;
mod hunt;
mod listing;
mod measure;
mod read;
mod scene_plan;
mod traffic;

pub use file::Experiment;
pub use findings::Findings;
pub use hunt::draw;
pub use read::read;

use dunespur_emulator::program::Conversation;
use dunespur_emulator::scene::Scene;
use faults::Faults;
use measure::{Measurements, UsageSnapshot};
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};
use traffic::{Outcome, Traffic};

/// Number of conversations that are continued after the traffic.
const CONTINUED_CONVERSATIONS: usize = 20;
/// Interval at which faults that are due are started while traffic runs.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Plays an experiment with the program at `program` and returns what it measured.
pub async fn play(program: &Path, experiment: &Experiment) -> anyhow::Result<Findings> {
    let mut scene = Scene::start(program, scene_plan::scene_plan(experiment)).await?;
    let after_start = UsageSnapshot::read(&scene);
    wait_seconds(experiment.idle_s).await;
    let after_idle = UsageSnapshot::read(&scene);
    let started = Instant::now();
    let mut traffic = Traffic::start(&scene, experiment);
    let mut faults = Faults::new(&scene, experiment);
    while !(traffic.has_ended() && faults.have_ended()) {
        faults.execute_due(&mut scene, started.elapsed()).await?;
        traffic.collect_outcomes();
        sleep_until(Instant::now() + POLL_INTERVAL).await;
    }
    let after_load = UsageSnapshot::read(&scene);
    let measurements = Measurements {
        after_start,
        after_idle,
        after_load,
    };
    let outcomes = traffic.into_outcomes();
    let final_violations =
        final_checks::judge(&mut scene, conversations_to_continue(&outcomes)).await;
    let mut violations = scene.violations_except(faults.disturbances());
    violations.extend(final_violations);
    let findings = Findings::new(&scene, experiment, &outcomes, &measurements, &violations);
    if !violations.is_empty() {
        eprintln!("{}", scene.system.log_tails());
    }
    Ok(findings)
}

/// A selection of the finished programs' conversations, spread over the run, newest first.
fn conversations_to_continue(outcomes: &[Outcome]) -> Vec<Conversation> {
    let conversations: Vec<&Conversation> = outcomes
        .iter()
        .filter_map(|outcome| outcome.conversation.as_ref())
        .collect();
    let stride = (conversations.len() / CONTINUED_CONVERSATIONS).max(1);
    conversations
        .into_iter()
        .rev()
        .step_by(stride)
        .cloned()
        .collect()
}

async fn wait_seconds(seconds: f64) {
    sleep_until(Instant::now() + Duration::from_secs_f64(seconds)).await;
}
