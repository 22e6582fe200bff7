//! Looks one chain up, at a gateway: asks the homes of the asking program first, then all stores, and joins
//! the pieces.

use crate::message::StoreReply;
use crate::placement;
use crate::roster::Store;
use crate::turn::Turn;

/// A store that has not answered for this long gets another asked beside it.
pub const HEDGE_MS: u64 = 60;
/// A store that could not be asked is tried again after this long.
pub const RETRY_MS: u64 = 150;
/// Without a certain answer by then, the outcome is [`Outcome::Unsure`].
pub const READ_DEADLINE_MS: u64 = 1_000;

/// Once every present store has answered, those said to be absent are waited for this long and no longer.
pub const ABSENT_WAIT_MS: u64 = 200;

/// What bounds a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    pub turns: usize,
    pub bytes: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            turns: 4_096,
            bytes: 32 << 20,
        }
    }
}

/// Ask this store for the chain that ends in `id`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    pub store: String,
    pub id: String,
}

/// How the lookup ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole chain, oldest first.
    Chain(Vec<Turn>),
    /// There is no such turn (any more).
    Unknown,
    /// It can't be known now.
    Unsure,
    /// The chain is longer than its bounds.
    TooLong,
}

/// Where the question to one store stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AskState {
    Untried,
    Asked {
        at_ms: u64,
    },
    /// Asked for longer than [`HEDGE_MS`]; it may still answer.
    Slow,
    Failed {
        at_ms: u64,
    },
    /// It does not hold the turn; and whether it holds all it should.
    Unknown {
        whole: bool,
    },
}

/// How widely the stores are asked for the wanted turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// One home after the other.
    Homes,
    /// All at once.
    Everybody,
}

#[derive(Debug)]
struct Source {
    store: String,
    home: bool,
    present: bool,
    state: AskState,
}

/// One lookup.
#[derive(Debug)]
pub struct Reading {
    wanted: String,
    /// The chain as far as it is known, newest first.
    found: Vec<Turn>,
    found_bytes: u64,
    /// In the order in which they are asked.
    sources: Vec<Source>,
    /// All stores of the list, retired ones too.
    listed: Vec<String>,
    stage: Stage,
    /// A store named one that is not in the list: the list is old.
    list_is_old: bool,
    bounds: Bounds,
    give_up_at_ms: u64,
    asks: Vec<Ask>,
    over: bool,
    outcome: Option<Outcome>,
}

impl Reading {
    /// Begins to look up the chain that ends in `id`, for a turn of `program`.
    pub fn new(id: &str, program: &str, stores: &[Store], copies: usize, now_ms: u64) -> Self {
        Self::near(id, program, stores, copies, None, now_ms)
    }

    /// As [`Self::new`], asking homes of the given zone first: bytes between zones cost.
    pub fn near(
        id: &str,
        program: &str,
        stores: &[Store],
        copies: usize,
        zone: Option<&str>,
        now_ms: u64,
    ) -> Self {
        let mut reading = Self {
            wanted: id.to_owned(),
            found: Vec::new(),
            found_bytes: 0,
            sources: sources(program, stores, copies, zone),
            listed: stores.iter().map(|store| store.name.clone()).collect(),
            stage: Stage::Homes,
            list_is_old: false,
            bounds: Bounds::default(),
            give_up_at_ms: now_ms.saturating_add(READ_DEADLINE_MS),
            asks: Vec::new(),
            over: false,
            outcome: None,
        };
        reading.go_on(now_ms);
        reading
    }

