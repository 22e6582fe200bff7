//! The single measures on which safety rests, and the seam by which tests take one of them out.
//!
//! The program always has all of them: without the cargo feature `removable-safeguards`, [`Safeguards`] has no fields
//! and every check of it is constant. Only tests turn the feature on, by a dev-dependency; each safeguard has a test
//! that removes it and shows what goes wrong (`tests/retirement_safeguards.rs`, `tests/operators_safeguards.rs`).

/// One measure that the state machine takes against a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// A configuration request is accepted only if it builds on the current generation. Against two requests on one
    /// generation that are both accepted.
    FirstWriterWins,
    /// Which requests were accepted is part of a snapshot. Against a member that was restored from one and rejects a
    /// request that was accepted.
    AcceptedRequestsInSnapshot,
    /// A request that was rejected takes effect only through a call made since. Against duplicates of it that are
    /// still in flight.
    RejectionsFenced,
    /// A store counts as remaining only if it is present and complete. Against emptying the last store but one while
    /// a machine that is lost for good is still listed.
    RemainingPresentAndComplete,
    /// A store counts as empty only in the epoch in which it found so. Against a statement that relies on a store
    /// which was lost, wiped or retired since.
    EpochsChecked,
    /// A retirement is paused while too few stores remain. Against turns that have too few replicas for as long as the
    /// store is being emptied.
    RetirementPaused,
}

/// Which safeguards are in place: all of them, but for one that a test has removed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Safeguards {
    #[cfg(feature = "removable-safeguards")]
    removed: Option<Safeguard>,
}

#[cfg(feature = "removable-safeguards")]
impl Safeguards {
    /// All safeguards but this one.
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
