//! Messages between limiters and the counter.
//!
//! The encoding depends on the order of fields and variants, so neither may change.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// Maximum length of a program's name in bytes. Longer names are rejected to bound memory, because names are stored.
pub(crate) const MAX_PROGRAM_NAME_BYTES: usize = 256;

/// Identifies one incarnation of a limiter's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LimiterId {
    /// The machine's name.
    pub node: String,
    /// Increases with each start of the process on that machine. Units leased to a superseded incarnation count as
    /// spent.
    pub incarnation: u64,
}

/// A limiter's request to the counter of a program.
///
/// A limiter has at most one unanswered request per program and resends it unchanged until the reply arrives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterRequest {
    /// The program's name.
    pub program: String,
    /// Total units that all turns of the program may use.
    pub budget: u64,
    /// The limiter that sends the request.
    pub limiter: LimiterId,
    /// Increases with each new request of the limiter; a resent request keeps its number.
    pub sequence: u64,
    /// Units that clients received through this limiter since its previous request for the program.
    pub used: u64,
    /// The requested change of the lease.
    pub change: CounterChange,
    /// The limiter's clock. The counter uses only differences between readings of the same limiter, to detect idleness.
    pub at_ms: Millis,
}

/// The change that a limiter requests, in addition to its report of used units.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CounterChange {
    /// Returns the remaining units of the lease and requests a new one.
    Lease {
        /// Units that the waiting turn needs: the minimum of a grant.
        needed: u64,
        /// Units that the limiter would prefer to be granted.
        wanted: u64,
        /// Remaining units of the previous lease, returned before the new grant.
        returned: u64,
    },
    /// Returns units. With 0 units, only reports use and renews the lease.
    Return {
        /// Unused units of the lease.
        units: u64,
    },
}

/// The counter's reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CounterReply {
    /// The units were added to the limiter's lease.
    Granted {
        /// Units granted.
        units: u64,
        /// Units of the budget that are neither used nor leased after the grant.
        left: u64,
    },
    /// The budget could not cover the turn even if all leased units were returned unused.
    Spent,
    /// The budget cannot cover the turn now, but could if limiters returned their leases.
    LeasedElsewhere {
        /// Units that are leased and not reported as used, including those of the requesting limiter's running turns.
        leased: u64,
    },
    /// The units were returned.
    Returned,
    /// The counter already answered a newer request of the same limiter for the program; this one had no effect.
    Stale,
}
