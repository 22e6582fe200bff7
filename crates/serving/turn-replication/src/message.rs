//! Messages about turns between gateways and stores.
//!
//! Messages are encoded by postcard, which is positional: the order of variants and fields is part of the protocol.
//! Every message stays well below the frame limit: at most [`CHAIN_PAGE_BYTES`] for chains and [`PAGE_BYTES`] for
//! messages between stores, plus one turn.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::membership::Candidate;
use crate::turn::{RetainedTurn, Turn};

/// Maximum bytes of turns in one reply to [`StoreRequest::Chain`], unless a single turn is larger.
pub const CHAIN_PAGE_BYTES: u64 = 2 << 20;
/// Maximum bytes of turns in one message between stores, unless a single turn is larger.
pub const PAGE_BYTES: u64 = 512 << 10;
/// Maximum number of ids in one listing or offer.
pub const PAGE_IDS: usize = 1_000;
/// Maximum bytes of ids in one listing or offer, unless a single id is longer.
pub const PAGE_ID_BYTES: usize = 256 << 10;

/// A request to a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Store a turn.
    Put {
        /// The turn to be stored.
        turn: Turn,
        /// The replica that the receiving store substitutes for and hands the turn to later, if any.
        hint: Option<String>,
    },
    /// Read the chain that ends in a turn.
    Chain {
        /// The newest turn of the chain.
        id: String,
    },
    /// List the turns that a store should hold if turns are placed on the given candidates.
    List {
        /// The store that should hold the listed turns.
        replica: String,
        /// The stores that turns may be placed on.
        candidates: Vec<Candidate>,
        /// How many stores hold each turn.
        replication_factor: usize,
        /// List only ids greater than this one.
        after: Option<String>,
    },
    /// Read turns.
    Fetch {
        /// Ids of the turns to read.
        ids: Vec<String>,
        /// Read the ancestors of these turns too, as far as the page has space.
        with_ancestors: bool,
    },
    /// Ask which of these turns the store does not hold.
    Offer {
        /// Ids of the offered turns.
        ids: Vec<String>,
    },
    /// Store turns that another store hands over.
    Handoff {
        /// The turns, each with its remaining retention.
        turns: Vec<RetainedTurn>,
    },
}

/// A reply of a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The turn, or all turns of the handoff, and their chains are synced on disk.
    Stored,
    /// The request was rejected. The turns of a rejected write are not stored, or not certainly.
    Rejected(Rejection),
    /// A segment of a chain.
    Found {
        /// The turns, oldest first; the last one is the requested turn.
        turns: Vec<Turn>,
        /// The next older turn; `None` if the chain is complete.
        missing: Option<String>,
        /// The store holds the next older turn too, but the page had no space for it.
        has_more: bool,
    },
    /// The store does not hold the turn.
    Unknown {
        /// Whether the store holds all turns that it should hold.
        complete: bool,
        /// The stores that the replying store knows, itself included.
        known_stores: Vec<String>,
    },
    /// A page of a listing.
    Listed {
        /// The turns, by increasing id.
        turns: Vec<ListedTurn>,
        /// The following page begins after this id; `None` on the last page.
        next: Option<String>,
    },
    /// The requested turns that the store holds.
    Fetched {
        /// The turns, each with its remaining retention.
        turns: Vec<RetainedTurn>,
    },
    /// The offered turns that the store does not hold.
    Missing {
        /// Ids of the missing turns.
        ids: Vec<String>,
    },
}

/// One turn of a listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTurn {
    /// Id of the turn.
    pub id: String,
    /// Bytes that the turn takes, so that the requester can limit a fetch to the size of one message.
    pub size: u64,
}

/// Why a store rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Rejection {
    /// The store has just started and is not yet known to the core and all present stores.
    #[error("the store has just started and is not known to the core and all stores yet")]
    Joining,
    /// The store has been drained.
    #[error("the store has been drained")]
    Retiring,
    /// The store's capacity in bytes or in turns is exhausted.
    #[error("the store's disk has no space")]
    Full,
    /// Too much work is queued for the store's disk.
    #[error("too much work is queued for the store's disk")]
    Busy,
    /// An ancestor of the turn could not be found.
    #[error("an ancestor of the turn could not be found")]
    Incomplete,
    /// A different turn with the same id is stored.
    #[error("the id names another turn")]
    Conflict,
    /// The store's disk failed.
    #[error("the store's disk failed")]
    Disk,
}
