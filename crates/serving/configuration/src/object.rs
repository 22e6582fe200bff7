//! JSON objects whose values stay as they were written.

use crate::{place::Place, Findings};
use serde::{
    de::{MapAccess, Visitor},
    Deserialize, Deserializer,
};
use serde_json::value::RawValue;
use std::fmt;

/// The fields of an object, in their order.
#[derive(Default)]
pub(crate) struct Object<'a>(Vec<Member<'a>>);

struct Member<'a> {
    name: String,
    value: Written<'a>,
}

/// A value as it stands in a text, or a list put together from such values.
enum Written<'a> {
    Value(&'a RawValue),
    List(Vec<&'a RawValue>),
}

impl<'a> Object<'a> {
    /// The object that `text` holds.
    pub(crate) fn parse(text: &'a str, place: &Place<'_>) -> Result<Object<'a>, Findings> {
        serde_json::from_str(text)
            .map_err(|error| Findings::one(place, format!("can't be read: {error}")))
    }

    /// The names and values of the fields that are neither null nor made here.
    pub(crate) fn values(&self) -> impl Iterator<Item = (&str, &'a RawValue)> {
        self.0
            .iter()
            .filter_map(|member| Some((member.name.as_str(), member.value.given()?)))
    }

    /// The value of a field, unless it is absent or null.
    pub(crate) fn value(&self, name: &str) -> Option<&'a RawValue> {
        self.values()
            .find(|(other, _)| *other == name)
            .map(|(_, value)| value)
    }

    /// Writes a field, in the place of the one of that name if there is one.
    pub(crate) fn set(&mut self, name: &str, value: &'a RawValue) {
        self.write(name, Written::Value(value));
    }

    /// Writes a field that is a list.
    pub(crate) fn set_list(&mut self, name: &str, items: Vec<&'a RawValue>) {
        self.write(name, Written::List(items));
    }

    /// The object as JSON.
    pub(crate) fn to_text(&self) -> String {
        let members = self
            .0
            .iter()
            .map(|member| format!("{}:{}", quoted(&member.name), member.value.to_text()));
        format!("{{{}}}", members.collect::<Vec<_>>().join(","))
    }

    fn write(&mut self, name: &str, value: Written<'a>) {
        match self.0.iter_mut().find(|member| member.name == name) {
            Some(member) => member.value = value,
            None => self.0.push(Member {
                name: name.to_owned(),
                value,
            }),
        }
    }
}

impl<'a> Written<'a> {
    fn given(&self) -> Option<&'a RawValue> {
        match self {
            Written::Value(value) if value.get() != "null" => Some(value),
            Written::Value(_) | Written::List(_) => None,
        }
    }

    fn to_text(&self) -> String {
        match self {
            Written::Value(value) => value.get().to_owned(),
            Written::List(items) => {
                let items: Vec<&str> = items.iter().map(|item| item.get()).collect();
                format!("[{}]", items.join(","))
            }
        }
    }
}

fn quoted(name: &str) -> String {
    serde_json::Value::from(name).to_string()
}

/// Reads the fields in their order; of two with one name the last counts, as everywhere in JSON.
impl<'de: 'a, 'a> Deserialize<'de> for Object<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Object<'a>, D::Error> {
        deserializer.deserialize_map(Fields)
    }
}

struct Fields;

impl<'de> Visitor<'de> for Fields {
    type Value = Object<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Object<'de>, A::Error> {
        let mut object = Object::default();
        while let Some((name, value)) = map.next_entry::<String, &'de RawValue>()? {
            object.set(&name, value);
        }
        Ok(object)
    }
}
