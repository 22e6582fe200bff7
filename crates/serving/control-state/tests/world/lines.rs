//! Connections: those between members keep their order and hold up what is sent while they are cut; calls of callers
//! are lost then.

use super::machines::Arrival;
use super::{Event, World};
use dunespur_chain_replication::{Input, MemberId, Message, Millis};
use std::collections::{HashMap, HashSet, VecDeque};

/// One direction of a connection between two members.
#[derive(Default)]
struct Line {
    queue: VecDeque<Carried>,
    last_arrival: Millis,
}

struct Carried {
    sender: MemberId,
    to: Option<MemberId>,
    message: Message,
    arrival: Millis,
}

/// A place where messages come from or go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Place {
    Machine(usize),
    Caller(usize),
}

#[derive(Default)]
pub struct Lines {
    lines: HashMap<(usize, usize), Line>,
    cut: HashSet<(Place, Place)>,
}

impl Lines {
    pub fn is_cut(&self, from: Place, to: Place) -> bool {
        self.cut.contains(&(from, to))
    }

    pub fn cut(&mut self, from: Place, to: Place) {
        if from != to {
            self.cut.insert((from, to));
        }
    }

    fn line(&mut self, from: usize, to: usize) -> &mut Line {
        self.lines.entry((from, to)).or_default()
    }
}

impl World {
    /// What was held up arrives now, or is lost with the connection.
    pub fn heal(&mut self, from: Place, to: Place) {
        if !self.lines.cut.remove(&(from, to)) {
            return;
        }
        let (Place::Machine(from), Place::Machine(to)) = (from, to) else {
            return;
        };
        if self.rng.bool() {
            return self.reset_connection(from, to, true);
        }
        let now = self.now;
        let line = self.lines.line(from, to);
        line.queue
            .iter_mut()
            .for_each(|carried| carried.arrival = carried.arrival.max(now));
        for _ in 0..line.queue.len() {
            self.schedule(now, Event::Deliver { from, to });
        }
    }

    /// What is on its way is lost; both ends are told if they can be.
    pub fn reset_connection(&mut self, one: usize, other: usize, told: bool) {
        if one == other {
            return;
        }
        let places = (Place::Machine(one), Place::Machine(other));
        let cut = self.lines.is_cut(places.0, places.1) || self.lines.is_cut(places.1, places.0);
        self.lines.line(one, other).queue.clear();
        self.lines.line(other, one).queue.clear();
        if told && !cut {
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
        let line = self.lines.line(from, to);
        line.last_arrival = line.last_arrival.max(now + delay);
        let arrival = line.last_arrival;
        line.queue.push_back(Carried {
            sender,
            to: identity,
            message,
            arrival,
        });
        self.schedule(arrival, Event::Deliver { from, to });
    }

    pub fn deliver(&mut self, from: usize, to: usize) {
        let now = self.now;
        if self.lines.is_cut(Place::Machine(from), Place::Machine(to)) {
            return;
        }
        let line = self.lines.line(from, to);
        if line
            .queue
            .front()
            .is_none_or(|carried| carried.arrival > now)
        {
            return;
        }
        let carried = line.queue.pop_front().expect("just seen");
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
