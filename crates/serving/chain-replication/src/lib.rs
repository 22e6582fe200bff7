//! Chain replication under an agreed view, as state machines without I/O.
//!
//! A [`Member`] is one replica of a log of opaque payloads. Writes enter at the head of the chain and
//! pass down it (van Renesse and Schneider, *Chain Replication for Supporting High Throughput and Availability*, OSDI
//! 2004); each member syncs an entry to disk before it forwards it. What the tail has on disk is committed, and the
//! commit index travels back up to the head. Who is in the chain is a [`View`]; the view after the present one is
//! decided by a majority of the present one's members, by single-decree Paxos (Lamport, *Paxos Made Simple*) with the
//! next view as its value ([`AcceptedView`]).
//!
//! # Why an acknowledged write is not lost
//!
//! * Each member keeps on disk its *synced view*: the newest view in which its log came to include all that its
//!   predecessor's log included (for the head: the view in which it was chosen as head). A commit in a view needs every
//!   member of its chain, synced in that view.
//! * A promise in the agreement on the next view seals the present one: the member no longer participates in its chain.
//! * The chain has at least a majority of the members, so every majority that decides the next view contains a member
//!   of the chain. If all of those were synced in the view, each of them has all that was committed there. If one of
//!   them was not, nothing was committed there, nor ever will be: then what counts is what was committed before it. The
//!   *base* of the next view ([`DecidedView::base`]) names the synced view which is enough for that.
//! * The next head is a member that has enough by that rule; everyone else's log is brought in line with the head's
//!   before its syncs count.
//!
//! Members out of the chain learn the commits from the tail, so that they delay the chain little when they are
//! readmitted. What is observed of the members, by pings that report who is connected with whom, and which view there
//! should be by that are separate: [`reconfiguration`] has no state.
//!
//! # Reading order
//!
//! [`member`] follows a write: receive, propose, replicate, persist, commit, apply, notify. [`safeguards`] lists the
//! single measures on which safety rests, each with a test that shows what happens without it.

pub mod agreement;
pub mod durable;
mod failure_detector;
pub mod identity;
pub mod limits;
pub mod log;
pub mod member;
pub mod message;
pub mod next_view;
pub mod payload;
mod random;
pub mod reconfiguration;
pub mod safeguards;
pub mod snapshot_transfer;
pub mod timing;
pub mod view;
mod write_queue;

pub use agreement::{AcceptedView, DecidedView, ProposalNumber};
pub use durable::{DurableState, Snapshot, Write};
pub use identity::{Incarnation, MemberId, Peer};
pub use log::{Entry, LogIndex, Origin, Position, Ticket};
pub use member::{Input, Member, MemberConfig, Output};
pub use message::Message;
pub use payload::Payload;
pub use safeguards::{Safeguard, Safeguards};
pub use snapshot_transfer::{SnapshotRejection, SnapshotRejections};
pub use timing::Millis;
pub use view::{View, ViewNumber};
