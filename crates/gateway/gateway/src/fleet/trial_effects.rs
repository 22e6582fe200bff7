//! Effects that trials of the fleet ask for, and the history that they are checked by.

use crate::fleet::work::Work;
use crate::fleet::Fleet;
use dunespur_peer_transport::Kind;
use dunespur_singleton_roles::table::Assignment;
use serde_json::Value;
use std::io::Write;
use std::net::SocketAddrV4;

impl Fleet {
    pub(super) fn write_history(&mut self, line: Value) {
        if let Some(to) = &mut self.history {
            let _ = writeln!(to, "{line}");
            let _ = to.flush();
        }
    }

    /// For trials: each held slot has an effect at the next member and the next receiver.
    pub(super) fn send_trial_effects(&mut self, now: f64) {
        self.next_trial_effect = now + (0.5 + fastrand::f64()) / self.plan.trial.effects;
        let held: Vec<Assignment> = self.client.assignments(now).collect();
        let members: Vec<SocketAddrV4> = self.members.alive().map(|m| m.address).collect();
        if self.links.version() > dunespur_peer_transport::VERSION {
            members
                .iter()
                .for_each(|at| self.links.send_unknown_kind(*at));
        }
        for Assignment { slot, token } in held {
            self.client.record_progress(slot, now);
            self.trial_turn += 1;
            let body = postcard::to_stdvec(&Work::Effect { slot, token }).unwrap_or_default();
            if !members.is_empty() {
                self.links.send(
                    members[self.trial_turn % members.len()],
                    Kind::Work,
                    body.clone(),
                );
            }
            if !self.plan.trial.receivers.is_empty() {
                let at =
                    self.plan.trial.receivers[self.trial_turn % self.plan.trial.receivers.len()];
                self.links.send_datagram(at, Kind::Work, body);
            }
        }
    }
}
