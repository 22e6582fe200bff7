//! JSON objects whose values keep the text in which they were written.

use crate::{location::Location, Findings};
use serde::{
    de::{MapAccess, Visitor},
    Deserialize, Deserializer,
};
use serde_json::value::RawValue;
use std::fmt;

/// The fields of an object in their original order.
#[derive(Default)]
pub(crate) struct RawObject<'a>(Vec<RawField<'a>>);

struct RawField<'a> {
    name: String,
    value: FieldValue<'a>,
}

/// A field's value: the original text, or an array of items in their original text.
enum FieldValue<'a> {
    Raw(&'a RawValue),
    Array(Vec<&'a RawValue>),
}

impl<'a> RawObject<'a> {
    /// Parses `text` as an object.
    pub(crate) fn parse(text: &'a str, location: &Location<'_>) -> Result<RawObject<'a>, Findings> {
        serde_json::from_str(text)
            .map_err(|error| Findings::one(location, format!("can't be read: {error}")))
    }

    /// The names and original values of the fields, without null fields and fields that were set to arrays.
    pub(crate) fn values(&self) -> impl Iterator<Item = (&str, &'a RawValue)> {
        self.0
            .iter()
            .filter_map(|field| Some((field.name.as_str(), field.value.as_written()?)))
    }

    /// The value of a field, unless it is absent or null.
    pub(crate) fn value(&self, name: &str) -> Option<&'a RawValue> {
        self.values()
            .find(|(other, _)| *other == name)
            .map(|(_, value)| value)
    }

    /// Sets a field. An existing field of that name keeps its position; a new one is appended.
    pub(crate) fn set(&mut self, name: &str, value: &'a RawValue) {
        self.set_value(name, FieldValue::Raw(value));
    }

    /// Sets a field to an array of items.
    pub(crate) fn set_array(&mut self, name: &str, items: Vec<&'a RawValue>) {
        self.set_value(name, FieldValue::Array(items));
    }

    /// Formats the object as JSON.
    pub(crate) fn to_text(&self) -> String {
        let fields: Vec<String> = self
            .0
            .iter()
            .map(|field| format!("{}:{}", quoted(&field.name), field.value.to_text()))
            .collect();
        format!("{{{}}}", fields.join(","))
    }

    fn set_value(&mut self, name: &str, value: FieldValue<'a>) {
        match self.0.iter_mut().find(|field| field.name == name) {
            Some(field) => field.value = value,
            None => self.0.push(RawField {
                name: name.to_owned(),
                value,
            }),
        }
    }
}

impl<'a> FieldValue<'a> {
    /// The original text of the value, unless it is null or was set to an array.
    fn as_written(&self) -> Option<&'a RawValue> {
        match self {
            FieldValue::Raw(value) if value.get() != "null" => Some(value),
            FieldValue::Raw(_) | FieldValue::Array(_) => None,
        }
    }

    fn to_text(&self) -> String {
        match self {
            FieldValue::Raw(value) => value.get().to_owned(),
            FieldValue::Array(items) => {
                let items: Vec<&str> = items.iter().map(|item| item.get()).collect();
                format!("[{}]", items.join(","))
            }
        }
    }
}

/// Formats a field name as a JSON string.
fn quoted(name: &str) -> String {
    serde_json::Value::from(name).to_string()
}

/// Parses the fields in their order. If a name occurs twice, the last value is used, as is usual in JSON.
impl<'de: 'a, 'a> Deserialize<'de> for RawObject<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<RawObject<'a>, D::Error> {
        deserializer.deserialize_map(ObjectVisitor)
    }
}

struct ObjectVisitor;

impl<'de> Visitor<'de> for ObjectVisitor {
    type Value = RawObject<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<RawObject<'de>, A::Error> {
        let mut object = RawObject::default();
        while let Some((name, value)) = map.next_entry::<String, &'de RawValue>()? {
            object.set(&name, value);
        }
        Ok(object)
    }
}
