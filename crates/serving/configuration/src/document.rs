//! A complete configuration as the operator sent it.

use crate::{location::Location, model::Model, parser, patch, Findings};
use serde::{de::Error, Deserialize, Deserializer, Serialize, Serializer};
use std::{str, sync::Arc};

/// The generation before the first configuration.
const NO_GENERATION: u64 = 0;

/// A complete, validated configuration. It is stored as text, so that it is read back as it was sent, every field and
/// every number included; clones share the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    text: Arc<str>,
    generation: u64,
    longest_retention_ms: u64,
}

impl Document {
    /// The configuration before the first one: nothing in it.
    #[must_use]
    pub fn empty() -> Document {
        Document {
            text: Arc::from(r#"{"generation":0}"#),
            generation: NO_GENERATION,
            longest_retention_ms: 0,
        }
    }

    /// A complete configuration from the body of a request.
    ///
    /// # Errors
    ///
    /// The findings, if it is invalid.
    pub fn replace(body: &[u8]) -> Result<Document, Findings> {
        Document::validated(to_text(body)?)
    }

    /// A configuration that was accepted before, from its text. It is not validated again: what an older version of
    /// this program accepted stays in force.
    ///
    /// # Errors
    ///
    /// The finding, if it is not JSON.
    pub fn from_accepted(text: impl Into<Arc<str>>) -> Result<Document, Findings> {
        let text = text.into();
        let model = parser::parse_accepted(&text)?;
        Ok(Document::of(text, &model))
    }

    /// This configuration with the named items of `body` changed.
    ///
    /// # Errors
    ///
    /// The findings, if the patch or its result is invalid.
    pub fn patch(&self, body: &[u8]) -> Result<Document, Findings> {
        let text = patch::apply(&self.text, to_text(body)?)?;
        Document::validated(&text)
    }

    /// The number that the operator gave to it.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// How long turns are stored on the route that stores them the longest, in milliseconds; 0 without any route.
    #[must_use]
    pub fn longest_retention_ms(&self) -> u64 {
        self.longest_retention_ms
    }

    /// The configuration as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        self.text.as_ref().to_owned()
    }

    /// The configuration as JSON, shared instead of copied.
    #[must_use]
    pub fn json(&self) -> &Arc<str> {
        &self.text
    }

    fn validated(text: &str) -> Result<Document, Findings> {
        let model = parser::validate(text)?;
        Ok(Document::of(Arc::from(text), &model))
    }

    fn of(text: Arc<str>, model: &Model) -> Document {
        let retentions = model.routes.iter().map(|placed| placed.route.retention_ms);
        Document {
            text,
            generation: model.generation,
            longest_retention_ms: retentions.max().unwrap_or(0),
        }
    }
}

/// A document is encoded as its text.
impl Serialize for Document {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.text)
    }
}

/// An encoded document was accepted before.
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
