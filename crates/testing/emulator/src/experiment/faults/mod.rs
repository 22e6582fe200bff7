//! What happens to the system while traffic runs: faults of the file, taken apart into steps with their times.

mod carry_out;
mod step;

use super::file::{Experiment, Fault, FaultKind};
use dunespur_emulator::ingress::{Entry, Ingress};
use dunespur_emulator::judge::Span;
use dunespur_emulator::scene::Scene;
use dunespur_emulator::system::Role;
use std::collections::BTreeSet;
use std::time::Duration;
use step::{Action, Step};

/// A process is killed this long after SIGTERM.
const GRACE_S: f64 = 8.0;
/// A machine has contact again this long after its fault.
const CONTACT_MS: u64 = 3_000;

/// All that is still to be done, by time.
pub struct Faults {
    planned: Vec<Fault>,
    actions: Vec<Action>,
    /// Indices of decommissioned machines.
    removed: BTreeSet<usize>,
    disturbances: Vec<Span>,
    ingress: Ingress,
}

impl Faults {
    pub fn new(scene: &Scene, experiment: &Experiment) -> Faults {
        let ingress = Ingress::start(scene.client.clone(), entries(scene, &BTreeSet::new()));
        Faults {
            planned: experiment.faults.clone(),
            actions: Vec::new(),
            removed: BTreeSet::new(),
            disturbances: Vec::new(),
            ingress,
        }
    }

    /// Does all that is due by now.
    pub async fn due(&mut self, scene: &mut Scene, now: Duration) -> anyhow::Result<()> {
        let (due, planned) = std::mem::take(&mut self.planned)
            .into_iter()
            .partition(|fault| now.as_secs_f64() >= fault.at_s);
        self.planned = planned;
        for fault in due {
            self.begin(scene, &fault);
        }
        self.actions.sort_by_key(|action| action.at);
        while self.actions.first().is_some_and(|action| action.at <= now) {
            let action = self.actions.remove(0);
            self.carry_out(scene, action).await?;
        }
        Ok(())
    }

    /// Whether everything has been done.
    pub fn ended(&self) -> bool {
        self.planned.is_empty() && self.actions.is_empty()
    }

    /// When machines were without contact.
    pub fn disturbances(&self) -> Vec<Span> {
        self.disturbances.clone()
    }

    fn begin(&mut self, scene: &Scene, fault: &Fault) {
        if !fault.kind.leaves_in_touch() {
            let from_ms = scene.clock.now_ms();
            let lasting_ms = (fault.lasts_s * 1_000.0) as u64;
            self.disturbances.push(Span {
                from_ms,
                to_ms: from_ms + lasting_ms + CONTACT_MS,
            });
        }
        let at = |after: f64| Duration::from_secs_f64(fault.at_s + after);
        let actions = self.steps(scene, fault).into_iter();
        self.actions.extend(actions.map(|step| Action {
            at: at(step.after_s),
            step: step.step,
        }));
    }

    /// The steps of a fault; none where its machine was decommissioned.
    fn steps(&self, scene: &Scene, fault: &Fault) -> Vec<Timed> {
        let Some(target) = self.target(scene, fault) else {
            return Vec::new();
        };
        let lasting = |first, then| vec![now(first), after(fault.lasts_s, then)];
        match fault.kind {
            FaultKind::KillCore | FaultKind::KillGateway | FaultKind::KillStore => {
                lasting(Step::Kill(target), Step::Start(target))
            }
            FaultKind::KillAll => lasting(Step::KillAll, Step::StartAll),
            FaultKind::TerminateCore | FaultKind::TerminateGateway => {
                let process = scene.system.machines()[target].starts();
                let start = Step::StartAfterLeave {
                    index: target,
                    process,
                };
                vec![now(Step::Terminate(target)), after(GRACE_S, start)]
            }
            FaultKind::FreezeCore | FaultKind::FreezeStore => {
                lasting(Step::Freeze(target), Step::Thaw(target))
            }
            FaultKind::WipeCore | FaultKind::WipeStore => vec![now(Step::Wipe(target))],
            FaultKind::ReplaceCore | FaultKind::ReplaceStore => {
                lasting(Step::Decommission(target), Step::Replace(target))
            }
            FaultKind::RetireStore => vec![now(Step::Retire(target))],
            FaultKind::AddGateway => vec![now(Step::Add(Role::Gateway))],
            FaultKind::AddStore => vec![now(Step::Add(Role::Store))],
            FaultKind::LoseAnswers => lasting(Step::LoseAnswers(target), Step::EndFault(target)),
            FaultKind::ReplaceModel => vec![now(Step::DrainModel(target))],
            FaultKind::CrashModel => vec![now(Step::CrashModel(target))],
            FaultKind::Patch => vec![now(Step::Patch)],
        }
    }

    /// The machine or server that a fault is about.
    fn target(&self, scene: &Scene, fault: &Fault) -> Option<usize> {
        let Some(role) = fault.kind.role() else {
            return Some(fault.number);
        };
        let machine_indices = scene.system.machine_indices(|plan| plan.role == role);
        let left: Vec<usize> = machine_indices
            .into_iter()
            .filter(|index| !self.removed.contains(index))
            .collect();
        if left.is_empty() {
            return None;
        }
        Some(left[fault.number % left.len()])
    }

    fn machines_changed(&mut self, scene: &mut Scene) {
        self.ingress.set_entries(entries(scene, &self.removed));
        let controls = scene
            .system
            .machine_indices(|plan| plan.role != Role::Store);
        let left = controls
            .into_iter()
            .filter(|index| !self.removed.contains(index));
        let controls: Vec<_> = left.map(|index| scene.system.control(index)).collect();
        scene.operator.set_controls(controls.clone());
        for engine in &scene.engines {
            engine.registration.set_controls(controls.clone());
        }
        for plain in &scene.plains {
            plain.registration.set_controls(controls.clone());
        }
    }
}

/// A step and its time from the fault's beginning.
struct Timed {
    after_s: f64,
    step: Step,
}

fn now(step: Step) -> Timed {
    after(0.0, step)
}

fn after(after_s: f64, step: Step) -> Timed {
    Timed { after_s, step }
}

fn entries(scene: &Scene, removed: &BTreeSet<usize>) -> Vec<Entry> {
    let gateways = scene
        .system
        .machine_indices(|plan| plan.role != Role::Store);
    let left = gateways
        .into_iter()
        .filter(|index| !removed.contains(index));
    left.map(|index| Entry {
        ready: scene.system.ready_address(index),
        front: scene.system.front(index),
    })
    .collect()
}
