//! The leader's state outside the log: waiting renewals, leases, and slots to be moved. It is not replicated; a
//! new leader starts without it.

use crate::lease::LeaseGranter;
use crate::message::{report, RenewRequest};
use crate::placement::Placement;
use crate::table::{Command, RoleTable, SlotState};
use crate::{Identity, Message, Name, Output, Settings, Severity, Slot};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of renewals that wait for a confirmation of leadership; more are dropped, and the clients
/// retry.
const MAX_WAITING_RENEWALS: usize = 8_192;
/// Maximum number of commands in one log entry.
const MAX_COMMANDS_PER_ENTRY: usize = 1_024;
/// Lease durations without a renewal after which a run is forgotten.
const RUN_RETENTION_LEASES: f64 = 3.0;
/// Stall timeouts for which a limiter is barred from a slot on which it made no progress.
const BARRED_STALL_TIMEOUTS: f64 = 4.0;

/// A renewal request and when it was received.
pub(super) struct WaitingRenewal {
    pub(super) request: RenewRequest,
    pub(super) received: f64,
}

/// A read-index request, and the renewals that wait for its confirmation.
struct Confirmation {
    number: u64,
    sent: f64,
    renewals: Vec<WaitingRenewal>,
}

/// Commands that were proposed to the log and are not applied yet.
#[derive(Clone, Copy)]
struct Proposal {
    number: u64,
    sent: f64,
}

/// The state of this voter as leader of one term.
pub(super) struct Leadership {
    term: u64,
    /// When this leadership began; once it is ready, when it became ready.
    since: f64,
    /// The first entry of the term is applied, so the table is up to date.
    ready: bool,
    granter: LeaseGranter<f64>,
    /// Renewals received since the last read-index request.
    waiting_renewals: Vec<WaitingRenewal>,
    confirmation: Option<Confirmation>,
    /// Commands to propose next.
    queued_commands: VecDeque<Command>,
    proposal: Option<Proposal>,
    placement: Placement,
    /// Slots being revoked from live owners, with the owners' sessions.
    revoking: BTreeMap<Slot, u64>,
    /// Until when a limiter that made no progress on a slot is barred from it.
    barred_until: BTreeMap<(Slot, Name), f64>,
    /// When each run of a name last renewed.
    last_renewal_of_run: BTreeMap<(Name, u64), f64>,
    /// When each replaced session was replaced by a later run.
    replaced_at: BTreeMap<u64, f64>,
    /// Sessions whose assignments changed and that are not notified yet.
    changed_sessions: BTreeSet<u64>,
    /// When the admission of a voter was last proposed; voters are admitted one at a time.
    last_admission: f64,
    /// Sessions whose `Expire` command may be in the log already; they are not renewed any more.
    expiring: BTreeSet<u64>,
}

impl Leadership {
    pub(super) fn new(settings: &Settings, term: u64, now: f64) -> Self {
        Leadership {
            term,
            since: now,
            ready: false,
            granter: LeaseGranter::default(),
            waiting_renewals: Vec::new(),
            confirmation: None,
            queued_commands: VecDeque::new(),
            proposal: None,
            placement: Placement::new(settings),
            revoking: BTreeMap::new(),
            barred_until: BTreeMap::new(),
            last_renewal_of_run: BTreeMap::new(),
            replaced_at: BTreeMap::new(),
            changed_sessions: BTreeSet::new(),
            last_admission: f64::NEG_INFINITY,
            expiring: BTreeSet::new(),
        }
    }

