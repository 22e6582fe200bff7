//! Connections: those between members keep their order and delay what is sent while they are partitioned; calls of
//! callers are lost then.

use super::machines::Arrival;
use super::{Event, World};
use dunespur_chain_replication::{Input, MemberId, Message, Millis};
use std::collections::{HashMap, HashSet, VecDeque};

/// One direction of a connection between two members.
#[derive(Default)]
struct Link {
    queue: VecDeque<Carried>,
    last_arrival: Millis,
}

struct Carried {
    sender: MemberId,
    to: Option<MemberId>,
    message: Message,
    arrival: Millis,
}

/// Where messages come from or go to.
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

impl World {
    /// Delayed messages arrive now, or are lost with the connection.
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
            .for_each(|carried| carried.arrival = carried.arrival.max(now));
        for _ in 0..link.queue.len() {
            self.schedule(now, Event::Deliver { from, to });
        }
    }

    /// Messages in flight are lost; with `notify`, both ends learn of it unless they are partitioned.
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
            self.tell_disconnected(one, other);
            self.tell_disconnected(other, one);
        }
    }

    fn tell_disconnected(&mut self, to: usize, peer: usize) {
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
            .event(20, [now, from as u64, to as u64], &message);
        if self.doubling && self.rng.u32(0..50) == 0 {
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
        link.queue.push_back(Carried {
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
        if link
            .queue
            .front()
            .is_none_or(|carried| carried.arrival > now)
        {
            return;
        }
        let carried = link.queue.pop_front().expect("just seen");
        if self.machines[to].process.is_none() {
            if self.machines[to].powered {
                let peer = carried.to.unwrap_or_else(|| self.id(to));
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
                from: carried.sender,
                message: carried.message,
            }),
        );
    }
}
