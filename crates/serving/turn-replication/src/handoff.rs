//! Deliveries to other stores: turns taken in for a home that did not answer (hints), and all turns of a store
//! that is retired. A delivery offers ids, reads from the disk what the other store lacks and hands it over.
//!
//! Hints live in memory only, within a bound: a home that comes back also pulls, so a hint that is lost costs
//! time, not a turn.

use std::collections::{BTreeMap, BTreeSet};

use crate::index::Index;
use crate::message::{PAGE_BYTES, PAGE_IDS, PAGE_ID_BYTES};
use crate::roster::Candidate;

/// A hint is delivered after this long: by then a home that was only slow has the turn.
pub const HINT_REST_MS: u64 = 1_000;
/// A delivery that failed is tried again after this long.
pub const DELIVERY_RETRY_MS: u64 = 500;
/// A store that is retired offers its turns this long after it has heard so: by then the new homes have pulled
/// most of them.
pub const RETIRE_REST_MS: u64 = 300;
/// Most hints for all homes together.
const HINTS_BOUND: usize = 20_000;

/// What a delivery is made of.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Source {
    Hints,
    /// A page of all turns that the store should hold; with the id after which the following page begins.
    Everything {
        next: Option<String>,
    },
}

/// What the delivery under way waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Offering,
    /// The next turns that the store lacks have to be read.
    Ready,
    Reading,
    HandingOver,
}

#[derive(Debug)]
struct Delivery {
    peer: String,
    source: Source,
    offered: Vec<String>,
    lacking: Vec<String>,
    step: Step,
}

/// Hints for one home.
#[derive(Debug, Default)]
struct Hints {
    ids: BTreeSet<String>,
    not_before_ms: u64,
}

impl Hints {
    /// As many ids as one offer may carry.
    fn page(&self) -> Vec<String> {
        let mut bytes = 0;
        let fits = |id: &&String| {
            let room = bytes < PAGE_ID_BYTES;
            bytes += id.len();
            room
        };
        self.ids
            .iter()
            .take(PAGE_IDS)
            .take_while(fits)
            .cloned()
            .collect()
    }
}

/// Where the emptying of this store stands with one of the new homes.
#[derive(Clone, Debug, PartialEq, Eq)]
enum EmptyingState {
    Waiting {
        after: Option<String>,
        not_before_ms: u64,
    },
    Done,
}

/// The next thing to be done for a delivery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeliveryStep {
    Offer {
        peer: String,
        ids: Vec<String>,
    },
    /// Read these from the disk and hand them over.
    Read {
        ids: Vec<String>,
    },
}

/// Under which stores turns are placed, for the emptying of this one.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    pub candidates: &'a [Candidate],
    pub copies: usize,
}

/// All deliveries of this store; one is under way at a time.
#[derive(Debug, Default)]
pub struct Deliveries {
    hints: BTreeMap<String, Hints>,
    emptying: Option<BTreeMap<String, EmptyingState>>,
    delivery: Option<Delivery>,
    /// Rises with each delivery; answers for an earlier one are void.
    serial: u64,
}

impl Deliveries {
    /// The store stands in for `home` with this turn; says whether there was room to note it.
    pub fn hint(&mut self, home: &str, id: &str, now_ms: u64) -> bool {
        let count: usize = self.hints.values().map(|hints| hints.ids.len()).sum();
        if count >= HINTS_BOUND {
            return false;
        }
        let hints = self.hints.entry(home.to_owned()).or_default();
        if hints.ids.is_empty() {
            hints.not_before_ms = now_ms.saturating_add(HINT_REST_MS);
        }
        hints.ids.insert(id.to_owned());
        true
    }

    /// A turn came in while this store is being emptied: `home` has to have it, too, before it is empty.
    pub fn owe(&mut self, home: &str, id: &str, now_ms: u64) {
        if self.hint(home, id, now_ms) {
            return;
        }
        // No room to note it: everything is offered again.
        if let Some(state) = self.emptying.as_mut().and_then(|peers| peers.get_mut(home)) {
            *state = EmptyingState::Waiting {
                after: None,
                not_before_ms: now_ms.saturating_add(RETIRE_REST_MS),
            };
        }
    }

