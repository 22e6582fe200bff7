//! Writes one turn at a gateway until a quorum of stores has acknowledged the turn (a sloppy quorum, as in Dynamo):
//! first to the replicas, then to substitutes for replicas that fail or are slow, and finally to draining stores.

use crate::attempt::Attempt;
use crate::membership::StoreEntry;
use crate::placement;
use crate::turn::TurnHeader;

/// Time without a quorum after which the outcome is [`WriteOutcome::Uncertain`], in milliseconds. Stores rely on this
/// deadline: a new disk does not become complete before writers that relied on the old disk have ended.
pub const WRITE_DEADLINE_MS: u64 = 1_500;

/// A write of the turn to one store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaWrite {
    /// The store to send the turn to.
    pub store: String,
    /// The replica that the store substitutes for, if any.
    pub hint: Option<String>,
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// A quorum of stores has synced the turn.
    Stored,
    /// Too few stores acknowledged the turn in time; the turn may still be stored.
    Uncertain,
}

/// The reply of a store that has synced the turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Acknowledged;

/// The class of stores that a target belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetClass {
    /// Replicas and their substitutes.
    Placed,
    /// Draining stores, contacted only when no other present store is left.
    Draining,
}

/// A store that the turn may be written to.
#[derive(Debug)]
struct Target {
    store: String,
    zone: String,
    present: bool,
    /// Whether the store is one of the turn's replicas rather than a substitute.
    is_replica: bool,
    class: TargetClass,
    /// For a replica: whether a substitute was sent a hint for this replica.
    has_substitute: bool,
    attempt: Attempt<Acknowledged>,
}

/// The write of one turn.
#[derive(Debug)]
pub struct WriteCoordinator {
    /// The stores, in the order in which they are contacted.
    targets: Vec<Target>,
    required_acknowledgements: usize,
    required_zones: usize,
    deadline_ms: u64,
    writes: Vec<ReplicaWrite>,
    outcome: Option<WriteOutcome>,
}

impl WriteCoordinator {
    /// Begins to write a turn to `replication_factor` of the stores.
    #[must_use]
    pub fn new(
        turn: &TurnHeader,
        stores: &[StoreEntry],
        replication_factor: usize,
        now_ms: u64,
    ) -> Self {
        let required_acknowledgements = replication_factor.max(1);
        let mut coordinator = Self {
            targets: targets(&turn.program, stores, required_acknowledgements),
            required_acknowledgements,
            required_zones: 1,
            deadline_ms: now_ms.saturating_add(WRITE_DEADLINE_MS),
            writes: Vec::new(),
            outcome: None,
        };
        coordinator.contact_more_targets(now_ms);
        coordinator
    }

    /// Requires acknowledgements from at least `zones` zones, for deployments that must survive the loss of zones. The
    /// number is limited to the zones that have present stores.
    #[must_use]
    pub fn spanning_zones(mut self, zones: usize) -> Self {
        self.required_zones = zones.min(self.required_acknowledgements).max(1);
        self
    }

    /// Returns the next write to be sent.
    pub fn poll(&mut self) -> Option<ReplicaWrite> {
        if self.writes.is_empty() {
            return None;
        }
        Some(self.writes.remove(0))
    }

    /// Outcome of the write; `None` while it is in progress.
    #[must_use]
    pub fn outcome(&self) -> Option<WriteOutcome> {
        self.outcome
    }

    /// The store has synced the turn.
    pub fn acknowledged(&mut self, store: &str, now_ms: u64) {
        self.set_attempt(store, Attempt::Replied(Acknowledged), now_ms);
    }

    /// The store rejected the turn, or the connection to it failed.
    pub fn failed(&mut self, store: &str, now_ms: u64) {
        self.set_attempt(store, Attempt::Failed { at_ms: now_ms }, now_ms);
    }

    /// When [`Self::tick`] has to be called, in milliseconds of the steady clock; `None` once the write has ended.
    #[must_use]
    pub fn next_due(&self) -> Option<u64> {
        if self.outcome.is_some() {
            return None;
        }
        let needs_more = self.needs_more_targets();
        let step_times = self.targets.iter().filter_map(|target| {
            let retry_at_ms = target.attempt.retry_at_ms().filter(|_| needs_more);
            target.attempt.hedge_at_ms().or(retry_at_ms)
        });
        Some(step_times.min().unwrap_or(u64::MAX).min(self.deadline_ms))
    }

    /// Applies timeouts, hedges and retries that are due at `now_ms`.
    pub fn tick(&mut self, now_ms: u64) {
        if self.outcome.is_some() {
            return;
        }
        if now_ms >= self.deadline_ms {
            return self.finish(WriteOutcome::Uncertain);
        }
        for target in &mut self.targets {
            target.attempt.mark_slow_if_late(now_ms);
        }
        self.contact_more_targets(now_ms);
    }

    fn finish(&mut self, outcome: WriteOutcome) {
        self.outcome = Some(outcome);
        self.writes.clear();
    }

    fn set_attempt(&mut self, store: &str, attempt: Attempt<Acknowledged>, now_ms: u64) {
        if self.outcome.is_some() {
            return;
        }
        let Some(target) = self.targets.iter_mut().find(|target| target.store == store) else {
            return;
        };
        if target.has_acknowledged() {
            return;
        }
        target.attempt = attempt;
        if self.has_quorum() {
            return self.finish(WriteOutcome::Stored);
        }
        self.contact_more_targets(now_ms);
    }

