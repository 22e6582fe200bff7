//! Completes chains: ancestors that a stored turn names, but that this store does not hold, are fetched from the
//! other stores, one store after the other. Puts that need them are parked meanwhile, because a store
//! acknowledges a turn only with its complete chain.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::ids::CallerId;
use crate::turn::RetainedTurn;

/// Maximum number of requests in flight.
const MAX_PENDING_REQUESTS: usize = 8;
/// Maximum number of turns that are searched for.
const MAX_SEARCHES: usize = 256;
/// Maximum number of puts parked for one turn.
const MAX_PARKED_PUTS: usize = 32;
/// After this long a turn that no store had is searched for again, if one still needs it, in milliseconds.
const SEARCH_BACKOFF_MS: u64 = 2_000;

/// A put that waits for an ancestor of its turn.
#[derive(Debug)]
pub struct ParkedPut {
    /// Who waits for the acknowledgement.
    pub caller: CallerId,
    /// The turn to store.
    pub turn: RetainedTurn,
    /// The replica that this store substitutes for.
    pub hint: Option<String>,
}

/// A put could not be parked: too many are, or too many turns are searched for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("too many turns wait for missing ancestors")]
pub struct TooManyParked {
    /// The caller of the put.
    pub caller: CallerId,
}

/// Where the search for one turn stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SearchState {
    /// The next store has to be asked.
    Ready,
    /// A store was asked and has not answered.
    Pending,
    /// Found, on its way to the disk.
    Committing,
}

#[derive(Debug)]
struct Search {
    state: SearchState,
    /// Stores that are still to be asked, the next one last.
    sources: Vec<String>,
    parked: Vec<ParkedPut>,
}

/// A request to be sent: fetch a turn and its ancestors from a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchRequest {
    /// The store to send it to.
    pub store: String,
    /// The turn.
    pub id: String,
}

/// All searches for missing ancestors.
#[derive(Debug, Default)]
pub struct ChainCompletions {
    searches: BTreeMap<String, Search>,
    /// Turns that no store had, and when they may be searched for again.
    backoff_until_ms: BTreeMap<String, u64>,
}

impl ChainCompletions {
    /// Searches for a turn at these stores, the likeliest first.
    pub fn search(&mut self, id: &str, sources: &[String], now_ms: u64) {
        let backoff_until_ms = self.backoff_until_ms.get(id);
        let backs_off = backoff_until_ms.is_some_and(|until_ms| *until_ms > now_ms);
        if backs_off || self.searches.len() >= MAX_SEARCHES || self.searches.contains_key(id) {
            return;
        }
        self.begin(id, sources.to_vec());
    }

    /// Searches for a turn that a put waits for.
    ///
    /// # Errors
    ///
    /// [`TooManyParked`] if there are too many searches, or too many puts wait for this turn.
    pub fn park(
        &mut self,
        id: &str,
        sources: Vec<String>,
        put: ParkedPut,
    ) -> Result<(), TooManyParked> {
        let rejected = TooManyParked { caller: put.caller };
        if !self.searches.contains_key(id) {
            if self.searches.len() >= MAX_SEARCHES {
                return Err(rejected);
            }
            self.begin(id, sources);
        }
        match self.searches.get_mut(id) {
            Some(search) if search.parked.len() < MAX_PARKED_PUTS => {
                search.parked.push(put);
                Ok(())
            }
            _ => Err(rejected),
        }
    }

    fn begin(&mut self, id: &str, mut sources: Vec<String>) {
        self.backoff_until_ms.remove(id);
        sources.reverse();
        let search = Search {
            state: SearchState::Ready,
            sources,
            parked: Vec::new(),
        };
        self.searches.insert(id.to_owned(), search);
    }

    /// Whether nothing is searched for.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.searches.is_empty()
    }

    /// Bytes of the parked turns.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        let parked = self.searches.values().flat_map(|search| &search.parked);
        parked.map(|put| put.turn.turn.size()).sum()
    }

    /// The next request to be sent.
    pub fn next_request(&mut self) -> Option<SearchRequest> {
        let searches = self.searches.values();
        let pending = searches.filter(|search| search.state == SearchState::Pending);
        if pending.count() >= MAX_PENDING_REQUESTS {
            return None;
        }
        let (id, search) = self
            .searches
            .iter_mut()
            .find(|(_, search)| search.state == SearchState::Ready && !search.sources.is_empty())?;
        let store = search.sources.pop()?;
        search.state = SearchState::Pending;
        Some(SearchRequest {
            store,
            id: id.clone(),
        })
    }

    /// Ends a search that has no store left to ask, and returns the puts that were parked for it.
    pub fn next_exhausted(&mut self, now_ms: u64) -> Option<Vec<ParkedPut>> {
        let (id, _) = self
            .searches
            .iter()
            .find(|(_, search)| search.state == SearchState::Ready && search.sources.is_empty())?;
        let id = id.clone();
        let search = self.searches.remove(&id)?;
        self.backoff_until_ms
            .retain(|_, until_ms| *until_ms > now_ms);
        let until_ms = now_ms.saturating_add(SEARCH_BACKOFF_MS);
        self.backoff_until_ms.insert(id, until_ms);
        Some(search.parked)
    }

    /// The store that was asked does not hold it, or could not be asked.
    pub fn not_found(&mut self, id: &str) {
        self.change_state(id, SearchState::Pending, SearchState::Ready);
    }

    /// A store sent it; it is on its way to the disk.
    pub fn found(&mut self, id: &str) {
        self.change_state(id, SearchState::Pending, SearchState::Committing);
    }

    /// It could not be written: as if it had not been found.
    pub fn write_failed(&mut self, id: &str) {
        self.change_state(id, SearchState::Committing, SearchState::Ready);
    }

    /// It is on disk, in whichever way it came; returns the puts that were parked for it.
    pub fn stored(&mut self, id: &str) -> Vec<ParkedPut> {
        self.backoff_until_ms.remove(id);
        let search = self.searches.remove(id);
        search.map(|search| search.parked).unwrap_or_default()
    }

    fn change_state(&mut self, id: &str, from: SearchState, to: SearchState) {
        let search = self.searches.get_mut(id);
        if let Some(search) = search.filter(|search| search.state == from) {
            search.state = to;
        }
    }
}
