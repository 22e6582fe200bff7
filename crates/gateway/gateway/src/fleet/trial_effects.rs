//! Effects that trials request, and the history by which trials are checked.

use crate::fleet::work::Work;
use crate::fleet::FleetMember;
use dunespur_peer_transport::Kind;
use dunespur_singleton_roles::table::Assignment;
use serde_json::Value;
use std::io::Write;
use std::net::SocketAddrV4;

impl FleetMember {
    pub(super) fn write_history(&mut self, line: Value) {
        if let Some(history) = &mut self.history {
            let _ = writeln!(history, "{line}");
            let _ = history.flush();
        }
    }

    /// Sends a trial effect for each held slot to the next member and the next receiver.
    pub(super) fn send_trial_effects(&mut self, now: f64) {
        self.next_trial_effect = now + (0.5 + fastrand::f64()) / self.config.trial.effects;
        let held: Vec<Assignment> = self.role_client.assignments(now).collect();
        let members: Vec<SocketAddrV4> = self
            .membership
            .alive()
            .map(|member| member.address)
            .collect();
        if self.transport.version() > dunespur_peer_transport::VERSION {
            members
                .iter()
                .for_each(|address| self.transport.send_unknown_kind(*address));
        }
        for Assignment { slot, token } in held {
            self.role_client.record_progress(slot, now);
            self.trial_turn += 1;
            let body = postcard::to_stdvec(&Work::Effect { slot, token }).unwrap_or_default();
            if !members.is_empty() {
                self.transport.send(
                    members[self.trial_turn % members.len()],
                    Kind::Work,
                    body.clone(),
                );
            }
            if !self.config.trial.receivers.is_empty() {
                let receiver = self.config.trial.receivers
                    [self.trial_turn % self.config.trial.receivers.len()];
                self.transport.send_datagram(receiver, Kind::Work, body);
            }
        }
    }
}
