//! Stored data stays readable: each record has the bytes that revision 52a1591 wrote, and files of that revision open
//! with everything in them found by value.
//!
//! The files under `tests/fixtures` were written by that revision, by these same tests with
//! [`dunespur_test_fixtures::WRITE_FIXTURES`] in the environment. They are never written again, unless a new format of the files replaces this one.

mod core;
mod dump;
mod turns;
