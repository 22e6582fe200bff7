//! The leader's responses to clients. A lease is renewed only after a majority has confirmed that the leader
//! still led after the request arrived (Raft's read index, section 6.4 of Ongaro's dissertation).

use super::Voter;
use crate::message::{RenewRequest, RenewResponse, SlotOwner};
use crate::table::Command;
use crate::{Message, Output, Slot};

/// Maximum number of slots that one request may look up.
const MAX_LOOKUPS: usize = 64;
/// Ticks after which a read-index request counts as lost.
const CONFIRMATION_TICKS: f64 = 4.0;

impl Voter {
    pub(super) fn receive_renewal(&mut self, request: RenewRequest, out: &mut Vec<Output>) {
        let now = self.now;
        let leadership = self.leadership.as_mut().filter(|l| l.is_ready());
        let Some(leadership) = leadership else {
            let leader = self.raft.as_ref().map_or(0, |raft| raft.raft.leader_id);
            let leader = self.table.voters.get(&leader);
            let message = Message::NotLeader {
                run: request.identity.run,
                seq: request.seq,
                leader: leader.filter(|name| **name != self.name).cloned(),
            };
            let to = request.identity.name;
            out.push(Output::Send { to, message });
            return;
        };
        if leadership.enqueue(request, now) {
            self.confirm_leadership();
        }
    }

    /// Asks the other voters to confirm that this voter still leads, once for all waiting renewals.
    pub(super) fn confirm_leadership(&mut self) {
        let timeout = self.settings.tick_interval * CONFIRMATION_TICKS;
        let leadership = self.leadership.as_mut().filter(|l| l.is_ready());
        let Some(leadership) = leadership else {
            return;
        };
        if !leadership.needs_confirmation(timeout, self.now) {
            return;
        }
        self.last_request_number = self.last_request_number.wrapping_add(1);
        leadership.confirmation_sent(self.last_request_number, self.now);
        if let Some(raft) = &mut self.raft {
            raft.read_index(self.last_request_number.to_le_bytes().to_vec());
        }
    }

    /// Handles a majority's confirmation of leadership: responds to the renewals that waited for it.
    pub(super) fn leadership_confirmed(&mut self, context: &[u8], out: &mut Vec<Output>) {
        let leadership = self.leadership.as_mut().filter(|l| l.is_ready());
        let confirmed = leadership.and_then(|l| l.take_confirmed(context));
        let Some(confirmed) = confirmed else { return };
        for waiting in confirmed {
            self.respond(&waiting.request, waiting.received, out);
        }
        self.maintain(out);
        self.confirm_leadership();
    }

    fn respond(&mut self, request: &RenewRequest, received: f64, out: &mut Vec<Output>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.release(request, &self.table, &self.settings, self.now, out);
        let identity = &request.identity;
        let to = identity.name.clone();
        if self.table.duplicates.contains(&identity.name) {
            let message = Message::DuplicateName { run: identity.run };
            out.push(Output::Send { to, message });
            return;
        }
        let Some(session) = self.table.session_of(&identity.name, identity.run) else {
            self.register(request, received);
            return;
        };
        if !leadership.renew(session, request.leaving, received) {
            return;
        }
        let response = self.renewal_response(session, request);
        let run = identity.run;
        let message = Message::Renewed { run, response };
        out.push(Output::Send { to, message });
    }

    /// Registers a limiter that has no session, unless a later run of its name replaced it.
    fn register(&mut self, request: &RenewRequest, received: f64) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let identity = &request.identity;
        let mut sessions = self.table.sessions.iter();
        let replaced = sessions.find(|(_, s)| s.name == identity.name && s.run == identity.run);
        if let Some((session, _)) = replaced {
            // Still renewing two intervals after a later run replaced it: both processes are running.
            let other_run_is_alive =
                leadership.other_run_is_alive(identity, self.settings.lease_duration, self.now);
            let since = leadership.replaced_since(*session);
            let name = identity.name.clone();
            if other_run_is_alive && received > since + self.settings.renew_interval * 2.0 {
                leadership.queue_once(Command::MarkDuplicate { name });
            }
            return;
        }
        if !request.leaving {
            leadership.queue_once(Command::Register {
                name: identity.name.clone(),
                run: identity.run,
                zone: identity.zone.clone(),
                machine: identity.machine.clone(),
            });
        }
    }

    fn renewal_response(&self, session: u64, request: &RenewRequest) -> RenewResponse {
        let table = &self.table;
        let version = table.versions.get(&session).copied().unwrap_or(0);
        let changed = version != request.version;
        let tokens = || table.slots.iter().map(|state| state.token).collect();
        let owner = |slot: &Slot| {
            let state = table.slots.get(*slot as usize)?;
            let session = table.sessions.get(&state.session)?;
            Some(SlotOwner {
                slot: *slot,
                owner: session.name.clone(),
            })
        };
        let lookups = request.lookups.iter().take(MAX_LOOKUPS);
        let leadership = self.leadership.as_ref();
        RenewResponse {
            seq: request.seq,
            version,
            index: self.applied,
            assignments: changed.then(|| table.assignments_of(session)),
            revoked: leadership.map_or_else(Vec::new, |l| l.revoked_from(session)),
            tokens: request.needs_tokens.then(tokens),
            owners: lookups.filter_map(owner).collect(),
        }
    }

    /// The leader's maintenance: expires sessions, grants free slots and revokes misplaced ones.
    pub(super) fn maintain(&mut self, out: &mut Vec<Output>) {
        let leadership = self.leadership.as_mut().filter(|l| l.is_ready());
        let Some(leadership) = leadership else {
            return;
        };
        leadership.notify_changed(&self.table, out);
        if leadership.is_proposing(self.settings.lease_duration, self.now) {
            return;
        }
        leadership.maintain(&self.table, &self.settings, self.now);
        let Some(commands) = leadership.next_commands() else {
            return;
        };
        self.last_request_number = self.last_request_number.wrapping_add(1);
        let number = self.last_request_number;
        let Ok(data) = postcard::to_stdvec(&(number, commands)) else {
            return;
        };
        let raft = self.raft.as_mut();
        if raft.is_some_and(|raft| raft.propose(Vec::new(), data).is_ok()) {
            leadership.proposed(number, self.now);
        }
    }
}
