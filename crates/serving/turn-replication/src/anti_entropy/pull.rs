//! One pull: lists the turns that another store has for this one, page by page, and fetches those that are missing.

use std::collections::VecDeque;

use super::claims::Claims;
use super::PullRequest;
use crate::index::Index;
use crate::message::{ListedTurn, PAGE_BYTES};

/// What a pull waits for from the other store.
#[derive(Debug, PartialEq, Eq)]
enum Step {
    /// The next request has to be sent.
    Ready,
    Listing,
    Fetching,
}

/// What a pull can do now.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// It sends a request.
    Send(PullRequest),
    /// It waits for a reply, for the disk, or for a turn that another pull is fetching.
    Waits,
    /// The other store has sent all that it had.
    Ended,
}

/// A pull from one store.
#[derive(Debug)]
pub(super) struct Pull {
    pub(super) serial: u64,
    pub(super) peer: String,
    step: Step,
    /// Where the next listing continues.
    after: Option<String>,
    /// The listing has reached its end.
    is_fully_listed: bool,
    /// Turns of the last page that this store does not hold.
    missing: VecDeque<ListedTurn>,
    /// Ids of each fetched page that is on its way to the disk, in the order in which they are written.
    committing: VecDeque<Vec<String>>,
    /// Ids of the page that is being fetched.
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

    /// Pages that are being fetched or written.
    pub(super) fn pages_under_way(&self) -> usize {
        self.committing.len() + usize::from(self.step == Step::Fetching)
    }

    /// Turns of the current page that are neither here nor on their way.
    pub(super) fn missing_turns(&self) -> usize {
        self.missing.len()
    }

    /// Fetches missing turns of the last page, then asks for the next page. `may_fetch`: another page of turns may be
    /// under way.
    pub(super) fn advance(
        &mut self,
        index: &Index,
        claims: &mut Claims,
        may_fetch: bool,
    ) -> Progress {
        if self.step != Step::Ready {
            return Progress::Waits;
        }
        self.missing.retain(|listed| !index.contains(&listed.id));
        if !self.missing.is_empty() {
            return if may_fetch {
                self.fetch(claims)
            } else {
                Progress::Waits
            };
        }
        if !self.is_fully_listed {
            self.step = Step::Listing;
            return Progress::Send(PullRequest::List {
                peer: self.peer.clone(),
                after: self.after.clone(),
            });
        }
        if self.committing.is_empty() {
            Progress::Ended
        } else {
            Progress::Waits
        }
    }

    /// Fetches as many missing turns as one message may carry; those that another pull is fetching stay on the list
    /// until they are here, or that pull has failed.
    fn fetch(&mut self, claims: &mut Claims) -> Progress {
        let mut ids = Vec::new();
        let mut bytes = 0;
        let mut left = VecDeque::with_capacity(self.missing.len());
        for listed in std::mem::take(&mut self.missing) {
            let is_too_much = !ids.is_empty() && bytes + listed.size > PAGE_BYTES;
            if is_too_much || !claims.claim(&listed.id, self.serial) {
                left.push_back(listed);
                continue;
            }
            bytes += listed.size;
            ids.push(listed.id);
        }
        self.missing = left;
        if ids.is_empty() {
            return Progress::Waits;
        }
        self.step = Step::Fetching;
        self.fetching.clone_from(&ids);
        let peer = self.peer.clone();
        Progress::Send(PullRequest::Fetch { peer, ids })
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

    /// Fetched turns arrived. Returns whether they were asked for and are to be written.
    #[must_use]
    pub(super) fn fetched(&mut self, arrived: Vec<String>, claims: &mut Claims) -> bool {
        if self.step != Step::Fetching {
            return false;
        }
        self.step = Step::Ready;
        for id in std::mem::take(&mut self.fetching) {
            // It has expired at the other store.
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

    /// The oldest page that was fetched is on disk.
    pub(super) fn committed(&mut self, claims: &mut Claims) {
        for id in self.committing.pop_front().unwrap_or_default() {
            claims.release(&id);
        }
    }
}
