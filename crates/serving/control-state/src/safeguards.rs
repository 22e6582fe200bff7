//! The measures that keep the state machine safe, each of which tests can disable.
//!
//! The production build always has all safeguards: without the cargo feature `removable-safeguards`, [`Safeguards`] has
//! no fields and every check is constant. Only tests enable the feature, by a dev-dependency. For each safeguard, a
//! test removes it and shows the resulting fault (`tests/retirement_safeguards.rs`, `tests/operators_safeguards.rs`).

/// A measure against one kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// A configuration request is accepted only if it builds on the current generation. Without this, two requests that
    /// build on the same generation could both be accepted.
    FirstWriterWins,
    /// A snapshot contains the record of accepted requests. Without this, a restored member could reject a request
    /// that was accepted.
    AcceptedRequestsInSnapshot,
    /// A rejected request takes effect only through a call made after the rejection. Without this, a
    /// duplicate still in flight could take effect.
    RejectionsFenced,
    /// A store counts as remaining only if it is present and complete. Without this, the second-to-last store
    /// could be emptied while a permanently lost machine is still listed.
    RemainingPresentAndComplete,
    /// A store's report that it is empty counts only in the epoch that the report names. Without this, a report
    /// could take effect although it relies on a store that was lost, wiped or retired since.
    EpochsChecked,
    /// A retirement is paused while too few stores remain. Without this, turns could have too few replicas
    /// while a store is being emptied.
    RetirementPaused,
}

/// The active safeguards: all of them, except one that a test may have removed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Safeguards {
    #[cfg(feature = "removable-safeguards")]
    removed: Option<Safeguard>,
}

#[cfg(feature = "removable-safeguards")]
impl Safeguards {
    /// All safeguards except this one.
    #[must_use]
    pub const fn without(safeguard: Safeguard) -> Safeguards {
        Safeguards {
            removed: Some(safeguard),
        }
    }

    pub(crate) fn has(self, safeguard: Safeguard) -> bool {
        self.removed != Some(safeguard)
    }
}

#[cfg(not(feature = "removable-safeguards"))]
impl Safeguards {
    pub(crate) const fn has(self, _: Safeguard) -> bool {
        true
    }
}
