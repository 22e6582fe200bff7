//! Reads the JSON settings document of the gateway's hosts. Unknown keys are ignored, and absent optional keys have the
//! defaults of the wire protocol: 0, false, or 1 for `worthFactor`.

mod document;
mod error;
mod section;

pub use document::{parse, read, SettingsDocument};
pub use error::SettingsError;
