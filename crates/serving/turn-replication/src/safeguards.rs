//! The single measures on which durability rests, and the seam by which tests take one of them out.
//!
//! The program always has all of them: without the cargo feature `removable-safeguards`, [`Safeguards`] has no fields
//! and every check of it is constant. Only tests turn the feature on, by a dev-dependency; each safeguard has a test
//! that removes it and shows what goes wrong (`tests/safeguards.rs`, `tests/draining.rs`).

/// One measure that a store node takes against a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// A draining store accepts turns whose replicas fail. Against turns that can be stored nowhere while one store
    /// drains and another is absent.
    DrainingStoreAcceptsTurns,
    /// A store is drained only when the turns that it accepted meanwhile are elsewhere, too. Against a turn whose only
    /// replica is lost with the machine that is taken away.
    LateTurnsHandedOff,
    /// Acknowledgements of other stores count only in the membership epoch in which they were requested. Against a
    /// store that was wiped, partitioned or replaced since it acknowledged.
    EpochsChecked,
    /// A store drains only into replicas that are present and complete. Against relying on a machine that is absent,
    /// or whose disk is still being filled.
    ReplicasPresentAndComplete,
    /// Turns are accepted only in an incarnation of the process, and with a disk, that the core has registered.
    /// Against a statement of an earlier incarnation that the core applies to this one.
    IncarnationRegistered,
    /// Turns accepted for a replica that did not answer are handed to it later. Not a safeguard of what is
    /// acknowledged: without it everything acknowledged must be there all the same.
    HintedHandoff,
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
