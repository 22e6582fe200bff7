//! Helpers for tests: fixtures under a package's `tests/fixtures`, temporary folders, heads of HTTP responses, and
//! standstills of the machine.

mod encoding;
mod fixtures;
pub mod response_heads;
mod standstill;
mod temporary_folder;

pub use encoding::{hex, pack, unpack};
pub use fixtures::{Fixtures, WRITE_FIXTURES};
pub use standstill::{Machine, Resource, StandstillReport};
pub use temporary_folder::TemporaryFolder;
