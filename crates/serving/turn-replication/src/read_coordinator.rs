//! Reads one chain at a gateway: queries the replicas of the program first, then all stores, and joins the segments
//! of the chain that they reply with.

use crate::attempt::Attempt;
use crate::membership::StoreEntry;
use crate::message::StoreReply;
use crate::placement;
use crate::turn::Turn;

/// Time without a certain reply after which the outcome is [`ReadOutcome::Uncertain`], in milliseconds.
pub const READ_DEADLINE_MS: u64 = 1_000;
/// Maximum wait for absent stores once every present store has replied, in milliseconds.
pub const ABSENT_STORE_WAIT_MS: u64 = 200;

/// Limits of the length and size of a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChainLimits {
    /// Maximum number of turns.
    pub turns: usize,
    /// Maximum bytes of all turns.
    pub bytes: u64,
}

impl Default for ChainLimits {
    fn default() -> Self {
        Self {
            turns: 4_096,
            bytes: 32 << 20,
        }
    }
}

/// A query to one store for the chain that ends in a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainQuery {
    /// The store to query.
    pub store: String,
    /// Id of the newest turn of the chain.
    pub id: String,
}

/// Outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The complete chain, oldest first.
    Chain(Vec<Turn>),
    /// The turn does not exist or has expired.
    Unknown,
    /// It could not be determined in time whether the turn exists.
    Uncertain,
    /// The chain exceeds the [`ChainLimits`].
    TooLong,
}

/// The reply of a store that does not hold the turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NotHeld {
    /// Whether the store holds all turns that it should hold.
    complete: bool,
}

/// The set of stores that are queried for the next turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The replicas, one after the other.
    Replicas,
    /// All stores at the same time.
    AllStores,
}

/// A store that may hold the chain.
#[derive(Debug)]
struct Source {
    store: String,
    is_replica: bool,
    present: bool,
    attempt: Attempt<NotHeld>,
}

/// A part of the chain, from the reply of one store.
struct Segment {
    /// The turns, oldest first.
    turns: Vec<Turn>,
    /// The next older turn; `None` if the segment begins the chain.
    missing: Option<String>,
    /// The same store holds the next older turn, too.
    has_more: bool,
}

/// One read of a chain.
#[derive(Debug)]
pub struct ReadCoordinator {
    /// Id of the turn that is being searched for.
    next_id: String,
    /// The turns of the chain that were received, newest first.
    found: Vec<Turn>,
    found_bytes: u64,
    /// The stores, in the order in which they are queried.
    sources: Vec<Source>,
    /// Names of all stores of the membership, including retired stores.
    known_stores: Vec<String>,
    stage: Stage,
    /// A store listed a store that is not in the membership.
    membership_is_stale: bool,
    limits: ChainLimits,
    deadline_ms: u64,
    queries: Vec<ChainQuery>,
    is_finished: bool,
    outcome: Option<ReadOutcome>,
}

impl ReadCoordinator {
    /// Begins to read the chain that ends in `id`, for a turn of `program`.
    #[must_use]
    pub fn new(
        id: &str,
        program: &str,
        stores: &[StoreEntry],
        replication_factor: usize,
        now_ms: u64,
    ) -> Self {
        let sources = sources(program, stores, replication_factor, None);
        Self::with_sources(id, stores, sources, now_ms)
    }

    /// Like [`Self::new`], but queries replicas of the given zone first, because traffic between zones is charged.
    #[must_use]
    pub fn preferring_zone(
        id: &str,
        program: &str,
        stores: &[StoreEntry],
        replication_factor: usize,
        zone: &str,
        now_ms: u64,
    ) -> Self {
        let sources = sources(program, stores, replication_factor, Some(zone));
        Self::with_sources(id, stores, sources, now_ms)
    }

    fn with_sources(id: &str, stores: &[StoreEntry], sources: Vec<Source>, now_ms: u64) -> Self {
        let mut coordinator = Self {
            next_id: id.to_owned(),
            found: Vec::new(),
            found_bytes: 0,
            sources,
            known_stores: stores.iter().map(|store| store.name.clone()).collect(),
            stage: Stage::Replicas,
            membership_is_stale: false,
            limits: ChainLimits::default(),
            deadline_ms: now_ms.saturating_add(READ_DEADLINE_MS),
            queries: Vec::new(),
            is_finished: false,
            outcome: None,
        };
        coordinator.advance(now_ms);
        coordinator
    }

