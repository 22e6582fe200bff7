//! Losses of power: each write since the last sync is there, missing or torn, or all of them are lost. What was
//! acknowledged before is found again; with a disk that does not sync it is not, and these tests notice.

mod support;
mod turns;