    /// Drops the hints for turns that are not held any more.
    pub fn forget_expired(&mut self, index: &Index) {
        for hints in self.hints.values_mut() {
            hints.ids.retain(|id| index.contains(id));
        }
        self.hints.retain(|_, hints| !hints.ids.is_empty());
    }

    /// Begins to empty this store into these; anew if it was under way.
    pub fn begin_emptying(&mut self, peers: impl IntoIterator<Item = String>, now_ms: u64) {
        let not_before_ms = now_ms.saturating_add(RETIRE_REST_MS);
        let waiting = EmptyingState::Waiting {
            after: None,
            not_before_ms,
        };
        self.emptying = Some(
            peers
                .into_iter()
                .map(|peer| (peer, waiting.clone()))
                .collect(),
        );
        self.delivery = None;
    }

    /// The store is not emptied any more.
    pub fn stop_emptying(&mut self) {
        if self.emptying.take().is_some() {
            self.delivery = None;
        }
    }

    /// Every new home has acknowledged all that it should hold, what came in meanwhile included.
    pub fn is_emptied(&self) -> bool {
        let has_all = |(peer, state): (&String, &EmptyingState)| {
            *state == EmptyingState::Done && !self.hints.contains_key(peer)
        };
        self.emptying
            .as_ref()
            .is_some_and(|peers| !peers.is_empty() && peers.iter().all(has_all))
    }

    /// The number of the delivery under way, for its questions and reads.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// When [`Self::next_step`] may have something that it has not now.
    pub fn next_due(&self, present: impl Fn(&str) -> bool) -> Option<u64> {
        if self.delivery.is_some() {
            return None;
        }
        let hints = self
            .hints
            .iter()
            .filter(|(home, _)| present(home))
            .map(|(_, hints)| hints.not_before_ms);
        let emptying = self
            .emptying
            .iter()
            .flatten()
            .filter_map(|(_, state)| match state {
                EmptyingState::Waiting { not_before_ms, .. } => Some(*not_before_ms),
                EmptyingState::Done => None,
            });
        hints.chain(emptying).min()
    }

    /// The next thing to be done.
    pub fn next_step(
        &mut self,
        index: &Index,
        placement: Placement<'_>,
        present: impl Fn(&str) -> bool,
        now_ms: u64,
    ) -> Option<DeliveryStep> {
        loop {
            if let Some(delivery) = &mut self.delivery {
                if delivery.step != Step::Ready {
                    return None;
                }
                let ids = delivery.next_ids(index);
                if !ids.is_empty() {
                    delivery.step = Step::Reading;
                    return Some(DeliveryStep::Read { ids });
                }
                self.finish();
                continue;
            }
            let delivery = self
                .next_emptying(index, placement, now_ms)
                .or_else(|| self.next_hints(&present, now_ms))?;
            let offer = DeliveryStep::Offer {
                peer: delivery.peer.clone(),
                ids: delivery.offered.clone(),
            };
            let nothing_to_offer = delivery.offered.is_empty();
            self.delivery = Some(delivery);
            self.serial += 1;
            if nothing_to_offer {
                self.finish();
                continue;
            }
            return Some(offer);
        }
    }

    fn next_emptying(
        &self,
        index: &Index,
        placement: Placement<'_>,
        now_ms: u64,
    ) -> Option<Delivery> {
        let (peer, after) =
            self.emptying
                .iter()
                .flatten()
                .find_map(|(peer, state)| match state {
                    EmptyingState::Waiting {
                        after,
                        not_before_ms,
                    } if *not_before_ms <= now_ms => Some((peer, after.as_deref())),
                    _ => None,
                })?;
        let page = index.missing_at(peer, placement.candidates, placement.copies, after, now_ms);
        let offered = page.turns.into_iter().map(|listed| listed.id).collect();
        Some(Delivery::new(
            peer,
            Source::Everything { next: page.next },
            offered,
        ))
    }

