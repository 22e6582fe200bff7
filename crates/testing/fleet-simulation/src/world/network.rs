//! The network between the machines: what is delivered, delayed or lost, and the effects that reach the outside.

use super::events::{Event, Packet};
use super::{World, FIRST_RECEIVER};
use crate::history::Line;
use crate::trial::Kind;
use rand::RngExt;

impl World<'_> {
    /// A message goes onto a link, with all that the faults make of it.
    pub(super) fn send(&mut self, from: usize, to: usize, packet: Packet) {
        let net = &self.trial.net;
        if self.now >= self.measure_from {
            let bytes = match &packet {
                Packet::Peer(msg) => postcard::to_stdvec(msg),
                Packet::Lend(msg) => postcard::to_stdvec(msg),
                _ => Ok(vec![]),
            };
            let bytes = bytes.map_or(0, |b| b.len() as u64);
            self.tally.messages += u64::from(bytes > 0);
            self.tally.bytes += bytes;
        }
        let (mut lose, mut extra, mut copies) = (net.lose, 0.0, 1);
        let jitter = self.rng.random::<f64>() * net.jitter;
        for a in &self.active {
            let fault = &self.trial.faults[a.n];
            let link = matches!(
                fault.kind,
                Kind::Cut
                    | Kind::Lose
                    | Kind::Delay
                    | Kind::Reorder
                    | Kind::Double
                    | Kind::HalfOpen
            );
            if !link {
                continue;
            }
            if !a.hits(fault, from, to, self.now) {
                continue;
            }
            match fault.kind {
                Kind::Cut | Kind::HalfOpen => lose = 1.0,
                Kind::Lose => lose = 1.0 - (1.0 - lose) * (1.0 - fault.amount),
                Kind::Delay => extra += fault.amount,
                Kind::Reorder => extra += fault.amount * self.rng.random::<f64>(),
                _ => copies = 2,
            }
        }
        for copy in 0..copies {
            if lose > 0.0 && self.rng.random::<f64>() < lose {
                continue;
            }
            let again = if copy > 0 {
                self.rng.random::<f64>() * 0.5
            } else {
                0.0
            };
            let at = self.now + net.delay + jitter + extra + again;
            self.push(
                at,
                Event::Arrive {
                    to,
                    from,
                    packet: packet.clone(),
                },
            );
        }
    }

    /// A receiver that is no limiter.
    pub(super) fn receive(&mut self, to: usize, from: usize, packet: Packet) {
        let Packet::Effect { slot, token } = packet else {
            return;
        };
        let n = to - FIRST_RECEIVER;
        let took = self.receivers[n].accept(slot, token) || !self.fenced;
        self.effect(format!("r{n}"), from, slot, token, took);
    }

    pub(super) fn effect(&mut self, at: String, from: usize, slot: u32, token: u64, took: bool) {
        let (t, who) = (self.now, self.nodes[from].name.clone());
        self.lines.push(if took {
            Line::Accepted {
                t,
                at,
                who,
                slot,
                token,
            }
        } else {
            Line::Refused {
                t,
                at,
                who,
                slot,
                token,
            }
        });
    }
}
