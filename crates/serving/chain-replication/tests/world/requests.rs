//! The requests of the members' callers: bootstrap, writes and reads.

use super::{Event, World, BOOTSTRAP_RETRY};
use dunespur_chain_replication::{Input, Peer, View};

impl World {
    pub(super) fn bootstrap(&mut self) {
        let members: Vec<Peer> = (0..self.setup.machines)
            .map(|index| self.peer(index))
            .collect();
        let chain = members.iter().map(|member| member.id.clone()).collect();
        if self
            .machines
            .iter()
            .all(|machine| machine.durable.decided.is_none())
        {
            self.schedule(self.now + BOOTSTRAP_RETRY, Event::Bootstrap);
        }
        self.step_member(
            0,
            Input::Bootstrap {
                view: View {
                    number: 1,
                    members,
                    chain,
                },
            },
        );
    }

    pub(super) fn write(&mut self) {
        let next = self.now + 1 + self.rng.u64(0..2 * self.setup.write_every);
        self.schedule(next, Event::Write);
        let running = self.running();
        if !running.is_empty() {
            let index = running[self.rng.usize(..running.len())];
            self.submit(index);
        }
    }

    pub fn submit(&mut self, index: usize) {
        let payload = self.next_payload;
        let ticket = self.next_ticket;
        self.next_payload += 1;
        self.next_ticket += 1;
        if self.now >= self.watched_since {
            self.watched_payloads.insert(payload);
        }
        self.process(index).submitted.insert(ticket, payload);
        let mut bytes = payload.to_le_bytes().to_vec();
        bytes.resize(8 + self.setup.padding, 0);
        self.step_member(
            index,
            Input::Submit {
                ticket,
                payload: bytes,
            },
        );
    }

    pub(super) fn read(&mut self) {
        let next = self.now + 1 + self.rng.u64(0..2 * self.setup.read_every);
        self.schedule(next, Event::Read);
        let running = self.running();
        if running.is_empty() {
            return;
        }
        let index = running[self.rng.usize(..running.len())];
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let required_index = self.sequence.len() as u64;
        self.process(index).reads.insert(ticket, required_index);
        self.step_member(index, Input::Read { ticket });
    }

    pub(super) fn read_ready(&mut self, index: usize, ticket: u64) {
        let process = self.process(index);
        let applied = process.applied;
        let Some(required_index) = process.reads.remove(&ticket) else {
            return self.record_violation(format!(
                "m{index} answers read {ticket}, which isn't pending"
            ));
        };
        self.reads_done += 1;
        if applied < required_index {
            self.record_violation(format!(
                "m{index} reads at {applied}, but {required_index} was committed before the read"
            ));
        }
    }

    pub(super) fn dropped(&mut self, index: usize, ticket: u64) {
        let process = self.process(index);
        let known =
            process.submitted.remove(&ticket).is_some() | process.reads.remove(&ticket).is_some();
        if !known {
            self.record_violation(format!("m{index} drops {ticket}, which isn't pending"));
        }
    }
}
