//! The fields of a JSON object, read by name and type; what is wrong becomes a finding.

use crate::{place::Place, Findings};
use serde_json::{Map, Number, Value};

/// The largest whole number up to which every whole number is a floating-point number as well.
const MAX_EXACT_FLOAT: f64 = 9_007_199_254_740_992.0;

/// The milliseconds of a second.
const MS_PER_SECOND: f64 = 1000.0;

/// The fields of the object at a place.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a> {
    map: &'a Map<String, Value>,
    place: &'a Place<'a>,
}

impl<'a> Fields<'a> {
    /// The fields of `value`, if it is an object.
    pub(crate) fn of(
        value: &'a Value,
        place: &'a Place<'a>,
        findings: &mut Findings,
    ) -> Option<Fields<'a>> {
        match value {
            Value::Object(map) => Some(Fields { map, place }),
            _ => {
                findings.add(place, "is not an object");
                None
            }
        }
    }

    /// Where the object stands.
    pub(crate) fn place(&self) -> &'a Place<'a> {
        self.place
    }

    /// The value of a field. One that is null counts as absent.
    pub(crate) fn value(&self, name: &str) -> Option<&'a Value> {
        self.map.get(name).filter(|value| !value.is_null())
    }

    /// A text that may be absent.
    pub(crate) fn text(&self, name: &str, findings: &mut Findings) -> Option<&'a str> {
        let value = self.value(name)?;
        let text = value.as_str();
        if text.is_none() {
            findings.add(self.place.field(name), "is not a text");
        }
        text
    }

    /// A text that has to be there and hold something.
    pub(crate) fn needed_text(&self, name: &str, findings: &mut Findings) -> Option<&'a str> {
        if self.value(name).is_none() {
            findings.add(self.place.field(name), "is missing");
            return None;
        }
        let text = self.text(name, findings)?;
        if text.is_empty() {
            findings.add(self.place.field(name), "is empty");
            return None;
        }
        Some(text)
    }

    /// A flag; false where it is absent.
    pub(crate) fn flag(&self, name: &str, findings: &mut Findings) -> bool {
        let Some(value) = self.value(name) else {
            return false;
        };
        value.as_bool().unwrap_or_else(|| {
            findings.add(self.place.field(name), "is neither true nor false");
            false
        })
    }

    /// A number from 0 up that may be absent.
    pub(crate) fn amount(&self, name: &str, findings: &mut Findings) -> Option<f64> {
        let number = self.number(name, findings)?;
        number.as_f64()
    }

    /// A number from 0 up that may be absent, as a whole one; a fraction is rounded up, so that a
    /// number above 0 never becomes 0.
    pub(crate) fn whole(&self, name: &str, findings: &mut Findings) -> Option<u64> {
        let number = self.number(name, findings)?;
        Some(number.as_u64().unwrap_or_else(|| rounded_up(number)))
    }

    /// As [`Fields::whole`], and what is too large becomes the largest.
    pub(crate) fn count(&self, name: &str, findings: &mut Findings) -> Option<u32> {
        let whole = self.whole(name, findings)?;
        Some(u32::try_from(whole).unwrap_or(u32::MAX))
    }

    /// As [`Fields::whole`], for a number that has to be there.
    pub(crate) fn needed_whole(&self, name: &str, findings: &mut Findings) -> Option<u64> {
        if self.value(name).is_none() {
            findings.add(self.place.field(name), "is missing");
            return None;
        }
        self.whole(name, findings)
    }

    /// A number that has to be there and to be whole as it stands.
    pub(crate) fn needed_exact(&self, name: &str, findings: &mut Findings) -> Option<u64> {
        if self.value(name).is_none() {
            findings.add(self.place.field(name), "is missing");
            return None;
        }
        let number = self.number(name, findings)?;
        let exact = exact(number);
        if exact.is_none() {
            findings.add(self.place.field(name), "is not a whole number");
        }
        exact
    }

    /// A time given in seconds, in milliseconds.
    pub(crate) fn seconds_as_ms(&self, name: &str, findings: &mut Findings) -> Option<u64> {
        let seconds = self.amount(name, findings)?;
        Some((seconds * MS_PER_SECOND).ceil() as u64)
    }

    /// A list; empty where it is absent.
    pub(crate) fn list(&self, name: &str, findings: &mut Findings) -> &'a [Value] {
        match self.value(name) {
            None => &[],
            Some(Value::Array(items)) => items,
            Some(_) => {
                findings.add(self.place.field(name), "is not a list");
                &[]
            }
        }
    }

    /// A number from 0 up that may be absent.
    fn number(&self, name: &str, findings: &mut Findings) -> Option<&'a Number> {
        let value = self.value(name)?;
        let Value::Number(number) = value else {
            findings.add(self.place.field(name), "is not a number");
            return None;
        };
        if number.as_f64().is_none_or(|amount| amount < 0.0) {
            findings.add(self.place.field(name), "is below 0");
            return None;
        }
        Some(number)
    }
}

/// A number from 0 up that isn't written as a whole one.
fn rounded_up(number: &Number) -> u64 {
    number.as_f64().map_or(0, |amount| amount.ceil() as u64)
}

/// The whole number that `number` is, however it is written.
fn exact(number: &Number) -> Option<u64> {
    if let Some(whole) = number.as_u64() {
        return Some(whole);
    }
    let amount = number.as_f64()?;
    let is_whole = amount.fract() == 0.0 && amount <= MAX_EXACT_FLOAT;
    is_whole.then_some(amount as u64)
}
