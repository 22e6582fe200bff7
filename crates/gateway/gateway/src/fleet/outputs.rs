//! Carries out what the state machines of roles and membership want.

use super::Fleet;
use dunespur_gossip_membership::{self as members, DuplicateName};
use dunespur_peer_transport::Kind;
use dunespur_singleton_roles::{Message, Output, Severity};
use serde_json::json;

impl Fleet {
    pub(super) fn carry_out(&mut self, out: Vec<Output>, now: f64) {
        let mut own = Vec::new();
        for o in out {
            let (who, run) = (self.me.name.clone(), self.me.run);
            match o {
                Output::Send { to, message } if to == self.me.name => own.push(message),
                Output::Send { to, message } => {
                    let body = postcard::to_stdvec(&message).unwrap_or_default();
                    for at in self.addresses(&to) {
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
                    self.began += 1;
                    let info = self.plan.roles.slot_info(slot);
                    let (role, shard) = (info.role, info.shard);
                    ::log::info!("fleet: begins {role} {shard} under {token}");
                    self.write_history(json!({"line": "began", "t": now, "who": who, "run": run, "slot": slot, "token": token}));
                }
                Output::Lost { slot, token } => {
                    self.ended += 1;
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
            self.receive_role_message(self.me.name.clone(), message, now);
        }
    }

    /// A message about duties, from a peer or from this process to itself.
    pub(super) fn receive_role_message(&mut self, from: String, message: Message, now: f64) {
        let mut out = Vec::new();
        let mut renewed = None;
        match &message {
            Message::Renewed { response, run } => {
                renewed = (*run == self.me.run).then_some((response.seq, response.index));
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
                let who = self.me.name.clone();
                self.write_history(
                    json!({"line": "told", "asked": asked, "t": now, "who": who, "index": index}),
                );
            }
        }
        self.carry_out(out, now);
    }

    pub(super) fn carry_out_membership(&mut self, out: Vec<members::Output>, now: f64) {
        for o in out {
            match o {
                members::Output::Datagram { to, bytes } => {
                    self.links.send_datagram(to, Kind::Gossip, bytes)
                }
                members::Output::Up(m) => ::log::info!("fleet: {} is up at {}", m.name, m.address),
                members::Output::Down(m) => {
                    ::log::info!("fleet: {} at {} is gone", m.name, m.address)
                }
                members::Output::DuplicateName(duplicate) => {
                    let DuplicateName {
                        name,
                        first_instance,
                        second_instance,
                    } = duplicate;
                    let text = format!("two living processes have the name {name}");
                    ::log::error!(
                        "fleet: {text} (runs {first_instance:x} and {second_instance:x})"
                    );
                    let who = self.me.name.clone();
                    self.write_history(
                        json!({"line": "report", "t": now, "who": who, "loud": true, "text": text}),
                    );
                }
                members::Output::Stalled { seconds } => {
                    ::log::warn!("fleet: this process was stalled for {seconds:.1} s")
                }
            }
        }
    }
}
