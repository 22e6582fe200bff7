//! Carries out what the gossip on membership asks for, and gives all that comes from peers to its receiver.

use crate::fleet::work::Work;
use crate::fleet::Fleet;
use crate::hub::Hub;
use dunespur_gossip_membership as members;
use dunespur_gossip_membership::DuplicateName;
use dunespur_peer_transport::FrameError;
use dunespur_peer_transport::Kind;
use dunespur_peer_transport::ReceivedFrame;
use dunespur_peer_transport::Transport;
use serde_json::json;
use std::rc::Rc;

impl Fleet {
    pub(super) fn perform_gossip(&mut self, out: Vec<members::Output>, now: f64) {
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
                    let who = self.identity.name.clone();
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

    pub(super) fn receive(&mut self, hub: &Rc<Hub>, came: ReceivedFrame, now: f64) {
        let ReceivedFrame { kind, frame } = came;
        self.learn_address(&frame.sender, frame.sender_address, now);
        let spoilt = |links: &Transport| links.reject(FrameError::UnknownKind);
        match kind {
            Kind::Gossip => {
                let mut out = Vec::new();
                self.members.receive(&frame.body, now, &mut out);
                self.perform_gossip(out, now);
            }
            Kind::SingletonRoles => match postcard::from_bytes(&frame.body) {
                Ok(message) => self.receive_role_message(frame.sender, message, now),
                Err(_) => spoilt(&self.links),
            },
            Kind::Watch => match postcard::from_bytes(&frame.body) {
                Ok(message) => self.receive_relay_message(hub, frame.sender, message, now),
                Err(_) => spoilt(&self.links),
            },
            Kind::Work => match postcard::from_bytes::<Work>(&frame.body) {
                Ok(work) => self.receive_work(hub, &frame.sender, work, now),
                Err(_) => spoilt(&self.links),
            },
        }
    }
}
