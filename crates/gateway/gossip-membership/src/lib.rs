//! Membership of the fleet as one limiter sees it.
//!
//! The protocol is SWIM (Das, Gupta, Motivala 2002), implemented by the `foca` library. This package adds process names
//! and instances, rejoining after a network partition, detection of duplicate names, and local health awareness after a
//! stall (Lifeguard; Dadgar, Phillips, Currey 2018). It does no I/O: the caller passes in datagrams and the time, and
//! carries out the returned [`Output`]s. All times are seconds on one clock of the caller.
//!
//! [`Membership`] reports a slow member as down only after a suspicion timeout, postpones its timers by the length of a
//! stall, and does not use more memory with each restart of a member.

mod health;
mod member;
mod membership;
mod output;
mod peers;
mod runtime;
mod settings;
mod timers;

pub use member::Member;
pub use membership::Membership;
pub use output::{DuplicateName, Output};
pub use settings::{Settings, SettingsError};
