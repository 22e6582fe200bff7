//! Keeps one turn, at a gateway: puts it to its homes, to stand-ins for those that fail or are slow, at last to
//! stores that are being emptied, until enough stores have acknowledged it.

use crate::placement;
use crate::roster::Store;
use crate::turn::TurnHeader;

/// A store that has not acknowledged for this long gets a stand-in beside it.
pub const HEDGE_MS: u64 = 60;
/// A store that failed is tried again after this long, if none is left untried.
pub const RETRY_MS: u64 = 150;
/// Without enough acknowledgements by then, it is unsure whether the turn is kept. Stores count on it: a new
/// disk is not called whole before writers that knew the old one have ended.
pub const WRITE_DEADLINE_MS: u64 = 1_500;

/// Send this turn to a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    pub store: String,
    /// The home that the store stands in for.
    pub hint: Option<String>,
}

/// How the keeping ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Enough stores have it synced.
    Kept,
    /// Too few said so in time.
    Unsure,
}

/// Where the put to one store stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyState {
    Untried,
    Asked {
        at_ms: u64,
    },
    /// Asked for longer than [`HEDGE_MS`]; it may still acknowledge.
    Slow,
    Failed {
        at_ms: u64,
    },
    Acknowledged,
}

#[derive(Debug)]
struct Copy {
    store: String,
    zone: String,
    present: bool,
    home: bool,
    /// It is being emptied: asked only when no other present store is left.
    fallback: bool,
    /// For a home: a stand-in carries a hint for it.
    covered: bool,
    state: CopyState,
}

/// One turn on its way to its stores.
#[derive(Debug)]
pub struct Writing {
    copies: Vec<Copy>,
    wanted: usize,
    wanted_zones: usize,
    give_up_at_ms: u64,
    puts: Vec<Put>,
    verdict: Option<Verdict>,
}

impl Writing {
    /// Begins to keep a turn on `copies` of the stores.
    pub fn new(turn: &TurnHeader, stores: &[Store], copies: usize, now_ms: u64) -> Self {
        let wanted = copies.max(1);
        let homes_and_stand_ins = placement::order(&turn.program, stores)
            .into_iter()
            .enumerate();
        let list = homes_and_stand_ins
            .map(|(position, store)| Copy::new(store, position < wanted))
            .chain(
                placement::fallbacks(&turn.program, stores)
                    .into_iter()
                    .map(|store| Copy::new(store, false)),
            )
            .collect();
        let mut writing = Self {
            copies: list,
            wanted,
            wanted_zones: 1,
            give_up_at_ms: now_ms.saturating_add(WRITE_DEADLINE_MS),
            puts: Vec::new(),
            verdict: None,
        };
        writing.start_more(now_ms);
        writing
    }

    /// Asks for acknowledgements out of that many zones at least, for deployments that must bear the loss of
    /// zones. Bounded by the zones that are there.
    pub fn over_zones(mut self, zones: usize) -> Self {
        self.wanted_zones = zones.min(self.wanted).max(1);
        self
    }

    /// The next put to be sent.
    pub fn poll(&mut self) -> Option<Put> {
        if self.puts.is_empty() {
            return None;
        }
        Some(self.puts.remove(0))
    }

    /// How it ended, once it has.
    pub fn verdict(&self) -> Option<Verdict> {
        self.verdict
    }

    /// The store has the turn synced.
    pub fn acknowledged(&mut self, store: &str, now_ms: u64) {
        self.change(store, CopyState::Acknowledged, now_ms);
    }

    /// The store refused, or the connection to it failed.
    pub fn failed(&mut self, store: &str, now_ms: u64) {
        self.change(store, CopyState::Failed { at_ms: now_ms }, now_ms);
    }

    /// When [`Self::due`] has to be called.
    pub fn next_due(&self) -> Option<u64> {
        if self.verdict.is_some() {
            return None;
        }
        let short = self.is_short();
        let steps = self.copies.iter().filter_map(|copy| match copy.state {
            CopyState::Asked { at_ms } => Some(at_ms + HEDGE_MS),
            CopyState::Failed { at_ms } if short => Some(at_ms + RETRY_MS),
            _ => None,
        });
        Some(steps.min().unwrap_or(u64::MAX).min(self.give_up_at_ms))
    }

    /// Time has passed.
    pub fn due(&mut self, now_ms: u64) {
        if self.verdict.is_some() {
            return;
        }
        if now_ms >= self.give_up_at_ms {
            self.verdict = Some(Verdict::Unsure);
            self.puts.clear();
            return;
        }
        for copy in &mut self.copies {
            copy.grow_slow(now_ms);
        }
        self.start_more(now_ms);
    }

