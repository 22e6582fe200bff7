//! Typed access to the keys of a JSON object.

use crate::error::SettingsError;
use serde_json::Value;

/// An object of the document.
#[derive(Clone, Copy)]
pub struct Section<'document>(pub &'document Value);

impl<'document> Section<'document> {
    /// An object within this one. All keys of one that is not there are absent.
    pub fn section(self, key: &'static str) -> Section<'document> {
        Section(&self.0[key])
    }

    /// Whether a key is absent.
    pub fn lacks(self, key: &'static str) -> bool {
        self.0[key].is_null()
    }

    /// A number from 0 up; 0 if it is absent.
    pub fn number(self, key: &'static str) -> Result<f64, SettingsError> {
        match &self.0[key] {
            Value::Null => Ok(0.0),
            value => value
                .as_f64()
                .filter(|number| *number >= 0.0)
                .ok_or(SettingsError::NotANumber { key }),
        }
    }

    /// A number above 0.
    pub fn positive_number(self, key: &'static str) -> Result<f64, SettingsError> {
        let number = self.number(key)?;
        if number > 0.0 {
            Ok(number)
        } else {
            Err(SettingsError::MissingOrZero { key })
        }
    }

    /// A truth value; false if it is absent or something else.
    pub fn flag(self, key: &'static str) -> bool {
        self.0[key].as_bool().unwrap_or(false)
    }

    /// A text.
    pub fn text(self, key: &'static str) -> Result<&'document str, SettingsError> {
        self.0[key].as_str().ok_or(SettingsError::NotAText { key })
    }

    /// A list of texts.
    pub fn texts(self, key: &'static str) -> Result<Vec<String>, SettingsError> {
        self.list(key)?
            .map(|item| item.0.as_str().map(str::to_owned))
            .collect::<Option<_>>()
            .ok_or(SettingsError::NotTexts { key })
    }

    /// A list of objects.
    pub fn list(
        self,
        key: &'static str,
    ) -> Result<impl Iterator<Item = Section<'document>>, SettingsError> {
        let list = self.0[key].as_array();
        let items = list.ok_or(SettingsError::NotAList { key })?;
        Ok(items.iter().map(Section))
    }
}
