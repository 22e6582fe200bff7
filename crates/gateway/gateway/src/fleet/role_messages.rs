//! Performs the outputs of the state machines of the singleton roles, and passes them their messages.

use crate::fleet::FleetMember;
use dunespur_peer_transport::Kind;
use dunespur_singleton_roles::Message;
use dunespur_singleton_roles::Output;
use dunespur_singleton_roles::Severity;
use dunespur_singleton_roles::Slot;
use serde_json::json;

impl FleetMember {
    pub(super) fn perform_role_outputs(&mut self, outputs: Vec<Output>, now: f64) {
        let mut messages_to_self = Vec::new();
        for output in outputs {
            let (name, run) = (self.identity.name.clone(), self.identity.run);
            match output {
                Output::Send { to, message } if to == self.identity.name => {
                    messages_to_self.push(message)
                }
                Output::Send { to, message } => {
                    let body = postcard::to_stdvec(&message).unwrap_or_default();
                    for address in self.addresses_of(&to) {
                        self.transport
                            .send(address, Kind::SingletonRoles, body.clone());
                    }
                }
                Output::Write(batch) => {
                    if let Some(disk) = &self.disk_writes {
                        let _ = disk.send(batch);
                    }
                }
                Output::Tokens(tokens) => self.fencing_check.initialize(&tokens),
                Output::Acquired { slot, token } => {
                    self.roles_acquired += 1;
                    let info = self.config.roles.slot_info(slot);
                    let (role, shard) = (info.role, info.shard);
                    ::log::info!("fleet: acquired role {role} shard {shard} with token {token}");
                    self.write_history(json!({"line": "began", "t": now, "who": name, "run": run, "slot": slot, "token": token}));
                }
                Output::Lost { slot, token } => {
                    self.roles_lost += 1;
                    if self.config.roles.slot_info(slot).role == "probe" {
                        self.health_checker.clear();
                    } else if self.config.roles.slot_info(slot).role == "audit" {
                        self.auditor.clear();
                    } else if self.config.roles.slot_info(slot).role == "lend" {
                        self.broker.slot_lost(slot, &mut self.broker_outputs);
                    }
                    let info = self.config.roles.slot_info(slot);
                    let (role, shard) = (info.role, info.shard);
                    ::log::info!("fleet: lost role {role} shard {shard} with token {token}");
                    let until = self.role_client.last_expiry();
                    self.write_history(
                        json!({"line": "ended", "t": now, "who": name, "run": run, "slot": slot,
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
                        json!({"line": "report", "t": now, "who": name, "loud": loud, "text": text}),
                    );
                }
            }
        }
        for message in messages_to_self {
            self.receive_role_message(self.identity.name.clone(), message, now);
        }
    }

    /// Handles a message about singleton roles, from a peer or from this process itself.
    pub(super) fn receive_role_message(&mut self, from: String, message: Message, now: f64) {
        let mut outputs = Vec::new();
        let mut renewal = None;
        match &message {
            Message::Renewed { response, run } => {
                renewal = (*run == self.identity.run).then_some((response.seq, response.index));
                self.role_client.receive(&from, message, now, &mut outputs);
            }
            Message::NotLeader { .. }
            | Message::DuplicateName { .. }
            | Message::AssignmentsChanged { .. } => {
                self.role_client.receive(&from, message, now, &mut outputs);
            }
            _ => {
                if let Some(voter) = &mut self.voter {
                    voter.receive(&from, message, now, &mut outputs);
                }
            }
        }
        if let Some((seq, index)) = renewal.filter(|_| self.history.is_some()) {
            if let Some(sent_at) = self.role_client.granted_renewal_sent_at(seq) {
                let name = self.identity.name.clone();
                self.write_history(
                    json!({"line": "told", "asked": sent_at, "t": now, "who": name, "index": index}),
                );
            }
        }
        self.perform_role_outputs(outputs, now);
    }

    /// Checks the fencing token of a message and records the result in the history.
    pub(super) fn accept_token(&mut self, from: &str, slot: Slot, token: u64, now: f64) -> bool {
        let accepted = self.fencing_check.accept(slot, token);
        let line = if accepted { "accepted" } else { "refused" };
        let receiver = self.identity.name.clone();
        self.write_history(
            json!({"line": line, "t": now, "at": receiver, "who": from, "slot": slot, "token": token}),
        );
        accepted
    }
}