    fn has_quorum(&self) -> bool {
        let acknowledged = || {
            let targets = self.targets.iter();
            targets.filter(|target| target.has_acknowledged())
        };
        let present_zones = count_zones(self.targets.iter().filter(|target| target.present));
        let required_zones = self.required_zones.min(present_zones.max(1));
        acknowledged().count() >= self.required_acknowledgements
            && count_zones(acknowledged()) >= required_zones
    }

    /// Contacts further stores until acknowledgements of enough stores and zones are expected.
    fn contact_more_targets(&mut self, now_ms: u64) {
        while self.needs_more_targets() {
            let Some(next) = self.next_target(now_ms) else {
                return;
            };
            self.contact(next, now_ms);
        }
        while self.expected_zones() < self.required_zones {
            let next = self
                .first_in_unused_zone(TargetClass::Placed)
                .or_else(|| self.first_in_unused_zone(TargetClass::Draining));
            let Some(next) = next else {
                return;
            };
            self.contact(next, now_ms);
        }
    }

    /// The first uncontacted present store of the class in a zone from which no acknowledgement is expected.
    fn first_in_unused_zone(&self, class: TargetClass) -> Option<usize> {
        let is_used = |zone: &str| {
            let mut targets = self.targets.iter();
            targets.any(|other| other.is_expected() && other.zone == zone)
        };
        self.targets
            .iter()
            .position(|target| target.is_available(class) && !is_used(&target.zone))
    }

    /// The first uncontacted present store of the class.
    fn first_available(&self, class: TargetClass) -> Option<usize> {
        let mut targets = self.targets.iter();
        targets.position(|target| target.is_available(class))
    }

    /// Whether acknowledgements are expected from fewer stores than required.
    fn needs_more_targets(&self) -> bool {
        let expected = self.targets.iter().filter(|target| target.is_expected());
        expected.count() < self.required_acknowledgements
    }

    fn expected_zones(&self) -> usize {
        count_zones(self.targets.iter().filter(|target| target.is_expected()))
    }

    /// The best store to contact next, in this order: an uncontacted present store, preferably in an unused zone; an
    /// uncontacted present draining store, preferably in an unused zone; an uncontacted absent store; a store whose
    /// failed request may be retried.
    fn next_target(&self, now_ms: u64) -> Option<usize> {
        let find = |condition: &dyn Fn(&Target) -> bool| self.targets.iter().position(condition);
        self.first_in_unused_zone(TargetClass::Placed)
            .or_else(|| self.first_available(TargetClass::Placed))
            .or_else(|| self.first_in_unused_zone(TargetClass::Draining))
            .or_else(|| self.first_available(TargetClass::Draining))
            .or_else(|| find(&|target| target.attempt == Attempt::NotStarted))
            .or_else(|| find(&|target| target.attempt.may_be_retried(now_ms)))
    }

    fn contact(&mut self, target_index: usize, now_ms: u64) {
        let hint = if self.targets[target_index].is_replica {
            None
        } else {
            self.claim_hint()
        };
        let target = &mut self.targets[target_index];
        target.attempt = Attempt::Pending { since_ms: now_ms };
        self.writes.push(ReplicaWrite {
            store: target.store.clone(),
            hint,
        });
    }

    /// Picks a replica that needs a substitute and has none yet, and marks it as having one.
    fn claim_hint(&mut self) -> Option<String> {
        let replica = self
            .targets
            .iter_mut()
            .find(|target| target.is_replica && !target.has_substitute && !target.is_expected())?;
        replica.has_substitute = true;
        Some(replica.store.clone())
    }
}

/// All stores that may accept turns of a program, in the order in which they are contacted.
fn targets(program: &str, stores: &[StoreEntry], replicas: usize) -> Vec<Target> {
    let placed = placement::preference_list(program, stores)
        .into_iter()
        .enumerate()
        .map(|(position, store)| Target::new(store, TargetClass::Placed, position < replicas));
    let draining = placement::draining_stores(program, stores)
        .into_iter()
        .map(|store| Target::new(store, TargetClass::Draining, false));
    placed.chain(draining).collect()
}

impl Target {
    fn new(store: &StoreEntry, class: TargetClass, is_replica: bool) -> Self {
        Self {
            store: store.name.clone(),
            zone: store.zone.clone(),
            present: store.present,
            is_replica,
            class,
            has_substitute: false,
            attempt: Attempt::NotStarted,
        }
    }

    /// Whether the store belongs to the class, is present and was not contacted yet.
    fn is_available(&self, class: TargetClass) -> bool {
        self.attempt == Attempt::NotStarted && self.present && self.class == class
    }

    /// Whether the store has acknowledged the turn, or its acknowledgement is expected in time.
    fn is_expected(&self) -> bool {
        matches!(self.attempt, Attempt::Pending { .. } | Attempt::Replied(_))
    }

    fn has_acknowledged(&self) -> bool {
        self.attempt == Attempt::Replied(Acknowledged)
    }
}

fn count_zones<'a>(targets: impl Iterator<Item = &'a Target>) -> usize {
    let mut zones: Vec<&str> = targets.map(|target| target.zone.as_str()).collect();
    zones.sort_unstable();
    zones.dedup();
    zones.len()
}
