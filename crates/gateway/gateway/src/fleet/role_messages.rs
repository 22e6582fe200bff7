//! Carries out what the state machines of the singleton roles ask for, and gives them their messages.

use crate::fleet::Fleet;
use dunespur_peer_transport::Kind;
use dunespur_singleton_roles::Message;
use dunespur_singleton_roles::Output;
use dunespur_singleton_roles::Severity;
use dunespur_singleton_roles::Slot;
use serde_json::json;

impl Fleet {
    pub(super) fn perform(&mut self, out: Vec<Output>, now: f64) {
        let mut own = Vec::new();
        for o in out {
            let (who, run) = (self.identity.name.clone(), self.identity.run);
            match o {
                Output::Send { to, message } if to == self.identity.name => own.push(message),
                Output::Send { to, message } => {
                    let body = postcard::to_stdvec(&message).unwrap_or_default();
                    for at in self.addresses_of(&to) {
                        self.links.send(at, Kind::SingletonRoles, body.clone());
                    }
                }
                Output::Write(batch) => {
                    if let Some(disk) = &self.disk {
                        let _ = disk.send(batch);
                    }
                }
                Output::Tokens(tokens) => self.fencing.initialize(&tokens),
                Output::Acquired { slot, token } => {
                    self.roles_acquired += 1;
                    let info = self.plan.roles.slot_info(slot);
                    let (role, shard) = (info.role, info.shard);
                    ::log::info!("fleet: begins {role} {shard} under {token}");
                    self.write_history(json!({"line": "began", "t": now, "who": who, "run": run, "slot": slot, "token": token}));
                }
                Output::Lost { slot, token } => {
                    self.roles_lost += 1;
                    if self.plan.roles.slot_info(slot).role == "probe" {
                        self.health_checker.clear();
                    } else if self.plan.roles.slot_info(slot).role == "audit" {
                        self.auditor.clear();
                    } else if self.plan.roles.slot_info(slot).role == "lend" {
                        self.broker.slot_lost(slot, &mut self.broker_outputs);
                    }
                    let info = self.plan.roles.slot_info(slot);
                    let (role, shard) = (info.role, info.shard);
                    ::log::info!("fleet: ends {role} {shard} under {token}");
                    let until = self.client.last_expiry();
                    self.write_history(
                        json!({"line": "ended", "t": now, "who": who, "run": run, "slot": slot,
                        "token": token, "until": until}),
                    );
                }
                Output::Report { severity, text } => {
                    match severity {
                        Severity::Warning => ::log::warn!("fleet: {text}"),
                        Severity::Info => ::log::info!("fleet: {text}"),
                    }
                    let loud = severity.is_warning();
                    self.write_history(
                        json!({"line": "report", "t": now, "who": who, "loud": loud, "text": text}),
                    );
                }
            }
        }
        for message in own {
            self.receive_role_message(self.identity.name.clone(), message, now);
        }
    }

    /// A message about duties, from a peer or from this process to itself.
    pub(super) fn receive_role_message(&mut self, from: String, message: Message, now: f64) {
        let mut out = Vec::new();
        let mut renewed = None;
        match &message {
            Message::Renewed { response, run } => {
                renewed = (*run == self.identity.run).then_some((response.seq, response.index));
                self.client.receive(&from, message, now, &mut out);
            }
            Message::NotLeader { .. }
            | Message::DuplicateName { .. }
            | Message::AssignmentsChanged { .. } => {
                self.client.receive(&from, message, now, &mut out);
            }
            _ => {
                if let Some(voter) = &mut self.voter {
                    voter.receive(&from, message, now, &mut out);
                }
            }
        }
        if let Some((seq, index)) = renewed.filter(|_| self.history.is_some()) {
            if let Some(asked) = self.client.granted_renewal_sent_at(seq) {
                let who = self.identity.name.clone();
                self.write_history(
                    json!({"line": "told", "asked": asked, "t": now, "who": who, "index": index}),
                );
            }
        }
        self.perform(out, now);
    }

    /// The receiver's check, whatever the effect.
    pub(super) fn accept_token(&mut self, from: &str, slot: Slot, token: u64, now: f64) -> bool {
        let took = self.fencing.accept(slot, token);
        let line = if took { "accepted" } else { "refused" };
        let at = self.identity.name.clone();
        self.write_history(
            json!({"line": line, "t": now, "at": at, "who": from, "slot": slot, "token": token}),
        );
        took
    }
}