    pub(super) fn term(&self) -> u64 {
        self.term
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether a voter may be admitted now, at least `interval` after the last admission.
    pub(super) fn may_admit(&self, now: f64, interval: f64) -> bool {
        self.ready && now > self.last_admission + interval
    }

    pub(super) fn admission_proposed(&mut self, now: f64) {
        self.last_admission = now;
    }

    /// Handles the first applied entry of the term: leases granted by a predecessor count as renewed now.
    pub(super) fn term_began(&mut self, term: u64, table: &RoleTable, now: f64) {
        if self.ready || self.term != term {
            return;
        }
        self.ready = true;
        self.since = now;
        self.granter = LeaseGranter::take_over(table.sessions.keys().copied(), now);
        let replaced = table.sessions.iter().filter(|(_, s)| s.replaced);
        self.replaced_at = replaced.map(|(id, _)| (*id, now)).collect();
    }

    /// Updates the state for an applied command; `changed` is the session whose assignments changed.
    pub(super) fn applied(
        &mut self,
        command: &Command,
        changed: Option<u64>,
        table: &RoleTable,
        now: f64,
    ) {
        match command {
            Command::Register { .. } => {
                if let Some(session) = changed {
                    self.granter.renew(session, now);
                }
                for (id, _) in table.sessions.iter().filter(|(_, s)| s.replaced) {
                    self.replaced_at.entry(*id).or_insert(now);
                }
            }
            Command::Expire { session } => {
                self.granter.forget(*session);
                self.expiring.remove(session);
                self.replaced_at.remove(session);
            }
            Command::Release { slot, .. } => {
                self.revoking.remove(slot);
            }
            Command::Grant { .. }
            | Command::MarkDuplicate { .. }
            | Command::ClearDuplicate { .. } => {}
        }
        self.changed_sessions.extend(changed);
    }

    /// Queues a renewal; returns false if too many are waiting.
    pub(super) fn enqueue(&mut self, request: RenewRequest, now: f64) -> bool {
        if self.waiting_renewals.len() >= MAX_WAITING_RENEWALS {
            return false;
        }
        let run = (request.identity.name.clone(), request.identity.run);
        self.last_renewal_of_run.insert(run, now);
        self.waiting_renewals.push(WaitingRenewal {
            request,
            received: now,
        });
        true
    }

    /// Whether renewals wait and no read-index request was sent within the last `timeout` seconds.
    pub(super) fn needs_confirmation(&self, timeout: f64, now: f64) -> bool {
        let in_progress = self.confirmation.as_ref();
        let in_progress = in_progress.is_some_and(|c| now <= c.sent + timeout);
        !self.waiting_renewals.is_empty() && !in_progress
    }

    pub(super) fn confirmation_sent(&mut self, number: u64, now: f64) {
        self.confirmation = Some(Confirmation {
            number,
            sent: now,
            renewals: std::mem::take(&mut self.waiting_renewals),
        });
    }

    /// Takes the renewals of the read-index request with this context; None for an outdated request.
    pub(super) fn take_confirmed(&mut self, context: &[u8]) -> Option<Vec<WaitingRenewal>> {
        let is_current = |pending: &mut Confirmation| pending.number.to_le_bytes() == context;
        let confirmation = self.confirmation.take_if(is_current)?;
        Some(confirmation.renewals)
    }

    /// Queues the release of slots that the client gave up, if they still have the client's token and an owner.
    pub(super) fn release(
        &mut self,
        request: &RenewRequest,
        table: &RoleTable,
        settings: &Settings,
        now: f64,
        out: &mut Vec<Output>,
    ) {
        let name = &request.identity.name;
        for released in &request.released {
            let (slot, token) = (released.slot, released.token);
            let state = table.slots.get(slot as usize);
            let matches = state.is_some_and(|s| s.token == token && s.session > 0);
            if !matches || !self.queue_once(Command::Release { slot, token }) {
                continue;
            }
            if released.stalled {
                let until = now + settings.stall_timeout * BARRED_STALL_TIMEOUTS;
                self.barred_until.insert((slot, name.clone()), until);
                let info = settings.slot_info(slot);
                let (role, shard) = (info.role, info.shard);
                let text = format!(
                    "{name} made no progress on role {role}, shard {shard}; another limiter takes \
                     the slot"
                );
                report(out, Severity::Warning, text);
            }
        }
    }

    /// Queues a command unless it is queued already; returns whether it was added.
    pub(super) fn queue_once(&mut self, command: Command) -> bool {
        let is_new = !self.queued_commands.contains(&command);
        if is_new {
            self.queued_commands.push_back(command);
        }
        is_new
    }

    /// Renews a session's lease. Returns false if the session's `Expire` command may be in the log already: its
    /// slots could be granted to another limiter during the renewed lease.
    pub(super) fn renew(&mut self, session: u64, leaving: bool, received: f64) -> bool {
        if leaving {
            self.expiring.insert(session);
        }
        if self.expiring.contains(&session) {
            return false;
        }
        self.granter.renew(session, received);
        self.changed_sessions.remove(&session);
        true
    }

    /// Whether another run of the name sent a renewal within the last `lease` seconds.
    pub(super) fn other_run_is_alive(&self, identity: &Identity, lease: f64, now: f64) -> bool {
        self.last_renewal_of_run.iter().any(|((name, run), at)| {
            *name == identity.name && *run != identity.run && *at > now - lease
        })
    }

    /// When the session was replaced by a later run; the start of this leadership if unknown.
    pub(super) fn replaced_since(&self, session: u64) -> f64 {
        self.replaced_at
            .get(&session)
            .copied()
            .unwrap_or(self.since)
    }

    /// The slots being revoked from a session.
    pub(super) fn revoked_from(&self, session: u64) -> Vec<Slot> {
        let revoked = self.revoking.iter().filter(|(_, from)| **from == session);
        revoked.map(|(slot, _)| *slot).collect()
    }

    /// Tells clients whose assignments changed to renew at once; the notice itself renews no lease.
    pub(super) fn notify_changed(&mut self, table: &RoleTable, out: &mut Vec<Output>) {
        for session in std::mem::take(&mut self.changed_sessions) {
            if let Some(session) = table.sessions.get(&session) {
                out.push(Output::Send {
                    to: session.name.clone(),
                    message: Message::AssignmentsChanged { run: session.run },
                });
            }
        }
    }

    /// Whether proposed commands are not applied yet; after `lease` seconds a proposal counts as lost.
    pub(super) fn is_proposing(&mut self, lease: f64, now: f64) -> bool {
        self.proposal = self.proposal.filter(|p| now <= p.sent + lease);
        self.proposal.is_some()
    }

    pub(super) fn proposed(&mut self, number: u64, now: f64) {
        self.proposal = Some(Proposal { number, sent: now });
    }

    /// Clears the pending proposal if it has this number; returns whether it did.
    pub(super) fn proposal_applied(&mut self, number: u64) -> bool {
        self.proposal.take_if(|p| p.number == number).is_some()
    }

    /// Queues the commands and revocations that the table and the leases require now.
    pub(super) fn maintain(&mut self, table: &RoleTable, settings: &Settings, now: f64) {
        let lease = settings.lease_duration;
        self.last_renewal_of_run
            .retain(|_, at| *at > now - lease * RUN_RETENTION_LEASES);
        self.barred_until.retain(|_, until| *until > now);
        self.expire_sessions(table, settings, now);
        self.clear_duplicates(table, lease, now);
        let live = self.live_sessions(table, lease, now);
        self.placement.update(&table.sessions, &live);
        self.assign_slots(table, settings, &live);
    }

    fn expire_sessions(&mut self, table: &RoleTable, settings: &Settings, now: f64) {
        let wait = settings.expiry_wait();
        for session in table.sessions.keys().copied() {
            // A leaving session counts as expired. Queued again each time, because a proposal may be lost.
            let expired = self.granter.has_expired(session, wait, now);
            if expired || self.expiring.contains(&session) {
                self.expiring.insert(session);
                self.queued_commands.push_back(Command::Expire { session });
            }
        }
    }

    fn clear_duplicates(&mut self, table: &RoleTable, lease: f64, now: f64) {
        for name in &table.duplicates {
            let runs = self
                .last_renewal_of_run
                .keys()
                .filter(|(other, _)| other == name);
            if runs.count() <= 1 && now > self.since + lease * RUN_RETENTION_LEASES {
                let name = name.clone();
                self.queued_commands
                    .push_back(Command::ClearDuplicate { name });
            }
        }
    }

    fn live_sessions(&self, table: &RoleTable, lease: f64, now: f64) -> BTreeSet<u64> {
        let live = table.sessions.iter().filter(|(id, session)| {
            let renewal = self.granter.last_renewal(**id);
            let renewed = renewal.is_some_and(|at| now < at + lease);
            !session.replaced
                && renewed
                && !self.expiring.contains(id)
                && !table.duplicates.contains(&session.name)
        });
        live.map(|(id, _)| *id).collect()
    }

    /// Grants free slots to their preferred sessions, and revokes slots of other sessions, a limited number at a
    /// time.
    fn assign_slots(&mut self, table: &RoleTable, settings: &Settings, live: &BTreeSet<u64>) {
        let mut revocations = settings.max_revocations.saturating_sub(self.revoking.len());
        self.revoking.retain(|slot, session| {
            table.slots[*slot as usize].session == *session && live.contains(session)
        });
        for (slot, state) in table.slots.iter().enumerate() {
            let slot = slot as Slot;
            let Some(best) = self.preferred(slot, table) else {
                continue;
            };
            let SlotState { token, session } = *state;
            if session == 0 {
                if self.queued_commands.len() < MAX_COMMANDS_PER_ENTRY {
                    let session = best;
                    self.queued_commands.push_back(Command::Grant {
                        slot,
                        token,
                        session,
                    });
                }
            } else if session != best
                && live.contains(&session)
                && revocations > 0
                && self.revoking.insert(slot, session).is_none()
            {
                revocations -= 1;
                self.changed_sessions.insert(session);
            }
        }
    }

    fn preferred(&self, slot: Slot, table: &RoleTable) -> Option<u64> {
        if self.barred_until.is_empty() {
            return self.placement.preferred(slot);
        }
        self.placement.preferred_except(slot, |session| {
            let session = table.sessions.get(&session);
            let name = session.map(|s| s.name.clone()).unwrap_or_default();
            self.barred_until.contains_key(&(slot, name))
        })
    }

    /// Takes the next commands for one log entry. A slot released and granted in the same entry would get no
    /// greater token, so grants are dropped while other commands are queued; `maintain` queues them again.
    pub(super) fn next_commands(&mut self) -> Option<Vec<Command>> {
        let count = self.queued_commands.len().min(MAX_COMMANDS_PER_ENTRY);
        let commands = self.queued_commands.drain(..count);
        let (grants, others): (Vec<_>, Vec<_>) =
            commands.partition(|command| matches!(command, Command::Grant { .. }));
        let commands = if others.is_empty() { grants } else { others };
        (!commands.is_empty()).then_some(commands)
    }
}
