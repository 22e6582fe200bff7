//! Replication of conversation turns over store machines: placement, quorum writes, chain reads, hinted handoff,
//! anti-entropy, retention.
//!
//! A [`turn::Turn`] is one finished turn of a conversation: its input, the data of its events and the id of the turn
//! that it continues (its previous turn). A turn and its ancestors form a *chain*. A turn is immutable. It is written
//! once, before the last byte of its answer is sent, to one store more than may be lost at the same time. The state
//! machines of this crate do no I/O and read no clock:
//!
//! - at a gateway, [`write_coordinator::WriteCoordinator`] writes one turn and
//!   [`read_coordinator::ReadCoordinator`] reads one chain;
//! - at a store, [`node::StoreNode`] takes requests and results of disk jobs and returns effects. It consists of the
//!   [`index::Index`] of the turns on disk, the queue of commits ([`commit_queue`]), the search for missing ancestors
//!   ([`chain_completion`]), the pulls that fill a new or returned store ([`anti_entropy`]) and the transfers of
//!   hinted turns and of a draining store ([`handoff`]).
//!
//! The design follows Dynamo (DeCandia et al., SOSP 2007): a preference list for each program, sloppy quorums with
//! hinted handoff, and anti-entropy between replicas. Unlike in Dynamo, a read must be certain before it reports that
//! a turn does not exist. Four invariants ensure this:
//!
//! 1. A store acknowledges a turn once the turn and its complete chain are synced on its disk.
//! 2. A store with a new disk is not complete until it has pulled the turns that it should hold from every other
//!    present store, and no writer that relied on the old disk can still be active.
//! 3. A store accepts turns only once every present store knows of it. Each "unknown" reply lists the stores that the
//!    replying store knows, so that a reader can detect that its own membership is stale.
//! 4. A reader concludes "unknown" only if every store that is not retired replies "unknown" and is complete.

pub mod anti_entropy;
pub mod attempt;
pub mod chain_completion;
pub mod commit_queue;
pub mod handoff;
pub mod ids;
pub mod index;
pub mod membership;
pub mod message;
pub mod node;
pub mod placement;
pub mod read_coordinator;
pub mod safeguards;
pub mod turn;
pub mod write_coordinator;
