//! The test seam of this package: safeguards that a test can take out one by one, to show by a counterexample what
//! each of them prevents.
//!
//! The cargo feature `removable-safeguards` makes them switches, and only the tests of this workspace turn it on.
//! Without it [`Safeguards`] has no fields and every check is the constant `true`.

/// Defines the switches: fields with the feature, constants without it.
macro_rules! safeguards {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {
        /// The safeguards of a store node; all are in place by default.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub struct Safeguards {
            $(
                $(#[$doc])*
                #[cfg(feature = "removable-safeguards")]
                pub $name: bool,
            )+
        }

        impl Default for Safeguards {
            fn default() -> Self {
                Self {
                    $(
                        #[cfg(feature = "removable-safeguards")]
                        $name: true,
                    )+
                }
            }
        }

        impl Safeguards {
            $(
                $(#[$doc])*
                #[cfg(feature = "removable-safeguards")]
                pub(crate) const fn $name(self) -> bool {
                    self.$name
                }

                $(#[$doc])*
                #[cfg(not(feature = "removable-safeguards"))]
                pub(crate) const fn $name(self) -> bool {
                    true
                }
            )+
        }
    };
}

safeguards! {
    /// A draining store accepts turns whose replicas fail.
    /// Prevents that a turn can be stored nowhere while one store drains and another is absent.
    draining_store_accepts_turns,
    /// A store is drained only when the turns that it accepted meanwhile are elsewhere, too.
    /// Prevents that the only replica of a turn is lost with the machine that is taken away.
    late_turns_handed_off,
    /// Acknowledgements of other stores count only in the membership epoch in which they were requested.
    /// Prevents relying on a store that was wiped, partitioned or replaced since it acknowledged.
    epoch_checked,
    /// A store drains only into replicas that are present and complete.
    /// Prevents relying on a machine that is absent, or whose disk is still being filled.
    replicas_present_and_complete,
    /// Turns are accepted only in an incarnation of the process, and with a disk, that the core has registered.
    /// Prevents that the core applies a statement of an earlier incarnation to this one.
    incarnation_registered,
    /// Turns accepted for a replica that did not answer are handed to it later. Not a safeguard of what is
    /// acknowledged: without it everything acknowledged must be there all the same.
    hinted_handoff,
}
