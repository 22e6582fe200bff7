//! The decisions of a quota-keeping gateway. [`rules`] decides, [`types`] holds the plain values
//! that go in and out. A front (the gateway on sockets, the drill's line protocol) keeps connections
//! and timers.

pub mod rules;
pub mod types;
