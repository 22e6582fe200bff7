//! What a leader knows beside the log: renewals that wait, leases, and which slots should move. A new leader
//! begins anew.

use crate::lease::LeaseGranter;
use crate::message::{report, RenewRequest};
use crate::placement::Placement;
use crate::table::{Command, RoleTable, SlotState};
use crate::{Identity, Message, Name, Output, Settings, Severity, Slot};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Renewals that wait for a majority's word; more are dropped, their senders ask again.
const MAX_WAITING: usize = 8_192;
/// Commands in one entry.
const MAX_COMMANDS: usize = 1_024;
/// Leases after which a run that renews no more is forgotten.
const RUN_LEASES: f64 = 3.0;
/// A limiter that made no progress in a slot does not get it again for so many stall timeouts.
const BARRED_STALL_TIMEOUTS: f64 = 4.0;

/// A renewal and when it came.
pub(super) struct WaitingRenewal {
    pub(super) request: RenewRequest,
    pub(super) received: f64,
}

/// A question to the majority, and the renewals that wait for its answer.
struct Confirmation {
    number: u64,
    sent: f64,
    renewals: Vec<WaitingRenewal>,
}

/// Commands that are under way to the log.
#[derive(Clone, Copy)]
struct Proposal {
    number: u64,
    sent: f64,
}

pub(super) struct Leadership {
    term: u64,
    since: f64,
    /// An entry of its own term is applied: the table is up to date.
    ready: bool,
    granter: LeaseGranter<f64>,
    /// Renewals that came since the last question to the majority.
    waiting: Vec<WaitingRenewal>,
    confirmation: Option<Confirmation>,
    /// Commands that go to the log next.
    queued: VecDeque<Command>,
    proposal: Option<Proposal>,
    placement: Placement,
    /// Slots revoked from living owners, with their sessions.
    revoking: BTreeMap<Slot, u64>,
    /// Who made no progress in a slot, and until when it doesn't get it again.
    barred: BTreeMap<(Slot, Name), f64>,
    /// When each run of a name last renewed.
    runs: BTreeMap<(Name, u64), f64>,
    /// Since when each session is replaced by a later run.
    replaced: BTreeMap<u64, f64>,
    /// Sessions whose assignments changed; they are notified at once.
    changed: BTreeSet<u64>,
    /// When a voter was last admitted; one at a time.
    last_admission: f64,
    /// Sessions whose end is under way in the log: not renewed any more, however alive they are.
    ending: BTreeSet<u64>,
}

impl Leadership {
    pub(super) fn new(settings: &Settings, term: u64, now: f64) -> Self {
        Leadership {
            term,
            since: now,
            ready: false,
            granter: LeaseGranter::default(),
            waiting: Vec::new(),
            confirmation: None,
            queued: VecDeque::new(),
            proposal: None,
            placement: Placement::new(settings),
            revoking: BTreeMap::new(),
            barred: BTreeMap::new(),
            runs: BTreeMap::new(),
            replaced: BTreeMap::new(),
            changed: BTreeSet::new(),
            last_admission: f64::NEG_INFINITY,
            ending: BTreeSet::new(),
        }
    }

