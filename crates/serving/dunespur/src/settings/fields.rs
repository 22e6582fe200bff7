//! The fields of one JSON object of the settings, read by name and type; what can't be used becomes a finding.

use dunespur_configuration::Findings;
use serde_json::{Map, Value};
use std::fmt::Display;
use std::str::FromStr;

/// The place of findings about the complete file.
const TOP: &str = "settings";

/// The fields of an object. One that is null, or an empty text, counts as absent: the platform leaves fields
/// empty that do not matter to a process.
pub struct Fields<'a> {
    object: Option<&'a Map<String, Value>>,
    /// What stands before a field's name in its place.
    prefix: String,
}

impl<'a> Fields<'a> {
    /// The fields of the complete file.
    pub fn top(value: &'a Value, findings: &mut Findings) -> Fields<'a> {
        let object = value.as_object();
        if object.is_none() {
            findings.add(TOP, "is not an object");
        }
        Fields {
            object,
            prefix: String::new(),
        }
    }

    /// The fields of an object inside; none where it is absent.
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

    /// The place of a field.
    pub fn path_of(&self, name: &str) -> String {
        format!("{}{name}", self.prefix)
    }

    /// Adds a finding if the field is absent. Without its object, that is the finding.
    pub fn need(&self, name: &str, problem: &str, findings: &mut Findings) {
        if self.object.is_some() && self.value(name).is_none() {
            findings.add(self.path_of(name), problem);
        }
    }

    /// A text.
    pub fn text(&self, name: &str, findings: &mut Findings) -> Option<&'a str> {
        let value = self.value(name)?;
        let text = value.as_str();
        if text.is_none() {
            findings.add(self.path_of(name), format!("is {value}, not a text"));
        }
        text
    }

    /// A text that stands for something, such as an address.
    pub fn parsed<T: FromStr>(&self, name: &str, what: &str, findings: &mut Findings) -> Option<T> {
        let text = self.text(name, findings)?;
        parse(text, self.path_of(name), what, findings)
    }

    /// A list of such texts; what can't be used is left out of it.
    pub fn parsed_array<T: FromStr>(
        &self,
        name: &str,
        what: &str,
        findings: &mut Findings,
    ) -> Vec<T> {
        let mut array = Vec::new();
        for (index, item) in self.array(name, findings).iter().enumerate() {
            let item_path = format!("{}[{index}]", self.path_of(name));
            match item.as_str() {
                Some(text) => array.extend(parse::<T>(text, item_path, what, findings)),
                None => findings.add(item_path, format!("is {item}, not a text")),
            }
        }
        array
    }

    /// The items of an array; none where it is absent.
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

    /// A boolean; false where it is absent.
    pub fn flag(&self, name: &str, findings: &mut Findings) -> bool {
        let Some(value) = self.value(name) else {
            return false;
        };
        let flag = value.as_bool();
        if flag.is_none() {
            findings.add(
                self.path_of(name),
                format!("is {value}, neither true nor false"),
            );
        }
        flag.unwrap_or(false)
    }

    /// A number from 0 up; a fraction is truncated.
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
    what: &str,
    findings: &mut Findings,
) -> Option<T> {
    let parsed = text.parse().ok();
    if parsed.is_none() {
        findings.add(path, format!("is {text:?}, not {what}"));
    }
    parsed
}
