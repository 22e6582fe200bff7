//! Typed access to the values of a JSON object.

use crate::error::SettingsError;
use serde_json::Value;

/// A JSON object of the document.
#[derive(Clone, Copy)]
pub struct Section<'document>(pub &'document Value);

impl<'document> Section<'document> {
    /// Returns the nested object under `key`. If it is missing, all its keys count as absent.
    pub fn section(self, key: &'static str) -> Section<'document> {
        Section(&self.0[key])
    }

    /// Whether `key` is absent or null.
    pub fn is_absent(self, key: &'static str) -> bool {
        self.0[key].is_null()
    }

    /// Reads a non-negative number; 0 if it is absent.
    pub fn number(self, key: &'static str) -> Result<f64, SettingsError> {
        match &self.0[key] {
            Value::Null => Ok(0.0),
            value => value
                .as_f64()
                .filter(|number| *number >= 0.0)
                .ok_or(SettingsError::NotANumber { key }),
        }
    }

    /// Reads a required number above 0.
    pub fn positive_number(self, key: &'static str) -> Result<f64, SettingsError> {
        let number = self.number(key)?;
        if number > 0.0 {
            Ok(number)
        } else {
            Err(SettingsError::MissingOrZero { key })
        }
    }

    /// Reads a boolean; false if it is absent or of another type.
    pub fn flag(self, key: &'static str) -> bool {
        self.0[key].as_bool().unwrap_or(false)
    }

    /// Reads a required string.
    pub fn string(self, key: &'static str) -> Result<&'document str, SettingsError> {
        self.0[key]
            .as_str()
            .ok_or(SettingsError::NotAString { key })
    }

    /// Reads a required list of strings.
    pub fn strings(self, key: &'static str) -> Result<Vec<String>, SettingsError> {
        self.list(key)?
            .map(|item| item.0.as_str().map(str::to_owned))
            .collect::<Option<_>>()
            .ok_or(SettingsError::NotStrings { key })
    }

    /// Reads a required list of objects.
    pub fn list(
        self,
        key: &'static str,
    ) -> Result<impl Iterator<Item = Section<'document>>, SettingsError> {
        let list = self.0[key].as_array();
        let items = list.ok_or(SettingsError::NotAList { key })?;
        Ok(items.iter().map(Section))
    }
}
