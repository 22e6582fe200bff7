//! Performs the outputs of the gossip membership, and passes received frames to their handlers.

use crate::event_loop::EventLoop;
use crate::fleet::work::Work;
use crate::fleet::FleetMember;
use dunespur_gossip_membership as members;
use dunespur_gossip_membership::DuplicateName;
use dunespur_peer_transport::FrameError;
use dunespur_peer_transport::Kind;
use dunespur_peer_transport::ReceivedFrame;
use dunespur_peer_transport::Transport;
use serde_json::json;
use std::rc::Rc;

impl FleetMember {
    pub(super) fn perform_gossip_outputs(&mut self, outputs: Vec<members::Output>, now: f64) {
        for output in outputs {
            match output {
                members::Output::Datagram { to, bytes } => {
                    self.transport.send_datagram(to, Kind::Gossip, bytes)
                }
                members::Output::Up(member) => {
                    ::log::info!("fleet: {} is up at {}", member.name, member.address)
                }
                members::Output::Down(member) => {
                    ::log::info!("fleet: {} at {} is down", member.name, member.address)
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
                    let name = self.identity.name.clone();
                    self.write_history(
                        json!({"line": "report", "t": now, "who": name, "loud": true, "text": text}),
                    );
                }
                members::Output::Stalled { seconds } => {
                    ::log::warn!("fleet: this process was stalled for {seconds:.1} s")
                }
            }
        }
    }

    pub(super) fn receive(
        &mut self,
        event_loop: &Rc<EventLoop>,
        received: ReceivedFrame,
        now: f64,
    ) {
        let ReceivedFrame { kind, frame } = received;
        self.learn_address(&frame.sender, frame.sender_address, now);
        let reject_frame = |transport: &Transport| transport.reject(FrameError::UnknownKind);
        match kind {
            Kind::Gossip => {
                let mut outputs = Vec::new();
                self.membership.receive(&frame.body, now, &mut outputs);
                self.perform_gossip_outputs(outputs, now);
            }
            Kind::SingletonRoles => match postcard::from_bytes(&frame.body) {
                Ok(message) => self.receive_role_message(frame.sender, message, now),
                Err(_) => reject_frame(&self.transport),
            },
            Kind::Watch => match postcard::from_bytes(&frame.body) {
                Ok(message) => self.receive_relay_message(event_loop, frame.sender, message, now),
                Err(_) => reject_frame(&self.transport),
            },
            Kind::Work => match postcard::from_bytes::<Work>(&frame.body) {
                Ok(work) => self.receive_work(event_loop, &frame.sender, work, now),
                Err(_) => reject_frame(&self.transport),
            },
        }
    }
}
