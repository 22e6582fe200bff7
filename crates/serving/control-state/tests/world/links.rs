//! Connections between members keep messages in order and delay them during a partition. Calls and answers of callers
//! are lost during a partition.

use super::machines::Arrival;
use super::{Event, Simulation};
use dunespur_chain_replication::{Input, MemberId, Message, Millis};
use std::collections::{HashMap, HashSet, VecDeque};

/// One direction of a connection between two members.
#[derive(Default)]
struct Link {
    queue: VecDeque<QueuedMessage>,
    last_arrival: Millis,
}

/// A message on its way between two members.
struct QueuedMessage {
    sender: MemberId,
    to: Option<MemberId>,
    message: Message,
    arrival: Millis,
}

/// The sender or receiver of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Endpoint {
    Machine(usize),
    Caller(usize),
}

#[derive(Default)]
pub struct Links {
    links: HashMap<(usize, usize), Link>,
    partitioned: HashSet<(Endpoint, Endpoint)>,
}

impl Links {
    pub fn is_partitioned(&self, from: Endpoint, to: Endpoint) -> bool {
        self.partitioned.contains(&(from, to))
    }

    pub fn partition(&mut self, from: Endpoint, to: Endpoint) {
        if from != to {
            self.partitioned.insert((from, to));
        }
    }

    fn link(&mut self, from: usize, to: usize) -> &mut Link {
        self.links.entry((from, to)).or_default()
    }
}

impl Simulation {
    /// Ends a partition. Delayed messages arrive now, or are lost because the connection is reset.
    pub fn heal(&mut self, from: Endpoint, to: Endpoint) {
        if !self.links.partitioned.remove(&(from, to)) {
            return;
        }
        let (Endpoint::Machine(from), Endpoint::Machine(to)) = (from, to) else {
            return;
        };
        if self.rng.bool() {
            return self.reset_connection(from, to, true);
        }
        let now = self.now;
        let link = self.links.link(from, to);
        link.queue
            .iter_mut()
            .for_each(|queued| queued.arrival = queued.arrival.max(now));
        for _ in 0..link.queue.len() {
            self.schedule(now, Event::Deliver { from, to });
        }
    }

    /// Resets a connection: messages in flight are lost. With `notify`, both ends are notified unless they are
    /// partitioned.
    pub fn reset_connection(&mut self, one: usize, other: usize, notify: bool) {
        if one == other {
            return;
        }
        let endpoints = (Endpoint::Machine(one), Endpoint::Machine(other));
        let partitioned = self.links.is_partitioned(endpoints.0, endpoints.1)
            || self.links.is_partitioned(endpoints.1, endpoints.0);
        self.links.link(one, other).queue.clear();
        self.links.link(other, one).queue.clear();
        if notify && !partitioned {
            self.notify_disconnected(one, other);
            self.notify_disconnected(other, one);
        }
    }

    fn notify_disconnected(&mut self, to: usize, peer: usize) {
        let run = self.machines[to].run;
        let at = self.now + self.rng.u64(1..4);
        let arrival = Arrival::Chain(Input::Disconnected {
            peer: self.id(peer),
        });
        self.schedule(
            at,
            Event::Arrive {
                machine: to,
                run,
                arrival,
            },
        );
    }

    pub fn send(&mut self, from: usize, to: usize, identity: Option<MemberId>, message: Message) {
        let sender = self.id(from);
        let delay = self.rng.u64(1..4);
        let now = self.now;
        self.digest
            .hash_event(20, [now, from as u64, to as u64], &message);
        if self.duplicating && self.rng.u32(0..50) == 0 {
            let at = now + self.rng.u64(10..2_000);
            let input = Input::Received {
                from: sender.clone(),
                message: message.clone(),
            };
            self.schedule(
                at,
                Event::ArriveLate {
                    machine: to,
                    arrival: Arrival::Chain(input),
                },
            );
        }
        if self.losing && self.rng.u32(0..20) == 0 {
            return;
        }
        let link = self.links.link(from, to);
        link.last_arrival = link.last_arrival.max(now + delay);
        let arrival = link.last_arrival;
        link.queue.push_back(QueuedMessage {
            sender,
            to: identity,
            message,
            arrival,
        });
        self.schedule(arrival, Event::Deliver { from, to });
    }

    pub fn deliver(&mut self, from: usize, to: usize) {
        let now = self.now;
        if self
            .links
            .is_partitioned(Endpoint::Machine(from), Endpoint::Machine(to))
        {
            return;
        }
        let link = self.links.link(from, to);
        if link.queue.front().is_none_or(|queued| queued.arrival > now) {
            return;
        }
        let queued = link.queue.pop_front().expect("a message is queued");
        if self.machines[to].process.is_none() {
            if self.machines[to].powered {
                let peer = queued.to.unwrap_or_else(|| self.id(to));
                let run = self.machines[from].run;
                let arrival = Arrival::Chain(Input::Disconnected { peer });
                self.schedule(
                    now + 1,
                    Event::Arrive {
                        machine: from,
                        run,
                        arrival,
                    },
                );
            }
            return;
        }
        self.arrive(
            to,
            Arrival::Chain(Input::Received {
                from: queued.sender,
                message: queued.message,
            }),
        );
    }
}
