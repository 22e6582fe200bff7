//! A complete configuration, stored as the operator sent it.

use crate::{location::Location, model::ConfigurationContent, parser, patch, Findings};
use serde::{de::Error, Deserialize, Deserializer, Serialize, Serializer};
use std::{str, sync::Arc};

/// The generation number before the first configuration.
const NO_GENERATION: u64 = 0;

/// A complete, validated configuration. It is stored as the text that the operator sent, so that every field and number
/// is returned unchanged. Clones share the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    text: Arc<str>,
    generation: u64,
    longest_retention_ms: u64,
}

impl Document {
    /// The empty configuration that is in force before the first one.
    #[must_use]
    pub fn empty() -> Document {
        Document {
            text: Arc::from(r#"{"generation":0}"#),
            generation: NO_GENERATION,
            longest_retention_ms: 0,
        }
    }

    /// Parses and validates a complete configuration from the body of a request.
    ///
    /// # Errors
    ///
    /// The findings, if the configuration is invalid.
    pub fn replace(body: &[u8]) -> Result<Document, Findings> {
        Document::validated(to_text(body)?)
    }

    /// Parses a configuration that was accepted before. It is not validated again, so that a configuration that an
    /// older version of this program accepted stays in force.
    ///
    /// # Errors
    ///
    /// A finding, if the text is not JSON.
    pub fn from_accepted(text: impl Into<Arc<str>>) -> Result<Document, Findings> {
        let text = text.into();
        let content = parser::parse_accepted(&text)?;
        Ok(Document::from_content(text, &content))
    }

    /// Applies the patch in `body` to this configuration and validates the result.
    ///
    /// # Errors
    ///
    /// The findings, if the patch or its result is invalid.
    pub fn patch(&self, body: &[u8]) -> Result<Document, Findings> {
        let text = patch::apply(&self.text, to_text(body)?)?;
        Document::validated(&text)
    }

    /// The generation number that the operator assigned to this configuration.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The longest retention time of turns among the routes in milliseconds, or 0 without routes.
    #[must_use]
    pub fn longest_retention_ms(&self) -> u64 {
        self.longest_retention_ms
    }

    /// A copy of the configuration as JSON text.
    #[must_use]
    pub fn to_json(&self) -> String {
        self.text.as_ref().to_owned()
    }

    /// The configuration as shared JSON text.
    #[must_use]
    pub fn json(&self) -> &Arc<str> {
        &self.text
    }

    fn validated(text: &str) -> Result<Document, Findings> {
        let content = parser::validate(text)?;
        Ok(Document::from_content(Arc::from(text), &content))
    }

    fn from_content(text: Arc<str>, content: &ConfigurationContent) -> Document {
        let retentions = content.routes.iter().map(|entry| entry.route.retention_ms);
        Document {
            text,
            generation: content.generation,
            longest_retention_ms: retentions.max().unwrap_or(0),
        }
    }
}

/// Encodes a document as its text.
impl Serialize for Document {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.text)
    }
}

/// Decodes a document without validation, because only accepted documents are encoded.
impl<'de> Deserialize<'de> for Document {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Document, D::Error> {
        let text = String::deserialize(deserializer)?;
        Document::from_accepted(text).map_err(D::Error::custom)
    }
}

fn to_text(body: &[u8]) -> Result<&str, Findings> {
    str::from_utf8(body)
        .map_err(|error| Findings::one(Location::Top, format!("can't be read: {error}")))
}
