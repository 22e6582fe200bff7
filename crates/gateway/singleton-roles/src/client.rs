//! A limiter's side: it renews its lease, learns what it holds, and knows at any moment whether it still
//! does. It must never hold past a lease counted from before its request, and never take up again what it
//! released.

use crate::lease::ClientLease;
use crate::message::{report, Release, RenewRequest, RenewResponse};
use crate::table::Assignment;
use crate::{Identity, Message, Name, Output, Settings, Severity, Slot};
use std::collections::BTreeMap;

/// Parts of the renewal interval: after these a request counts as lost, and the leader as unknown.
const LOST_AFTER: f64 = 0.9;
const LEADER_UNKNOWN_AFTER: f64 = 1.5;
/// A lost request is followed by another after this part of the interval: an answer lost here and there must
/// not cost the lease.
const RETRY_INTERVAL: f64 = 0.4;
/// A leader that another process named is asked after this part of the interval.
const REDIRECT_INTERVAL: f64 = 0.125;

struct OwnedSlot {
    token: u64,
    /// When the work on it last got on.
    last_progress: f64,
}

/// Given up and not yet seen to be gone from the assignments.
struct ReleasedSlot {
    token: u64,
    stalled: bool,
}

/// The client of the voters' group in one limiter. Times are seconds on its own clock.
pub struct RoleClient {
    settings: Settings,
    identity: Identity,
    lease: ClientLease<f64>,
    /// What the last assignments said; a slot counts as held while the lease does.
    owned: BTreeMap<Slot, OwnedSlot>,
    /// Of the last assignments.
    version: u64,
    released: BTreeMap<Slot, ReleasedSlot>,
    seq: u64,
    next_renewal: f64,
    /// The leader, as far as it is known; else the voters are asked in turn.
    leader: Option<Name>,
    next_voter: usize,
    last_answer: f64,
    lookups: Vec<Slot>,
    owners: BTreeMap<Slot, Name>,
    leaving: bool,
    has_tokens: bool,
    last_expiry: f64,
    duplicate_name: bool,
}

