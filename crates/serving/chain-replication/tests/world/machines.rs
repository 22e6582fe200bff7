//! Machines, their disks and their processes.

use super::{Event, Machine, Process, World, CLOCK_START};
use dunespur_chain_replication::{
    DurableState, Input, Member, MemberConfig, MemberId, Millis, Peer,
};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

impl World {
    pub fn add_machine(&mut self, may_bootstrap: bool) -> usize {
        let index = self.machines.len();
        self.machines.push(Machine {
            node: format!("m{index}"),
            address: SocketAddr::from(([10, 0, 0, index as u8], 7380)),
            disk: self.rng.u64(1..),
            durable: DurableState::default(),
            in_flight: None,
            disk_stalled: false,
            frozen: false,
            backlog: VecDeque::new(),
            run: 1,
            process: None,
            powered: true,
            removed: false,
            may_bootstrap,
            link_busy_until_us: 0,
        });
        index
    }

    pub(super) fn id(&self, machine: usize) -> MemberId {
        MemberId {
            node: self.machines[machine].node.clone(),
            disk: self.machines[machine].disk,
        }
    }

    pub(super) fn peer(&self, machine: usize) -> Peer {
        Peer {
            id: self.id(machine),
            address: self.machines[machine].address,
        }
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|index| self.machines[*index].process.is_some())
            .collect()
    }

    pub fn start_at(&mut self, machine: usize, at: Millis) {
        self.machines[machine].run += 1;
        let run = self.machines[machine].run;
        self.schedule(at, Event::Start { machine, run });
    }

    pub(super) fn start(&mut self, index: usize, run: u64) {
        let now = self.now;
        let seed = self.rng.u64(..);
        let contacts: Vec<SocketAddr> = self
            .machines
            .iter()
            .map(|machine| machine.address)
            .collect();
        let id = self.id(index);
        let machine = &mut self.machines[index];
        if machine.run != run || machine.removed {
            return;
        }
        machine.powered = true;
        machine.frozen = false;
        let durable = machine.durable.clone();
        let config = MemberConfig {
            peer: Peer {
                id,
                address: machine.address,
            },
            may_bootstrap: machine.may_bootstrap,
            seed,
        };
        let member = Member::with_safeguards(config, durable, CLOCK_START, self.setup.safeguards);
        let process = Process {
            member,
            started_at: now,
            tick_at: Millis::MAX,
            applied: 0,
            submitted: HashMap::new(),
            reads: HashMap::new(),
        };
        machine.process = Some(process);
        let first_start = machine.may_bootstrap && run == 1;
        self.trace_event(|| format!("m{index} starts"));
        if first_start {
            self.step_member(index, Input::Tick);
        } else {
            self.step_member(index, Input::Join { contacts });
        }
    }

    /// Ends the process. The machine keeps its disk; a batch in flight is on it or not, at random.
    pub fn end_process(&mut self, index: usize, with_power: bool) {
        let keeps_batch = self.rng.bool();
        let machine = &mut self.machines[index];
        machine.run += 1;
        machine.process = None;
        machine.backlog.clear();
        machine.frozen = false;
        machine.powered = with_power;
        if let Some(in_flight) = machine.in_flight.take().filter(|_| keeps_batch) {
            in_flight
                .writes
                .iter()
                .for_each(|write| machine.durable.apply(write));
        }
        for other in 0..self.machines.len() {
            self.reset_connection(index, other, with_power);
        }
    }

    pub fn wipe(&mut self, index: usize) {
        let disk = self.rng.u64(1..);
        let keeps_identity = self.setup.wiped_keep_identity;
        let machine = &mut self.machines[index];
        machine.durable = DurableState::default();
        machine.may_bootstrap = false;
        if !keeps_identity {
            machine.disk = disk;
        }
    }

    pub fn freeze(&mut self, index: usize) {
        self.machines[index].frozen = true;
    }

    pub fn thaw(&mut self, index: usize) {
        if !std::mem::take(&mut self.machines[index].frozen) {
            return;
        }
        let backlog = std::mem::take(&mut self.machines[index].backlog);
        for input in backlog {
            self.step_member(index, input);
        }
        self.step_member(index, Input::Tick);
    }

    pub fn stall_disk(&mut self, index: usize) {
        self.machines[index].disk_stalled = true;
    }

    pub fn unstall_disk(&mut self, index: usize) {
        self.machines[index].disk_stalled = false;
        let run = self.machines[index].run;
        if let Some(batch) = self.machines[index]
            .in_flight
            .as_ref()
            .filter(|in_flight| in_flight.held_by_stall)
            .map(|in_flight| in_flight.batch)
        {
            self.on_batch_synced(index, run, batch);
        }
    }

    pub(super) fn on_batch_synced(&mut self, index: usize, run: u64, batch: u64) {
        let machine = &mut self.machines[index];
        if machine.run != run {
            return;
        }
        let disk_stalled = machine.disk_stalled;
        let Some(in_flight) = machine
            .in_flight
            .as_mut()
            .filter(|in_flight| in_flight.batch == batch)
        else {
            return;
        };
        if disk_stalled {
            in_flight.held_by_stall = true;
            return;
        }
        let in_flight = machine.in_flight.take().expect("a batch is in flight");
        in_flight
            .writes
            .iter()
            .for_each(|write| machine.durable.apply(write));
        self.step_member(index, Input::Persisted { batch });
    }
}
