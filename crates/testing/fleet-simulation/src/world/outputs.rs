//! Carries out what the state machines of a machine ask for.

use super::events::{Event, Packet};
use super::World;
use crate::history::Line;
use dunespur_gossip_membership as members;
use dunespur_singleton_roles::Output;
use rand::RngExt;

impl World<'_> {
    pub(super) fn take(&mut self, node: usize, out: Vec<Output>, t: f64) {
        for o in out {
            let (who, run, epoch) = {
                let n = &self.nodes[node];
                (n.name.clone(), n.run, n.epoch)
            };
            match o {
                Output::Send { to, message } => {
                    let twins: Vec<usize> = (0..self.nodes.len())
                        .filter(|i| self.nodes[*i].up && self.nodes[*i].name == to)
                        .collect();
                    for to in twins {
                        if to != node {
                            self.send(node, to, Packet::Peer(Box::new(message.clone())));
                        } else {
                            // To itself, past the network.
                            self.push(
                                t + 1e-5,
                                Event::Arrive {
                                    to,
                                    from: node,
                                    packet: Packet::Peer(Box::new(message.clone())),
                                },
                            );
                        }
                    }
                }
                Output::Write(batch) => {
                    let number = batch.number;
                    self.nodes[node].writing.push_back(batch);
                    let fsync = self.trial.net.fsync * self.rng.random_range(0.3..2.0);
                    let takes = fsync + self.nodes[node].slow_disk;
                    self.push(
                        t + takes,
                        Event::Disk {
                            node,
                            epoch,
                            number,
                        },
                    );
                }
                Output::Tokens(tokens) => self.nodes[node].fencing.initialize(&tokens),
                Output::Acquired { slot, token } => self.lines.push(Line::Began {
                    t,
                    who,
                    run,
                    slot,
                    token,
                }),
                Output::Lost { slot, token } => {
                    let until = self.nodes[node]
                        .client
                        .as_ref()
                        .map_or(0.0, |h| h.last_expiry());
                    let until = self.truth(node, until);
                    self.lines.push(Line::Ended {
                        t,
                        who,
                        run,
                        slot,
                        token,
                        until,
                    });
                    if self
                        .broker_slots
                        .is_some_and(|range| range.slots().contains(&slot))
                    {
                        self.serve(|s, out| s.slot_lost(node, slot, t, out));
                    }
                }
                Output::Report { severity, text } => {
                    let loud = severity.is_warning();
                    self.lines.push(Line::Report { t, who, loud, text })
                }
            }
        }
    }

    pub(super) fn take_members(&mut self, node: usize, membership_outputs: Vec<members::Output>) {
        let t = self.now;
        let who = self.nodes[node].name.clone();
        for o in membership_outputs {
            match o {
                members::Output::Datagram { to, bytes } => {
                    if let Some(to) = self.nodes.iter().position(|n| n.address == to) {
                        if self.now >= self.measure_from {
                            self.tally.gossip_messages += 1;
                            self.tally.gossip_bytes += bytes.len() as u64;
                        }
                        self.send(node, to, Packet::Gossip(bytes));
                    }
                }
                members::Output::Down(m) => {
                    let lives = self
                        .nodes
                        .iter()
                        .any(|n| n.up && n.name == m.name && n.run == m.instance);
                    if lives && t >= self.measure_from {
                        self.tally.false_downs += 1;
                    } else if lives {
                        self.tally.early_downs += 1;
                    } else {
                        self.tally.downs.push((m.name, who.clone(), t));
                    }
                }
                members::Output::DuplicateName(members::DuplicateName { name, .. }) => {
                    let text = format!("two living processes have the name {name}");
                    self.lines.push(Line::Report {
                        t,
                        who: who.clone(),
                        loud: true,
                        text,
                    });
                }
                members::Output::Up(_) | members::Output::Stalled { .. } => {}
            }
        }
    }
}
