//! Chain replication over an agreed view, as state machines without I/O.
//!
//! A [`Member`] takes part in keeping one replicated sequence of opaque payloads. Writes enter at the head of the
//! chain, pass down it, each member syncing to disk before it passes them on; what the tail has synced is committed,
//! and the commit index flows back up. Who is in the chain is a [`View`]; the view after the present one is decided
//! by a majority of the present one's members, in one round of Paxos with one value ([`AcceptedView`]).
//!
//! # Why an acknowledged write is not lost
//!
//! * Each member keeps on disk its *synced view*: the newest view in which its log came to hold all that its
//!   predecessor held (the head: that in which it was chosen as head). A commit in a view needs every member of its
//!   chain, synced in that view.
//! * Promising the next view seals the present one: the member takes no further part in its chain.
//! * The chain holds at least a majority of the members, so every majority that decides the next view contains a
//!   member of the chain. If one of them had synced in the view, it holds all that was committed there. If one of
//!   them had not, nothing was committed there, nor ever will be: then what counts is what was held before it. The
//!   view's *base* ([`DecidedView::base`]) names the synced view which is enough for that.
//! * The next head is one that holds enough by that rule; everyone else's log is brought in line with it before its
//!   syncs count.
//!
//! Members out of the chain follow the commits from the tail, so that they hold the chain up little when they are
//! taken in. What is seen of the members, by pings that tell who is connected with whom, and the view that there
//! should be by that are parted: [`plan`] has no state.

pub mod agreed;
pub mod disk;
pub mod guards;
pub mod identity;
mod journal;
pub mod log;
pub mod member;
pub mod message;
mod peers;
pub mod plan;
mod random;
pub mod succession;
pub mod timing;

pub use agreed::{AcceptedView, Ballot, DecidedView};
pub use disk::{Saved, SavedSnapshot, Write};
pub use guards::Guards;
pub use identity::{MemberId, Peer, View};
pub use log::{Entry, Origin, Payload, Position};
pub use member::transfer::{SnapshotRefusal, SnapshotRefusals};
pub use member::{Input, Member, Output};
pub use message::Message;
pub use timing::Millis;
