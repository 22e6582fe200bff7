//! Switches of the mechanisms that decide about servers, for tests and trials of what each is worth.
//!
//! A process runs with [`Mechanisms::ALL`]; no setting and no configuration turns one off. docs/system/decisions.md
//! tells what each was measured to be worth.

/// Which mechanisms take part in decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// A program's requests gather on one engine (`engines`).
    pub program_homes: bool,
    /// An engine is presumed to hold what other gateways have sent there (`engines`).
    pub presumed_holdings: bool,
    /// The programs of one subject gather on few engines (`engines`, `sharing`).
    pub subject_spread: bool,
    /// What other gateways say of a server's trouble counts (`hint`).
    pub hints: bool,
    /// What other gateways have in flight counts (`load`).
    pub shared_loads: bool,
    /// A full memory of an engine counts as a wait (`estimate`).
    pub memory_waits: bool,
    /// Requests that can't be done in time are turned away (`admission`).
    pub early_refusal: bool,
    /// Requests carry a rank at engines (`priority`).
    pub priorities: bool,
    /// Failing servers are not asked for a while (`health`).
    pub ejection: bool,
    /// Servers return from trouble for a part of their places at first (`health`).
    pub gradual_return: bool,
    /// Failures count as a cost of the choice (`reliability`).
    pub failure_cost: bool,
    /// Observed slowness of a server counts (`learning`).
    pub learnt_slowness: bool,
    /// A server that has been quiet for long counts as busy (`load`).
    pub quiet_cost: bool,
}

impl Mechanisms {
    /// All of them, as every process has them.
    pub const ALL: Mechanisms = Mechanisms {
        program_homes: true,
        presumed_holdings: true,
        subject_spread: true,
        hints: true,
        shared_loads: true,
        memory_waits: true,
        early_refusal: true,
        priorities: true,
        ejection: true,
        gradual_return: true,
        failure_cost: true,
        learnt_slowness: true,
        quiet_cost: true,
    };
}
