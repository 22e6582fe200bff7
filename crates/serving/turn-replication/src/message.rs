//! What gateways and stores say to each other about turns.
//!
//! Every message stays well under the bound of a frame: [`CHAIN_PAGE_BYTES`] for chains, [`PAGE_BYTES`] for
//! everything between stores, one body's worth more at most.

use serde::{Deserialize, Serialize};

use crate::roster::Candidate;
use crate::turn::{HeldTurn, Turn};

/// Most bytes of bodies in one answer to [`StoreRequest::Chain`], unless a single turn is larger.
pub const CHAIN_PAGE_BYTES: u64 = 2 << 20;
/// Most bytes of bodies in one message between stores, unless a single turn is larger.
pub const PAGE_BYTES: u64 = 512 << 10;
/// Most ids in one listing or offer.
pub const PAGE_IDS: usize = 1_000;
/// Most bytes of ids in one listing or offer, unless a single id is longer.
pub const PAGE_ID_BYTES: usize = 256 << 10;

/// To a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Keep this turn; `hint` names the home that the store stands in for.
    Put { turn: Turn, hint: Option<String> },
    /// The chain that ends in this turn.
    Chain { id: String },
    /// The ids that store `home` should hold, were the candidates all the stores there are.
    List {
        home: String,
        candidates: Vec<Candidate>,
        copies: usize,
        after: Option<String>,
    },
    /// These turns; with their ancestors, as far as there is room.
    Fetch {
        ids: Vec<String>,
        with_ancestors: bool,
    },
    /// Which of these does the store lack?
    Offer { ids: Vec<String> },
    /// Keep these turns, handed over by another store.
    Handoff { turns: Vec<HeldTurn> },
}

/// From a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The turn, or all turns of the handoff, and their chains are synced.
    Kept,
    /// Not taken, or not known to be.
    Refused(Refusal),
    /// Part of a chain, oldest first, its last turn the one asked for. `missing` is the next older turn; the
    /// store holds it too if `more` is set.
    Found {
        turns: Vec<Turn>,
        missing: Option<String>,
        more: bool,
    },
    /// Not held. `whole`: the store holds all it ever should. `knows`: the stores it knows, itself included.
    Unknown { whole: bool, knows: Vec<String> },
    /// A page of a listing, by rising id; `next` is where the following page goes on, none after the last.
    Listed {
        turns: Vec<ListedTurn>,
        next: Option<String>,
    },
    /// What is held of the turns asked for.
    Fetched { turns: Vec<HeldTurn> },
    /// What is not held of the turns offered.
    Lacks { ids: Vec<String> },
}

/// One line of a listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTurn {
    pub id: String,
    /// What it takes, so that the asker can ask for as much as one message may carry.
    pub size: u64,
}

/// Why a store does not keep a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The store has just started, and the core or another store has not heard of it.
    Joining,
    /// The store has been emptied.
    Retiring,
    /// Its disk has no room.
    Full,
    /// Too much is waiting for its disk.
    Busy,
    /// The turn's chain could not be completed.
    Incomplete,
    /// The id names another turn.
    Conflict,
    /// The disk failed.
    Disk,
}