    /// Replaces the default limits.
    #[must_use]
    pub fn with_limits(mut self, limits: ChainLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the next query to be sent.
    pub fn poll(&mut self) -> Option<ChainQuery> {
        if self.queries.is_empty() {
            return None;
        }
        Some(self.queries.remove(0))
    }

    /// Takes the outcome once the read has ended; later calls return `None`.
    pub fn take_outcome(&mut self) -> Option<ReadOutcome> {
        self.outcome.take()
    }

    /// A store replied to the query for `id`.
    pub fn replied(&mut self, store: &str, id: &str, reply: StoreReply, now_ms: u64) {
        if self.is_finished || id != self.next_id {
            return;
        }
        match reply {
            StoreReply::Found {
                turns,
                missing,
                has_more,
            } => {
                let segment = Segment {
                    turns,
                    missing,
                    has_more,
                };
                self.append_segment(store, segment, now_ms);
            }
            StoreReply::Unknown {
                complete,
                known_stores,
            } => self.not_found(store, complete, &known_stores, now_ms),
            _ => self.failed(store, id, now_ms),
        }
    }

    /// The query for `id` did not reach the store, or its reply was lost.
    pub fn failed(&mut self, store: &str, id: &str, now_ms: u64) {
        if self.is_finished || id != self.next_id {
            return;
        }
        self.set_attempt(store, Attempt::Failed { at_ms: now_ms });
        self.advance(now_ms);
    }

    /// When [`Self::tick`] has to be called, in milliseconds of the steady clock; `None` once the read has ended.
    #[must_use]
    pub fn next_due(&self) -> Option<u64> {
        if self.is_finished {
            return None;
        }
        let retries = self.stage == Stage::AllStores;
        let step_times = self.sources.iter().filter_map(|source| {
            let retry_at_ms = source.attempt.retry_at_ms().filter(|_| retries);
            source.attempt.hedge_at_ms().or(retry_at_ms)
        });
        Some(step_times.min().unwrap_or(u64::MAX).min(self.deadline_ms))
    }

    /// Applies timeouts, hedges and retries that are due at `now_ms`.
    pub fn tick(&mut self, now_ms: u64) {
        if self.is_finished {
            return;
        }
        if now_ms >= self.deadline_ms {
            return self.finish(ReadOutcome::Uncertain);
        }
        for source in &mut self.sources {
            source.attempt.mark_slow_if_late(now_ms);
        }
        self.advance(now_ms);
    }

    fn finish(&mut self, outcome: ReadOutcome) {
        self.outcome = Some(outcome);
        self.queries.clear();
        self.is_finished = true;
    }

    fn set_attempt(&mut self, store: &str, attempt: Attempt<NotHeld>) {
        if let Some(source) = self.sources.iter_mut().find(|source| source.store == store) {
            source.attempt = attempt;
        }
    }

    fn not_found(&mut self, store: &str, complete: bool, known_stores: &[String], now_ms: u64) {
        self.membership_is_stale |= known_stores
            .iter()
            .any(|name| !self.known_stores.contains(name));
        self.set_attempt(store, Attempt::Replied(NotHeld { complete }));
        self.stage = Stage::AllStores;
        self.limit_wait_for_absent_stores(now_ms);
        self.advance(now_ms);
    }

    /// Shortens the deadline once every present store has replied. The present stores are enough to hold every turn;
    /// absent stores are queried only for certainty and because the membership may be wrong about them, which does
    /// not justify a long wait.
    fn limit_wait_for_absent_stores(&mut self, now_ms: u64) {
        let has_replied = |source: &Source| matches!(source.attempt, Attempt::Replied(_));
        let mut sources = self.sources.iter();
        if sources.all(|source| has_replied(source) || !source.present) {
            let wait_ends_ms = now_ms.saturating_add(ABSENT_STORE_WAIT_MS);
            self.deadline_ms = self.deadline_ms.min(wait_ends_ms);
        }
    }

    /// Adds a segment of the chain and searches for the turn before the segment, if there is one.
    fn append_segment(&mut self, store: &str, segment: Segment, now_ms: u64) {
        if !segment.is_valid_reply_for(&self.next_id) {
            return self.failed(store, &self.next_id.clone(), now_ms);
        }
        self.found_bytes += segment.turns.iter().map(Turn::size).sum::<u64>();
        self.found.extend(segment.turns.into_iter().rev());
        if self.found.len() > self.limits.turns || self.found_bytes > self.limits.bytes {
            return self.finish(ReadOutcome::TooLong);
        }
        let Some(older) = segment.missing else {
            let mut chain = std::mem::take(&mut self.found);
            chain.reverse();
            return self.finish(ReadOutcome::Chain(chain));
        };
        self.begin_next_segment(older);
        if segment.has_more {
            self.stage = Stage::Replicas;
            self.query(store, now_ms);
        } else {
            self.stage = Stage::AllStores;
            self.set_attempt(store, Attempt::Replied(NotHeld { complete: false }));
        }
        self.advance(now_ms);
    }

    /// Starts the search for the next older turn, for which no store has been queried yet.
    fn begin_next_segment(&mut self, older: String) {
        self.next_id = older;
        self.queries.clear();
        for source in &mut self.sources {
            source.attempt = Attempt::NotStarted;
        }
    }

    /// Sends the queries of the current stage, and ends the read once every store has replied.
    fn advance(&mut self, now_ms: u64) {
        match self.stage {
            Stage::Replicas => self.query_next_replica(now_ms),
            Stage::AllStores => self.query_all_stores(now_ms),
        }
        let mut sources = self.sources.iter();
        if sources.all(|source| matches!(source.attempt, Attempt::Replied(_))) {
            let outcome = if self.is_certainly_unknown() {
                ReadOutcome::Unknown
            } else {
                ReadOutcome::Uncertain
            };
            self.finish(outcome);
        }
    }

    fn query_next_replica(&mut self, now_ms: u64) {
        let mut sources = self.sources.iter();
        if sources.any(|source| matches!(source.attempt, Attempt::Pending { .. })) {
            return;
        }
        let next = self
            .sources
            .iter()
            .find(|source| source.is_replica && source.attempt == Attempt::NotStarted);
        match next.map(|source| source.store.clone()) {
            Some(store) => self.query(&store, now_ms),
            None => {
                self.stage = Stage::AllStores;
                self.query_all_stores(now_ms);
            }
        }
    }

    fn query_all_stores(&mut self, now_ms: u64) {
        let ready: Vec<String> = self
            .sources
            .iter()
            .filter(|source| source.may_be_queried(now_ms))
            .map(|source| source.store.clone())
            .collect();
        for store in ready {
            self.query(&store, now_ms);
        }
    }

    fn query(&mut self, store: &str, now_ms: u64) {
        self.set_attempt(store, Attempt::Pending { since_ms: now_ms });
        self.queries.push(ChainQuery {
            store: store.to_owned(),
            id: self.next_id.clone(),
        });
    }

    /// Whether the turn certainly does not exist. Not certain if part of its chain was found, if a store may lack turns
    /// that it should hold, or if the membership lacks a store that may hold the turn.
    fn is_certainly_unknown(&self) -> bool {
        let all_complete = self
            .sources
            .iter()
            .all(|source| source.attempt == Attempt::Replied(NotHeld { complete: true }));
        self.found.is_empty()
            && !self.sources.is_empty()
            && all_complete
            && !self.membership_is_stale
    }
}

impl Segment {
    /// Whether the segment is a valid reply to the query: it ends in the requested turn, each turn continues the turn
    /// before it, and the first turn continues the missing turn.
    fn is_valid_reply_for(&self, requested: &str) -> bool {
        let has_requested_end = self.turns.last().is_some_and(|turn| turn.id == requested);
        let has_matching_start = self
            .turns
            .first()
            .is_some_and(|turn| turn.previous == self.missing);
        let is_linked = self
            .turns
            .windows(2)
            .all(|pair| pair[1].previous.as_deref() == Some(pair[0].id.as_str()));
        has_requested_end && has_matching_start && is_linked
    }
}

impl Source {
    fn new(store: &StoreEntry, is_replica: bool) -> Self {
        Self {
            store: store.name.clone(),
            is_replica,
            present: store.present,
            attempt: Attempt::NotStarted,
        }
    }

    fn may_be_queried(&self, now_ms: u64) -> bool {
        self.attempt == Attempt::NotStarted || self.attempt.may_be_retried(now_ms)
    }
}

/// All stores that may hold turns: the program's replicas before other stores, then present stores before absent
/// stores, then stores of the given zone before stores of other zones.
fn sources(
    program: &str,
    stores: &[StoreEntry],
    replication_factor: usize,
    zone: Option<&str>,
) -> Vec<Source> {
    let placed = placement::preference_list(program, stores)
        .into_iter()
        .enumerate()
        .map(|(position, store)| (store, position < replication_factor));
    let draining = stores
        .iter()
        .filter(|store| store.is_draining())
        .map(|store| (store, false));
    let mut stores: Vec<(&StoreEntry, bool)> = placed.chain(draining).collect();
    stores.sort_by_key(|(store, is_replica)| {
        let is_in_other_zone = zone != Some(store.zone.as_str());
        (!is_replica, !store.present, is_in_other_zone)
    });
    stores
        .into_iter()
        .map(|(store, is_replica)| Source::new(store, is_replica))
        .collect()
}
