//! Starts and ends of store machines' processes.

use std::collections::BTreeMap;

use dunespur_turn_replication::node::{DiskState, StoreNode, StoreSettings};
use dunespur_turn_replication::turn::Turn;

use super::machine::{apply, wall_ms, Disk, Machine, MachineState};
use super::{Event, Requester, World};

/// By how much the wall clock of a machine may be off when its process starts.
const MAX_CLOCK_OFFSET_MS: i64 = 60_000;

impl World {
    /// A new machine with an empty disk; it is started by an event.
    pub(super) fn add_machine(&mut self) -> usize {
        let number = self.machines.len();
        self.machines.push(Machine {
            name: format!("storage-{number}"),
            zone: format!("zone-{}", number % self.plan.zones),
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
            retirement_ordered_at_ms: None,
            is_retired: false,
        });
        number
    }

    /// The process starts, with whatever its disk holds.
    pub(super) fn start(&mut self, number: usize) {
        if self.machines[number].state != MachineState::Down {
            return;
        }
        let new_disk_number = self.rng.u64(1..);
        let clock_offsets = -MAX_CLOCK_OFFSET_MS..MAX_CLOCK_OFFSET_MS;
        let wall_ms = wall_ms(self.now_ms, self.rng.i64(clock_offsets));
        let machine = &mut self.machines[number];
        machine.incarnation += 1;
        if machine.disk.number == 0 {
            machine.disk.number = new_disk_number;
        }
        let disk = DiskState {
            disk: machine.disk.number,
            fresh: !machine.disk.complete,
            headers: machine.disk.turns.values().map(Turn::header).collect(),
        };
        let settings = StoreSettings {
            name: machine.name.clone(),
            incarnation: machine.incarnation,
            replication_factor: self.plan.tolerated + 1,
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
        self.drain_effects(number);
    }

    /// The process ends. Of the writes in flight each is on the disk or not.
    pub(super) fn end_process(&mut self, number: usize) {
        let machine = &mut self.machines[number];
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
            self.after(delay_ms, Event::Reply { requester, reply });
        }
    }

    pub(super) fn lose_disk(&mut self, number: usize) {
        self.machines[number].disk = Disk::default();
    }

    /// A frozen or partitioned machine goes on: what was delayed arrives now, some of it is lost.
    pub(super) fn resume(&mut self, number: usize) {
        let machine = &mut self.machines[number];
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
                self.after(delay_ms, event);
            }
        }
    }
}
