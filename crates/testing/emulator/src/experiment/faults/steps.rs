//! The steps of faults, carried out.

use super::{Action, Faults};
use anyhow::ensure;
use dunespur_emulator::client::Kind;
use dunespur_emulator::configuration::{patch, RoutePlan};
use dunespur_emulator::scene::{Scene, HOST, TOOLS};
use dunespur_emulator::server::Trouble;
use dunespur_emulator::system::{MachinePlan, Role};
use std::time::Duration;

/// An order has so long to be acknowledged.
const ORDER_LIMIT: Duration = Duration::from_secs(10);
/// Pause between two looks at a machine that is being emptied.
const RETIRE_LOOK: Duration = Duration::from_millis(200);
/// A machine that is not empty by then stays.
const RETIRE_PATIENCE: Duration = Duration::from_secs(30);
/// The time that an order to empty a machine names.
const RETIRE_DEADLINE_S: u64 = 10;

/// One thing that is done; machines by place, servers by number.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    Kill(usize),
    Start(usize),
    Terminate(usize),
    /// A process that was asked to leave, the so manieth of its machine, has had its time.
    StartAfterLeave {
        place: usize,
        process: u32,
    },
    Freeze(usize),
    Thaw(usize),
    Wipe(usize),
    KillAll,
    StartAll,
    /// A machine is lost for good.
    TakeAway(usize),
    /// An empty machine comes in the place of one that was lost.
    Replace(usize),
    Retire(usize),
    /// Looks whether the machine is empty; gives up at a time.
    AwaitRetired {
        place: usize,
        until: Duration,
    },
    Add(Role),
    LoseAnswers(usize),
    EndTrouble(usize),
    DrainModel(usize),
    CrashModel(usize),
    Patch,
}

impl Step {
    /// The machine whose process gets a signal that it outlives at first; nothing happens where none runs.
    fn signals(self) -> Option<usize> {
        match self {
            Step::Terminate(place) | Step::Freeze(place) | Step::Thaw(place) => Some(place),
            _ => None,
        }
    }
}

impl Faults {
    pub(super) async fn carry_out(
        &mut self,
        scene: &mut Scene,
        action: Action,
    ) -> anyhow::Result<()> {
        if action
            .step
            .signals()
            .is_some_and(|place| !scene.system.machines()[place].is_running())
        {
            return Ok(());
        }
        match action.step {
            Step::Kill(place) => scene.system.machine(place).kill(),
            Step::Start(place) => start(scene, place)?,
            Step::Terminate(place) => scene.terminate(place)?,
            Step::StartAfterLeave { place, process } => {
                if scene.system.machines()[place].starts() == process {
                    scene.system.machine(place).kill();
                    start(scene, place)?;
                }
            }
            Step::Freeze(place) => scene.system.machine(place).freeze()?,
            Step::Thaw(place) => scene.system.machine(place).thaw()?,
            Step::Wipe(place) => scene.system.wipe(place)?,
            Step::KillAll => scene.system.kill_all(),
            Step::StartAll => self.start_all(scene)?,
            Step::TakeAway(place) => self.take_away(scene, place),
            Step::Replace(place) => {
                self.add(scene, scene.system.machines()[place].plan().clone())?
            }
            Step::Retire(place) => self.retire(scene, place, action.at).await?,
            Step::AwaitRetired { place, until } => {
                self.await_retired(scene, place, until, action.at).await?
            }
            Step::Add(role) => {
                let zone = scene.system.machines()[0].plan().zone.clone();
                self.add(scene, MachinePlan::new(role, &zone))?;
            }
            Step::LoseAnswers(server) => {
                scene.plains[server]
                    .server
                    .door
                    .troubles
                    .always(Some(Trouble::AnswerLost));
            }
            Step::EndTrouble(server) => scene.plains[server].server.door.troubles.always(None),
            Step::DrainModel(server) => drain_model(scene, server).await?,
            Step::CrashModel(server) => {
                scene.add_engine().await?;
                drop(scene.engines.swap_remove(server));
            }
            Step::Patch => add_route(scene).await?,
        }
        Ok(())
    }

    fn start_all(&self, scene: &mut Scene) -> anyhow::Result<()> {
        for place in 0..scene.system.machines().len() {
            if !self.gone.contains(&place) {
                start(scene, place)?;
            }
        }
        Ok(())
    }

    fn take_away(&mut self, scene: &mut Scene, place: usize) {
        scene.system.machine(place).kill();
        self.gone.insert(place);
        self.machines_changed(scene);
    }

    fn add(&mut self, scene: &mut Scene, plan: MachinePlan) -> anyhow::Result<()> {
        scene.system.join(plan)?;
        self.machines_changed(scene);
        Ok(())
    }

    async fn retire(
        &mut self,
        scene: &mut Scene,
        place: usize,
        at: Duration,
    ) -> anyhow::Result<()> {
        let name = scene.system.machines()[place].name().to_owned();
        let answer = scene
            .operator
            .retire(&name, RETIRE_DEADLINE_S, ORDER_LIMIT)
            .await?;
        ensure!(
            [200, 409].contains(&answer.status),
            "retiring {name}: {}",
            answer.status
        );
        if answer.status == 200 {
            let step = Step::AwaitRetired {
                place,
                until: at + RETIRE_PATIENCE,
            };
            self.actions.push(Action {
                at: at + RETIRE_LOOK,
                step,
            });
        }
        Ok(())
    }

    async fn await_retired(
        &mut self,
        scene: &mut Scene,
        place: usize,
        until: Duration,
        at: Duration,
    ) -> anyhow::Result<()> {
        if self.gone.contains(&place) {
            return Ok(());
        }
        let name = scene.system.machines()[place].name().to_owned();
        let answer = scene.operator.retirement(&name, ORDER_LIMIT).await?;
        if String::from_utf8_lossy(&answer.body).contains("done") {
            self.take_away(scene, place);
            return Ok(());
        }
        if at < until {
            let step = Step::AwaitRetired { place, until };
            self.actions.push(Action {
                at: at + RETIRE_LOOK,
                step,
            });
            return Ok(());
        }
        eprintln!("{name} is not empty after {RETIRE_PATIENCE:?}");
        Ok(())
    }
}

fn start(scene: &mut Scene, place: usize) -> anyhow::Result<()> {
    if scene.system.machines()[place].is_running() {
        return Ok(());
    }
    scene.system.restart(place)
}

/// A new server comes, the old one leaves in order.
async fn drain_model(scene: &mut Scene, server: usize) -> anyhow::Result<()> {
    scene.add_engine().await?;
    let old = scene.engines.swap_remove(server);
    tokio::spawn(async move {
        old.registration.drain().await;
        old.drained().await;
        old.registration.leave().await;
    });
    Ok(())
}

async fn add_route(scene: &mut Scene) -> anyhow::Result<()> {
    let Some(current) = scene.configurations.last().cloned() else {
        return Ok(());
    };
    let generation = current.generation + 2;
    let name = format!("added-{generation}");
    let route = RoutePlan::new(&name, HOST, &format!("/{name}/"), Kind::ReadOnly, TOOLS);
    let body = patch(generation, std::slice::from_ref(&route), &[]);
    scene
        .configurations
        .push(current.patched(generation, &[route], &[]));
    let answer = scene
        .operator
        .patch(current.generation, &body, ORDER_LIMIT)
        .await?;
    ensure!(answer.status == 200, "a patch: {}", answer.status);
    Ok(())
}