    /// Sets other bounds than the usual ones.
    pub fn within(mut self, bounds: Bounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// The next question to be sent.
    pub fn poll(&mut self) -> Option<Ask> {
        if self.asks.is_empty() {
            return None;
        }
        Some(self.asks.remove(0))
    }

    /// How it ended, once it has; may be taken once.
    pub fn take_outcome(&mut self) -> Option<Outcome> {
        self.outcome.take()
    }

    /// A store answered the question for `id`.
    pub fn answered(&mut self, store: &str, id: &str, reply: StoreReply, now_ms: u64) {
        if self.over || id != self.wanted {
            return;
        }
        match reply {
            StoreReply::Found {
                turns,
                missing,
                more,
            } => self.join(store, turns, missing, more, now_ms),
            StoreReply::Unknown { whole, knows } => self.not_held(store, whole, &knows, now_ms),
            _ => self.failed(store, id, now_ms),
        }
    }

    /// The question for `id` could not be brought to the store, or its answer not back.
    pub fn failed(&mut self, store: &str, id: &str, now_ms: u64) {
        if self.over || id != self.wanted {
            return;
        }
        self.change(store, AskState::Failed { at_ms: now_ms });
        self.go_on(now_ms);
    }

    /// When [`Self::due`] has to be called.
    pub fn next_due(&self) -> Option<u64> {
        if self.over {
            return None;
        }
        let steps = self.sources.iter().filter_map(|source| match source.state {
            AskState::Asked { at_ms } => Some(at_ms + HEDGE_MS),
            AskState::Failed { at_ms } if self.stage == Stage::Everybody => Some(at_ms + RETRY_MS),
            _ => None,
        });
        Some(steps.min().unwrap_or(u64::MAX).min(self.give_up_at_ms))
    }

    /// Time has passed.
    pub fn due(&mut self, now_ms: u64) {
        if self.over {
            return;
        }
        if now_ms >= self.give_up_at_ms {
            return self.end(Outcome::Unsure);
        }
        for source in &mut self.sources {
            source.grow_slow(now_ms);
        }
        self.go_on(now_ms);
    }

    fn end(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
        self.asks.clear();
        self.over = true;
    }

    fn change(&mut self, store: &str, state: AskState) {
        if let Some(source) = self.sources.iter_mut().find(|source| source.store == store) {
            source.state = state;
        }
    }

    fn not_held(&mut self, store: &str, whole: bool, knows: &[String], now_ms: u64) {
        self.list_is_old |= knows.iter().any(|name| !self.listed.contains(name));
        self.change(store, AskState::Unknown { whole });
        self.stage = Stage::Everybody;
        self.hurry_absent(now_ms);
        self.go_on(now_ms);
    }

    /// Copies are counted so that present stores hold every turn: absent ones are asked only to be sure, and the
    /// list may be wrong about them. A caller is not held for long because of that.
    fn hurry_absent(&mut self, now_ms: u64) {
        let answered = |source: &Source| matches!(source.state, AskState::Unknown { .. });
        if self
            .sources
            .iter()
            .all(|source| answered(source) || !source.present)
        {
            self.give_up_at_ms = self
                .give_up_at_ms
                .min(now_ms.saturating_add(ABSENT_WAIT_MS));
        }
    }

    /// Adds a piece of the chain and looks for the turn before it, if there is one.
    fn join(
        &mut self,
        store: &str,
        turns: Vec<Turn>,
        missing: Option<String>,
        more: bool,
        now_ms: u64,
    ) {
        if !is_chain(&turns, &self.wanted, missing.as_deref()) {
            return self.failed(store, &self.wanted.clone(), now_ms);
        }
        self.found_bytes += turns.iter().map(Turn::size).sum::<u64>();
        self.found.extend(turns.into_iter().rev());
        if self.found.len() > self.bounds.turns || self.found_bytes > self.bounds.bytes {
            return self.end(Outcome::TooLong);
        }
        let Some(older) = missing else {
            let mut chain = std::mem::take(&mut self.found);
            chain.reverse();
            return self.end(Outcome::Chain(chain));
        };
        self.look_for(older, store, more, now_ms);
    }

    /// Turns to the next older piece: `store` has it too (`more`), or anybody else.
    fn look_for(&mut self, older: String, store: &str, more: bool, now_ms: u64) {
        self.wanted = older;
        self.asks.clear();
        for source in &mut self.sources {
            source.state = AskState::Untried;
        }
        if more {
            self.stage = Stage::Homes;
            self.ask(store, now_ms);
        } else {
            self.stage = Stage::Everybody;
            self.change(store, AskState::Unknown { whole: false });
        }
        self.go_on(now_ms);
    }

    /// Asks whom the stage asks for; ends if nobody is left to wait for.
    fn go_on(&mut self, now_ms: u64) {
        match self.stage {
            Stage::Homes => self.ask_next_home(now_ms),
            Stage::Everybody => self.ask_everybody(now_ms),
        }
        if self
            .sources
            .iter()
            .all(|source| matches!(source.state, AskState::Unknown { .. }))
        {
            let outcome = if self.is_unknown() {
                Outcome::Unknown
            } else {
                Outcome::Unsure
            };
            self.end(outcome);
        }
    }

    fn ask_next_home(&mut self, now_ms: u64) {
        if self
            .sources
            .iter()
            .any(|source| matches!(source.state, AskState::Asked { .. }))
        {
            return;
        }
        let next = self
            .sources
            .iter()
            .find(|source| source.home && source.state == AskState::Untried);
        match next.map(|source| source.store.clone()) {
            Some(store) => self.ask(&store, now_ms),
            None => {
                self.stage = Stage::Everybody;
                self.ask_everybody(now_ms);
            }
        }
    }

    fn ask_everybody(&mut self, now_ms: u64) {
        let ready: Vec<String> = self
            .sources
            .iter()
            .filter(|source| source.may_be_asked(now_ms))
            .map(|source| source.store.clone())
            .collect();
        for store in ready {
            self.ask(&store, now_ms);
        }
    }

    fn ask(&mut self, store: &str, now_ms: u64) {
        self.change(store, AskState::Asked { at_ms: now_ms });
        self.asks.push(Ask {
            store: store.to_owned(),
            id: self.wanted.clone(),
        });
    }

    /// Guards against calling a kept turn unknown: a piece of its chain was found, a store may lack what it
    /// should hold, or the list is older than a store on which it may lie.
    fn is_unknown(&self) -> bool {
        let all_whole = self
            .sources
            .iter()
            .all(|source| source.state == AskState::Unknown { whole: true });
        self.found.is_empty() && !self.sources.is_empty() && all_whole && !self.list_is_old
    }
}

impl Source {
    fn grow_slow(&mut self, now_ms: u64) {
        if matches!(self.state, AskState::Asked { at_ms } if now_ms >= at_ms + HEDGE_MS) {
            self.state = AskState::Slow;
        }
    }

