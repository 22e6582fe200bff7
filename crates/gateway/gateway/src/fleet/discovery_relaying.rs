//! Relays discovery's endpoint list within a zone.

use crate::event_loop::EventLoop;
use crate::fleet::FleetMember;
use crate::protocol::decode_endpoints;
use crate::state_machine::Event;
use dunespur_gossip_membership as members;
use dunespur_peer_transport::Kind;
use dunespur_singleton_roles::discovery_relay;
use dunespur_singleton_roles::discovery_relay::Action;
use dunespur_singleton_roles::discovery_relay::DiscoveryUpdate;
use serde_json::json;
use serde_json::Value;
use std::rc::Rc;

impl FleetMember {
    pub(super) fn receive_relay_message(
        &mut self,
        event_loop: &Rc<EventLoop>,
        from: String,
        message: discovery_relay::Message,
        now: f64,
    ) {
        let Some(slot) = self.relay.as_ref().map(|relay| relay.1) else {
            return;
        };
        let accepted = match &message {
            discovery_relay::Message::RequestEndpoints { slot: requested } => *requested == slot,
            discovery_relay::Message::Heartbeat {
                slot: sent, token, ..
            }
            | discovery_relay::Message::Update {
                slot: sent, token, ..
            } => {
                let (sent, token) = (*sent, *token);
                sent == slot && self.accept_token(&from, sent, token, now)
            }
        };
        if !accepted {
            return;
        }
        let token = self.role_client.token(slot, now);
        let mut actions = Vec::new();
        if let Some((relay, _)) = &mut self.relay {
            relay.receive(&from, message, token, now, &mut actions);
        }
        self.perform_relay_actions(event_loop, actions, now);
    }

    /// Merges an update into the complete list; returns its revision and whether it was complete.
    pub(super) fn merge_endpoints(&mut self, list: &Value) -> Option<(u64, bool)> {
        let revision = list["revision"].as_u64()?;
        let complete = list["complete"].as_bool().unwrap_or(false);
        if complete {
            self.endpoints_by_id.clear();
        }
        for endpoint in list["members"].as_array().into_iter().flatten() {
            let Some(id) = endpoint["id"].as_str() else {
                continue;
            };
            if endpoint["phase"] == "Gone" {
                self.endpoints_by_id.remove(id);
            } else {
                self.endpoints_by_id.insert(id.to_owned(), endpoint.clone());
            }
        }
        Some((revision, complete))
    }

    pub(super) fn perform_relay_actions(
        &mut self,
        event_loop: &Rc<EventLoop>,
        actions: Vec<Action>,
        now: f64,
    ) {
        for action in actions {
            match action {
                Action::OpenWatch | Action::CloseWatch => {
                    let own = action == Action::OpenWatch;
                    ::log::info!(
                        "fleet: own discovery watch {}",
                        if own { "opens" } else { "closes" }
                    );
                    let name = self.identity.name.clone();
                    let value = if own { 1.0 } else { 0.0 };
                    self.write_history(
                        json!({"line": "counted", "t": now, "what": format!("watch {name}"), "value": value}),
                    );
                    event_loop.discovery_watch.set_own_watch(own);
                }
                Action::Broadcast(message) => {
                    let body = postcard::to_stdvec(&message).unwrap_or_default();
                    let is_zone_peer = |member: &&members::Member| {
                        member.zone == self.identity.zone && member.name != self.identity.name
                    };
                    let addresses: Vec<_> = self
                        .membership
                        .alive()
                        .filter(is_zone_peer)
                        .map(|member| member.address)
                        .collect();
                    addresses.into_iter().for_each(|address| {
                        self.transport.send(address, Kind::Watch, body.clone())
                    });
                }
                Action::Send { to, message } => {
                    let body = postcard::to_stdvec(&message).unwrap_or_default();
                    for address in self.addresses_of(&to) {
                        self.transport.send(address, Kind::Watch, body.clone());
                    }
                }
                Action::SendEndpoints { to, token } => {
                    let Some((relay, slot)) = &self.relay else {
                        continue;
                    };
                    let endpoints: Vec<&Value> = self.endpoints_by_id.values().collect();
                    let revision = relay.revision();
                    let complete_list =
                        json!({"revision": revision, "complete": true, "members": endpoints});
                    let encoded_list = complete_list.to_string().into_bytes();
                    let message = discovery_relay::Message::Update {
                        slot: *slot,
                        token,
                        since: None,
                        revision,
                        endpoints: encoded_list,
                    };
                    let body = postcard::to_stdvec(&message).unwrap_or_default();
                    for address in self.addresses_of(&to) {
                        self.transport.send(address, Kind::Watch, body.clone());
                    }
                }
                Action::ApplyEndpoints {
                    endpoints,
                    revision,
                } => {
                    let Ok(value) = serde_json::from_slice::<Value>(&endpoints) else {
                        continue;
                    };
                    let Ok(update) = decode_endpoints(&value, &event_loop.names) else {
                        continue;
                    };
                    self.merge_endpoints(&value);
                    self.relayed_updates += 1;
                    // An own watch would continue from this revision.
                    event_loop.discovery_watch.set_revision(revision);
                    event_loop.handle(Event::EndpointsUpdated(update));
                }
            }
        }
    }

    pub(super) fn receive_update(
        &mut self,
        event_loop: &Rc<EventLoop>,
        line: Option<Value>,
        now: f64,
    ) {
        let update = line.and_then(|value| {
            let (revision, complete) = self.merge_endpoints(&value)?;
            Some(DiscoveryUpdate {
                revision,
                complete,
                endpoints: value.to_string().into_bytes(),
            })
        });
        let token = self
            .relay
            .as_ref()
            .and_then(|relay| self.role_client.token(relay.1, now));
        let mut actions = Vec::new();
        if let Some((relay, slot)) = &mut self.relay {
            relay.receive_update(update, token, now, &mut actions);
            self.role_client.record_progress(*slot, now);
        }
        self.perform_relay_actions(event_loop, actions, now);
    }
}
