//! Inputs to the members and the handling of their outputs.

use super::{digest, BatchInFlight, Event, Process, World, CLOCK_START};
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
                self.step_member(index, Input::Tick);
            }
        }
    }

    /// Gives a member an input on behalf of its caller.
    pub fn give_input(&mut self, index: usize, input: Input) {
        self.step_member(index, input);
    }

    pub(super) fn step_member(&mut self, index: usize, input: Input) {
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
            .step(input, now - process.started_at + CLOCK_START, &mut out);
        let next = process
            .member
            .next_tick()
            .saturating_sub(CLOCK_START)
            .saturating_add(process.started_at);
        let next_tick_at = next.max(now + 1);
        if let Some(record) = &mut self.record {
            record.stepped(now, index, next_tick_at, &out);
        }
        if next_tick_at < process.tick_at {
            process.tick_at = next_tick_at;
            let run = self.machines[index].run;
            self.schedule(
                next_tick_at,
                Event::Tick {
                    machine: index,
                    run,
                    at: next_tick_at,
                },
            );
        }
        for output in out {
            self.handle_output(index, output);
        }
    }

    pub(super) fn handle_output(&mut self, index: usize, output: Output) {
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
                index: log_index,
                payload,
                ticket,
            } => self.on_apply(index, log_index, &payload, ticket),
            Output::ReadReady { ticket } => self.read_ready(index, ticket),
            Output::Dropped { ticket } => self.dropped(index, ticket),
            Output::TakeSnapshot => self.take_snapshot(index),
            Output::InstallSnapshot {
                index: log_index,
                bytes,
            } => self.on_install(index, log_index, &bytes),
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
            self.record_violation(format!("m{index} has two batches in flight"));
        }
        let run = self.machines[index].run;
        self.machines[index].in_flight = Some(BatchInFlight {
            batch,
            writes,
            held_by_stall: false,
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
            .expect("the machine has a process")
    }

    pub(super) fn on_apply(
        &mut self,
        index: usize,
        log_index: u64,
        payload: &[u8],
        ticket: Option<u64>,
    ) {
        let payload = u64::from_le_bytes(
            payload[..8]
                .try_into()
                .expect("a payload begins with eight bytes"),
        );
        let process = self.process(index);
        let in_order = process.applied + 1 == log_index;
        process.applied = log_index;
        let submitted = ticket.and_then(|ticket| process.submitted.remove(&ticket));
        if !in_order {
            self.record_violation(format!(
                "m{index} applies the commit {log_index} out of order"
            ));
        }
        if ticket.is_some() && submitted != Some(payload) {
            self.record_violation(format!(
                "m{index} takes the payload at {log_index}, submitted elsewhere, for its own"
            ));
        }
        self.acknowledged += u64::from(submitted.is_some());
        let index = log_index as usize - 1;
        if index == self.sequence.len() {
            self.sequence.push(payload);
            self.commit_times.push(self.now);
            self.digests.push(digest(self.digests[index], payload));
            self.trace_event(|| format!("m{index} commits {log_index}: {payload}"));
        } else if self.sequence.get(index) != Some(&payload) {
            let known = self.sequence.get(index).copied();
            self.record_violation(format!(
                "m{index} commits {payload} at {log_index}, where {known:?} was committed before"
            ));
        }
        if self.watched_payloads.contains(&payload) {
            self.watched_committed_at.get_or_insert(self.now);
        }
    }

    pub(super) fn take_snapshot(&mut self, index: usize) {
        self.snapshots_taken += 1;
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

    /// The snapshot of the state after the entries with this digest.
    pub(super) fn snapshot_after(&self, digest: u64) -> Vec<u8> {
        let words = 1 + self.setup.snapshot_padding / 8;
        digest.to_le_bytes().repeat(words)
    }

    pub(super) fn on_install(&mut self, index: usize, log_index: u64, bytes: &[u8]) {
        self.snapshots_installed += 1;
        let process = self.process(index);
        let is_older = log_index < process.applied;
        process.applied = log_index;
        let expected = self
            .digests
            .get(log_index as usize)
            .map(|digest| self.snapshot_after(*digest));
        if is_older || expected.as_deref() != Some(bytes) {
            self.record_violation(format!("m{index} installs a wrong snapshot at {log_index}"));
        }
    }

    pub(super) fn view_changed(&mut self, index: usize, view: View) {
        self.trace_event(|| {
            let name_of = |id: &MemberId| id.node.clone();
            let members: Vec<String> = view
                .members
                .iter()
                .map(|member| name_of(&member.id))
                .collect();
            let chain: Vec<String> = view.chain.iter().map(name_of).collect();
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
            self.record_violation(format!(
                "two views {number}: {known:?} and at m{index} {view:?}"
            ));
        }
    }
}
