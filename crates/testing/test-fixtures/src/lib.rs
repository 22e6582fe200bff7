//! Helpers for tests that use files: fixtures under a package's `tests/fixtures`, and temporary folders.

mod encoding;
mod fixtures;
mod temporary_folder;

pub use encoding::{hex, pack, unpack};
pub use fixtures::{Fixtures, WRITE_FIXTURES};
pub use temporary_folder::TemporaryFolder;
