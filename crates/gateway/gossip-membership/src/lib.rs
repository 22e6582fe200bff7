//! Membership of the fleet as one limiter sees it.
//!
//! The protocol is SWIM (Das, Gupta, Motivala 2002) by the `foca` library, which does no I/O. This package adds names
//! and instances of processes, the way out of a network partition, detection of duplicate names, and local health
//! awareness after a stall (Lifeguard; Dadgar, Phillips, Currey 2018). Datagrams and times go in, [`Output`]s come out;
//! times are seconds on one clock of the caller.
//!
//! [`Membership`] never reports a member as down at once for being slow, never lets a timer from before a stall fire
//! as if nothing had been, and never grows with restarts.

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
