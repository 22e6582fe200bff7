//! Connections between machines: messages in order, cuts, resets, losses and doubles.

use super::{Carried, Event, Line, World};
use dunespur_chain::{Input, MemberId, Message};

impl World {
    pub(super) fn line(&mut self, from: usize, to: usize) -> &mut Line {
        self.lines.entry((from, to)).or_default()
    }

    /// What is on its way is lost; both ends are told if they can be.
    pub fn reset_connection(&mut self, one: usize, other: usize, told: bool) {
        if one == other {
            return;
        }
        let cut = self.line(one, other).cut || self.line(other, one).cut;
        self.line(one, other).queue.clear();
        self.line(other, one).queue.clear();
        if told && !cut {
            self.tell_disconnected(one, other);
            self.tell_disconnected(other, one);
        }
    }

    pub(super) fn tell_disconnected(&mut self, to: usize, peer: usize) {
        let run = self.machines[to].run;
        let at = self.now + self.rng.u64(1..4);
        let input = Input::Disconnected { peer: self.id(peer) };
        self.schedule(at, Event::Notice { to, run, input });
    }

    pub fn cut(&mut self, from: usize, to: usize) {
        self.line(from, to).cut = true;
    }

    /// What was held up arrives now, or is lost with the connection.
    pub fn heal(&mut self, from: usize, to: usize) {
        if !std::mem::take(&mut self.line(from, to).cut) {
            return;
        }
        if self.rng.bool() {
            return self.reset_connection(from, to, true);
        }
        let now = self.now;
        let held = self.line(from, to).queue.len();
        for carried in self.line(from, to).queue.iter_mut() {
            carried.arrival = carried.arrival.max(now);
        }
        for _ in 0..held {
            self.schedule(now, Event::Deliver { from, to });
        }
    }

    pub(super) fn send(&mut self, from: usize, to: usize, identity: Option<MemberId>, message: Message) {
        let sender = self.id(from);
        let delay = self.rng.u64(1..4);
        let now = self.now;
        if self.doubling && self.rng.u32(0..100) == 0 {
            let at = now + self.rng.u64(10..2_000);
            let input = Input::Received { from: sender.clone(), message: message.clone() };
            self.schedule(at, Event::Late { to, input });
        }
        if self.losing && self.rng.u32(0..20) == 0 {
            return;
        }
        let line = self.line(from, to);
        line.last_arrival = line.last_arrival.max(now + delay);
        let arrival = line.last_arrival;
        line.queue.push_back(Carried { sender, to: identity, message, arrival });
        self.schedule(arrival, Event::Deliver { from, to });
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize) {
        let now = self.now;
        let line = self.line(from, to);
        if line.cut || line.queue.front().is_none_or(|carried| carried.arrival > now) {
            return;
        }
        let carried = line.queue.pop_front().expect("just seen");
        if self.machines[to].process.is_none() {
            if self.machines[to].powered && !self.machines[to].removed {
                let peer = carried.to.unwrap_or_else(|| self.id(to));
                let run = self.machines[from].run;
                let input = Input::Disconnected { peer };
                self.schedule(now + 1, Event::Notice { to: from, run, input });
            }
            return;
        }
        self.note(|| format!("m{from} -> m{to} {:?}", carried.message));
        self.input(to, Input::Received { from: carried.sender, message: carried.message });
    }
}
