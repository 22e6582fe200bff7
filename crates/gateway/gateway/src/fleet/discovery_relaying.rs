//! The relay of discovery's list within a zone.

use crate::fleet::Fleet;
use crate::hub::Hub;
use crate::message::decode_endpoints;
use crate::reducer::Event;
use dunespur_gossip_membership as members;
use dunespur_peer_transport::Kind;
use dunespur_singleton_roles::discovery_relay;
use dunespur_singleton_roles::discovery_relay::Action;
use dunespur_singleton_roles::discovery_relay::DiscoveryUpdate;
use serde_json::json;
use serde_json::Value;
use std::rc::Rc;

impl Fleet {
    pub(super) fn receive_relay_message(
        &mut self,
        hub: &Rc<Hub>,
        from: String,
        message: discovery_relay::Message,
        now: f64,
    ) {
        let Some(slot) = self.relay.as_ref().map(|r| r.1) else {
            return;
        };
        let fits = match &message {
            discovery_relay::Message::RequestEndpoints { slot: s } => *s == slot,
            discovery_relay::Message::Heartbeat { slot: s, token, .. }
            | discovery_relay::Message::Update { slot: s, token, .. } => {
                let (s, token) = (*s, *token);
                s == slot && self.accept_token(&from, s, token, now)
            }
        };
        if !fits {
            return;
        }
        let token = self.client.token(slot, now);
        let mut actions = Vec::new();
        if let Some((relay, _)) = &mut self.relay {
            relay.receive(&from, message, token, now, &mut actions);
        }
        self.perform_relay(hub, actions, now);
    }

    /// Takes a list into the whole one; says whether it was complete, and its revision.
    pub(super) fn merge_list(&mut self, value: &Value) -> Option<(u64, bool)> {
        let revision = value["revision"].as_u64()?;
        let complete = value["complete"].as_bool().unwrap_or(false);
        if complete {
            self.discovered.clear();
        }
        for m in value["members"].as_array().into_iter().flatten() {
            let Some(id) = m["id"].as_str() else { continue };
            if m["phase"] == "Gone" {
                self.discovered.remove(id);
            } else {
                self.discovered.insert(id.to_owned(), m.clone());
            }
        }
        Some((revision, complete))
    }

    pub(super) fn perform_relay(&mut self, hub: &Rc<Hub>, actions: Vec<Action>, now: f64) {
        for action in actions {
            match action {
                Action::OpenWatch | Action::CloseWatch => {
                    let own = action == Action::OpenWatch;
                    ::log::info!(
                        "fleet: its own watch {}",
                        if own { "opens" } else { "closes" }
                    );
                    let who = self.identity.name.clone();
                    let value = if own { 1.0 } else { 0.0 };
                    self.write_history(
                        json!({"line": "counted", "t": now, "what": format!("watch {who}"), "value": value}),
                    );
                    hub.discovery.set_own_watch(own);
                }
                Action::Broadcast(message) => {
                    let body = postcard::to_stdvec(&message).unwrap_or_default();
                    let zone = |m: &&members::Member| {
                        m.zone == self.identity.zone && m.name != self.identity.name
                    };
                    let to: Vec<_> = self
                        .members
                        .alive()
                        .filter(zone)
                        .map(|m| m.address)
                        .collect();
                    to.into_iter()
                        .for_each(|at| self.links.send(at, Kind::Watch, body.clone()));
                }
                Action::Send { to, message } => {
                    let body = postcard::to_stdvec(&message).unwrap_or_default();
                    for at in self.addresses_of(&to) {
                        self.links.send(at, Kind::Watch, body.clone());
                    }
                }
                Action::SendEndpoints { to, token } => {
                    let Some((relay, slot)) = &self.relay else {
                        continue;
                    };
                    let members: Vec<&Value> = self.discovered.values().collect();
                    let revision = relay.revision();
                    let whole = json!({"revision": revision, "complete": true, "members": members});
                    let endpoints = whole.to_string().into_bytes();
                    let message = discovery_relay::Message::Update {
                        slot: *slot,
                        token,
                        since: None,
                        revision,
                        endpoints,
                    };
                    let body = postcard::to_stdvec(&message).unwrap_or_default();
                    for at in self.addresses_of(&to) {
                        self.links.send(at, Kind::Watch, body.clone());
                    }
                }
                Action::ApplyEndpoints {
                    endpoints,
                    revision,
                } => {
                    let Ok(value) = serde_json::from_slice::<Value>(&endpoints) else {
                        continue;
                    };
                    let Ok(news) = decode_endpoints(&value, &hub.names) else {
                        continue;
                    };
                    self.merge_list(&value);
                    self.relayed_updates += 1;
                    // Its own watch would go on from here.
                    hub.discovery.set_revision(revision);
                    hub.tell(Event::Endpoints(news));
                }
            }
        }
    }

    pub(super) fn receive_update(&mut self, hub: &Rc<Hub>, line: Option<Value>, now: f64) {
        let list = line.and_then(|value| {
            let (revision, complete) = self.merge_list(&value)?;
            Some(DiscoveryUpdate {
                revision,
                complete,
                endpoints: value.to_string().into_bytes(),
            })
        });
        let token = self
            .relay
            .as_ref()
            .and_then(|r| self.client.token(r.1, now));
        let mut actions = Vec::new();
        if let Some((relay, slot)) = &mut self.relay {
            relay.receive_update(list, token, now, &mut actions);
            self.client.record_progress(*slot, now);
        }
        self.perform_relay(hub, actions, now);
    }
}
