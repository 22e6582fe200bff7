//! The decisions of a quota-keeping gateway. [`rules`] decides; [`calls`] prices calls to a crowded counter,
//! [`ceilings`] shares hard ceilings out, [`types`] holds the plain values that go in and out. A front (the
//! gateway on sockets, the drill's line protocol) keeps connections and timers.

pub mod calls;
pub mod ceilings;
pub mod rules;
mod state;
pub mod types;
