//! Disks that are temporarily full.

mod core;
mod support;
mod turns;
