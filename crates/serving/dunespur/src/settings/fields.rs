//! Typed access to the fields of one JSON object of the settings; unusable values become findings.

use dunespur_configuration::Findings;
use serde_json::{Map, Value};
use std::fmt::Display;
use std::str::FromStr;

/// Place given in findings about the complete file.
const ROOT_PATH: &str = "settings";

/// The fields of an object. A field that is null or an empty text counts as absent: the platform leaves fields empty
/// that do not apply to a process.
pub struct Fields<'a> {
    object: Option<&'a Map<String, Value>>,
    /// Path of the object with a trailing dot, which precedes field names in findings.
    prefix: String,
}

impl<'a> Fields<'a> {
    /// The fields of the file's top-level object.
    pub fn root(value: &'a Value, findings: &mut Findings) -> Fields<'a> {
        let object = value.as_object();
        if object.is_none() {
            findings.add(ROOT_PATH, "is not an object");
        }
        Fields {
            object,
            prefix: String::new(),
        }
    }

    /// The fields of a nested object; empty if the object is absent.
    pub fn object(&self, name: &str, findings: &mut Findings) -> Fields<'a> {
        let value = self.value(name);
        let object = value.and_then(Value::as_object);
        if value.is_some() && object.is_none() {
            findings.add(self.path_of(name), "is not an object");
        }
        Fields {
            object,
            prefix: format!("{}.", self.path_of(name)),
        }
    }

    /// The path of a field, for findings.
    pub fn path_of(&self, name: &str) -> String {
        format!("{}{name}", self.prefix)
    }

    /// Adds a finding if the field is absent. If the whole object is missing, that has its own finding already.
    pub fn require(&self, name: &str, problem: &str, findings: &mut Findings) {
        if self.object.is_some() && self.value(name).is_none() {
            findings.add(self.path_of(name), problem);
        }
    }

    /// Reads a text field.
    pub fn text(&self, name: &str, findings: &mut Findings) -> Option<&'a str> {
        let value = self.value(name)?;
        let text = value.as_str();
        if text.is_none() {
            findings.add(self.path_of(name), format!("is {value}, not a text"));
        }
        text
    }

    /// Reads a text field and parses it; `expected` describes valid values, such as an address.
    pub fn parsed<T: FromStr>(
        &self,
        name: &str,
        expected: &str,
        findings: &mut Findings,
    ) -> Option<T> {
        let text = self.text(name, findings)?;
        parse(text, self.path_of(name), expected, findings)
    }

    /// Reads a list of texts and parses each; unusable items are left out.
    pub fn parsed_array<T: FromStr>(
        &self,
        name: &str,
        expected: &str,
        findings: &mut Findings,
    ) -> Vec<T> {
        let mut array = Vec::new();
        for (index, item) in self.array(name, findings).iter().enumerate() {
            let item_path = format!("{}[{index}]", self.path_of(name));
            match item.as_str() {
                Some(text) => array.extend(parse::<T>(text, item_path, expected, findings)),
                None => findings.add(item_path, format!("is {item}, not a text")),
            }
        }
        array
    }

    /// The items of an array field; empty if the field is absent.
    pub fn array(&self, name: &str, findings: &mut Findings) -> &'a [Value] {
        match self.value(name) {
            None => &[],
            Some(Value::Array(items)) => items,
            Some(value) => {
                findings.add(self.path_of(name), format!("is {value}, not a list"));
                &[]
            }
        }
    }

    /// Reads a boolean field; false if the field is absent.
    pub fn boolean(&self, name: &str, findings: &mut Findings) -> bool {
        let Some(value) = self.value(name) else {
            return false;
        };
        let boolean = value.as_bool();
        if boolean.is_none() {
            findings.add(
                self.path_of(name),
                format!("is {value}, neither true nor false"),
            );
        }
        boolean.unwrap_or(false)
    }

    /// Reads a non-negative number; fractions are truncated.
    pub fn unsigned(&self, name: &str, findings: &mut Findings) -> Option<u64> {
        let value = self.value(name)?;
        let number = value.as_u64().or_else(|| value.as_f64().and_then(truncate));
        if number.is_none() {
            findings.add(
                self.path_of(name),
                format!("is {value}, not a number from 0 up"),
            );
        }
        number
    }

    fn value(&self, name: &str) -> Option<&'a Value> {
        let value = self.object?.get(name)?;
        let is_empty = value.is_null() || value.as_str() == Some("");
        (!is_empty).then_some(value)
    }
}

fn truncate(number: f64) -> Option<u64> {
    (number >= 0.0).then_some(number as u64)
}

fn parse<T: FromStr>(
    text: &str,
    path: impl Display,
    expected: &str,
    findings: &mut Findings,
) -> Option<T> {
    let parsed = text.parse().ok();
    if parsed.is_none() {
        findings.add(path, format!("is {text:?}, not {expected}"));
    }
    parsed
}
