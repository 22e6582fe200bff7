//! Distribution of a service's soft state: what each gateway has in flight on its servers, and which of them it finds
//! in trouble.
//!
//! Each service has a home in each zone: the gateway that rendezvous hashing names among those present. The zone's
//! gateways subscribe to it: they tell it what they have in flight, and are told in answer what all have together,
//! as far as it has changed. The homes of one service tell each other their zones' sums. Nothing of this is agreed
//! on or durable; a home that is gone loses a table that its subscribers fill again.
//!
//! - [`roster`]: the gateways that are there, and which is the home of a service in a zone;
//! - [`message`]: what gateways say to each other;
//! - `failover`: which gateway is asked while a home is silent;
//! - `subscription`: the side that tells and asks;
//! - `home`: the side that gathers and answers;
//! - [`distribution`]: one gateway's part on both sides.
//!
//! There is no I/O and no clock: the caller brings steady time in milliseconds, and carries [`Call`]s to other
//! gateways and their answers back.

pub mod distribution;
mod failover;
mod home;
mod loads;
pub mod message;
pub mod roster;
mod subscription;

pub use distribution::{Call, Distribution, Identity, News};
pub use message::{Answer, Ask, Known, ServerLoad, Speaker, Statement};
pub use roster::{Gateway, Roster};

/// Milliseconds of a steady clock.
pub type Millis = u64;

/// A call without an answer for longer has failed.
pub const ASK_TIMEOUT_MS: u64 = 400;
