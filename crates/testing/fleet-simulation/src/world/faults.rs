//! Faults of a trial: which machines they strike, and what they do to machines, links, clocks and disks.

use super::events::{Event, Packet};
use super::{World, FIRST_RECEIVER};
use crate::history::Line;
use crate::trial::{Active, Disk, Fault, Kind};
use dunespur_singleton_roles::records::DiskState;
use dunespur_singleton_roles::voter::Voter;
use rand::RngExt;

impl World<'_> {
    /// Which nodes a target names at this moment.
    pub(super) fn target(&mut self, target: &str) -> Vec<usize> {
        let trial = self.trial;
        if let Some(named) = trial.named(target) {
            return named;
        }
        let all: Vec<usize> = (0..trial.fleet.limiters).collect();
        let parts: Vec<&str> = target.split(':').collect();
        let number = |n: &str| n.parse::<usize>().unwrap_or(0);
        match parts.as_slice() {
            ["receivers"] => (0..self.receivers.len())
                .map(|r| FIRST_RECEIVER + r)
                .collect(),
            ["leader"] => {
                let leads =
                    |n: &&usize| self.nodes[**n].voter.as_ref().is_some_and(Voter::is_leader);
                all.iter()
                    .rfind(leads)
                    .map(|n| vec![*n])
                    .unwrap_or_else(|| vec![0])
            }
            ["holder", duty, shard] => {
                let slot = trial.roles().slots_of(duty).map_or(0, |range| range.first)
                    + number(shard) as u32;
                let holds = |n: &&usize| {
                    let now = self.local(**n, self.now);
                    self.nodes[**n]
                        .client
                        .as_ref()
                        .is_some_and(|h| h.token(slot, now).is_some())
                };
                all.iter().find(holds).map(|n| vec![*n]).unwrap_or_default()
            }
            ["counter"] | ["server", _] => vec![],
            ["any"] => vec![self.rng.random_range(0..trial.fleet.limiters)],
            _ => all,
        }
    }

    pub(super) fn fault(&mut self, n: usize, on: bool) {
        let fault: &Fault = &self.trial.faults[n];
        let t = self.now;
        let what = serde_json::to_string(fault).unwrap_or_default();
        self.lines.push(Line::Fault { t, what, on });
        self.outside(n, on);
        if on {
            let from = self.target(&fault.target);
            let to = fault.peer.as_ref().map(|p| self.target(p));
            self.downed.insert(n, from.clone());
            for node in &from {
                self.hit(*node, n);
            }
            self.active.push(Active { n, from, to });
            self.push(t + fault.length, Event::Fault { n, on: false });
            return;
        }
        self.active.retain(|a| a.n != n);
        for node in self.downed.remove(&n).unwrap_or_default() {
            self.heal(node, n);
        }
    }

    /// A fault that lies on the counter or a server begins or ends.
    pub(super) fn outside(&mut self, n: usize, on: bool) {
        let fault = &self.trial.faults[n];
        let Some(service) = &mut self.service else {
            return;
        };
        let server = fault
            .target
            .strip_prefix("server:")
            .and_then(|n| n.parse::<usize>().ok());
        match (fault.kind, server) {
            (Kind::Silence, _) => service.counter_silent = on,
            (Kind::Forget, _) if on => service.forget(),
            (Kind::Hang, Some(server)) if on => _ = service.hung.insert(server),
            (Kind::Hang, Some(server)) => _ = service.hung.remove(&server),
            _ => {}
        }
    }

    pub(super) fn hit(&mut self, node: usize, n: usize) {
        let fault = &self.trial.faults[n];
        if node >= self.nodes.len() {
            return;
        }
        match fault.kind {
            Kind::Kill => self.kill(node),
            Kind::Stall => self.nodes[node].stalled = true,
            Kind::Term | Kind::Upgrade => {
                let now = self.local(node, self.now);
                let (mut out, mut membership_outputs) = (Vec::new(), Vec::new());
                let n = &mut self.nodes[node];
                if n.stalled || !n.up {
                    return;
                }
                if let Some(h) = &mut n.client {
                    h.leave(now, &mut out);
                }
                if let Some(m) = &mut n.members {
                    m.leave(now, &mut membership_outputs);
                }
                self.take(node, out, self.now);
                self.take_members(node, membership_outputs);
                self.kill(node);
            }
            Kind::Twin => {
                let (number, name) = (self.nodes[node].number, self.nodes[node].name.clone());
                let at = self.add(number, name, false);
                self.start(at, self.now);
            }
            Kind::Slow => self.nodes[node].slow = fault.amount.max(0.0),
            Kind::SlowDisk => self.nodes[node].slow_disk = fault.amount.max(0.0),
            Kind::Idle => self.nodes[node].idle = true,
            _ => {}
        }
    }

    pub(super) fn heal(&mut self, node: usize, n: usize) {
        let fault = &self.trial.faults[n];
        if node >= self.nodes.len() {
            return;
        }
        let t = self.now;
        match fault.kind {
            Kind::Kill | Kind::Term | Kind::Upgrade if !self.nodes[node].up => {
                if fault.kind == Kind::Upgrade {
                    self.nodes[node].version = fault.amount as u16;
                }
                match fault.disk {
                    Disk::Kept => {}
                    Disk::Lost => self.nodes[node].disk = DiskState::default(),
                    Disk::Older => {
                        let wanted = fault.at - fault.older;
                        let old = self.nodes[node]
                            .old_disks
                            .iter()
                            .rfind(|d| d.0 <= wanted)
                            .cloned();
                        self.nodes[node].disk = old.map_or_else(DiskState::default, |d| d.1);
                    }
                }
                self.start(node, t);
            }
            Kind::Stall if self.nodes[node].up => {
                // What it was in the middle of comes first, then its timers, then what its sockets hold.
                self.nodes[node].stalled = false;
                let late = std::mem::take(&mut self.nodes[node].late);
                for (slot, token, to) in late {
                    self.send(node, to, Packet::Effect { slot, token });
                }
                self.turn(node, None);
                for (from, packet) in std::mem::take(&mut self.nodes[node].inbox) {
                    self.turn(node, Some((from, packet)));
                }
            }
            Kind::Twin => {
                let name = self.nodes[node].name.clone();
                let twin = (self.trial.fleet.limiters..self.nodes.len())
                    .find(|i| self.nodes[*i].up && self.nodes[*i].name == name);
                if let Some(twin) = twin {
                    self.kill(twin);
                }
            }
            Kind::Slow => self.nodes[node].slow = 0.0,
            Kind::SlowDisk => self.nodes[node].slow_disk = 0.0,
            Kind::Idle => self.nodes[node].idle = false,
            _ => {}
        }
    }
}