    pub(super) fn term(&self) -> u64 {
        self.term
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether a voter may be admitted now; `interval` lies between two.
    pub(super) fn may_admit(&self, now: f64, interval: f64) -> bool {
        self.ready && now > self.last_admission + interval
    }

    pub(super) fn admitted(&mut self, now: f64) {
        self.last_admission = now;
    }

    /// The first entry of a term is applied; whatever a predecessor granted counts from now.
    pub(super) fn term_began(&mut self, term: u64, table: &RoleTable, now: f64) {
        if self.ready || self.term != term {
            return;
        }
        self.ready = true;
        self.since = now;
        self.granter = LeaseGranter::take_over(table.sessions.keys().copied(), now);
        let replaced = table.sessions.iter().filter(|(_, s)| s.replaced);
        self.replaced = replaced.map(|(id, _)| (*id, now)).collect();
    }

    /// A command was applied; `changed` is the session whose assignments it changed.
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
                    self.replaced.entry(*id).or_insert(now);
                }
            }
            Command::Expire { session } => {
                self.granter.forget(*session);
                self.ending.remove(session);
                self.replaced.remove(session);
            }
            Command::Release { slot, .. } => {
                self.revoking.remove(slot);
            }
            Command::Grant { .. }
            | Command::MarkDuplicate { .. }
            | Command::ClearDuplicate { .. } => {}
        }
        self.changed.extend(changed);
    }

    /// Takes a renewal; false where too many wait.
    pub(super) fn enqueue(&mut self, request: RenewRequest, now: f64) -> bool {
        if self.waiting.len() >= MAX_WAITING {
            return false;
        }
        let run = (request.identity.name.clone(), request.identity.run);
        self.runs.insert(run, now);
        self.waiting.push(WaitingRenewal {
            request,
            received: now,
        });
        true
    }

    /// Whether renewals wait and no question to the majority is under way for less than `timeout`.
    pub(super) fn needs_confirmation(&self, timeout: f64, now: f64) -> bool {
        let under_way = self.confirmation.as_ref();
        let under_way = under_way.is_some_and(|c| now <= c.sent + timeout);
        !self.waiting.is_empty() && !under_way
    }

    pub(super) fn confirmation_sent(&mut self, number: u64, now: f64) {
        self.confirmation = Some(Confirmation {
            number,
            sent: now,
            renewals: std::mem::take(&mut self.waiting),
        });
    }

    /// The renewals of the question with this context; none if it is an older one.
    pub(super) fn take_confirmed(&mut self, context: &[u8]) -> Option<Vec<WaitingRenewal>> {
        let asked = |c: &mut Confirmation| c.number.to_le_bytes() == context;
        let confirmation = self.confirmation.take_if(asked)?;
        Some(confirmation.renewals)
    }

    /// What the client stopped is released, if it still stands as the client knew it.
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
                self.barred.insert((slot, name.clone()), until);
                let info = settings.slot_info(slot);
                let (role, shard) = (info.role, info.shard);
                let text = format!("{name} made no progress in {role} {shard}; another takes it");
                report(out, Severity::Warning, text);
            }
        }
    }

    /// Queues a command unless it is queued already; says whether it was not.
    pub(super) fn queue_once(&mut self, command: Command) -> bool {
        let new = !self.queued.contains(&command);
        if new {
            self.queued.push_back(command);
        }
        new
    }

    /// Renews a session's lease; false where its end may be in the log already: what is renewed now would be
    /// granted to another meanwhile.
    pub(super) fn renew(&mut self, session: u64, leaving: bool, received: f64) -> bool {
        if leaving {
            self.ending.insert(session);
        }
        if self.ending.contains(&session) {
            return false;
        }
        self.granter.renew(session, received);
        self.changed.remove(&session);
        true
    }

    /// Whether another run of the name renewed within a lease.
    pub(super) fn other_run_is_alive(&self, identity: &Identity, lease: f64, now: f64) -> bool {
        self.runs.iter().any(|((name, run), at)| {
            *name == identity.name && *run != identity.run && *at > now - lease
        })
    }

    /// Since when a session is replaced by a later run, as far as this leader knows.
    pub(super) fn replaced_since(&self, session: u64) -> f64 {
        self.replaced.get(&session).copied().unwrap_or(self.since)
    }

    /// The slots that a session is asked to give back.
    pub(super) fn revoked_from(&self, session: u64) -> Vec<Slot> {
        let revoked = self.revoking.iter().filter(|(_, from)| **from == session);
        revoked.map(|(slot, _)| *slot).collect()
    }

    /// Whose assignments changed is notified at once; the lease itself goes by its renewal.
    pub(super) fn notify_changed(&mut self, table: &RoleTable, out: &mut Vec<Output>) {
        for session in std::mem::take(&mut self.changed) {
            if let Some(session) = table.sessions.get(&session) {
                out.push(Output::Send {
                    to: session.name.clone(),
                    message: Message::AssignmentsChanged { run: session.run },
                });
            }
        }
    }

    /// Whether commands are under way to the log; after a lease they count as lost.
    pub(super) fn is_proposing(&mut self, lease: f64, now: f64) -> bool {
        self.proposal = self.proposal.filter(|p| now <= p.sent + lease);
        self.proposal.is_some()
    }

    pub(super) fn proposed(&mut self, number: u64, now: f64) {
        self.proposal = Some(Proposal { number, sent: now });
    }

    /// Whether these were the commands under way; the next ones may follow.
    pub(super) fn proposal_applied(&mut self, number: u64) -> bool {
        self.proposal.take_if(|p| p.number == number).is_some()
    }

    /// Queues what the state of the table and the leases call for.
    pub(super) fn maintain(&mut self, table: &RoleTable, settings: &Settings, now: f64) {
        let lease = settings.lease_duration;
        self.runs.retain(|_, at| *at > now - lease * RUN_LEASES);
        self.barred.retain(|_, until| *until > now);
        self.expire_sessions(table, settings, now);
        self.clear_duplicates(table, lease, now);
        let live = self.live_sessions(table, lease, now);
        self.placement.update(&table.sessions, &live);
        self.assign_slots(table, settings, &live);
    }

    fn expire_sessions(&mut self, table: &RoleTable, settings: &Settings, now: f64) {
        let wait = settings.expiry_wait();
        for session in table.sessions.keys().copied() {
            // One that leaves is as good as expired; what was proposed may have been lost.
            let expired = self.granter.has_expired(session, wait, now);
            if expired || self.ending.contains(&session) {
                self.ending.insert(session);
                self.queued.push_back(Command::Expire { session });
            }
        }
    }

    fn clear_duplicates(&mut self, table: &RoleTable, lease: f64, now: f64) {
        for name in &table.duplicates {
            let runs = self.runs.keys().filter(|(other, _)| other == name);
            if runs.count() <= 1 && now > self.since + lease * RUN_LEASES {
                let name = name.clone();
                self.queued.push_back(Command::ClearDuplicate { name });
            }
        }
    }

    fn live_sessions(&self, table: &RoleTable, lease: f64, now: f64) -> BTreeSet<u64> {
        let live = table.sessions.iter().filter(|(id, session)| {
            let renewal = self.granter.last_renewal(**id);
            let renewed = renewal.is_some_and(|at| now < at + lease);
            !session.replaced
                && renewed
                && !self.ending.contains(id)
                && !table.duplicates.contains(&session.name)
        });
        live.map(|(id, _)| *id).collect()
    }

    /// Free slots go to their best placed session; those of worse placed ones are revoked, a few at a time.
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
                if self.queued.len() < MAX_COMMANDS {
                    let session = best;
                    self.queued.push_back(Command::Grant {
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
                self.changed.insert(session);
            }
        }
    }

    fn preferred(&self, slot: Slot, table: &RoleTable) -> Option<u64> {
        if self.barred.is_empty() {
            return self.placement.preferred(slot);
        }
        self.placement.preferred_except(slot, |session| {
            let session = table.sessions.get(&session);
            let name = session.map(|s| s.name.clone()).unwrap_or_default();
            self.barred.contains_key(&(slot, name))
        })
    }

    /// The next commands for one entry. A slot released and granted in one entry would get no greater token:
    /// while anything else is queued, grants are dropped; they are queued again afterwards.
    pub(super) fn next_commands(&mut self) -> Option<Vec<Command>> {
        let count = self.queued.len().min(MAX_COMMANDS);
        let commands = self.queued.drain(..count);
        let (grants, others): (Vec<_>, Vec<_>) =
            commands.partition(|command| matches!(command, Command::Grant { .. }));
        let commands = if others.is_empty() { grants } else { others };
        (!commands.is_empty()).then_some(commands)
    }
}
