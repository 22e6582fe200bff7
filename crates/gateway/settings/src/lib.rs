//! Reads the settings document that the gateway's hosts are given. Unknown keys are skipped; absent optional ones have
//! the meaning that the wire's page gives them.

mod document;
mod error;
mod section;

pub use document::{parse, read, SettingsDocument};
pub use error::SettingsError;
