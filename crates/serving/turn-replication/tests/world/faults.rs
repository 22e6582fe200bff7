//! Faults and the checks after them. No more faults than tolerated happen at the same time, and each fault is followed
//! by the time to catch up.

use dunespur_control_state::RetirementOutcome;

use super::machine::MachineState;
use super::{Event, World, CATCH_UP_MS};

/// Maximum time that a machine is frozen or partitioned, in milliseconds.
pub const MAX_IMPAIRMENT_MS: u64 = 5_000;

/// A kind of fault, or a change that the operator makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The process ends and is restarted; the disk keeps its contents.
    Kill,
    /// The process ends and the disk is lost.
    Wipe,
    Freeze,
    /// The machine can neither send nor receive messages.
    Partition,
    /// The machine is partitioned from the core and the other stores.
    PeerPartition,
    /// All processes end at the same time; the disks keep their contents.
    KillAll,
    /// A machine is removed and an empty machine with another name joins.
    Replace,
    Add,
    Retire,
}

impl FaultKind {
    /// Every kind once.
    pub const ALL: [FaultKind; 9] = [
        FaultKind::Kill,
        FaultKind::Wipe,
        FaultKind::Freeze,
        FaultKind::Partition,
        FaultKind::PeerPartition,
        FaultKind::KillAll,
        FaultKind::Replace,
        FaultKind::Add,
        FaultKind::Retire,
    ];
}

/// One of the faults that may be in progress at the same time.
#[derive(Debug, Default)]
pub struct FaultSlot {
    /// The machine with the fault.
    machine: Option<usize>,
    /// Whether the contents of the machine's disk are lost.
    is_disk_lost: bool,
}

impl World {
    pub(super) fn next_fault(&mut self, slot: usize) {
        if self.now_ms > self.plan.faults_until_ms {
            return self.begin_fault_free_period();
        }
        let kind = self.plan.faults[self.rng.usize(0..self.plan.faults.len())];
        let Some(machine) = self.pick_machine() else {
            return self.schedule_after(500, Event::NextFault { slot });
        };
        self.statistics.faults += 1;
        if kind == FaultKind::Retire {
            // Nothing is lost by a retirement, so the next fault may begin while the store drains.
            self.retire(machine);
            let delay_ms = self.rng.u64(0..1_500);
            return self.schedule_after(delay_ms, Event::NextFault { slot });
        }
        self.slots[slot].machine = Some(machine);
        self.slots[slot].is_disk_lost = matches!(kind, FaultKind::Wipe | FaultKind::Replace);
        let back_after_ms = match kind {
            FaultKind::Kill => self.kill(machine),
            FaultKind::Wipe => self.wipe(machine),
            FaultKind::Freeze => self.impair(machine, MachineState::Frozen),
            FaultKind::Partition => self.impair(machine, MachineState::Partitioned),
            FaultKind::PeerPartition => self.impair(machine, MachineState::PartitionedFromPeers),
            FaultKind::KillAll => self.kill_all(),
            FaultKind::Replace => self.replace(machine),
            FaultKind::Add => self.add(),
            FaultKind::Retire => 0,
        };
        self.schedule_after(back_after_ms + CATCH_UP_MS, Event::CatchUpEnd { slot });
    }

    /// Picks a running machine without a fault; `None` if there is none.
    fn pick_machine(&mut self) -> Option<usize> {
        let is_faulty = |machine_index: &usize| {
            let mut slots = self.slots.iter();
            slots.any(|slot| slot.machine == Some(*machine_index))
        };
        let available: Vec<usize> = (0..self.machines.len())
            .filter(|machine_index| self.machines[*machine_index].is_reachable())
            .filter(|machine_index| !is_faulty(machine_index))
            .collect();
        let mut faulty = self.slots.iter().filter_map(|slot| slot.machine);
        let faulty_machine = faulty.next().filter(|_| self.plan.faults_in_one_zone);
        let same_zone: Vec<usize> = faulty_machine.map_or_else(Vec::new, |faulty_machine| {
            let zone = &self.machines[faulty_machine].zone;
            let mut same_zone = available.clone();
            same_zone.retain(|machine_index| self.machines[*machine_index].zone == *zone);
            same_zone
        });
        self.rng.choice(if same_zone.is_empty() {
            available
        } else {
            same_zone
        })
    }

    fn kill(&mut self, machine: usize) -> u64 {
        self.end_process(machine);
        let back_after_ms = self.rng.u64(100..4_000);
        self.schedule_after(back_after_ms, Event::Start { machine });
        back_after_ms
    }

    fn wipe(&mut self, machine: usize) -> u64 {
        self.end_process(machine);
        self.lose_disk(machine);
        let back_after_ms = self.rng.u64(100..2_500);
        self.open_exposure(FaultKind::Wipe, back_after_ms);
        self.schedule_after(back_after_ms, Event::Start { machine });
        back_after_ms
    }

    fn impair(&mut self, machine: usize, state: MachineState) -> u64 {
        self.machines[machine].state = state;
        let back_after_ms = self.rng.u64(50..MAX_IMPAIRMENT_MS);
        self.schedule_after(back_after_ms, Event::Resume { machine });
        back_after_ms
    }

    fn kill_all(&mut self) -> u64 {
        let max_down_ms = 1_500;
        self.restart_all(max_down_ms);
        max_down_ms
    }