impl RoleClient {
    /// A client that holds nothing and asks at once. `lookups` are slots whose owners it wants to know.
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
            last_answer: now,
            lookups,
            owners: BTreeMap::new(),
            leaving: false,
            has_tokens: false,
            last_expiry: 0.0,
            duplicate_name: false,
        }
    }

    /// The token under which it holds a slot at this moment. Ask right before each effect.
    #[must_use]
    pub fn token(&self, slot: Slot, now: f64) -> Option<u64> {
        let owned = self.owned.get(&slot).filter(|_| self.lease.is_valid(now));
        owned.map(|owned| owned.token)
    }

    /// All that it holds at this moment.
    pub fn assignments(&self, now: f64) -> impl Iterator<Item = Assignment> + '_ {
        let valid = self.lease.is_valid(now);
        let owned = self.owned.iter().filter(move |_| valid);
        owned.map(|(slot, owned)| Assignment {
            slot: *slot,
            token: owned.token,
        })
    }

    /// The last known owner of a slot that it looks up.
    #[must_use]
    pub fn owner(&self, slot: Slot) -> Option<&Name> {
        self.owners.get(&slot)
    }

    /// The last known owners of the slots that it looks up.
    #[must_use]
    pub fn owners(&self) -> &BTreeMap<Slot, Name> {
        &self.owners
    }

    /// Whether another living process has its name.
    #[must_use]
    pub fn has_duplicate_name(&self) -> bool {
        self.duplicate_name
    }

    /// The work on a slot got on. What makes no progress for the stall timeout is released.
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

    /// Does what is due: drops what the lease no longer covers, releases what stalled, renews.
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
        // The next response has to repeat all assignments.
        self.version = 0;
    }

    fn release(&mut self, slot: Slot, stalled: bool, out: &mut Vec<Output>) {
        if let Some(OwnedSlot { token, .. }) = self.owned.remove(&slot) {
            out.push(Output::Lost { slot, token });
            self.released.insert(slot, ReleasedSlot { token, stalled });
            self.next_renewal = 0.0;
        }
    }

    /// Stops all at once and says so; nothing is taken up after it.
    pub fn leave(&mut self, now: f64, out: &mut Vec<Output>) {
        self.leaving = true;
        self.lose_all(out);
        self.lease.surrender();
        self.renew(now, out);
    }

    fn renew(&mut self, now: f64, out: &mut Vec<Output>) {
        let interval = self.settings.renew_interval;
        let lost = self.seq > 0 && now > self.last_answer + interval * LOST_AFTER;
        self.next_renewal = now + interval * if lost { RETRY_INTERVAL } else { 1.0 };
        if now > self.last_answer + interval * LEADER_UNKNOWN_AFTER {
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

    /// Takes a message of a voter. Those to another run of this name are ignored.
    pub fn receive(&mut self, from: &str, message: Message, now: f64, out: &mut Vec<Output>) {
        let own_run = self.identity.run;
        match message {
            Message::Renewed { run, response } if run == own_run && !self.leaving => {
                self.renewed(from, response, now, out);
            }
            Message::NotLeader { run, seq, leader } if run == own_run && seq == self.seq => {
                self.redirected(leader, now);
            }
            Message::DuplicateName { run } if run == own_run => {
                self.last_answer = now;
                self.lose_all(out);
                self.lease.surrender();
                if !std::mem::replace(&mut self.duplicate_name, true) {
                    let name = &self.identity.name;
                    let text = format!(
                        "another living process has the name {name}; this one holds nothing"
                    );
                    report(out, Severity::Warning, text);
                }
            }
            Message::AssignmentsChanged { run } if run == own_run && !self.leaving => {
                self.leader = Some(from.into());
                self.last_answer = now;
                self.next_renewal = now;
            }
            _ => {}
        }
    }

    fn renewed(&mut self, from: &str, response: RenewResponse, now: f64, out: &mut Vec<Output>) {
        let duration = self.settings.lease_duration;
        if !self.lease.granted(response.seq, duration) {
            return;
        }
        self.last_answer = now;
        self.last_expiry = self.lease.expiry();
        self.leader = Some(from.into());
        if std::mem::take(&mut self.duplicate_name) {
            let name = &self.identity.name;
            let text = format!("{name} is the only process of its name again");
            report(out, Severity::Warning, text);
        }
        if !self.lookups.is_empty() {
            let owners = response.owners.into_iter();
            self.owners = owners.map(|o| (o.slot, o.owner)).collect();
        }
        if let Some(tokens) = response.tokens {
            self.has_tokens = true;
            out.push(Output::Tokens(tokens));
        }
        // An answer may be late; then nothing is held by it.
        if !self.lease.is_valid(now) {
            return;
        }
        let current = response.version >= self.version;
        if let Some(assignments) = response.assignments.filter(|_| current) {
            self.version = response.version;
            self.update_assignments(assignments, now, out);
        }
        let revoked = response.revoked.into_iter();
        revoked.for_each(|slot| self.release(slot, false, out));
    }

    fn redirected(&mut self, leader: Option<Name>, now: f64) {
        if leader.is_some() {
            self.last_answer = now;
        }
        let leader_is_new = leader.is_some() && leader != self.leader;
        self.leader = leader;
        if leader_is_new {
            // Not in a circle: a leader that redirects is asked again at the usual pace.
            let soon = now + self.settings.renew_interval * REDIRECT_INTERVAL;
            self.next_renewal = self.next_renewal.min(soon);
        }
    }

    fn update_assignments(
        &mut self,
        assignments: Vec<Assignment>,
        now: f64,
        out: &mut Vec<Output>,
    ) {
        let pairs = assignments.into_iter().map(|a| (a.slot, a.token));
        let assigned: BTreeMap<Slot, u64> = pairs.collect();
        // What is no longer assigned under that token is gone for good.
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

    /// When the renewal that was granted last went out, if it is this one; for histories.
    #[must_use]
    pub fn granted_renewal_sent_at(&self, seq: u64) -> Option<f64> {
        self.lease.granted_renewal_sent_at(seq)
    }

    /// Until when the last lease ran.
    #[must_use]
    pub fn last_expiry(&self) -> f64 {
        self.last_expiry
    }
}
