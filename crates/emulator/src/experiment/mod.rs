//! Experiments: a system, its load and its faults, read from a file, played and measured.

mod check;
mod faults;
mod file;
mod findings;
mod measure;
mod stage;
mod traffic;

pub use file::Experiment;
pub use findings::Findings;

use dunespur_emulator::scene::Scene;
use faults::Faults;
use measure::{Meter, Spans};
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};
use traffic::Traffic;

/// How often faults that are due are looked for while traffic runs.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// Plays the whole experiment.
pub async fn play(program: &Path, experiment: &Experiment) -> anyhow::Result<Findings> {
    let mut scene = Scene::start(program, stage::plan(experiment)).await?;
    let up = Meter::read(&scene);
    rest(experiment.idle_s).await;
    let idle = Meter::read(&scene);
    let started = Instant::now();
    let mut traffic = Traffic::start(&scene, experiment);
    let mut faults = Faults::new(experiment);
    while !traffic.ended() {
        faults.due(&mut scene, started.elapsed()).await?;
        traffic.take_ended();
        sleep_until(Instant::now() + LOOK_PAUSE).await;
    }
    let loaded = Meter::read(&scene);
    let spans = Spans { up, idle, loaded };
    Ok(Findings::new(&scene, experiment, traffic.into_outcomes(), &spans))
}

async fn rest(seconds: f64) {
    sleep_until(Instant::now() + Duration::from_secs_f64(seconds)).await;
}
