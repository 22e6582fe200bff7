//! Trouble, never more at one time than is tolerated, each followed by the time to catch up.

use dunespur_control_state::RetirementOutcome;

use super::machine::Trouble;
use super::{Event, World, CATCH_UP_MS};

/// The longest that a machine is frozen or cut off.
pub const LONGEST_TROUBLE_MS: u64 = 5_000;

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The process ends and is started again; the disk stays.
    Kill,
    /// The process ends and the disk is lost.
    Wipe,
    Freeze,
    CutOff,
    CutFromStores,
    /// All processes end at once; the disks stay.
    KillAll,
    /// A machine is gone for good and an empty one of another name comes.
    Replace,
    Add,
    Retire,
}

/// One of the machines that may be in trouble.
#[derive(Debug, Default)]
pub struct Slot {
    machine: Option<usize>,
    /// What the machine's disk held is lost.
    disk_lost: bool,
}

impl World {
    pub(super) fn next_fault(&mut self, slot: usize) {
        if self.now_ms > self.plan.faults_until_ms {
            return self.grow_calm();
        }
        let kind = self.plan.faults[self.rng.usize(0..self.plan.faults.len())];
        let Some(machine) = self.pick_machine() else {
            return self.after(500, Event::NextFault { slot });
        };
        self.seen.faults += 1;
        if kind == FaultKind::Retire {
            // No loss: the next trouble may come while the store is being emptied.
            self.retire(machine);
            let delay_ms = self.rng.u64(0..1_500);
            return self.after(delay_ms, Event::NextFault { slot });
        }
        self.slots[slot].machine = Some(machine);
        self.slots[slot].disk_lost = matches!(kind, FaultKind::Wipe | FaultKind::Replace);
        let back_after_ms = match kind {
            FaultKind::Kill => self.kill(machine),
            FaultKind::Wipe => self.wipe(machine),
            FaultKind::Freeze => self.hold_up(machine, Trouble::Frozen),
            FaultKind::CutOff => self.hold_up(machine, Trouble::CutOff),
            FaultKind::CutFromStores => self.hold_up(machine, Trouble::CutFromStores),
            FaultKind::KillAll => self.kill_all(),
            FaultKind::Replace => self.replace(machine),
            FaultKind::Add => self.add(),
            FaultKind::Retire => 0,
        };
        self.after(back_after_ms + CATCH_UP_MS, Event::CaughtUp { slot });
    }

    /// A machine that is in no trouble.
    fn pick_machine(&mut self) -> Option<usize> {
        let in_trouble =
            |number: &usize| self.slots.iter().any(|slot| slot.machine == Some(*number));
        let fit: Vec<usize> = (0..self.machines.len())
            .filter(|number| self.machines[*number].is_reachable())
            .filter(|number| !in_trouble(number))
            .collect();
        self.rng.choice(fit)
    }

    fn kill(&mut self, machine: usize) -> u64 {
        self.end_process(machine);
        let back_after_ms = self.rng.u64(100..4_000);
        self.after(back_after_ms, Event::Start { machine });
        back_after_ms
    }

    fn wipe(&mut self, machine: usize) -> u64 {
        self.end_process(machine);
        self.lose_disk(machine);
        self.open_window(FaultKind::Wipe);
        let back_after_ms = self.rng.u64(100..2_500);
        self.after(back_after_ms, Event::Start { machine });
        back_after_ms
    }

    fn hold_up(&mut self, machine: usize, trouble: Trouble) -> u64 {
        self.machines[machine].trouble = trouble;
        let back_after_ms = self.rng.u64(50..LONGEST_TROUBLE_MS);
        self.after(back_after_ms, Event::Thaw { machine });
        back_after_ms
    }

    fn kill_all(&mut self) -> u64 {
        for machine in 0..self.machines.len() {
            if self.machines[machine].is_reachable() {
                self.end_process(machine);
                let back_after_ms = self.rng.u64(100..1_500);
                self.after(back_after_ms, Event::Start { machine });
            }
        }
        1_500
    }

    fn replace(&mut self, machine: usize) -> u64 {
        self.end_process(machine);
        self.lose_disk(machine);
        self.machines[machine].trouble = Trouble::Gone;
        self.open_window(FaultKind::Replace);
        self.add()
    }

    fn add(&mut self) -> u64 {
        let machine = self.add_machine();
        let back_after_ms = self.rng.u64(100..2_000);
        self.after(back_after_ms, Event::Join { machine });
        back_after_ms
    }

    pub(super) fn join(&mut self, machine: usize) {
        self.start(machine);
    }

