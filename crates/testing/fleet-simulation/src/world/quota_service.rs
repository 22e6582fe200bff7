//! The counter's service in the world, and the brokers' messages about quotas.

use super::events::{Event, Packet};
use super::{World, MAX_SHOWN_LIMITERS};
use crate::history::Line;
use crate::service;
use crate::service::Service;
use dunespur_quota_sharing as quota_sharing;

impl World<'_> {
    /// Something of what the limiters serve, and all that follows from it at once.
    pub(super) fn serve(&mut self, act: impl FnOnce(&mut Service, &mut Vec<service::Out>)) {
        let t = self.now;
        let mut out = Vec::new();
        if let Some(service) = &mut self.service {
            act(service, &mut out);
        }
        while !out.is_empty() {
            for o in std::mem::take(&mut out) {
                match o {
                    service::Out::At(at, ev) => self.push(at, Event::Service(ev)),
                    service::Out::Borrow {
                        gate,
                        slot,
                        request,
                    } => {
                        let (name, run) = (self.nodes[gate].name.clone(), self.nodes[gate].run);
                        if self.holds(gate, slot).is_some() {
                            if let Some(s) = &mut self.service {
                                s.receive_request(gate, &name, run, slot, request, t, &mut out);
                            }
                        } else if let Some(to) = self.nodes[gate].client.as_ref().and_then(|h| {
                            h.owners()
                                .get(&slot)
                                .and_then(|n| n[1..].parse::<usize>().ok())
                        }) {
                            let msg = quota_sharing::Message::Request { slot, run, request };
                            self.send(gate, to, Packet::Lend(Box::new(msg)));
                        }
                    }
                    service::Out::Tell {
                        gate,
                        to,
                        run,
                        slot,
                        seq,
                        answer,
                    } => {
                        let token = self.holds(gate, slot);
                        let answer =
                            token.map_or(quota_sharing::BrokerAnswer::Unavailable, |_| answer);
                        let token = token.unwrap_or(0);
                        let Ok(to) = to[1..].parse::<usize>() else {
                            continue;
                        };
                        if to != gate {
                            let msg = quota_sharing::Message::Response {
                                slot,
                                token,
                                run,
                                seq,
                                answer,
                            };
                            self.send(gate, to, Packet::Lend(Box::new(msg)));
                        } else if run == self.nodes[gate].run {
                            if let Some(s) = &mut self.service {
                                s.receive_response(gate, seq, answer, t, &mut out);
                            }
                        }
                    }
                    service::Out::Answered {
                        sent,
                        gate,
                        customer,
                        ok,
                    } => {
                        if self.trial.fleet.limiters <= MAX_SHOWN_LIMITERS {
                            let status = if ok { 200 } else { 429 };
                            let customer = customer as u64;
                            let line = Line::Answer {
                                sent,
                                t,
                                status,
                                answers: 1,
                                in_time: true,
                                customer,
                                limiter: gate,
                            };
                            self.lines.push(line);
                        }
                    }
                }
            }
        }
    }

    pub(super) fn holds(&self, node: usize, slot: u32) -> Option<u64> {
        let now = self.local(node, self.now);
        self.nodes[node]
            .client
            .as_ref()
            .and_then(|h| h.token(slot, now))
    }

    /// Something of a broker came to a node.
    pub(super) fn receive_quota_message(
        &mut self,
        node: usize,
        from: usize,
        msg: quota_sharing::Message,
    ) {
        let t = self.now;
        match msg {
            quota_sharing::Message::Request { slot, run, request } => {
                let name = self.nodes[from].name.clone();
                if self.holds(node, slot).is_some() {
                    return self.serve(|s, out| {
                        s.receive_request(node, &name, run, slot, request, t, out)
                    });
                }
                let (token, seq, answer) =
                    (0, request.seq, quota_sharing::BrokerAnswer::Unavailable);
                let msg = quota_sharing::Message::Response {
                    slot,
                    token,
                    run,
                    seq,
                    answer,
                };
                self.send(node, from, Packet::Lend(Box::new(msg)));
            }
            quota_sharing::Message::Response {
                slot,
                token,
                run,
                seq,
                answer,
            } => {
                let n = &mut self.nodes[node];
                let total = matches!(answer, quota_sharing::BrokerAnswer::Total(_));
                let fits = !total || n.fencing.accept(slot, token) || !self.fenced;
                if run == n.run && fits {
                    self.serve(|s, out| s.receive_response(node, seq, answer, t, out));
                }
            }
        }
    }

    /// Tells the limiter which slots have a holder that it knows of.
    pub(super) fn update_known_brokers(&mut self, node: usize) {
        if self.service.is_none() || self.broker_slots.is_none() {
            return;
        }
        let now = self.local(node, self.now);
        let n = &self.nodes[node];
        let Some(h) = &n.client else { return };
        let others = h.owners().iter().filter(|o| *o.1 != n.name).map(|o| *o.0);
        let known = others
            .chain(h.assignments(now).map(|held| held.slot))
            .collect();
        if let Some(s) = &mut self.service {
            s.know(node, known);
        }
    }
}
