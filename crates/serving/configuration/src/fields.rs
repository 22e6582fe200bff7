//! Parsing of a JSON object's fields by name and type. Missing or invalid values become findings.

use crate::{location::Location, Findings};
use serde_json::{Map, Number, Value};

/// The largest integer up to which `f64` represents every integer exactly.
const MAX_EXACT_FLOAT: f64 = 9_007_199_254_740_992.0;

const MS_PER_SECOND: f64 = 1000.0;

/// The fields of a JSON object and its location in the configuration.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a> {
    map: &'a Map<String, Value>,
    location: &'a Location<'a>,
}

impl<'a> Fields<'a> {
    /// The fields of `value`, if it is an object.
    pub(crate) fn of(
        value: &'a Value,
        location: &'a Location<'a>,
        findings: &mut Findings,
    ) -> Option<Fields<'a>> {
        match value {
            Value::Object(map) => Some(Fields { map, location }),
            _ => {
                findings.add(location, "is not an object");
                None
            }
        }
    }

    /// The location of the object.
    pub(crate) fn location(&self) -> &'a Location<'a> {
        self.location
    }

    /// The value of a field. A field that is null counts as absent.
    pub(crate) fn value(&self, name: &str) -> Option<&'a Value> {
        self.map.get(name).filter(|value| !value.is_null())
    }

    /// An optional string.
    pub(crate) fn string(&self, name: &str, findings: &mut Findings) -> Option<&'a str> {
        let value = self.value(name)?;
        let string = value.as_str();
        if string.is_none() {
            findings.add(self.location.field(name), "is not a text");
        }
        string
    }

    /// A required string that is not empty.
    pub(crate) fn required_string(&self, name: &str, findings: &mut Findings) -> Option<&'a str> {
        if self.value(name).is_none() {
            findings.add(self.location.field(name), "is missing");
            return None;
        }
        let string = self.string(name, findings)?;
        if string.is_empty() {
            findings.add(self.location.field(name), "is empty");
            return None;
        }
        Some(string)
    }

    /// An optional boolean, false by default.
    pub(crate) fn boolean(&self, name: &str, findings: &mut Findings) -> bool {
        let Some(value) = self.value(name) else {
            return false;
        };
        value.as_bool().unwrap_or_else(|| {
            findings.add(self.location.field(name), "is neither true nor false");
            false
        })
    }

    /// An optional number of at least 0.
    pub(crate) fn number(&self, name: &str, findings: &mut Findings) -> Option<f64> {
        self.json_number(name, findings)?.as_f64()
    }

    /// An optional number of at least 0, as an integer; a fraction is rounded up, so that a number above 0 never
    /// becomes 0.
    pub(crate) fn integer(&self, name: &str, findings: &mut Findings) -> Option<u64> {
        let number = self.json_number(name, findings)?;
        Some(number.as_u64().unwrap_or_else(|| rounded_up(number)))
    }

    /// As [`Fields::integer`], with values above the largest `u32` reduced to it.
    pub(crate) fn count(&self, name: &str, findings: &mut Findings) -> Option<u32> {
        let integer = self.integer(name, findings)?;
        Some(u32::try_from(integer).unwrap_or(u32::MAX))
    }

    /// As [`Fields::integer`], for a required number.
    pub(crate) fn required_integer(&self, name: &str, findings: &mut Findings) -> Option<u64> {
        if self.value(name).is_none() {
            findings.add(self.location.field(name), "is missing");
            return None;
        }
        self.integer(name, findings)
    }

    /// A required number that must be an integer, in any notation.
    pub(crate) fn required_exact_integer(
        &self,
        name: &str,
        findings: &mut Findings,
    ) -> Option<u64> {
        if self.value(name).is_none() {
            findings.add(self.location.field(name), "is missing");
            return None;
        }
        let integer = exact_integer(self.json_number(name, findings)?);
        if integer.is_none() {
            findings.add(self.location.field(name), "is not a whole number");
        }
        integer
    }

    /// An optional time in seconds, converted to milliseconds and rounded up.
    pub(crate) fn seconds_as_ms(&self, name: &str, findings: &mut Findings) -> Option<u64> {
        let seconds = self.number(name, findings)?;
        Some(ceil_saturating(seconds * MS_PER_SECOND))
    }

    /// An optional array, empty by default.
    pub(crate) fn array(&self, name: &str, findings: &mut Findings) -> &'a [Value] {
        match self.value(name) {
            None => &[],
            Some(Value::Array(items)) => items,
            Some(_) => {
                findings.add(self.location.field(name), "is not a list");
                &[]
            }
        }
    }

    /// An optional JSON number of at least 0.
    fn json_number(&self, name: &str, findings: &mut Findings) -> Option<&'a Number> {
        let value = self.value(name)?;
        let Value::Number(number) = value else {
            findings.add(self.location.field(name), "is not a number");
            return None;
        };
        if number.as_f64().is_none_or(|number| number < 0.0) {
            findings.add(self.location.field(name), "is below 0");
            return None;
        }
        Some(number)
    }
}

/// Rounds a number of at least 0 up to an integer.
fn rounded_up(number: &Number) -> u64 {
    number.as_f64().map_or(0, ceil_saturating)
}

/// The value of `number` if it is an integer, in any notation.
fn exact_integer(number: &Number) -> Option<u64> {
    if let Some(integer) = number.as_u64() {
        return Some(integer);
    }
    let number = number.as_f64()?;
    let is_integer = number.fract() == 0.0 && number <= MAX_EXACT_FLOAT;
    is_integer.then(|| ceil_saturating(number))
}

/// Rounds a number of at least 0 up to an integer; numbers above the largest `u64` become the largest `u64`.
pub(crate) fn ceil_saturating(number: f64) -> u64 {
    // A cast from `f64` to `u64` saturates.
    number.ceil() as u64
}