    /// The operator orders a store to be emptied; the order may come again while it is.
    fn retire(&mut self, machine: usize) {
        let name = self.machines[machine].name.clone();
        let known = self.lists(&name);
        let now_ms = self.now_ms;
        let taken_before = self.machines[machine].retire_told_at_ms.is_some();
        match self.order_to_retire(&name) {
            RetirementOutcome::Accepted => {
                self.machines[machine]
                    .retire_told_at_ms
                    .get_or_insert(now_ms);
            }
            _ if taken_before => {
                self.fail("an order that was taken is refused when it comes again")
            }
            RetirementOutcome::TooFew => self.seen.too_few += 1,
            RetirementOutcome::UnknownNode if known => {
                self.fail("a known store is said to be unknown")
            }
            RetirementOutcome::UnknownNode => {}
        }
    }

    /// The core has agreed that a store is empty: its machine is taken away at once, with its disk.
    pub(super) fn emptied(&mut self, machine: usize) {
        let Some(told_at_ms) = self.machines[machine].retire_told_at_ms else {
            self.fail("a store is emptied that nobody asked to be");
        };
        if self.machines[machine].retired {
            return;
        }
        self.seen.retired += 1;
        self.seen.slowest_retire_ms = self.seen.slowest_retire_ms.max(self.now_ms - told_at_ms);
        self.machines[machine].retired = true;
        if self.machines[machine].node.is_some() {
            self.end_process(machine);
        }
        self.machines[machine].trouble = Trouble::Gone;
        self.lose_disk(machine);
        self.open_window(FaultKind::Retire);
        self.check_copies_but(self.slots.iter().filter(|slot| slot.disk_lost).count());
    }

    pub(super) fn caught_up(&mut self, slot: usize) {
        self.check_copies();
        self.slots[slot] = Slot::default();
        let delay_ms = self.rng.u64(0..1_500);
        self.after(delay_ms, Event::NextFault { slot });
    }

    /// Everything loses power, and some disks are lost.
    pub(super) fn final_fault(&mut self) {
        let wiped: Vec<usize> = (0..self.plan.tolerated)
            .filter_map(|_| self.pick_machine())
            .collect();
        for machine in 0..self.machines.len() {
            if self.machines[machine].is_reachable() {
                self.end_process(machine);
                let back_after_ms = self.rng.u64(100..2_000);
                self.after(back_after_ms, Event::Start { machine });
            }
        }
        for machine in wiped {
            self.lose_disk(machine);
        }
        self.calm_since_ms = Some(self.now_ms + 2_000);
        self.after(2_000 + CATCH_UP_MS, Event::CheckCopies);
    }

    fn grow_calm(&mut self) {
        let in_trouble = self.slots.iter().any(|slot| slot.machine.is_some());
        if !in_trouble && !self.plan.final_fault && self.calm_since_ms.is_none() {
            self.calm_since_ms = Some(self.now_ms);
        }
    }

    /// Every owed turn lies with its chain on as many disks as it must, those in trouble of another slot and
    /// those that are being emptied counted as lost or kept as they are.
    pub(super) fn check_copies(&mut self) {
        self.check_copies_but(
            self.slots
                .iter()
                .filter(|slot| slot.machine.is_some())
                .count()
                .saturating_sub(1),
        );
    }

    fn check_copies_but(&mut self, lost: usize) {
        let wanted = (self.plan.tolerated + 1).saturating_sub(lost);
        for id in self.truth.owed(self.now_ms).clone() {
            for turn in self.truth.chain(&id) {
                let holders = self
                    .machines
                    .iter()
                    .filter(|machine| machine.disk.turns.contains_key(&turn.id))
                    .count();
                if holders < wanted {
                    self.describe(&id);
                    self.fail(&format!(
                        "{} of the chain of {id} lies on {holders} disks",
                        turn.id
                    ));
                }
            }
        }
    }

    /// At the end everything is calm: everybody is whole, and what is owed was found in the last seconds.
    pub(super) fn check_end(&mut self) {
        self.check_copies();
        for machine in &self.machines {
            let running = machine.trouble == Trouble::None;
            if running && !machine.node.as_ref().is_some_and(|node| node.is_whole()) {
                self.fail(&format!("{} is not whole at the end", machine.name));
            }
            let gone = machine.trouble == Trouble::Gone;
            if machine.retire_told_at_ms.is_some() && !machine.retired && !gone {
                self.fail(&format!("{} is not emptied at the end", machine.name));
            }
        }
        if self.calm_since_ms.is_none() {
            self.fail("the trouble never ended");
        }
    }
}
