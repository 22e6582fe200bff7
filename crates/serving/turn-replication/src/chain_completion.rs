//! Completes chains: fetches the missing ancestors of stored turns from the other stores, one store after the other.
//! Puts that need a missing ancestor are deferred until it is stored, because a store acknowledges a turn only with
//! its complete chain.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::ids::CallerId;
use crate::turn::RetainedTurn;

/// Maximum number of search requests in flight.
const MAX_PENDING_REQUESTS: usize = 8;
/// Maximum number of turns searched for at the same time.
const MAX_SEARCHES: usize = 256;
/// Maximum number of puts deferred for one missing turn.
const MAX_DEFERRED_PUTS: usize = 32;
/// Delay before a turn that no store had is searched for again, if a stored turn still needs it, in milliseconds.
const SEARCH_BACKOFF_MS: u64 = 2_000;

/// A put that waits for a missing ancestor of its turn.
#[derive(Debug)]
pub struct DeferredPut {
    /// The caller that waits for the acknowledgement.
    pub caller: CallerId,
    /// The turn to be stored.
    pub turn: RetainedTurn,
    /// The replica that this store substitutes for, if any.
    pub substitute_for: Option<String>,
}

/// A put was not deferred because too many puts wait for the same turn or too many searches are in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("too many turns wait for missing ancestors")]
pub struct TooManyDeferred {
    /// The caller of the rejected put.
    pub caller: CallerId,
}

/// State of the search for one turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SearchState {
    /// The next store can be queried.
    Ready,
    /// A store was queried and has not replied.
    Pending,
    /// The turn was found and is being written to disk.
    Committing,
}

#[derive(Debug)]
struct Search {
    state: SearchState,
    /// Stores that were not queried yet, the next one last.
    sources: Vec<String>,
    deferred: Vec<DeferredPut>,
}

/// A request to fetch a turn and its ancestors from another store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchRequest {
    /// The store to query.
    pub store: String,
    /// The missing turn.
    pub id: String,
}

/// All searches for missing ancestors.
#[derive(Debug, Default)]
pub struct ChainCompletions {
    searches: BTreeMap<String, Search>,
    /// For each turn that no store had: when it may be searched for again.
    backoff_until_ms: BTreeMap<String, u64>,
}

impl ChainCompletions {
    /// Starts a search for a turn at the given stores, in this order, unless the turn is already searched for or
    /// backs off, or there are too many searches.
    pub fn search(&mut self, id: &str, sources: &[String], now_ms: u64) {
        let backoff_until_ms = self.backoff_until_ms.get(id);
        let is_backing_off = backoff_until_ms.is_some_and(|until_ms| *until_ms > now_ms);
        if is_backing_off || self.searches.len() >= MAX_SEARCHES || self.searches.contains_key(id) {
            return;
        }
        self.begin_search(id, sources.to_vec());
    }

    /// Defers a put until the turn `id` is stored, and starts the search for that turn if there is none yet.
    ///
    /// # Errors
    ///
    /// [`TooManyDeferred`] if there are too many searches, or too many puts wait for this turn.
    pub fn defer(
        &mut self,
        id: &str,
        sources: Vec<String>,
        put: DeferredPut,
    ) -> Result<(), TooManyDeferred> {
        let rejected = TooManyDeferred { caller: put.caller };
        if !self.searches.contains_key(id) {
            if self.searches.len() >= MAX_SEARCHES {
                return Err(rejected);
            }
            self.begin_search(id, sources);
        }
        match self.searches.get_mut(id) {
            Some(search) if search.deferred.len() < MAX_DEFERRED_PUTS => {
                search.deferred.push(put);
                Ok(())
            }
            _ => Err(rejected),
        }
    }

    fn begin_search(&mut self, id: &str, mut sources: Vec<String>) {
        self.backoff_until_ms.remove(id);
        sources.reverse();
        let search = Search {
            state: SearchState::Ready,
            sources,
            deferred: Vec::new(),
        };
        self.searches.insert(id.to_owned(), search);
    }

    /// Whether no search is in progress.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.searches.is_empty()
    }

    /// Total bytes of the turns of deferred puts.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        let deferred = self.searches.values().flat_map(|search| &search.deferred);
        deferred.map(|put| put.turn.turn.size()).sum()
    }

    /// Returns the next request to be sent, if the limit of pending requests allows one.
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

    /// Ends one search that has no store left to query, and returns the puts that were deferred for its turn.
    pub fn next_exhausted(&mut self, now_ms: u64) -> Option<Vec<DeferredPut>> {
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
        Some(search.deferred)
    }

    /// The queried store does not hold the turn or could not be reached.
    pub fn not_found(&mut self, id: &str) {
        self.change_state(id, SearchState::Pending, SearchState::Ready);
    }

    /// A store sent the turn, and its write to disk has been queued.
    pub fn found(&mut self, id: &str) {
        self.change_state(id, SearchState::Pending, SearchState::Committing);
    }

    /// The turn could not be written; its search continues with the next store.
    pub fn write_failed(&mut self, id: &str) {
        self.change_state(id, SearchState::Committing, SearchState::Ready);
    }

    /// The turn is on disk, from a search or from any other request. Ends its search and returns the puts that were
    /// deferred for it.
    pub fn stored(&mut self, id: &str) -> Vec<DeferredPut> {
        self.backoff_until_ms.remove(id);
        let search = self.searches.remove(id);
        search.map(|search| search.deferred).unwrap_or_default()
    }

    fn change_state(&mut self, id: &str, from: SearchState, to: SearchState) {
        let search = self.searches.get_mut(id);
        if let Some(search) = search.filter(|search| search.state == from) {
            search.state = to;
        }
    }
}
