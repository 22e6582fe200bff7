//! One pull: lists the turns of another store that this store should hold, page by page, and fetches the missing ones.

use std::collections::VecDeque;

use super::claims::Claims;
use super::PullRequest;
use crate::index::Index;
use crate::message::{ListedTurn, PAGE_BYTES};

/// The reply that a pull waits for from the other store.
#[derive(Debug, PartialEq, Eq)]
enum Step {
    /// No reply: the next request can be sent.
    Ready,
    Listing,
    Fetching,
}

/// The next action of a pull.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum PullAction {
    /// Send this request.
    Send(PullRequest),
    /// Wait for a reply, for the disk, or for a turn that another pull is fetching.
    Wait,
    /// Nothing: the other store has no further turns for this store.
    Finished,
}

/// A pull from one store.
#[derive(Debug)]
pub(super) struct Pull {
    pub(super) serial: u64,
    pub(super) peer: String,
    step: Step,
    /// The next page of the listing begins after this id; `None` for the first page.
    after: Option<String>,
    /// Whether the last page of the listing has arrived.
    is_fully_listed: bool,
    /// Turns of the latest listed page that this store does not hold and this pull has not requested.
    missing: VecDeque<ListedTurn>,
    /// Ids of the turns of each fetched page that is not on disk yet, in the order in which the pages are written.
    committing: VecDeque<Vec<String>>,
    /// Ids of the turns that are being fetched.
    fetching: Vec<String>,
}

impl Pull {
    pub(super) fn new(serial: u64, peer: String) -> Self {
        Self {
            serial,
            peer,
            step: Step::Ready,
            after: None,
            is_fully_listed: false,
            missing: VecDeque::new(),
            committing: VecDeque::new(),
            fetching: Vec::new(),
        }
    }

    /// Number of pages of turns that are being fetched or written.
    pub(super) fn pages_in_flight(&self) -> usize {
        self.committing.len() + usize::from(self.step == Step::Fetching)
    }

    /// Number of turns of the current page that are neither stored nor being transferred.
    pub(super) fn missing_turns(&self) -> usize {
        self.missing.len()
    }

    /// Fetches missing turns of the current page, then lists the next page. `may_fetch`: whether another page of turns
    /// may be in flight.
    pub(super) fn advance(
        &mut self,
        index: &Index,
        claims: &mut Claims,
        may_fetch: bool,
    ) -> PullAction {
        if self.step != Step::Ready {
            return PullAction::Wait;
        }
        self.missing.retain(|listed| !index.contains(&listed.id));
        if !self.missing.is_empty() {
            return if may_fetch {
                self.fetch(claims)
            } else {
                PullAction::Wait
            };
        }
        if !self.is_fully_listed {
            self.step = Step::Listing;
            return PullAction::Send(PullRequest::List {
                peer: self.peer.clone(),
                after: self.after.clone(),
            });
        }
        if self.committing.is_empty() {
            PullAction::Finished
        } else {
            PullAction::Wait
        }
    }

    /// Fetches as many missing turns as one message may carry. Turns that another pull is fetching stay on the list
    /// until they are stored or the other pull has failed.
    fn fetch(&mut self, claims: &mut Claims) -> PullAction {
        let mut ids = Vec::new();
        let mut bytes = 0;
        let mut remaining = VecDeque::with_capacity(self.missing.len());
        for listed in std::mem::take(&mut self.missing) {
            let exceeds_message = !ids.is_empty() && bytes + listed.size > PAGE_BYTES;
            if exceeds_message || !claims.claim(&listed.id, self.serial) {
                remaining.push_back(listed);
                continue;
            }
            bytes += listed.size;
            ids.push(listed.id);
        }
        self.missing = remaining;
        if ids.is_empty() {
            return PullAction::Wait;
        }
        self.step = Step::Fetching;
        self.fetching.clone_from(&ids);
        let peer = self.peer.clone();
        PullAction::Send(PullRequest::Fetch { peer, ids })
    }

    /// A page of the listing arrived.
    pub(super) fn listed(&mut self, turns: Vec<ListedTurn>, next: Option<String>) {
        if self.step != Step::Listing {
            return;
        }
        self.is_fully_listed = next.is_none();
        self.after = next;
        self.missing = turns.into();
        self.step = Step::Ready;
    }

    /// Fetched turns arrived. Returns whether these turns were requested and have to be written.
    #[must_use]
    pub(super) fn fetched(&mut self, arrived: Vec<String>, claims: &mut Claims) -> bool {
        if self.step != Step::Fetching {
            return false;
        }
        self.step = Step::Ready;
        for id in std::mem::take(&mut self.fetching) {
            // The turn has expired at the other store.
            if !arrived.contains(&id) {
                claims.release(&id);
            }
        }
        let has_arrived = !arrived.is_empty();
        if has_arrived {
            self.committing.push_back(arrived);
        }
        has_arrived
    }

    /// The oldest fetched page is on disk.
    pub(super) fn committed(&mut self, claims: &mut Claims) {
        for id in self.committing.pop_front().unwrap_or_default() {
            claims.release(&id);
        }
    }
}
