//! Errors of reading the settings document.

use thiserror::Error;

/// Why the document can't be read, with the key of the invalid value.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The text is not valid JSON.
    #[error("settings: {0}")]
    Syntax(#[from] serde_json::Error),
    /// A value is not a number, or is negative.
    #[error("settings: {key} is not a non-negative number")]
    NotANumber {
        /// Key of the value.
        key: &'static str,
    },
    /// A number that must be positive is missing or 0.
    #[error("settings: {key} is missing or 0")]
    MissingOrZero {
        /// Key of the value.
        key: &'static str,
    },
    /// A value is missing or not a string.
    #[error("settings: {key} is not a string")]
    NotAString {
        /// Key of the value.
        key: &'static str,
    },
    /// A value is missing or not a list.
    #[error("settings: {key} is not a list")]
    NotAList {
        /// Key of the value.
        key: &'static str,
    },
    /// A list of strings contains another type.
    #[error("settings: {key} is not a list of strings")]
    NotStrings {
        /// Key of the value.
        key: &'static str,
    },
    /// A string is not one of the allowed values.
    #[error("settings: {key} has the unknown value \"{value}\"")]
    Unknown {
        /// Key of the value.
        key: &'static str,
        /// The unknown value.
        value: String,
    },
    /// The gateway's zone is not one of the failure domains.
    #[error("settings: zone is not listed in failureDomains")]
    UnlistedZone,
}
