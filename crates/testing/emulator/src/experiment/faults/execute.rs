//! Execution of the steps that faults consist of.

use super::step::{ScheduledStep, Step};
use super::Faults;
use anyhow::ensure;
use dunespur_emulator::client::RequestKind;
use dunespur_emulator::configuration::{patch, RoutePlan};
use dunespur_emulator::scene::{Scene, HOST, TOOLS};
use dunespur_emulator::server::ServerFault;
use dunespur_emulator::system::MachinePlan;
use std::time::Duration;

/// Time limit for the acknowledgement of an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the retirement of a machine is polled.
const RETIRE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit for a machine's retirement; a machine that is not empty by then stays in the system.
const RETIRE_TIMEOUT: Duration = Duration::from_secs(30);
/// Deadline that an order to retire a machine states, in seconds.
const RETIRE_DEADLINE_S: u64 = 10;

impl Faults {
    pub(super) async fn execute(
        &mut self,
        scene: &mut Scene,
        step: ScheduledStep,
    ) -> anyhow::Result<()> {
        if step
            .step
            .signalled_machine()
            .is_some_and(|index| !scene.system.machines()[index].is_running())
        {
            return Ok(());
        }
        match step.step {
            Step::Kill(index) => scene.system.machine(index).kill(),
            Step::Start(index) => start(scene, index)?,
            Step::Terminate(index) => scene.terminate(index)?,
            Step::StartAfterGracePeriod { index, process } => {
                if scene.system.machines()[index].starts() == process {
                    scene.system.machine(index).kill();
                    start(scene, index)?;
                }
            }
            Step::Freeze(index) => scene.system.machine(index).freeze()?,
            Step::Thaw(index) => scene.system.machine(index).thaw()?,
            Step::Wipe(index) => scene.system.wipe(index)?,
            Step::KillAll => scene.system.kill_all(),
            Step::StartAll => self.start_all(scene)?,
            Step::Decommission(index) => self.decommission(scene, index),
            Step::Replace(index) => {
                self.add(scene, scene.system.machines()[index].plan().clone())?
            }
            Step::Retire(index) => self.retire(scene, index, step.at).await?,
            Step::AwaitRetired { index, deadline } => {
                self.await_retired(scene, index, deadline, step.at).await?
            }
            Step::Add(role) => {
                let zone = scene.system.machines()[0].plan().zone.clone();
                self.add(scene, MachinePlan::new(role, &zone))?;
            }
            Step::LoseAnswers(server) => {
                scene.plains[server]
                    .server
                    .handle
                    .faults
                    .always(Some(ServerFault::AnswerLost));
            }
            Step::EndFault(server) => scene.plains[server].server.handle.faults.always(None),
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
        for index in 0..scene.system.machines().len() {
            if !self.removed.contains(&index) {
                start(scene, index)?;
            }
        }
        Ok(())
    }

    fn decommission(&mut self, scene: &mut Scene, index: usize) {
        scene.system.machine(index).kill();
        self.removed.insert(index);
        self.update_gateway_addresses(scene);
    }

    fn add(&mut self, scene: &mut Scene, plan: MachinePlan) -> anyhow::Result<()> {
        scene.system.join(plan)?;
        self.update_gateway_addresses(scene);
        Ok(())
    }

    async fn retire(
        &mut self,
        scene: &mut Scene,
        index: usize,
        at: Duration,
    ) -> anyhow::Result<()> {
        let name = scene.system.machines()[index].name().to_owned();
        let answer = scene
            .operator
            .retire(&name, RETIRE_DEADLINE_S, ORDER_TIMEOUT)
            .await?;
        ensure!(
            [200, 409].contains(&answer.status),
            "the order to retire {name} was answered with status {}",
            answer.status
        );
        if answer.status == 200 {
            let step = Step::AwaitRetired {
                index,
                deadline: at + RETIRE_TIMEOUT,
            };
            self.steps.push(ScheduledStep {
                at: at + RETIRE_POLL_INTERVAL,
                step,
            });
        }
        Ok(())
    }

    async fn await_retired(
        &mut self,
        scene: &mut Scene,
        index: usize,
        deadline: Duration,
        at: Duration,
    ) -> anyhow::Result<()> {
        if self.removed.contains(&index) {
            return Ok(());
        }
        let name = scene.system.machines()[index].name().to_owned();
        let answer = scene.operator.retirement(&name, ORDER_TIMEOUT).await?;
        if String::from_utf8_lossy(&answer.body).contains("done") {
            self.decommission(scene, index);
            return Ok(());
        }
        if at < deadline {
            let step = Step::AwaitRetired { index, deadline };
            self.steps.push(ScheduledStep {
                at: at + RETIRE_POLL_INTERVAL,
                step,
            });
            return Ok(());
        }
        eprintln!("the retirement of {name} has not finished within {RETIRE_TIMEOUT:?}; the machine stays");
        Ok(())
    }
}

/// Starts a machine, unless its process is running.
fn start(scene: &mut Scene, index: usize) -> anyhow::Result<()> {
    if scene.system.machines()[index].is_running() {
        return Ok(());
    }
    scene.system.restart(index)?;
    Ok(())
}

/// Starts a new model server, then drains the old one in the background.
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
    let route = RoutePlan::new(
        &name,
        HOST,
        &format!("/{name}/"),
        RequestKind::ReadOnly,
        TOOLS,
    );
    let body = patch(generation, std::slice::from_ref(&route), &[]);
    scene
        .configurations
        .push(current.patched(generation, &[route], &[]));
    let answer = scene
        .operator
        .patch(current.generation, &body, ORDER_TIMEOUT)
        .await?;
    ensure!(
        answer.status == 200,
        "the patch that adds a route was answered with status {}",
        answer.status
    );
    Ok(())
}
