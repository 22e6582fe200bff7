//! The safeguards that durability depends on, and the switch by which a test removes one of them.
//!
//! In production all safeguards are in place: without the cargo feature `removable-safeguards`, [`Safeguards`] has no
//! fields and every check is constant. Only tests enable the feature, through a dev-dependency. For each safeguard a
//! test removes it and shows the failure that follows (`tests/safeguards.rs`, `tests/draining.rs`).

/// One safeguard of a store node against a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// A draining store accepts turns whose replicas fail. Otherwise a turn could be stored nowhere while one store
    /// drains and another is absent.
    DrainingStoreAcceptsTurns,
    /// A store is drained only once the turns that it accepted while draining are on their replicas. Otherwise the only
    /// replica of such a turn could be lost when the machine is removed.
    LateTurnsHandedOff,
    /// Acknowledgements of other stores count only in the membership epoch in which they were requested. Otherwise a
    /// store that has been wiped, partitioned or replaced since its acknowledgement would still be relied on.
    EpochsChecked,
    /// A store drains only into replicas that are present and complete. Otherwise it would rely on a machine that is
    /// absent or whose disk is still being filled.
    ReplicasPresentAndComplete,
    /// Turns are accepted only once the core has registered the incarnation of the process and its disk. Otherwise the
    /// core could apply a declaration of an earlier incarnation to the current one.
    IncarnationRegistered,
    /// Turns accepted for a replica that did not reply are handed to that replica later. This safeguard only restores
    /// the replica sooner: acknowledged turns must be durable without it, too.
    HintedHandoff,
}

/// The safeguards that are in place: all of them, except one that a test may have removed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Safeguards {
    #[cfg(feature = "removable-safeguards")]
    removed: Option<Safeguard>,
}

#[cfg(feature = "removable-safeguards")]
impl Safeguards {
    /// All safeguards except the given one.
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
