//! What goes into the members and what comes out of them.

use super::{digest, BatchInFlight, Event, Process, World, FIRST_MOMENT};
use dunespur_chain_replication::{Input, MemberId, Millis, Output, View, Write};
use std::net::SocketAddr;

impl World {
    pub(super) fn tick(&mut self, index: usize, run: u64, at: Millis) {
        let machine = &mut self.machines[index];
        if machine.run != run {
            return;
        }
        let Some(process) = machine.process.as_mut() else {
            return;
        };
        if process.tick_at == at {
            process.tick_at = Millis::MAX;
            if !machine.frozen {
                self.input(index, Input::Tick);
            }
        }
    }

    /// The caller of a member gives it an input.
    pub fn take(&mut self, index: usize, input: Input) {
        self.input(index, input);
    }

    pub(super) fn input(&mut self, index: usize, input: Input) {
        if self.machines[index].frozen {
            self.machines[index].backlog.push_back(input);
            return;
        }
        let now = self.now;
        let Some(process) = self.machines[index].process.as_mut() else {
            return;
        };
        self.steps += 1;
        let mut out = Vec::new();
        process
            .member
            .step(input, now - process.clock_zero + FIRST_MOMENT, &mut out);
        let next = process
            .member
            .next_tick()
            .saturating_sub(FIRST_MOMENT)
            .saturating_add(process.clock_zero);
        let due = next.max(now + 1);
        if let Some(record) = &mut self.record {
            record.stepped(now, index, due, &out);
        }
        if due < process.tick_at {
            process.tick_at = due;
            let run = self.machines[index].run;
            self.schedule(
                due,
                Event::Tick {
                    machine: index,
                    run,
                    at: due,
                },
            );
        }
        for output in out {
            self.output(index, output);
        }
    }

    pub(super) fn output(&mut self, index: usize, output: Output) {
        match output {
            Output::Send { to, message } => {
                if let Some(machine) = self.machine_at(to.address) {
                    self.send(index, machine, Some(to.id), message);
                }
            }
            Output::SendToAddress { address, message } => {
                if let Some(machine) = self.machine_at(address) {
                    self.send(index, machine, None, message);
                }
            }
            Output::Persist { batch, writes } => self.persist(index, batch, writes),
            Output::Apply {
                index: at,
                payload,
                ticket,
            } => self.on_apply(index, at, &payload, ticket),
            Output::ReadReady { ticket } => self.read_ready(index, ticket),
            Output::Dropped { ticket } => self.dropped(index, ticket),
            Output::TakeSnapshot => self.take_snapshot(index),
            Output::InstallSnapshot { index: at, bytes } => self.on_install(index, at, &bytes),
            Output::ViewChanged { view, .. } => self.view_changed(index, view),
        }
    }

    pub(super) fn machine_at(&self, address: SocketAddr) -> Option<usize> {
        self.machines
            .iter()
            .position(|machine| machine.address == address && !machine.removed)
    }

    pub(super) fn persist(&mut self, index: usize, batch: u64, writes: Vec<Write>) {
        let sync = self.rng.u64(1..self.setup.max_sync_ms);
        if self.machines[index].in_flight.is_some() {
            self.breaks(format!("m{index} has two batches out"));
        }
        let run = self.machines[index].run;
        self.machines[index].in_flight = Some(BatchInFlight {
            batch,
            writes,
            due: false,
        });
        self.schedule(
            self.now + sync,
            Event::DiskDone {
                machine: index,
                run,
                batch,
            },
        );
    }

    pub(super) fn process(&mut self, index: usize) -> &mut Process {
        self.machines[index]
            .process
            .as_mut()
            .expect("outputs come from a process")
    }

    pub(super) fn on_apply(&mut self, index: usize, at: u64, payload: &[u8], ticket: Option<u64>) {
        let payload = u64::from_le_bytes(payload[..8].try_into().expect("eight bytes"));
        let process = self.process(index);
        let in_order = process.applied + 1 == at;
        process.applied = at;
        let submitted = ticket.and_then(|ticket| process.submitted.remove(&ticket));
        if !in_order {
            self.breaks(format!("m{index} gives out the commit {at} out of order"));
        }
        if ticket.is_some() && submitted != Some(payload) {
            self.breaks(format!(
                "m{index} takes another's payload at {at} for its own"
            ));
        }
        self.acknowledged += u64::from(submitted.is_some());
        let index = at as usize - 1;
        if index == self.sequence.len() {
            self.sequence.push(payload);
            self.commit_times.push(self.now);
            self.digests.push(digest(self.digests[index], payload));
            self.trace_event(|| format!("m{index} commits {at}: {payload}"));
        } else if self.sequence.get(index) != Some(&payload) {
            let known = self.sequence.get(index).copied();
            self.breaks(format!(
                "m{index} commits {payload} at {at}, where {known:?} was committed before"
            ));
        }
        if self.fresh.contains(&payload) {
            self.fresh_committed_at.get_or_insert(self.now);
        }
    }

    pub(super) fn take_snapshot(&mut self, index: usize) {
        self.snapshots_given += 1;
        let applied = self.process(index).applied;
        let bytes = self.snapshot_after(self.digests[applied as usize]);
        let at = self.now + self.rng.u64(0..5);
        let run = self.machines[index].run;
        let input = Input::SnapshotTaken {
            index: applied,
            bytes,
        };
        self.schedule(
            at,
            Event::Notify {
                to: index,
                run,
                input,
            },
        );
    }

    /// The state after entries of this digest.
    pub(super) fn snapshot_after(&self, digest: u64) -> Vec<u8> {
        let words = 1 + self.setup.snapshot_padding / 8;
        digest.to_le_bytes().repeat(words)
    }

    pub(super) fn on_install(&mut self, index: usize, at: u64, bytes: &[u8]) {
        self.snapshots_installed += 1;
        let process = self.process(index);
        let goes_back = at < process.applied;
        process.applied = at;
        let right = self
            .digests
            .get(at as usize)
            .map(|digest| self.snapshot_after(*digest));
        if goes_back || right.as_deref() != Some(bytes) {
            self.breaks(format!("m{index} installs a wrong snapshot at {at}"));
        }
    }

    pub(super) fn view_changed(&mut self, index: usize, view: View) {
        self.trace_event(|| {
            let names = |id: &MemberId| id.node.clone();
            let members: Vec<String> = view
                .members
                .iter()
                .map(|member| names(&member.id))
                .collect();
            let chain: Vec<String> = view.chain.iter().map(names).collect();
            format!(
                "m{index} view {} members {members:?} chain {chain:?}",
                view.number
            )
        });
        let number = view.number;
        let known = self
            .views
            .entry(number)
            .or_insert_with(|| view.clone())
            .clone();
        if known != view {
            self.breaks(format!(
                "two views {number}: {known:?} and at m{index} {view:?}"
            ));
        }
    }
}
