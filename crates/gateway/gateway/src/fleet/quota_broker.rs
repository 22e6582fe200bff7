//! Leases that brokers grant in place of the counter: this process as a broker and as a borrower.

use crate::event_loop::EventLoop;
use crate::fleet::work::Work;
use crate::fleet::FleetMember;
use crate::state_machine::Event;
use dunespur_peer_transport::Kind;
use dunespur_quota_sharing as quota_sharing;
use dunespur_quota_sharing::BrokerAnswer;
use dunespur_quota_sharing::LeaseRequest;
use dunespur_singleton_roles::Slot;
use std::rc::Rc;

impl FleetMember {
    /// Performs the outputs of the broker. Responses carry the fencing token that is valid now; without one the
    /// broker answers that it is unavailable.
    pub(super) fn drive_broker(&mut self, event_loop: &Rc<EventLoop>, now: f64) {
        while !self.broker_outputs.is_empty() {
            for output in std::mem::take(&mut self.broker_outputs) {
                match output {
                    quota_sharing::Output::Respond {
                        to,
                        run,
                        slot,
                        seq,
                        answer,
                    } => {
                        let token = self.role_client.token(slot, now);
                        let answer = token.map_or(BrokerAnswer::Unavailable, |_| answer);
                        let message = quota_sharing::Message::Response {
                            slot,
                            token: token.unwrap_or(0),
                            run,
                            seq,
                            answer,
                        };
                        if to == self.identity.name {
                            self.receive_lease_response(event_loop, message, now);
                        } else if let Some(address) = self.addresses_of(&to).first() {
                            let body =
                                postcard::to_stdvec(&Work::Lend(message)).unwrap_or_default();
                            self.transport.send(*address, Kind::Work, body);
                        }
                    }
                    quota_sharing::Output::CallCounter {
                        call,
                        name,
                        add,
                        lifetime,
                    } => {
                        event_loop.call_counter(call, name, add, lifetime);
                    }
                    quota_sharing::Output::AbandonCall { call } => {
                        event_loop.counter_client.abandon(event_loop, call)
                    }
                }
            }
        }
    }

    /// Handles the response of a broker. A total under an older fencing token than already seen is rejected; a
    /// refusal needs no token.
    pub(super) fn receive_lease_response(
        &mut self,
        event_loop: &Rc<EventLoop>,
        message: quota_sharing::Message,
        now: f64,
    ) {
        let quota_sharing::Message::Response {
            slot,
            token,
            run,
            seq,
            answer,
        } = message
        else {
            return;
        };
        let total = matches!(answer, BrokerAnswer::Total(_));
        let accepted =
            run == self.identity.run && (!total || self.fencing_check.accept(slot, token));
        let Some(counter_router) = self.counter_router.as_ref().filter(|_| accepted) else {
            return;
        };
        if let Some(reply) = counter_router.broker_answered(seq, answer) {
            self.role_client.record_progress(slot, now);
            event_loop.handle(Event::CounterReplied { call: seq, reply });
        }
    }

    /// Sends a lease request of this limiter to the owner of the slot.
    pub(super) fn request_lease(
        &mut self,
        event_loop: &Rc<EventLoop>,
        slot: Slot,
        request: LeaseRequest,
        now: f64,
    ) {
        let (own_name, run) = (self.identity.name.clone(), self.identity.run);
        if self.role_client.token(slot, now).is_some() {
            self.broker
                .request(&own_name, run, slot, request, now, &mut self.broker_outputs);
            return self.drive_broker(event_loop, now);
        }
        let owner = self
            .role_client
            .owners()
            .get(&slot)
            .filter(|owner| **owner != own_name)
            .cloned();
        match owner.and_then(|owner| self.addresses_of(&owner).first().copied()) {
            Some(address) => {
                let work = Work::Lend(quota_sharing::Message::Request { slot, run, request });
                self.transport.send(
                    address,
                    Kind::Work,
                    postcard::to_stdvec(&work).unwrap_or_default(),
                );
            }
            None => {
                let message = quota_sharing::Message::Response {
                    slot,
                    token: 0,
                    run,
                    seq: request.seq,
                    answer: BrokerAnswer::Unavailable,
                };
                self.receive_lease_response(event_loop, message, now);
            }
        }
    }

    /// Handles a lease request of another limiter, or the response of a broker.
    pub(super) fn receive_lease_message(
        &mut self,
        event_loop: &Rc<EventLoop>,
        from: &str,
        message: quota_sharing::Message,
        now: f64,
    ) {
        match message {
            quota_sharing::Message::Request { slot, run, request } => {
                let is_broker = self.counter_router.is_some()
                    && self.config.roles.slot_info(slot).role == "lend";
                if is_broker && self.role_client.token(slot, now).is_some() {
                    self.role_client.record_progress(slot, now);
                    self.broker
                        .request(from, run, slot, request, now, &mut self.broker_outputs);
                } else {
                    let (to, seq) = (from.to_owned(), request.seq);
                    self.broker_outputs.push(quota_sharing::Output::Respond {
                        to,
                        run,
                        slot,
                        seq,
                        answer: BrokerAnswer::Unavailable,
                    });
                }
                self.drive_broker(event_loop, now);
            }
            response => self.receive_lease_response(event_loop, response, now),
        }
    }

    /// Publishes the slots whose owners are known to this process.
    pub(super) fn publish_known_slots(&self, now: f64) {
        let Some(counter_router) = &self.counter_router else {
            return;
        };
        let held = self.role_client.assignments(now).map(|held| held.slot);
        let known = self
            .role_client
            .owners()
            .iter()
            .filter(|owner| *owner.1 != self.identity.name)
            .map(|owner| *owner.0);
        *counter_router.owned_slots.borrow_mut() = held.chain(known).collect();
    }
}
