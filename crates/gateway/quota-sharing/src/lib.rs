//! What limiters of one fleet share beside the counter: budgets that a broker lends on ([`lend`]). State
//! machines without I/O or clock: messages and times in, outputs out, bounded in size and in age, with a bound
//! under silence that docs/shared-state.md derives. They must never make an invocation wait longer than the
//! counter may, and never let in what the counter has not counted.

pub mod lend;

/// A limiter's name, the same after a restart.
pub type Name = String;
/// A shard of the duty `lend`, as `dunespur-duties` numbers it.
pub type Slot = u32;
