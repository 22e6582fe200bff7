//! The single measures on which safety rests, and the seam by which tests take one of them out.
//!
//! The program always has all of them: without the cargo feature `removable-safeguards`, [`Safeguards`] has no fields and
//! every check of it is constant. Only tests turn the feature on, by a dev-dependency; each safeguard has a test that
//! removes it and finds a run in which the protocol breaks (`tests/safeguards.rs`, `tests/snapshots.rs`, and
//! `tests/operators_safeguards.rs` of `control-state` for those that only callers see).

/// One measure that the protocol takes against a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// Messages of the chain count only within their view, from the neighbour there, and not at a member that has
    /// promised the next view. Against a chain that was replaced and doesn't know it.
    CheckViews,
    /// Entries, promises and acceptances are sent only once they are on disk. Against a loss of power right after.
    PersistBeforeSend,
    /// A read passes along the complete chain. Against reading from a member that was removed and doesn't know it.
    ConfirmReads,
    /// A reply counts as of when the message was sent that it replies to, not as of when it came. Against a member that
    /// was suspended and finds old replies in its sockets.
    QuorumBySendTime,
    /// A member shows its state only while it has applied all that has been in its log for some time. Against the old
    /// state of one that has restarted, or that is partitioned from the tail.
    AwaitKnownCommits,
    /// A member that has installed a view accepts no other proposal for that number. Against one that was removed, or
    /// was suspended, and has a view decided again instead of the one in force.
    DecideOnce,
    /// A member of the chain counts as synced only when its log includes its predecessor's. Against a joiner, or one that
    /// was down or goes on from a snapshot, whose acknowledgement counts for what it doesn't have.
    CatchUpBeforeSync,
    /// A snapshot that came in chunks counts only if all of it together has its checksum. Against bytes that were
    /// corrupted or mixed up on the way.
    VerifySnapshots,
}

/// Which safeguards are in force: all of them, but for one that a test has removed.
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