    fn change(&mut self, store: &str, state: CopyState, now_ms: u64) {
        if self.verdict.is_some() {
            return;
        }
        let Some(copy) = self.copies.iter_mut().find(|copy| copy.store == store) else {
            return;
        };
        if copy.state == CopyState::Acknowledged {
            return;
        }
        copy.state = state;
        if self.is_kept() {
            self.verdict = Some(Verdict::Kept);
            self.puts.clear();
            return;
        }
        self.start_more(now_ms);
    }

    fn is_kept(&self) -> bool {
        let acknowledged = || {
            self.copies
                .iter()
                .filter(|copy| copy.state == CopyState::Acknowledged)
        };
        let zones_there = count_zones(self.copies.iter().filter(|copy| copy.present));
        acknowledged().count() >= self.wanted
            && count_zones(acknowledged()) >= self.wanted_zones.min(zones_there.max(1))
    }

    /// Asks further stores until enough promise an answer.
    fn start_more(&mut self, now_ms: u64) {
        while self.is_short() {
            let Some(next) = self.next_copy(now_ms) else {
                return;
            };
            self.start(next, now_ms);
        }
        while self.hopeful_zones() < self.wanted_zones {
            let Some(next) = self
                .copy_in_fresh_zone(false)
                .or_else(|| self.copy_in_fresh_zone(true))
            else {
                return;
            };
            self.start(next, now_ms);
        }
    }

    /// The first untried present store of a zone that no hopeful copy is in; among fallbacks or the others.
    fn copy_in_fresh_zone(&self, fallback: bool) -> Option<usize> {
        let used = |zone: &str| {
            self.copies
                .iter()
                .any(|other| other.is_hopeful() && other.zone == zone)
        };
        self.copies
            .iter()
            .position(|copy| copy.is_untried(fallback) && !used(&copy.zone))
    }

    /// The first untried present store; among fallbacks or the others.
    fn untried_copy(&self, fallback: bool) -> Option<usize> {
        self.copies
            .iter()
            .position(|copy| copy.is_untried(fallback))
    }

    /// Fewer stores than wanted promise an answer.
    fn is_short(&self) -> bool {
        self.copies.iter().filter(|copy| copy.is_hopeful()).count() < self.wanted
    }

    fn hopeful_zones(&self) -> usize {
        count_zones(self.copies.iter().filter(|copy| copy.is_hopeful()))
    }

    /// The best store to ask next: untried and present, of a zone that has no copy yet if there is one; then the
    /// same of those that are being emptied; then those said to be absent; then those whose failure lies back
    /// long enough.
    fn next_copy(&self, now_ms: u64) -> Option<usize> {
        let find = |wanted: &dyn Fn(&Copy) -> bool| self.copies.iter().position(wanted);
        self.copy_in_fresh_zone(false)
            .or_else(|| self.untried_copy(false))
            .or_else(|| self.copy_in_fresh_zone(true))
            .or_else(|| self.untried_copy(true))
            .or_else(|| find(&|copy| copy.state == CopyState::Untried))
            .or_else(|| find(&|copy| copy.may_retry(now_ms)))
    }

    fn start(&mut self, position: usize, now_ms: u64) {
        let hint = if self.copies[position].home {
            None
        } else {
            self.uncovered_home()
        };
        let copy = &mut self.copies[position];
        copy.state = CopyState::Asked { at_ms: now_ms };
        self.puts.push(Put {
            store: copy.store.clone(),
            hint,
        });
    }

    /// A home that needs a stand-in and has none yet.
    fn uncovered_home(&mut self) -> Option<String> {
        let home = self
            .copies
            .iter_mut()
            .find(|copy| copy.home && !copy.covered && !copy.is_hopeful())?;
        home.covered = true;
        Some(home.store.clone())
    }
}

impl Copy {
    fn new(store: &Store, home: bool) -> Self {
        Self {
            store: store.name.clone(),
            zone: store.zone.clone(),
            present: store.present,
            home,
            fallback: store.is_fallback(),
            covered: false,
            state: CopyState::Untried,
        }
    }

    /// Present and not asked yet; a fallback or not.
    fn is_untried(&self, fallback: bool) -> bool {
        self.state == CopyState::Untried && self.present && self.fallback == fallback
    }

    fn is_hopeful(&self) -> bool {
        matches!(
            self.state,
            CopyState::Asked { .. } | CopyState::Acknowledged
        )
    }

    fn may_retry(&self, now_ms: u64) -> bool {
        matches!(self.state, CopyState::Failed { at_ms } if now_ms >= at_ms + RETRY_MS)
    }

    fn grow_slow(&mut self, now_ms: u64) {
        if matches!(self.state, CopyState::Asked { at_ms } if now_ms >= at_ms + HEDGE_MS) {
            self.state = CopyState::Slow;
        }
    }
}

fn count_zones<'a>(copies: impl Iterator<Item = &'a Copy>) -> usize {
    let mut zones: Vec<&str> = copies.map(|copy| copy.zone.as_str()).collect();
    zones.sort_unstable();
    zones.dedup();
    zones.len()
}
