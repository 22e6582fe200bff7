//! A whole configuration as the operator sent it.

use crate::{patch, place::Place, read, Findings};
use serde::{de::Error, Deserialize, Deserializer, Serialize, Serializer};
use std::{str, sync::Arc};

/// The number of the configuration before the first one.
const NO_GENERATION: u64 = 0;

/// A whole configuration, checked. It is kept as text, so that it is read back as it was sent, every
/// field and every number included; a copy shares the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    text: Arc<str>,
    generation: u64,
}

impl Document {
    /// The configuration before the first one: nothing in it.
    pub fn empty() -> Document {
        Document {
            text: Arc::from(r#"{"generation":0}"#),
            generation: NO_GENERATION,
        }
    }

    /// A whole configuration from the body of an order, if it is valid.
    pub fn replace(body: &[u8]) -> Result<Document, Findings> {
        Document::checked(readable(body)?)
    }

    /// A configuration that was taken before, from its text. It is not checked again: what an older version
    /// of this program has taken stays in force.
    pub fn taken(text: impl Into<Arc<str>>) -> Result<Document, Findings> {
        let text = text.into();
        let generation = read::taken(&text)?.generation;
        Ok(Document { text, generation })
    }

    /// This configuration with the named items of `body` changed, if what comes out is valid.
    pub fn patch(&self, body: &[u8]) -> Result<Document, Findings> {
        let text = patch::apply(&self.text, readable(body)?)?;
        Document::checked(&text)
    }

    /// The number that the operator gave to it.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The configuration as JSON.
    pub fn to_json(&self) -> String {
        self.text.as_ref().to_owned()
    }

    /// The configuration as JSON, shared instead of copied.
    pub fn json(&self) -> &Arc<str> {
        &self.text
    }

    fn checked(text: &str) -> Result<Document, Findings> {
        let generation = read::checked(text)?;
        Ok(Document {
            text: Arc::from(text),
            generation,
        })
    }
}

/// A document is written as its text.
impl Serialize for Document {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.text)
    }
}

/// A document that was written was taken before.
impl<'de> Deserialize<'de> for Document {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Document, D::Error> {
        let text = String::deserialize(deserializer)?;
        Document::taken(text).map_err(D::Error::custom)
    }
}

fn readable(body: &[u8]) -> Result<&str, Findings> {
    str::from_utf8(body)
        .map_err(|error| Findings::one(Place::Top, format!("can't be read: {error}")))
}