    fn may_be_asked(&self, now_ms: u64) -> bool {
        match self.state {
            AskState::Untried => true,
            AskState::Failed { at_ms } => now_ms >= at_ms + RETRY_MS,
            _ => false,
        }
    }
}

/// All stores that may hold turns: the program's homes first, those that are present before the others, and
/// those of the given zone before those of others.
fn sources(program: &str, stores: &[Store], copies: usize, zone: Option<&str>) -> Vec<Source> {
    let order = placement::order(program, stores);
    let placed = order
        .into_iter()
        .enumerate()
        .map(|(position, store)| (store, position < copies));
    let emptying = stores
        .iter()
        .filter(|store| store.retiring && !store.retired);
    let mut stores: Vec<(&Store, bool)> =
        placed.chain(emptying.map(|store| (store, false))).collect();
    stores.sort_by_key(|(store, home)| (!home, !store.present, zone != Some(store.zone.as_str())));
    let source = |(store, home): (&Store, bool)| Source {
        store: store.name.clone(),
        home,
        present: store.present,
        state: AskState::Untried,
    };
    stores.into_iter().map(source).collect()
}

/// Guards against a store that answers something else: the piece ends in the wanted turn, each turn goes on
/// from the one before it, and the first from the one said to be missing.
fn is_chain(turns: &[Turn], wanted: &str, missing: Option<&str>) -> bool {
    let ends_right = turns.last().is_some_and(|turn| turn.id == wanted);
    let starts_right = turns
        .first()
        .is_some_and(|turn| turn.previous.as_deref() == missing);
    let linked = turns
        .windows(2)
        .all(|pair| pair[1].previous.as_deref() == Some(pair[0].id.as_str()));
    ends_right && starts_right && linked
}
