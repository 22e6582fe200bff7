//! Experiments: a system, its load and its faults, read from a file, played and measured.

mod check;
mod ending;
mod faults;
mod file;
mod findings;
mod hunt;
mod listing;
mod measure;
mod read;
mod stage;
mod traffic;

pub use file::Experiment;
pub use findings::Findings;
pub use hunt::draw;
pub use read::read;

use dunespur_emulator::program::Conversation;
use dunespur_emulator::scene::Scene;
use faults::Faults;
use measure::{Meter, Spans};
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};
use traffic::{Outcome, Traffic};

/// Conversations that are continued after the traffic.
const CONTINUED_CONVERSATIONS: usize = 20;
/// Interval at which due faults are started while traffic runs.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Plays the whole experiment.
pub async fn play(program: &Path, experiment: &Experiment) -> anyhow::Result<Findings> {
    let mut scene = Scene::start(program, stage::plan(experiment)).await?;
    let up = Meter::read(&scene);
    rest(experiment.idle_s).await;
    let idle = Meter::read(&scene);
    let started = Instant::now();
    let mut traffic = Traffic::start(&scene, experiment);
    let mut faults = Faults::new(&scene, experiment);
    while !(traffic.ended() && faults.ended()) {
        faults.due(&mut scene, started.elapsed()).await?;
        traffic.take_ended();
        sleep_until(Instant::now() + POLL_INTERVAL).await;
    }
    let loaded = Meter::read(&scene);
    let spans = Spans { up, idle, loaded };
    let outcomes = traffic.into_outcomes();
    let ending = ending::judge(&mut scene, conversations(&outcomes)).await;
    let mut violations = scene.violations_except(faults.disturbances());
    violations.extend(ending);
    let findings = Findings::new(&scene, experiment, &outcomes, &spans, &violations);
    if !violations.is_empty() {
        eprintln!("{}", scene.system.log_tails());
    }
    Ok(findings)
}

/// Some conversations of finished programs, spread over the run, to be continued at the end.
fn conversations(outcomes: &[Outcome]) -> Vec<Conversation> {
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

async fn rest(seconds: f64) {
    sleep_until(Instant::now() + Duration::from_secs_f64(seconds)).await;
}
