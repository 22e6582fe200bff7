//! What can be wrong with the document.

use thiserror::Error;

/// Why the document can't be read; names the key.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The text is no JSON.
    #[error("settings: {0}")]
    Syntax(#[from] serde_json::Error),
    /// A number is something else, or negative.
    #[error("settings: {key} is not a number from 0 up")]
    NotANumber {
        /// Its key.
        key: &'static str,
    },
    /// A number that has to be positive is not there, or 0.
    #[error("settings: {key} is missing or 0")]
    MissingOrZero {
        /// Its key.
        key: &'static str,
    },
    /// A text is something else, or not there.
    #[error("settings: {key} is not a text")]
    NotAText {
        /// Its key.
        key: &'static str,
    },
    /// A list is something else, or not there.
    #[error("settings: {key} is not a list")]
    NotAList {
        /// Its key.
        key: &'static str,
    },
    /// A list of texts has something else in it.
    #[error("settings: {key} holds no texts")]
    NotTexts {
        /// Its key.
        key: &'static str,
    },
    /// A text is none of those that are known.
    #[error("settings: {key} {value} is unknown")]
    Unknown {
        /// Its key.
        key: &'static str,
        /// The text.
        value: String,
    },
    /// The gateway's zone is not among the failure domains.
    #[error("settings: zone is not listed")]
    UnlistedZone,
}
