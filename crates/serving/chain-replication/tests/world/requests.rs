//! The caller's requests: the first view, writes and reads.

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
        self.input(
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
        if self.now >= self.fresh_since {
            self.fresh.insert(payload);
        }
        self.process(index).submitted.insert(ticket, payload);
        let mut bytes = payload.to_le_bytes().to_vec();
        bytes.resize(8 + self.setup.padding, 0);
        self.input(
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
        let must_see = self.sequence.len() as u64;
        self.process(index).reads.insert(ticket, must_see);
        self.input(index, Input::Read { ticket });
    }

    pub(super) fn read_ready(&mut self, index: usize, ticket: u64) {
        let process = self.process(index);
        let applied = process.applied;
        let Some(must_see) = process.reads.remove(&ticket) else {
            return self.breaks(format!(
                "m{index} answers a read {ticket} that nobody waits for"
            ));
        };
        self.reads_done += 1;
        if applied < must_see {
            self.breaks(format!(
                "m{index} reads at {applied}, but {must_see} was committed before the read"
            ));
        }
    }

    pub(super) fn dropped(&mut self, index: usize, ticket: u64) {
        let process = self.process(index);
        let known =
            process.submitted.remove(&ticket).is_some() | process.reads.remove(&ticket).is_some();
        if !known {
            self.breaks(format!("m{index} drops {ticket}, which isn't pending"));
        }
    }
}
