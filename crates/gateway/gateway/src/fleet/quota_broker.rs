//! Leases that brokers grant in the counter's place: this process as a broker and as a borrower.

use crate::fleet::work::Work;
use crate::fleet::Fleet;
use crate::hub::Hub;
use crate::reducer::Event;
use dunespur_peer_transport::Kind;
use dunespur_quota_sharing as quota_sharing;
use dunespur_quota_sharing::BrokerAnswer;
use dunespur_quota_sharing::LeaseRequest;
use dunespur_singleton_roles::Slot;
use std::rc::Rc;

impl Fleet {
    /// What the broker wants done; its answers under the token that it holds at this moment.
    pub(super) fn drive_broker(&mut self, hub: &Rc<Hub>, now: f64) {
        while !self.broker_outputs.is_empty() {
            for o in std::mem::take(&mut self.broker_outputs) {
                match o {
                    quota_sharing::Output::Respond {
                        to,
                        run,
                        slot,
                        seq,
                        answer,
                    } => {
                        let token = self.client.token(slot, now);
                        let answer = token.map_or(BrokerAnswer::Unavailable, |_| answer);
                        let msg = quota_sharing::Message::Response {
                            slot,
                            token: token.unwrap_or(0),
                            run,
                            seq,
                            answer,
                        };
                        if to == self.identity.name {
                            self.receive_lease_response(hub, msg, now);
                        } else if let Some(at) = self.addresses_of(&to).first() {
                            let body = postcard::to_stdvec(&Work::Lend(msg)).unwrap_or_default();
                            self.links.send(*at, Kind::Work, body);
                        }
                    }
                    quota_sharing::Output::CallCounter {
                        call,
                        name,
                        add,
                        lifetime,
                    } => {
                        hub.call_counter(call, name, add, lifetime);
                    }
                    quota_sharing::Output::AbandonCall { call } => hub.counter.abandon(hub, call),
                }
            }
        }
    }

    /// A broker's answer. One under an older token than was seen is refused; a no changes nothing.
    pub(super) fn receive_lease_response(
        &mut self,
        hub: &Rc<Hub>,
        msg: quota_sharing::Message,
        now: f64,
    ) {
        let quota_sharing::Message::Response {
            slot,
            token,
            run,
            seq,
            answer,
        } = msg
        else {
            return;
        };
        let total = matches!(answer, BrokerAnswer::Total(_));
        let fits = run == self.identity.run && (!total || self.fencing.accept(slot, token));
        let Some(lending) = self.lending.as_ref().filter(|_| fits) else {
            return;
        };
        if let Some(counted) = lending.broker_answered(seq, answer) {
            self.client.record_progress(slot, now);
            hub.tell(Event::Counted { call: seq, counted });
        }
    }

    /// This limiter's own ask goes to whoever holds the slot.
    pub(super) fn request_lease(
        &mut self,
        hub: &Rc<Hub>,
        slot: Slot,
        request: LeaseRequest,
        now: f64,
    ) {
        let (me, run) = (self.identity.name.clone(), self.identity.run);
        if self.client.token(slot, now).is_some() {
            self.broker
                .request(&me, run, slot, request, now, &mut self.broker_outputs);
            return self.drive_broker(hub, now);
        }
        let holder = self
            .client
            .owners()
            .get(&slot)
            .filter(|h| **h != me)
            .cloned();
        match holder.and_then(|h| self.addresses_of(&h).first().copied()) {
            Some(at) => {
                let work = Work::Lend(quota_sharing::Message::Request { slot, run, request });
                self.links.send(
                    at,
                    Kind::Work,
                    postcard::to_stdvec(&work).unwrap_or_default(),
                );
            }
            None => {
                let msg = quota_sharing::Message::Response {
                    slot,
                    token: 0,
                    run,
                    seq: request.seq,
                    answer: BrokerAnswer::Unavailable,
                };
                self.receive_lease_response(hub, msg, now);
            }
        }
    }

    /// Another limiter asks this one, or its broker answers.
    pub(super) fn receive_lease_message(
        &mut self,
        hub: &Rc<Hub>,
        from: &str,
        msg: quota_sharing::Message,
        now: f64,
    ) {
        match msg {
            quota_sharing::Message::Request { slot, run, request } => {
                let ours = self.lending.is_some() && self.plan.roles.slot_info(slot).role == "lend";
                if ours && self.client.token(slot, now).is_some() {
                    self.client.record_progress(slot, now);
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
                self.drive_broker(hub, now);
            }
            told => self.receive_lease_response(hub, told, now),
        }
    }

    /// Which slots have a holder that is known here.
    pub(super) fn publish_known_slots(&self, now: f64) {
        let Some(lending) = &self.lending else { return };
        let held = self.client.assignments(now).map(|held| held.slot);
        let known = self
            .client
            .owners()
            .iter()
            .filter(|h| *h.1 != self.identity.name)
            .map(|h| *h.0);
        *lending.known.borrow_mut() = held.chain(known).collect();
    }
}
