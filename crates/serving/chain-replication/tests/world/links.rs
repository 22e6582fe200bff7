//! Connections between machines: messages stay in order, and are delayed while the link is partitioned.

use super::{Event, Link, QueuedMessage, World};
use dunespur_chain_replication::{Input, MemberId, Message, Millis};

impl World {
    pub(super) fn link(&mut self, from: usize, to: usize) -> &mut Link {
        self.links.entry((from, to)).or_default()
    }

    /// Resets a connection: messages in flight are lost, and both ends are notified unless a partition prevents it.
    pub fn reset_connection(&mut self, one: usize, other: usize, notify: bool) {
        if one == other {
            return;
        }
        let partitioned = self.link(one, other).partitioned || self.link(other, one).partitioned;
        self.link(one, other).queue.clear();
        self.link(other, one).queue.clear();
        if notify && !partitioned {
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
        self.link(from, to).partitioned = true;
    }

    /// Ends a partition: delayed messages arrive now, or are lost by a reset of the connection.
    pub fn heal(&mut self, from: usize, to: usize) {
        if !std::mem::take(&mut self.link(from, to).partitioned) {
            return;
        }
        if self.rng.bool() {
            return self.reset_connection(from, to, true);
        }
        let now = self.now;
        let in_flight = self.link(from, to).queue.len();
        for queued in self.link(from, to).queue.iter_mut() {
            queued.arrival = queued.arrival.max(now);
        }
        for _ in 0..in_flight {
            self.schedule(now, Event::Deliver { from, to });
        }
    }

    /// When the link will have transmitted the last byte of a message that is sent now.
    pub(super) fn transmitted_at(&mut self, from: usize, message: &Message) -> Millis {
        if self.setup.link_bytes_per_ms == 0 {
            return self.now;
        }
        let bytes = postcard::to_stdvec(message)
            .expect("a message can be encoded")
            .len() as u64;
        let duration_us = bytes * 1_000 / self.setup.link_bytes_per_ms;
        let machine = &mut self.machines[from];
        machine.link_busy_until_us = machine.link_busy_until_us.max(self.now * 1_000) + duration_us;
        machine.link_busy_until_us.div_ceil(1_000)
    }

    /// Counts the bytes of a snapshot chunk, and corrupts a byte in some chunks.
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
        let transmitted_at = self.transmitted_at(from, &message);
        if self.duplicates_messages && self.rng.u32(0..100) == 0 {
            let at = now + self.rng.u64(10..2_000);
            let input = Input::Received {
                from: sender.clone(),
                message: message.clone(),
            };
            self.schedule(at, Event::Late { to, input });
        }
        if self.loses_messages && self.rng.u32(0..20) == 0 {
            return;
        }
        let link = self.link(from, to);
        link.last_arrival = link.last_arrival.max(transmitted_at + delay);
        let arrival = link.last_arrival;
        link.queue.push_back(QueuedMessage {
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
        if link.partitioned || link.queue.front().is_none_or(|queued| queued.arrival > now) {
            return;
        }
        let queued = link
            .queue
            .pop_front()
            .expect("the queue has a first message");
        if self.machines[to].process.is_none() {
            if self.machines[to].powered && !self.machines[to].removed {
                let peer = queued.to.unwrap_or_else(|| self.id(to));
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
        self.trace_event(|| format!("m{from} -> m{to} {:?}", queued.message));
        self.step_member(
            to,
            Input::Received {
                from: queued.sender,
                message: queued.message,
            },
        );
    }
}
