//! Faults of an experiment: each is split into steps, which are executed at their times while traffic runs.

mod execute;
mod step;

use super::file::{Experiment, Fault, FaultKind};
use dunespur_emulator::ingress::{GatewayAddresses, Ingress};
use dunespur_emulator::judge::Span;
use dunespur_emulator::scene::Scene;
use dunespur_emulator::system::Role;
use std::collections::BTreeSet;
use std::time::Duration;
use step::{ScheduledStep, Step};

/// Time from SIGTERM until a process is killed, in seconds.
const GRACE_S: f64 = 8.0;
/// Time after the end of its fault within which a machine has contact again, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Faults that have not begun and steps that have not been executed.
pub struct Faults {
    /// Faults that have not begun.
    pending: Vec<Fault>,
    /// Steps of begun faults that have not been executed.
    steps: Vec<ScheduledStep>,
    /// Indices of decommissioned machines.
    removed: BTreeSet<usize>,
    disturbances: Vec<Span>,
    ingress: Ingress,
}

impl Faults {
    pub fn new(scene: &Scene, experiment: &Experiment) -> Faults {
        let ingress = Ingress::start(
            scene.client.clone(),
            gateway_addresses(scene, &BTreeSet::new()),
        );
        Faults {
            pending: experiment.faults.clone(),
            steps: Vec::new(),
            removed: BTreeSet::new(),
            disturbances: Vec::new(),
            ingress,
        }
    }

    /// Begins the faults and executes the steps that are due at `now`.
    pub async fn execute_due(&mut self, scene: &mut Scene, now: Duration) -> anyhow::Result<()> {
        let (due, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|fault| now.as_secs_f64() >= fault.at_s);
        self.pending = pending;
        for fault in due {
            self.begin(scene, &fault);
        }
        self.steps.sort_by_key(|step| step.at);
        while self.steps.first().is_some_and(|step| step.at <= now) {
            let step = self.steps.remove(0);
            self.execute(scene, step).await?;
        }
        Ok(())
    }

    /// Whether all faults have begun and all their steps have been executed.
    pub fn have_ended(&self) -> bool {
        self.pending.is_empty() && self.steps.is_empty()
    }

    /// Periods in which machines were without contact.
    pub fn disturbances(&self) -> Vec<Span> {
        self.disturbances.clone()
    }

    fn begin(&mut self, scene: &Scene, fault: &Fault) {
        if !fault.kind.keeps_contact() {
            let from_ms = scene.clock.now_ms();
            let duration_ms = (fault.lasts_s * 1_000.0) as u64;
            self.disturbances.push(Span {
                from_ms,
                to_ms: from_ms + duration_ms + CONTACT_MS,
            });
        }
        let at = |delay_s: f64| Duration::from_secs_f64(fault.at_s + delay_s);
        let steps = self.steps_of(scene, fault).into_iter();
        self.steps.extend(steps.map(|delayed| ScheduledStep {
            at: at(delayed.delay_s),
            step: delayed.step,
        }));
    }

    /// The steps of a fault; none where its machine was decommissioned.
    fn steps_of(&self, scene: &Scene, fault: &Fault) -> Vec<DelayedStep> {
        let Some(target) = self.target(scene, fault) else {
            return Vec::new();
        };
        let for_duration = |first, last| vec![immediately(first), after(fault.lasts_s, last)];
        match fault.kind {
            FaultKind::KillCore | FaultKind::KillGateway | FaultKind::KillStore => {
                for_duration(Step::Kill(target), Step::Start(target))
            }
            FaultKind::KillAll => for_duration(Step::KillAll, Step::StartAll),
            FaultKind::TerminateCore | FaultKind::TerminateGateway => {
                let process = scene.system.machines()[target].starts();
                let start = Step::StartAfterGracePeriod {
                    index: target,
                    process,
                };
                vec![immediately(Step::Terminate(target)), after(GRACE_S, start)]
            }
            FaultKind::FreezeCore | FaultKind::FreezeStore => {
                for_duration(Step::Freeze(target), Step::Thaw(target))
            }
            FaultKind::WipeCore | FaultKind::WipeStore => vec![immediately(Step::Wipe(target))],
            FaultKind::ReplaceCore | FaultKind::ReplaceStore => {
                for_duration(Step::Decommission(target), Step::Replace(target))
            }
            FaultKind::RetireStore => vec![immediately(Step::Retire(target))],
            FaultKind::AddGateway => vec![immediately(Step::Add(Role::Gateway))],
            FaultKind::AddStore => vec![immediately(Step::Add(Role::Store))],
            FaultKind::LoseAnswers => {
                for_duration(Step::LoseAnswers(target), Step::EndFault(target))
            }
            FaultKind::ReplaceModel => vec![immediately(Step::DrainModel(target))],
            FaultKind::CrashModel => vec![immediately(Step::CrashModel(target))],
            FaultKind::Patch => vec![immediately(Step::Patch)],
        }
    }

    /// Index of the machine or number of the server that a fault affects; `None` where no machine of the role is left.
    fn target(&self, scene: &Scene, fault: &Fault) -> Option<usize> {
        let Some(role) = fault.kind.role() else {
            return Some(fault.number);
        };
        let machine_indices = scene.system.machine_indices(|plan| plan.role == role);
        let remaining: Vec<usize> = machine_indices
            .into_iter()
            .filter(|index| !self.removed.contains(index))
            .collect();
        if remaining.is_empty() {
            return None;
        }
        Some(remaining[fault.number % remaining.len()])
    }

    /// Passes the addresses of the remaining gateways to the ingress, the operator and the servers.
    fn update_gateway_addresses(&mut self, scene: &mut Scene) {
        self.ingress
            .set_gateways(gateway_addresses(scene, &self.removed));
        let controls = scene
            .system
            .machine_indices(|plan| plan.role != Role::Store);
        let remaining = controls
            .into_iter()
            .filter(|index| !self.removed.contains(index));
        let controls: Vec<_> = remaining.map(|index| scene.system.control(index)).collect();
        scene.operator.set_controls(controls.clone());
        for engine in &scene.engines {
            engine.registration.set_controls(controls.clone());
        }
        for plain in &scene.plains {
            plain.registration.set_controls(controls.clone());
        }
    }
}

/// A step and its delay from the beginning of its fault, in seconds.
struct DelayedStep {
    delay_s: f64,
    step: Step,
}

fn immediately(step: Step) -> DelayedStep {
    after(0.0, step)
}

fn after(delay_s: f64, step: Step) -> DelayedStep {
    DelayedStep { delay_s, step }
}

/// Addresses of all gateways that have not been decommissioned.
fn gateway_addresses(scene: &Scene, removed: &BTreeSet<usize>) -> Vec<GatewayAddresses> {
    let gateways = scene
        .system
        .machine_indices(|plan| plan.role != Role::Store);
    let remaining = gateways
        .into_iter()
        .filter(|index| !removed.contains(index));
    remaining
        .map(|index| GatewayAddresses {
            ready: scene.system.ready_address(index),
            front: scene.system.front(index),
        })
        .collect()
}
