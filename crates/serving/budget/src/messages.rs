//! What limiters and the counter say to each other.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// Longest name of a program, in bytes: names are kept, so longer ones are put off, against a few names that
/// fill the memory.
pub(crate) const MAX_PROGRAM_NAME: usize = 256;

/// One life of a limiter's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LimiterId {
    /// The machine's name.
    pub node: String,
    /// Differs between any two lives of the process on that machine, and rises from one to the next: units of a
    /// life that seems older than another count as spent.
    pub incarnation: u64,
}

/// A change that a limiter asks a program's counter for.
///
/// A limiter has at most one unanswered request per program and repeats it unchanged until it is answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterRequest {
    /// The program's name.
    pub program: String,
    /// All the units that the program's turns may use.
    pub budget: u64,
    /// Who asks.
    pub limiter: LimiterId,
    /// Rises with each new request of the limiter; a repeated request keeps its number.
    pub sequence: u64,
    /// Units that clients received through this limiter since its request before this one for the program.
    pub used: u64,
    /// What the counter is to do.
    pub change: CounterChange,
    /// The sender's clock. Only differences between readings of one sender are used, for forgetting what is idle.
    pub at_ms: Millis,
}

/// The two adds to a counter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CounterChange {
    /// Gives back what is left of the lease and asks for a new one.
    Lease {
        /// What the turn needs that waits for the answer: a grant is this or more.
        needed: u64,
        /// What the limiter would like to hold.
        wanted: u64,
        /// Units left of the lease before, given back first.
        returned: u64,
    },
    /// Gives units back; with none, only tells what was used and that the limiter is alive.
    Return {
        /// Units that were held and not used.
        units: u64,
    },
}

/// The counter's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CounterReply {
    /// The limiter holds these units now.
    Granted {
        /// Units granted.
        units: u64,
        /// Units of the budget that nobody holds after the grant.
        left: u64,
    },
    /// The turn would not fit even if all that limiters hold came back unused.
    Spent,
    /// The turn does not fit now, but would if limiters gave back what they hold.
    Elsewhere {
        /// Units that limiters hold and have not reported as used, those of the asker's running turns included.
        held: u64,
    },
    /// The units were taken back.
    Returned,
    /// The request is older than one already answered for the same limiter and program; nothing was done.
    Stale,
}
