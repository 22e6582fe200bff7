//! Completes chains: turns that a held one goes on from, and that are not here, are fetched from the other
//! stores, one store after the other. Puts that need them wait meanwhile, for a store acknowledges a turn only
//! with its whole chain.

use std::collections::BTreeMap;

use crate::node::CallerId;
use crate::turn::HeldTurn;

/// Most questions under way at one time.
const ASKS_BOUND: usize = 8;
/// Most turns looked for at one time.
const WANTS_BOUND: usize = 256;
/// Most puts waiting for one turn.
const PARKED_BOUND: usize = 32;
/// A turn that no store had is looked for again after this long, if something still goes on from it.
const LOOK_AGAIN_MS: u64 = 2_000;

/// A put that waits for an ancestor of its turn.
#[derive(Debug)]
pub struct ParkedPut {
    pub caller: CallerId,
    pub turn: HeldTurn,
    pub hint: Option<String>,
}

/// Where the search for one turn stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WantState {
    /// The next store has to be asked.
    Ready,
    Asked,
    /// Found, on its way to the disk.
    Committing,
}

#[derive(Debug)]
struct Want {
    state: WantState,
    /// Stores still to be asked, the next one last.
    sources: Vec<String>,
    parked: Vec<ParkedPut>,
}

/// Ask this store for the turn and its ancestors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantAsk {
    pub store: String,
    pub id: String,
}

/// The searches under way.
#[derive(Debug, Default)]
pub struct Completions {
    wants: BTreeMap<String, Want>,
    /// Turns that no store had, and when they may be looked for again.
    given_up: BTreeMap<String, u64>,
}

impl Completions {
    /// Looks for a turn at these stores, the likeliest first.
    pub fn want(&mut self, id: &str, sources: &[String], now_ms: u64) {
        let resting = self.given_up.get(id).is_some_and(|until| *until > now_ms);
        if resting || self.wants.len() >= WANTS_BOUND || self.wants.contains_key(id) {
            return;
        }
        self.add(id, sources.to_vec());
    }

    /// Looks for a turn that a put waits for; names the put's caller if too many wait.
    pub fn park(&mut self, id: &str, sources: Vec<String>, put: ParkedPut) -> Result<(), CallerId> {
        if !self.wants.contains_key(id) {
            if self.wants.len() >= WANTS_BOUND {
                return Err(put.caller);
            }
            self.add(id, sources);
        }
        match self.wants.get_mut(id) {
            Some(want) if want.parked.len() < PARKED_BOUND => {
                want.parked.push(put);
                Ok(())
            }
            _ => Err(put.caller),
        }
    }

    fn add(&mut self, id: &str, mut sources: Vec<String>) {
        self.given_up.remove(id);
        sources.reverse();
        self.wants.insert(
            id.to_owned(),
            Want {
                state: WantState::Ready,
                sources,
                parked: Vec::new(),
            },
        );
    }

    /// Nothing is looked for.
    pub fn is_idle(&self) -> bool {
        self.wants.is_empty()
    }

    /// Bytes of the puts that wait.
    pub fn bytes(&self) -> u64 {
        let parked = self.wants.values().flat_map(|want| &want.parked);
        parked.map(|put| put.turn.turn.size()).sum()
    }

    /// The next question to be sent.
    pub fn next_ask(&mut self) -> Option<WantAsk> {
        let under_way = self
            .wants
            .values()
            .filter(|want| want.state == WantState::Asked)
            .count();
        if under_way >= ASKS_BOUND {
            return None;
        }
        let (id, want) = self
            .wants
            .iter_mut()
            .find(|(_, want)| want.state == WantState::Ready && !want.sources.is_empty())?;
        let store = want.sources.pop()?;
        want.state = WantState::Asked;
        Some(WantAsk {
            store,
            id: id.clone(),
        })
    }

    /// A search that has no store left to ask; the puts that waited for it are handed back.
    pub fn next_given_up(&mut self, now_ms: u64) -> Option<Vec<ParkedPut>> {
        let id = self
            .wants
            .iter()
            .find(|(_, want)| want.state == WantState::Ready && want.sources.is_empty())
            .map(|(id, _)| id.clone())?;
        let want = self.wants.remove(&id)?;
        self.given_up.retain(|_, until| *until > now_ms);
        self.given_up
            .insert(id, now_ms.saturating_add(LOOK_AGAIN_MS));
        Some(want.parked)
    }

    /// The store that was asked does not have it, or could not be asked.
    pub fn not_there(&mut self, id: &str) {
        self.change(id, WantState::Asked, WantState::Ready);
    }

    /// A store gave it; it is on its way to the disk.
    pub fn found(&mut self, id: &str) {
        self.change(id, WantState::Asked, WantState::Committing);
    }

    /// It could not be written: as if it had not been found.
    pub fn not_written(&mut self, id: &str) {
        self.change(id, WantState::Committing, WantState::Ready);
    }

    /// It is on the disk, by whichever way: the puts that waited may go on.
    pub fn is_here(&mut self, id: &str) -> Vec<ParkedPut> {
        self.given_up.remove(id);
        self.wants
            .remove(id)
            .map(|want| want.parked)
            .unwrap_or_default()
    }

    fn change(&mut self, id: &str, from: WantState, to: WantState) {
        if let Some(want) = self.wants.get_mut(id).filter(|want| want.state == from) {
            want.state = to;
        }
    }
}
