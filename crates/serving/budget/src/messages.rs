//! Messages between limiters and the counter.
//!
//! They are encoded by position and variant order: neither may change.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// Longest name of a program, in bytes. Names are stored, so longer ones are rejected: bounds memory.
pub(crate) const MAX_PROGRAM_NAME_BYTES: usize = 256;

/// One incarnation of a limiter's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LimiterId {
    /// The machine's name.
    pub node: String,
    /// Rises with each start of the process on that machine: units of an incarnation below another one count as spent.
    pub incarnation: u64,
}

/// A limiter's request to the counter of a program.
///
/// A limiter has at most one unanswered request per program and repeats it unchanged until it is answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterRequest {
    /// The program's name.
    pub program: String,
    /// All the units that the program's turns may use.
    pub budget: u64,
    /// The sender.
    pub limiter: LimiterId,
    /// Rises with each new request of the limiter; a repeated request keeps its number.
    pub sequence: u64,
    /// Units that clients received through this limiter since its previous request for the program.
    pub used: u64,
    /// What the counter is to do.
    pub change: CounterChange,
    /// The sender's clock. Only differences between readings of one sender are used, to find out what is idle.
    pub at_ms: Millis,
}

/// What a limiter requests of a counter, in addition to the report of used units.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CounterChange {
    /// Returns what is left of the lease and requests a new one.
    Lease {
        /// What the turn needs that waits for the reply: a grant is this or more.
        needed: u64,
        /// The size of the lease that the limiter would like.
        wanted: u64,
        /// Units left of the previous lease, returned first.
        returned: u64,
    },
    /// Returns units; with none, only reports use and renews the lease.
    Return {
        /// Units that were leased and not used.
        units: u64,
    },
}

/// The counter's reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CounterReply {
    /// The limiter has these units on lease now.
    Granted {
        /// Units granted.
        units: u64,
        /// Units of the budget that are not on lease after the grant.
        left: u64,
    },
    /// The turn would not fit even if all leased units were returned unused.
    Spent,
    /// The turn does not fit now, but would if limiters returned their leases.
    LeasedElsewhere {
        /// Units on lease and not reported as used, those of the sender's running turns included.
        leased: u64,
    },
    /// The units were returned.
    Returned,
    /// The request is older than one already answered for the same limiter and program; it had no effect.
    Stale,
}
