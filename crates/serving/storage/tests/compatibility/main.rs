//! Stored data stays readable: each record has the bytes that revision 52a1591 wrote, and a file of that revision opens
//! with all its contents.
//!
//! Revision 52a1591 wrote the files under `tests/fixtures` with these tests and the environment variable
//! [`dunespur_test_fixtures::WRITE_FIXTURES`]. They are only written again if the file format changes.

mod core;
mod dump;
mod turns;
