//! The measures on which safety rests, and the switch by which tests remove one of them.
//!
//! The program always has all of them: without the cargo feature `removable-safeguards`, [`Safeguards`] has no fields and
//! every check of it is constant. Only tests turn the feature on, by a dev-dependency; each safeguard has a test that
//! removes it and finds a run that violates safety (`tests/safeguards.rs`, `tests/snapshots.rs`, and
//! `tests/operators_safeguards.rs` of `control-state` for violations that only callers notice).

/// One measure that the protocol takes against a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// A member accepts messages of the chain only of its own view and from its neighbour there, and none after it has
    /// promised the next view. Guards against a replaced chain whose members don't know of the new view.
    CheckViews,
    /// Entries, promises and acceptances are sent only once they are on disk. Guards against a power loss right after
    /// sending.
    PersistBeforeSend,
    /// A read passes along the whole chain. Guards against reads from a member that was removed and doesn't know it.
    ConfirmReads,
    /// The age of a ping's reply counts from when the ping was sent, not from when the reply arrived. Guards against a
    /// member that was suspended and finds old replies in its sockets.
    QuorumBySendTime,
    /// A member counts as up to date only while it has applied every entry that has been in its log for some time. Guards
    /// against the outdated state of a member that has restarted or is partitioned from the tail.
    AwaitKnownCommits,
    /// A member that has installed a view accepts no other proposal for that number. Guards against a removed or suspended
    /// member that gets another view decided under the number of the view in force.
    DecideOnce,
    /// A member of the chain counts as synced only when its log includes its predecessor's. Guards against a member that
    /// acknowledges entries it doesn't have, after it joined, was down or installed a snapshot.
    CatchUpBeforeSync,
    /// A snapshot that was received in chunks is installed only if it has the sender's checksum. Guards against bytes that
    /// were corrupted or mixed up in transfer.
    VerifySnapshots,
}

/// The safeguards in force: all of them, except for one that a test has removed.
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
