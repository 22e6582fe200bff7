//! The limiter's side of the roles: renews the lease, receives slot assignments, and tells at any moment which
//! slots the limiter holds.
//!
//! The lease counts from before the renewal request was sent, and no slot may be held beyond it. A released
//! slot must not be taken up again under the same token.

use crate::lease::ClientLease;
use crate::message::{report, Release, RenewRequest, RenewResponse};
use crate::table::Assignment;
use crate::{Identity, Message, Name, Output, Settings, Severity, Slot};
use std::collections::BTreeMap;

/// Renewal intervals without a response after which a request counts as lost.
const REQUEST_TIMEOUT_INTERVALS: f64 = 0.9;
/// Renewal intervals without a response after which the leader counts as unknown.
const LEADER_TIMEOUT_INTERVALS: f64 = 1.5;
/// Renewal intervals until a lost request is retried; short, so that a few lost responses don't cost the lease.
const RETRY_INTERVALS: f64 = 0.4;
/// Renewal intervals until a newly named leader is asked.
const REDIRECT_INTERVALS: f64 = 0.125;

struct OwnedSlot {
    token: u64,
    /// When the work on the slot last made progress.
    last_progress: f64,
}

/// A slot that was given up but may still be in the leader's assignments.
struct ReleasedSlot {
    token: u64,
    stalled: bool,
}

/// A limiter's client of the voter group. Times are seconds on the limiter's own clock.
pub struct RoleClient {
    settings: Settings,
    identity: Identity,
    lease: ClientLease<f64>,
    /// Slots of the last assignments; they are held only while the lease is valid.
    owned: BTreeMap<Slot, OwnedSlot>,
    /// Version of the last assignments; 0 requests all of them.
    version: u64,
    /// Slots given up; each renewal request lists them until the leader has removed them.
    released: BTreeMap<Slot, ReleasedSlot>,
    /// Number of the last renewal request.
    seq: u64,
    next_renewal: f64,
    /// The leader, if it is known; otherwise the voters are asked in turn.
    leader: Option<Name>,
    next_voter: usize,
    last_response: f64,
    lookups: Vec<Slot>,
    /// Last known owners of the slots in `lookups`.
    owners: BTreeMap<Slot, Name>,
    leaving: bool,
    /// The tokens of all slots were received after the start.
    has_tokens: bool,
    last_expiry: f64,
    duplicate_name: bool,
}

