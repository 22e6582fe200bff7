//! Messages about turns between gateways and stores.
//!
//! They are encoded by postcard, which goes by position: the order of variants and fields is part of the protocol.
//! Every message stays well below the limit of a frame: [`CHAIN_PAGE_BYTES`] for chains, [`PAGE_BYTES`] for
//! everything between stores, plus one turn at most.

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
        /// The turn.
        turn: Turn,
        /// The replica that the store substitutes for; the turn is to be handed to it later.
        hint: Option<String>,
    },
    /// Read the chain that ends in a turn.
    Chain {
        /// The newest turn of the chain.
        id: String,
    },
    /// List the turns that a store should hold, if the candidates were all the stores there are.
    List {
        /// The store that should hold them.
        replica: String,
        /// The stores that turns are placed on.
        candidates: Vec<Candidate>,
        /// How many stores hold each turn.
        replication_factor: usize,
        /// List only ids greater than this one.
        after: Option<String>,
    },
    /// Read turns.
    Fetch {
        /// The turns to read.
        ids: Vec<String>,
        /// Read their ancestors too, as far as the page has space.
        with_ancestors: bool,
    },
    /// Which of these turns does the store not hold?
    Offer {
        /// The turns that are offered.
        ids: Vec<String>,
    },
    /// Store turns that another store hands over.
    Handoff {
        /// The turns, each with the time for which it is still retained.
        turns: Vec<RetainedTurn>,
    },
}

/// A reply of a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The turn, or all turns of the handoff, and their chains are synced on disk.
    Stored,
    /// Not stored, or not certainly.
    Rejected(Rejection),
    /// A segment of a chain.
    Found {
        /// The turns, oldest first; the last one is the turn that was asked for.
        turns: Vec<Turn>,
        /// The next older turn.
        missing: Option<String>,
        /// The store holds the next older turn too, but the page had no space for it.
        has_more: bool,
    },
    /// The store does not hold the turn.
    Unknown {
        /// Whether the store holds everything that it should.
        complete: bool,
        /// The stores that this one knows, itself included.
        known_stores: Vec<String>,
    },
    /// A page of a listing.
    Listed {
        /// The turns, by increasing id.
        turns: Vec<ListedTurn>,
        /// After which id the following page begins; `None` on the last page.
        next: Option<String>,
    },
    /// Those of the requested turns that the store holds.
    Fetched {
        /// The turns, each with the time for which it is still retained.
        turns: Vec<RetainedTurn>,
    },
    /// Those of the offered turns that the store does not hold.
    Missing {
        /// Their ids.
        ids: Vec<String>,
    },
}

/// One line of a listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTurn {
    /// The turn.
    pub id: String,
    /// Bytes that it takes, so that the requester can fetch as much as one message may carry.
    pub size: u64,
}

/// Why a store does not store a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Rejection {
    /// The store has just started, and the core or another store does not know of it yet.
    #[error("the store has just started and is not known to the core and all stores yet")]
    Joining,
    /// The store has been drained.
    #[error("the store has been drained")]
    Retiring,
    /// Its disk has no space.
    #[error("the store's disk has no space")]
    Full,
    /// Too much work is queued for its disk.
    #[error("too much work is queued for the store's disk")]
    Busy,
    /// An ancestor of the turn could not be found.
    #[error("an ancestor of the turn could not be found")]
    Incomplete,
    /// The id names another turn.
    #[error("the id names another turn")]
    Conflict,
    /// The disk failed.
    #[error("the store's disk failed")]
    Disk,
}
