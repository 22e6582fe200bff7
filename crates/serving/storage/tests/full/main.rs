//! Disks that are full for a while.

mod core;
mod support;
mod turns;