impl RoleClient {
    /// Creates a client that holds no slots and sends its first renewal at once. `lookups` are the slots whose
    /// owners it asks for.
    #[must_use]
    pub fn new(settings: Settings, identity: Identity, lookups: Vec<Slot>, now: f64) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(identity.name.as_bytes());
        let next_voter = (hash % settings.voters.len() as u64) as usize;
        RoleClient {
            settings,
            identity,
            lease: ClientLease::default(),
            owned: BTreeMap::new(),
            version: 0,
            released: BTreeMap::new(),
            seq: 0,
            next_renewal: now,
            leader: None,
            next_voter,
            last_response: now,
            lookups,
            owners: BTreeMap::new(),
            leaving: false,
            has_tokens: false,
            last_expiry: 0.0,
            duplicate_name: false,
        }
    }

    /// The token under which this limiter holds a slot at this moment. Call it right before each effect.
    #[must_use]
    pub fn token(&self, slot: Slot, now: f64) -> Option<u64> {
        let owned = self.owned.get(&slot).filter(|_| self.lease.is_valid(now));
        owned.map(|owned| owned.token)
    }

    /// All slots that this limiter holds at this moment.
    pub fn assignments(&self, now: f64) -> impl Iterator<Item = Assignment> + '_ {
        let lease_is_valid = self.lease.is_valid(now);
        let owned = self.owned.iter().filter(move |_| lease_is_valid);
        owned.map(|(slot, owned)| Assignment {
            slot: *slot,
            token: owned.token,
        })
    }

    /// The last known owner of a slot in `lookups`.
    #[must_use]
    pub fn owner(&self, slot: Slot) -> Option<&Name> {
        self.owners.get(&slot)
    }

    /// The last known owners of the slots in `lookups`.
    #[must_use]
    pub fn owners(&self) -> &BTreeMap<Slot, Name> {
        &self.owners
    }

    /// Whether another running process uses this limiter's name.
    #[must_use]
    pub fn has_duplicate_name(&self) -> bool {
        self.duplicate_name
    }

    /// Records that the work on a slot made progress. Slots without progress for the stall timeout are released.
    pub fn record_progress(&mut self, slot: Slot, now: f64) {
        if let Some(owned) = self.owned.get_mut(&slot) {
            owned.last_progress = now;
        }
    }

    /// When [`RoleClient::tick`] is due.
    #[must_use]
    pub fn next_due(&self) -> f64 {
        if self.owned.is_empty() {
            self.next_renewal
        } else {
            self.next_renewal.min(self.lease.expiry())
        }
    }

    /// Drops all slots if the lease has expired, releases stalled slots, and renews the lease when it is time.
    pub fn tick(&mut self, now: f64, out: &mut Vec<Output>) {
        if !self.lease.is_valid(now) && !self.owned.is_empty() {
            self.lose_all(out);
        }
        let timeout = self.settings.stall_timeout;
        if timeout > 0.0 {
            let owned = self.owned.iter();
            let stalled = owned.filter(|(_, owned)| now > owned.last_progress + timeout);
            let stalled: Vec<Slot> = stalled.map(|(slot, _)| *slot).collect();
            stalled
                .into_iter()
                .for_each(|slot| self.release(slot, true, out));
        }
        if now >= self.next_renewal {
            self.renew(now, out);
        }
    }

    fn lose_all(&mut self, out: &mut Vec<Output>) {
        for (slot, owned) in std::mem::take(&mut self.owned) {
            let token = owned.token;
            out.push(Output::Lost { slot, token });
        }
        // The next response has to repeat all assignments, even unchanged ones.
        self.version = 0;
    }

    fn release(&mut self, slot: Slot, stalled: bool, out: &mut Vec<Output>) {
        if let Some(OwnedSlot { token, .. }) = self.owned.remove(&slot) {
            out.push(Output::Lost { slot, token });
            self.released.insert(slot, ReleasedSlot { token, stalled });
            self.next_renewal = 0.0;
        }
    }

    /// Gives up all slots at once and tells the leader; no slot is taken up afterwards.
    pub fn leave(&mut self, now: f64, out: &mut Vec<Output>) {
        self.leaving = true;
        self.lose_all(out);
        self.lease.surrender();
        self.renew(now, out);
    }

    fn renew(&mut self, now: f64, out: &mut Vec<Output>) {
        let interval = self.settings.renew_interval;
        let request_lost =
            self.seq > 0 && now > self.last_response + interval * REQUEST_TIMEOUT_INTERVALS;
        self.next_renewal = now + interval * if request_lost { RETRY_INTERVALS } else { 1.0 };
        if now > self.last_response + interval * LEADER_TIMEOUT_INTERVALS {
            self.leader = None;
        }
        let voters = &self.settings.voters;
        if self.leader.is_none() {
            self.next_voter = (self.next_voter + 1) % voters.len();
        }
        let leader = self.leader.clone();
        let to = leader.unwrap_or_else(|| voters[self.next_voter].clone());
        self.seq += 1;
        self.lease.renewal_sent(self.seq, now);
        let released = self.released.iter().map(|(slot, released)| Release {
            slot: *slot,
            token: released.token,
            stalled: released.stalled,
        });
        let request = RenewRequest {
            identity: self.identity.clone(),
            seq: self.seq,
            version: self.version,
            released: released.collect(),
            leaving: self.leaving,
            needs_tokens: !self.has_tokens,
            lookups: self.lookups.clone(),
        };
        let message = Message::Renew(request);
        out.push(Output::Send { to, message });
    }

    /// Handles a message from a voter. Messages for another run of this name are ignored.
    pub fn receive(&mut self, from: &str, message: Message, now: f64, out: &mut Vec<Output>) {
        let own_run = self.identity.run;
        match message {
            Message::Renewed { run, response } if run == own_run && !self.leaving => {
                self.handle_renewed(from, response, now, out);
            }
            Message::NotLeader { run, seq, leader } if run == own_run && seq == self.seq => {
                self.handle_redirect(leader, now);
            }
            Message::DuplicateName { run } if run == own_run => {
                self.last_response = now;
                self.lose_all(out);
                self.lease.surrender();
                if !std::mem::replace(&mut self.duplicate_name, true) {
                    let name = &self.identity.name;
                    let text = format!(
                        "another running process uses the name {name}: this one holds no slots \
                         until one of them stops"
                    );
                    report(out, Severity::Warning, text);
                }
            }
            Message::AssignmentsChanged { run } if run == own_run && !self.leaving => {
                self.leader = Some(from.into());
                self.last_response = now;
                self.next_renewal = now;
            }
            _ => {}
        }
    }

    fn handle_renewed(
        &mut self,
        from: &str,
        response: RenewResponse,
        now: f64,
        out: &mut Vec<Output>,
    ) {
        let duration = self.settings.lease_duration;
        if !self.lease.granted(response.seq, duration) {
            return;
        }
        self.last_response = now;
        self.last_expiry = self.lease.expiry();
        self.leader = Some(from.into());
        if std::mem::take(&mut self.duplicate_name) {
            let name = &self.identity.name;
            let text = format!("the name {name} is unique again: this process may hold slots");
            report(out, Severity::Warning, text);
        }
        if !self.lookups.is_empty() {
            let owners = response.owners.into_iter();
            self.owners = owners.map(|lookup| (lookup.slot, lookup.owner)).collect();
        }
        if let Some(tokens) = response.tokens {
            self.has_tokens = true;
            out.push(Output::Tokens(tokens));
        }
        // A response may arrive after the lease it granted has expired.
        if !self.lease.is_valid(now) {
            return;
        }
        let is_current = response.version >= self.version;
        if let Some(assignments) = response.assignments.filter(|_| is_current) {
            self.version = response.version;
            self.update_assignments(assignments, now, out);
        }
        let revoked = response.revoked.into_iter();
        revoked.for_each(|slot| self.release(slot, false, out));
    }

    fn handle_redirect(&mut self, leader: Option<Name>, now: f64) {
        if leader.is_some() {
            self.last_response = now;
        }
        let leader_is_new = leader.is_some() && leader != self.leader;
        self.leader = leader;
        if leader_is_new {
            // Only a newly named leader is asked early, so that redirects in a circle keep the usual pace.
            let redirect_at = now + self.settings.renew_interval * REDIRECT_INTERVALS;
            self.next_renewal = self.next_renewal.min(redirect_at);
        }
    }

    fn update_assignments(
        &mut self,
        assignments: Vec<Assignment>,
        now: f64,
        out: &mut Vec<Output>,
    ) {
        let pairs = assignments
            .into_iter()
            .map(|assignment| (assignment.slot, assignment.token));
        let assigned: BTreeMap<Slot, u64> = pairs.collect();
        // A released slot can be forgotten once it is no longer assigned under the released token.
        self.released
            .retain(|slot, released| assigned.get(slot) == Some(&released.token));
        let owned = self.owned.iter();
        let lost = owned.filter(|(slot, owned)| assigned.get(slot) != Some(&owned.token));
        let lost: Vec<Slot> = lost.map(|(slot, _)| *slot).collect();
        for slot in lost {
            if let Some(OwnedSlot { token, .. }) = self.owned.remove(&slot) {
                out.push(Output::Lost { slot, token });
            }
        }
        for (slot, token) in assigned {
            if !self.owned.contains_key(&slot) && !self.released.contains_key(&slot) {
                let last_progress = now;
                self.owned.insert(
                    slot,
                    OwnedSlot {
                        token,
                        last_progress,
                    },
                );
                out.push(Output::Acquired { slot, token });
            }
        }
    }

    /// When the renewal `seq` was sent, if it was the last one granted; recorded in histories.
    #[must_use]
    pub fn granted_renewal_sent_at(&self, seq: u64) -> Option<f64> {
        self.lease.granted_renewal_sent_at(seq)
    }

    /// When the last granted lease expires or expired.
    #[must_use]
    pub fn last_expiry(&self) -> f64 {
        self.last_expiry
    }
}
