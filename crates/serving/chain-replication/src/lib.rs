//! Chain replication under an agreed view, as state machines without I/O.
//!
//! A [`Member`] is one replica of a log of opaque payloads. Writes enter at the head of the chain and are forwarded down to
//! the tail (van Renesse and Schneider, *Chain Replication for Supporting High Throughput and Availability*, OSDI 2004).
//! Each member syncs an entry to disk before it forwards the entry. An entry is committed once the tail has synced it, and
//! the commit index travels back up to the head. A [`View`] lists the members and the chain; the next view is decided by a
//! majority of the present view's members, by single-decree Paxos (Lamport, *Paxos Made Simple*) with the next view as its
//! value ([`AcceptedView`]).
//!
//! # Why an acknowledged write is not lost
//!
//! * Each member keeps its *synced view* on disk: the newest view in which its log came to include its predecessor's
//!   whole log (for the head: the view in which it became head). A commit in a view needs every member of the
//!   view's chain, synced in that view.
//! * A promise in the agreement on the next view seals the present view: the member no longer participates in its chain.
//! * The chain has at least a majority of the members, so every majority that decides the next view contains members of
//!   the chain. If all of these were synced in the present view, each of them has every entry committed in it. If one
//!   was not, nothing was or ever will be committed in the present view, and only commits of earlier views have to be
//!   kept. The *base* of the next view ([`DecidedView::base`]) is the synced view that a member needs, at least, to have
//!   every commit.
//! * The next head is a member whose synced view is at least the base; every other member of the chain brings its log in
//!   line with the head's before its syncs count.
//!
//! Members out of the chain learn the commits from the tail, so that they delay the chain little when they are
//! readmitted. Pings report which members are connected with each other; the member collects these observations, and
//! [`reconfiguration`], which has no state, derives the desired view from them.
//!
//! # Reading order
//!
//! [`member`] lists its modules in the order in which a write passes them: receive, propose, replicate, persist, commit,
//! apply, notify. [`safeguards`] lists the measures on which safety rests; for each, a test shows what goes wrong without
//! it.

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