    fn next_hints(&self, present: &impl Fn(&str) -> bool, now_ms: u64) -> Option<Delivery> {
        let (home, hints) = self
            .hints
            .iter()
            .find(|(home, hints)| present(home) && hints.not_before_ms <= now_ms)?;
        Some(Delivery::new(home, Source::Hints, hints.page()))
    }

    /// The other store answered the offer.
    pub fn lacks(&mut self, serial: u64, ids: Vec<String>) {
        if let Some(delivery) = self.delivery_at(serial, Step::Offering) {
            delivery.lacking = ids;
            delivery.step = Step::Ready;
        }
    }

    /// The turns have been read; whom to hand them to.
    pub fn read(&mut self, serial: u64) -> Option<String> {
        let delivery = self.delivery_at(serial, Step::Reading)?;
        delivery.step = Step::HandingOver;
        Some(delivery.peer.clone())
    }

    /// The other store has acknowledged what was handed over.
    pub fn handed_over(&mut self, serial: u64) {
        if let Some(delivery) = self.delivery_at(serial, Step::HandingOver) {
            delivery.step = Step::Ready;
        }
    }

    /// The other store could not be asked or refused, or the disk failed: later again.
    pub fn failed(&mut self, serial: u64, now_ms: u64) {
        if serial != self.serial {
            return;
        }
        let Some(delivery) = self.delivery.take() else {
            return;
        };
        let again_at = now_ms.saturating_add(DELIVERY_RETRY_MS);
        match delivery.source {
            Source::Hints => {
                if let Some(hints) = self.hints.get_mut(&delivery.peer) {
                    hints.not_before_ms = again_at;
                }
            }
            Source::Everything { .. } => {
                let state = self
                    .emptying
                    .as_mut()
                    .and_then(|peers| peers.get_mut(&delivery.peer));
                if let Some(EmptyingState::Waiting { not_before_ms, .. }) = state {
                    *not_before_ms = again_at;
                }
            }
        }
    }

    /// Everything of the delivery under way is at the other store.
    fn finish(&mut self) {
        let Some(delivery) = self.delivery.take() else {
            return;
        };
        match delivery.source {
            Source::Hints => self.drop_hints(&delivery.peer, &delivery.offered),
            Source::Everything { next } => self.finish_page(&delivery.peer, next),
        }
    }

    fn drop_hints(&mut self, home: &str, ids: &[String]) {
        let Some(hints) = self.hints.get_mut(home) else {
            return;
        };
        for id in ids {
            hints.ids.remove(id);
        }
        if hints.ids.is_empty() {
            self.hints.remove(home);
        }
    }

    fn finish_page(&mut self, peer: &str, next: Option<String>) {
        let Some(state) = self.emptying.as_mut().and_then(|peers| peers.get_mut(peer)) else {
            return;
        };
        *state = match next {
            Some(next) => EmptyingState::Waiting {
                after: Some(next),
                not_before_ms: 0,
            },
            None => EmptyingState::Done,
        };
    }

    fn delivery_at(&mut self, serial: u64, step: Step) -> Option<&mut Delivery> {
        if serial != self.serial {
            return None;
        }
        self.delivery
            .as_mut()
            .filter(|delivery| delivery.step == step)
    }
}

impl Delivery {
    fn new(peer: &str, source: Source, offered: Vec<String>) -> Self {
        Self {
            peer: peer.to_owned(),
            source,
            offered,
            lacking: Vec::new(),
            step: Step::Offering,
        }
    }

    /// As many lacking turns as one message may carry.
    fn next_ids(&mut self, index: &Index) -> Vec<String> {
        let mut ids = Vec::new();
        let mut bytes = 0;
        while let Some(id) = self.lacking.last() {
            let size = index.size(id);
            let full = !ids.is_empty() && bytes + size.unwrap_or(0) > PAGE_BYTES;
            if full {
                break;
            }
            let id = self.lacking.pop();
            // A turn that has expired meanwhile is owed to nobody.
            ids.extend(id.filter(|_| size.is_some()));
            bytes += size.unwrap_or(0);
        }
        ids
    }
}
