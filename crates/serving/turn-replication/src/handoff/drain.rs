//! Progress of draining this store: which turns each new replica has been offered.

use std::collections::BTreeMap;

/// Delay between the request to drain and the first offer of turns, in milliseconds: by then the new replicas have
/// pulled most of the turns.
pub const DRAIN_DELAY_MS: u64 = 300;

/// State of the drain for one new replica.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ReplicaProgress {
    /// The next page begins after `after` and is due at `not_before_ms`.
    Waiting {
        after: Option<String>,
        not_before_ms: u64,
    },
    /// The replica has been offered all pages.
    Done,
}

impl ReplicaProgress {
    fn from_start(now_ms: u64) -> Self {
        Self::Waiting {
            after: None,
            not_before_ms: now_ms.saturating_add(DRAIN_DELAY_MS),
        }
    }
}

/// The drain of this store.
#[derive(Debug)]
pub(super) struct Drain {
    replicas: BTreeMap<String, ReplicaProgress>,
}

impl Drain {
    /// Begins to drain into the given replicas.
    pub(super) fn begin(replicas: impl IntoIterator<Item = String>, now_ms: u64) -> Self {
        let progress = ReplicaProgress::from_start(now_ms);
        let replicas = replicas.into_iter();
        Self {
            replicas: replicas.map(|name| (name, progress.clone())).collect(),
        }
    }

    /// Restarts the drain into one replica: all turns are offered again.
    pub(super) fn restart(&mut self, replica: &str, now_ms: u64) {
        if let Some(progress) = self.replicas.get_mut(replica) {
            *progress = ReplicaProgress::from_start(now_ms);
        }
    }

    /// The replica holds all turns of a page. The following page begins after `next`, if there is one.
    pub(super) fn finish_page(&mut self, replica: &str, next: Option<String>) {
        let Some(progress) = self.replicas.get_mut(replica) else {
            return;
        };
        *progress = match next {
            Some(next) => ReplicaProgress::Waiting {
                after: Some(next),
                not_before_ms: 0,
            },
            None => ReplicaProgress::Done,
        };
    }

    /// Postpones the next offer to the replica until the given time.
    pub(super) fn postpone(&mut self, replica: &str, until_ms: u64) {
        let progress = self.replicas.get_mut(replica);
        if let Some(ReplicaProgress::Waiting { not_before_ms, .. }) = progress {
            *not_before_ms = until_ms;
        }
    }

    /// All replicas, once each has been offered all pages; `None` before that and if there are no replicas.
    pub(super) fn finished_replicas(&self) -> Option<impl Iterator<Item = &str>> {
        let mut progress = self.replicas.values();
        let is_finished = !self.replicas.is_empty()
            && progress.all(|progress| *progress == ReplicaProgress::Done);
        is_finished.then(|| self.replicas.keys().map(String::as_str))
    }

    /// When the next page of any replica is due, in milliseconds.
    pub(super) fn next_due(&self) -> Option<u64> {
        let waiting = self
            .replicas
            .values()
            .filter_map(|progress| match progress {
                ReplicaProgress::Waiting { not_before_ms, .. } => Some(*not_before_ms),
                ReplicaProgress::Done => None,
            });
        waiting.min()
    }

    /// A replica whose next page is due, and the id after which the page begins.
    pub(super) fn next_page(&self, now_ms: u64) -> Option<(&str, Option<&str>)> {
        self.replicas
            .iter()
            .find_map(|(replica, progress)| match progress {
                ReplicaProgress::Waiting {
                    after,
                    not_before_ms,
                } if *not_before_ms <= now_ms => Some((replica.as_str(), after.as_deref())),
                _ => None,
            })
    }
}
