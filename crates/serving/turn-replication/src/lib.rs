//! Turns of programs kept on several store machines: placement, chains, handoff, repair, retention.
//!
//! A [`turn::Turn`] is one finished turn of a program: its input, the data of its events and the turn it goes
//! on from. It is written once, to as many stores as may be lost at one time and one more, before the last
//! byte of its answer goes out, and never changed. State machines without I/O or clock:
//!
//! - at a gateway, [`write::Writing`] keeps one turn and [`read::Reading`] looks a chain up;
//! - at a store, [`node::StoreNode`] takes requests and completions of its disk and gives effects. It is made
//!   of the [`index::Index`] of what the disk holds, the queue of commits, the pulls that fill a new or
//!   returned store ([`repair`]), the deliveries of hints and of a store that is retired ([`handoff`]).
//!
//! What holds, and why "unknown" may be said at all:
//!
//! 1. A store acknowledges a turn when the turn and its whole chain are synced on its disk.
//! 2. A store whose disk is new is not whole until it has asked every other present store for what it should
//!    hold, and no writer that counted on the old disk can still be at work.
//! 3. A store takes turns only once every present store has heard of it, and stores name the stores they know
//!    in each "unknown", so that a reader with an old list notices.
//! 4. A reader says "unknown" only if every store that is not retired says so and is whole.

pub mod commit;
pub mod complete;
pub mod guards;
pub mod handoff;
pub mod index;
pub mod message;
pub mod node;
pub mod placement;
pub mod read;
pub mod repair;
pub mod roster;
pub mod turn;
pub mod write;
