//! Start, end and resumption of the processes on store machines.

use std::collections::BTreeMap;

use dunespur_turn_replication::node::{DiskState, StoreNode, StoreSettings};
use dunespur_turn_replication::turn::Turn;

use super::machine::{apply, wall_ms, Disk, Machine, MachineState};
use super::{Event, Requester, World};

/// Maximum error of a machine's wall clock when its process starts, in milliseconds.
const MAX_CLOCK_OFFSET_MS: i64 = 60_000;

impl World {
    /// Adds a machine with an empty disk; an event starts its process.
    pub(super) fn add_machine(&mut self) -> usize {
        let machine_index = self.machines.len();
        self.machines.push(Machine {
            name: format!("storage-{machine_index}"),
            zone: format!("zone-{}", machine_index % self.plan.zones),
            state: MachineState::Down,
            running_since_ms: 0,
            incarnation: 0,
            node: None,
            disk: Disk::default(),
            unsynced: BTreeMap::new(),
            disk_busy_until_ms: 0,
            last_caller: 0,
            callers: BTreeMap::new(),
            delayed_events: Vec::new(),
            tick_at_ms: u64::MAX,
            membership_version: 0,
            first_membership_at_ms: None,
            retirement_requested_at_ms: None,
            is_retired: false,
        });
        machine_index
    }

    /// Starts the process on the current contents of its disk.
    pub(super) fn start(&mut self, machine_index: usize) {
        if self.machines[machine_index].state != MachineState::Down {
            return;
        }
        let new_disk_id = self.rng.u64(1..);
        let clock_offsets = -MAX_CLOCK_OFFSET_MS..MAX_CLOCK_OFFSET_MS;
        let wall_ms = wall_ms(self.now_ms, self.rng.i64(clock_offsets));
        let machine = &mut self.machines[machine_index];
        machine.incarnation += 1;
        if machine.disk.id == 0 {
            machine.disk.id = new_disk_id;
        }
        let disk = DiskState {
            disk: machine.disk.id,
            fresh: !machine.disk.complete,
            headers: machine.disk.turns.values().map(Turn::header).collect(),
        };
        let settings = StoreSettings {
            name: machine.name.clone(),
            incarnation: machine.incarnation,
            replication_factor: self.plan.tolerated_losses + 1,
            capacity_bytes: 64 << 20,
            capacity_turns: 100_000,
            absent_repair_ms: self.plan.absence.repair_ms,
        };
        let safeguards = self.plan.safeguards;
        let node = StoreNode::with_safeguards(settings, disk, wall_ms, self.now_ms, safeguards);
        machine.node = Some(node);
        machine.state = MachineState::Running;
        machine.running_since_ms = self.now_ms;
        machine.membership_version = 0;
        machine.first_membership_at_ms = None;
        machine.tick_at_ms = u64::MAX;
        machine.disk_busy_until_ms = self.now_ms;
        self.drain_effects(machine_index);
    }

    /// Ends the process. Each disk job in flight is applied or lost at random.
    pub(super) fn end_process(&mut self, machine_index: usize) {
        let machine = &mut self.machines[machine_index];
        machine.node = None;
        for (_, work) in std::mem::take(&mut machine.unsynced) {
            if self.rng.bool() {
                apply(&mut machine.disk, &work);
            }
        }
        let callers = std::mem::take(&mut machine.callers);
        machine.delayed_events.clear();
        machine.state = MachineState::Down;
        let requesters: Vec<Requester> = callers.into_values().collect();
        for requester in requesters {
            let delay_ms = self.latency_ms();
            let reply = None;
            self.schedule_after(delay_ms, Event::Reply { requester, reply });
        }
    }

    pub(super) fn lose_disk(&mut self, machine_index: usize) {
        self.machines[machine_index].disk = Disk::default();
    }

    /// Resumes a frozen or partitioned machine. Delayed events arrive now; after a partition some of them are lost.
    pub(super) fn resume(&mut self, machine_index: usize) {
        let machine = &mut self.machines[machine_index];
        let before = machine.state;
        if !before.is_impaired() {
            return;
        }
        machine.state = MachineState::Running;
        machine.running_since_ms = self.now_ms;
        for event in std::mem::take(&mut machine.delayed_events) {
            let is_lost = before != MachineState::Frozen && self.rng.bool();
            if !is_lost {
                let delay_ms = self.latency_ms();
                self.schedule_after(delay_ms, event);
            }
        }
    }
}