    /// Ends all processes; each starts again within `max_down_ms`.
    fn restart_all(&mut self, max_down_ms: u64) {
        for machine in 0..self.machines.len() {
            if self.machines[machine].is_reachable() {
                self.end_process(machine);
                let back_after_ms = self.rng.u64(100..max_down_ms);
                self.schedule_after(back_after_ms, Event::Start { machine });
            }
        }
    }

    fn replace(&mut self, machine: usize) -> u64 {
        self.end_process(machine);
        self.lose_disk(machine);
        self.machines[machine].state = MachineState::Removed;
        let back_after_ms = self.add();
        self.open_exposure(FaultKind::Replace, back_after_ms);
        back_after_ms
    }

    fn add(&mut self) -> u64 {
        let machine = self.add_machine();
        let back_after_ms = self.rng.u64(100..2_000);
        self.schedule_after(back_after_ms, Event::Join { machine });
        back_after_ms
    }

    /// Requests the retirement of a store, as the operator does; the request may be repeated while the store drains.
    fn retire(&mut self, machine: usize) {
        let name = self.machines[machine].name.clone();
        let is_known = self.is_listed(&name);
        let now_ms = self.now_ms;
        let requested_at_ms = self.machines[machine].retirement_requested_at_ms;
        match self.request_retirement(&name) {
            RetirementOutcome::Accepted => {
                let machine = &mut self.machines[machine];
                machine.retirement_requested_at_ms.get_or_insert(now_ms);
            }
            _ if requested_at_ms.is_some() => {
                self.fail("an accepted request to retire a store is rejected when it is repeated");
            }
            RetirementOutcome::TooFew => self.statistics.rejected_retirements += 1,
            RetirementOutcome::UnknownNode if is_known => {
                self.fail("the core reports a listed store as an unknown node");
            }
            RetirementOutcome::UnknownNode => {}
        }
    }

    /// Removes the machine and the disk of a store as soon as the core has agreed that the store is drained.
    pub(super) fn remove_drained(&mut self, machine: usize) {
        let Some(requested_at_ms) = self.machines[machine].retirement_requested_at_ms else {
            self.fail("a store is drained without a request to retire it");
        };
        if self.machines[machine].is_retired {
            return;
        }
        let statistics = &mut self.statistics;
        statistics.retired_stores += 1;
        let took_ms = self.now_ms - requested_at_ms;
        statistics.slowest_drain_ms = statistics.slowest_drain_ms.max(took_ms);
        self.machines[machine].is_retired = true;
        if self.machines[machine].node.is_some() {
            self.end_process(machine);
        }
        self.machines[machine].state = MachineState::Removed;
        self.lose_disk(machine);
        self.open_exposure(FaultKind::Retire, 0);
        let lost_disks = self.slots.iter().filter(|slot| slot.is_disk_lost).count();
        self.check_replicas_without(lost_disks);
    }

    pub(super) fn end_catch_up(&mut self, slot: usize) {
        self.check_replicas();
        self.slots[slot] = FaultSlot::default();
        let delay_ms = self.rng.u64(0..1_500);
        self.schedule_after(delay_ms, Event::NextFault { slot });
    }

    /// All machines lose power, and as many disks as tolerated are lost.
    pub(super) fn final_fault(&mut self) {
        let max_down_ms = 2_000;
        let slots = 0..self.plan.tolerated_losses;
        let wiped: Vec<usize> = slots.filter_map(|_| self.pick_machine()).collect();
        self.restart_all(max_down_ms);
        for machine in wiped {
            self.lose_disk(machine);
        }
        self.fault_free_since_ms = Some(self.now_ms + max_down_ms);
        self.schedule_after(max_down_ms + CATCH_UP_MS, Event::CheckReplicas);
    }

    fn begin_fault_free_period(&mut self) {
        let is_any_faulty = self.slots.iter().any(|slot| slot.machine.is_some());
        if !is_any_faulty && !self.plan.final_fault && self.fault_free_since_ms.is_none() {
            self.fault_free_since_ms = Some(self.now_ms);
        }
    }

    /// Checks that every guaranteed turn and its chain are on enough disks. The faulty machines of other slots count as
    /// lost; draining stores count until they are removed.
    pub(super) fn check_replicas(&mut self) {
        let slots = self.slots.iter();
        let faulty = slots.filter(|slot| slot.machine.is_some()).count();
        self.check_replicas_without(faulty.saturating_sub(1));
    }

    fn check_replicas_without(&mut self, lost: usize) {
        let required = (self.plan.tolerated_losses + 1).saturating_sub(lost);
        for id in self.history.guaranteed(self.now_ms).clone() {
            for turn in self.history.chain(&id) {
                let disks = self.count_replicas(&turn.id);
                if disks < required {
                    self.describe(&id);
                    let turn = &turn.id;
                    self.fail(&format!(
                        "{turn} of the chain of {id} is stored on {disks} disks"
                    ));
                }
            }
        }
    }

    /// Checks that at the end, after all faults, every store is complete or removed.
    pub(super) fn check_end(&mut self) {
        self.check_replicas();
        for machine in &self.machines {
            let is_complete = machine.node.as_ref().is_some_and(|node| node.is_complete());
            if machine.state == MachineState::Running && !is_complete {
                self.fail(&format!("{} is not complete at the end", machine.name));
            }
            let is_requested = machine.retirement_requested_at_ms.is_some();
            let is_removed = machine.state == MachineState::Removed;
            if is_requested && !machine.is_retired && !is_removed {
                self.fail(&format!("{} is not drained at the end", machine.name));
            }
        }
        if self.fault_free_since_ms.is_none() {
            self.fail("the faults never ended");
        }
    }
}
