//! What happens to the system while traffic runs.

use super::file::{Experiment, Fault, What};
use dunespur_emulator::client::Kind;
use dunespur_emulator::configuration::{patch, RoutePlan};
use dunespur_emulator::scene::{Scene, HOST, TOOLS};
use dunespur_emulator::server::Trouble;
use dunespur_emulator::system::Role;
use std::time::Duration;

/// An order has so long to be acknowledged.
const ORDER_LIMIT: Duration = Duration::from_secs(10);
/// A process that is asked to leave is killed after this time.
const GRACE: Duration = Duration::from_secs(8);

/// Something that has to be done at its time.
#[derive(Clone, Copy, Debug)]
struct Action {
    at: Duration,
    step: Step,
}

/// One thing that is done.
#[derive(Clone, Copy, Debug)]
enum Step {
    Kill(usize),
    Start(usize),
    Terminate(usize),
    /// A process that was asked to leave has had its time.
    StartAfterLeave(usize),
    Freeze(usize),
    Thaw(usize),
    Wipe(usize),
    KillAll,
    StartAll,
    LoseAnswers(usize),
    EndTrouble(usize),
    DrainModel(usize),
    CrashModel(usize),
    Patch,
}

/// All that is still to be done, by time.
pub struct Faults {
    planned: Vec<(Fault, bool)>,
    actions: Vec<Action>,
}

impl Faults {
    pub fn new(experiment: &Experiment) -> Faults {
        let planned = experiment.faults.iter().map(|fault| (fault.clone(), false)).collect();
        Faults { planned, actions: Vec::new() }
    }

    /// Does all that is due by now.
    pub async fn due(&mut self, scene: &mut Scene, now: Duration) -> anyhow::Result<()> {
        for (fault, begun) in &mut self.planned {
            if !*begun && now.as_secs_f64() >= fault.at_s {
                *begun = true;
                self.actions.extend(actions(scene, fault));
            }
        }
        self.actions.sort_by_key(|action| action.at);
        while self.actions.first().is_some_and(|action| action.at <= now) {
            let action = self.actions.remove(0);
            carry_out(scene, action.step).await?;
        }
        Ok(())
    }
}

/// What a fault consists of.
fn actions(scene: &Scene, fault: &Fault) -> Vec<Action> {
    let place = |role| scene.system.places(|plan| plan.role == role)[fault.number];
    let lasting = |first, then| vec![(0.0, first), (fault.lasts_s, then)];
    let steps = match fault.what {
        What::KillCore => lasting(Step::Kill(place(Role::Core)), Step::Start(place(Role::Core))),
        What::KillGateway => lasting(Step::Kill(place(Role::Gateway)), Step::Start(place(Role::Gateway))),
        What::KillStore => lasting(Step::Kill(place(Role::Store)), Step::Start(place(Role::Store))),
        What::KillAll => lasting(Step::KillAll, Step::StartAll),
        What::TerminateCore => leave(place(Role::Core)),
        What::TerminateGateway => leave(place(Role::Gateway)),
        What::FreezeCore => lasting(Step::Freeze(place(Role::Core)), Step::Thaw(place(Role::Core))),
        What::FreezeStore => lasting(Step::Freeze(place(Role::Store)), Step::Thaw(place(Role::Store))),
        What::WipeCore => vec![(0.0, Step::Wipe(place(Role::Core)))],
        What::WipeStore => vec![(0.0, Step::Wipe(place(Role::Store)))],
        What::LoseAnswers => lasting(Step::LoseAnswers(fault.number), Step::EndTrouble(fault.number)),
        What::ReplaceModel => vec![(0.0, Step::DrainModel(fault.number))],
        What::CrashModel => vec![(0.0, Step::CrashModel(fault.number))],
        What::Patch => vec![(0.0, Step::Patch)],
    };
    let at = |after: f64| Duration::from_secs_f64(fault.at_s + after);
    steps.into_iter().map(|(after, step)| Action { at: at(after), step }).collect()
}

fn leave(place: usize) -> Vec<(f64, Step)> {
    vec![(0.0, Step::Terminate(place)), (GRACE.as_secs_f64(), Step::StartAfterLeave(place))]
}

async fn carry_out(scene: &mut Scene, step: Step) -> anyhow::Result<()> {
    match step {
        Step::Kill(place) => scene.system.machine(place).kill(),
        Step::Start(place) => scene.system.restart(place)?,
        Step::Terminate(place) => scene.terminate(place)?,
        Step::StartAfterLeave(place) => {
            scene.system.machine(place).kill();
            scene.system.restart(place)?;
            scene.system.ready_one(place, ORDER_LIMIT).await?;
            scene.client.set_fronts(scene.system.fronts());
        }
        Step::Freeze(place) => scene.system.machine(place).freeze()?,
        Step::Thaw(place) => scene.system.machine(place).thaw()?,
        Step::Wipe(place) => scene.system.wipe(place)?,
        Step::KillAll => scene.system.kill_all(),
        Step::StartAll => start_all(scene)?,
        Step::LoseAnswers(server) => {
            scene.plains[server].server.door.troubles.always(Some(Trouble::AnswerLost));
        }
        Step::EndTrouble(server) => scene.plains[server].server.door.troubles.always(None),
        Step::DrainModel(server) => replace_model(scene, server, true).await?,
        Step::CrashModel(server) => replace_model(scene, server, false).await?,
        Step::Patch => add_route(scene).await?,
    }
    Ok(())
}

fn start_all(scene: &mut Scene) -> anyhow::Result<()> {
    for place in 0..scene.system.machines().len() {
        if !scene.system.machines()[place].is_running() {
            scene.system.restart(place)?;
        }
    }
    Ok(())
}

/// A new server comes; the old one leaves in order or is gone at once.
async fn replace_model(scene: &mut Scene, server: usize, in_order: bool) -> anyhow::Result<()> {
    let new = scene.add_engine().await?;
    if in_order {
        scene.engines[server].registration.drain().await;
    }
    let old = scene.engines.swap_remove(server);
    debug_assert!(new >= server, "the new server is behind the old one");
    if in_order {
        tokio::spawn(async move {
            old.drained().await;
            old.registration.leave().await;
        });
    }
    Ok(())
}

async fn add_route(scene: &mut Scene) -> anyhow::Result<()> {
    let Some(mut plan) = scene.configurations.last().cloned() else { return Ok(()) };
    let base = plan.generation;
    plan.generation += 2;
    let name = format!("added-{}", plan.generation);
    let route = RoutePlan::new(&name, HOST, &format!("/{name}/"), Kind::ReadOnly, TOOLS);
    plan.routes.push(route.clone());
    let body = patch(plan.generation, &[route], &[]);
    scene.configurations.push(plan);
    let answer = scene.operator.patch(base, &body, ORDER_LIMIT).await?;
    anyhow::ensure!(answer.status == 200, "a patch: {}", answer.status);
    Ok(())
}
