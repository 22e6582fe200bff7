//! Connections between machines: they keep the order of messages, and delay them while they are partitioned.

use super::{Carried, Event, Link, World};
use dunespur_chain_replication::{Input, MemberId, Message, Millis};

impl World {
    pub(super) fn link(&mut self, from: usize, to: usize) -> &mut Link {
        self.links.entry((from, to)).or_default()
    }

    /// Messages in flight are lost; both ends are notified if they can be.
    pub fn reset_connection(&mut self, one: usize, other: usize, describe: bool) {
        if one == other {
            return;
        }
        let partition = self.link(one, other).partition || self.link(other, one).partition;
        self.link(one, other).queue.clear();
        self.link(other, one).queue.clear();
        if describe && !partition {
            self.notify_disconnected(one, other);
            self.notify_disconnected(other, one);
        }
    }

    pub(super) fn notify_disconnected(&mut self, to: usize, peer: usize) {
        let run = self.machines[to].run;
        let at = self.now + self.rng.u64(1..4);
        let input = Input::Disconnected {
            peer: self.id(peer),
        };
        self.schedule(at, Event::Notify { to, run, input });
    }

    pub fn partition(&mut self, from: usize, to: usize) {
        self.link(from, to).partition = true;
    }

    /// What was delayed arrives now, or is lost with the connection.
    pub fn heal(&mut self, from: usize, to: usize) {
        if !std::mem::take(&mut self.link(from, to).partition) {
            return;
        }
        if self.rng.bool() {
            return self.reset_connection(from, to, true);
        }
        let now = self.now;
        let in_flight = self.link(from, to).queue.len();
        for carried in self.link(from, to).queue.iter_mut() {
            carried.arrival = carried.arrival.max(now);
        }
        for _ in 0..in_flight {
            self.schedule(now, Event::Deliver { from, to });
        }
    }

    /// When the link has carried the last byte of a message that is sent now.
    pub(super) fn leaves_at(&mut self, from: usize, message: &Message) -> Millis {
        if self.setup.link_bytes_per_ms == 0 {
            return self.now;
        }
        let bytes = postcard::to_stdvec(message)
            .expect("a message can be written")
            .len() as u64;
        let takes_us = bytes * 1_000 / self.setup.link_bytes_per_ms;
        let machine = &mut self.machines[from];
        machine.sending_until_us = machine.sending_until_us.max(self.now * 1_000) + takes_us;
        machine.sending_until_us.div_ceil(1_000)
    }

    /// Counts bytes of chunks, and corrupts a byte of some.
    pub(super) fn corrupt_chunk(&mut self, message: &mut Message) {
        let Message::SnapshotChunk { chunk, .. } = message else {
            return;
        };
        self.chunk_bytes_transferred += chunk.bytes.len() as u64;
        if self.setup.corrupts_chunks && self.rng.u32(0..8) == 0 {
            let mut bytes = chunk.bytes.to_vec();
            let index = self.rng.usize(..bytes.len());
            bytes[index] ^= 1;
            chunk.bytes = bytes.into();
        }
    }

    pub(super) fn send(
        &mut self,
        from: usize,
        to: usize,
        identity: Option<MemberId>,
        mut message: Message,
    ) {
        let sender = self.id(from);
        let delay = self.rng.u64(1..4);
        self.corrupt_chunk(&mut message);
        let now = self.now;
        let left = self.leaves_at(from, &message);
        if self.duplicating && self.rng.u32(0..100) == 0 {
            let at = now + self.rng.u64(10..2_000);
            let input = Input::Received {
                from: sender.clone(),
                message: message.clone(),
            };
            self.schedule(at, Event::Late { to, input });
        }
        if self.losing && self.rng.u32(0..20) == 0 {
            return;
        }
        let link = self.link(from, to);
        link.last_arrival = link.last_arrival.max(left + delay);
        let arrival = link.last_arrival;
        link.queue.push_back(Carried {
            sender,
            to: identity,
            message,
            arrival,
        });
        self.schedule(arrival, Event::Deliver { from, to });
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize) {
        let now = self.now;
        let link = self.link(from, to);
        if link.partition
            || link
                .queue
                .front()
                .is_none_or(|carried| carried.arrival > now)
        {
            return;
        }
        let carried = link.queue.pop_front().expect("just seen");
        if self.machines[to].process.is_none() {
            if self.machines[to].powered && !self.machines[to].removed {
                let peer = carried.to.unwrap_or_else(|| self.id(to));
                let run = self.machines[from].run;
                let input = Input::Disconnected { peer };
                self.schedule(
                    now + 1,
                    Event::Notify {
                        to: from,
                        run,
                        input,
                    },
                );
            }
            return;
        }
        self.trace_event(|| format!("m{from} -> m{to} {:?}", carried.message));
        self.input(
            to,
            Input::Received {
                from: carried.sender,
                message: carried.message,
            },
        );
    }
}
