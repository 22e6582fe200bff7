//! Locations in a configuration, formatted only for findings.

use std::fmt;

/// A path of field names and indices from the top level of the document.
#[derive(Clone, Copy)]
pub(crate) enum Location<'a> {
    /// The complete document.
    Top,
    /// A field of an object.
    Field(&'a Location<'a>, &'a str),
    /// An item of an array.
    Item(&'a Location<'a>, usize),
}

impl<'a> Location<'a> {
    /// The field `name` of the object at this location.
    pub(crate) fn field(&'a self, name: &'a str) -> Location<'a> {
        Location::Field(self, name)
    }

    /// The item at `index` of the array at this location.
    pub(crate) fn item(&'a self, index: usize) -> Location<'a> {
        Location::Item(self, index)
    }
}

impl fmt::Display for Location<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Location::Top => f.write_str("configuration"),
            Location::Field(Location::Top, name) => f.write_str(name),
            Location::Field(parent, name) => write!(f, "{parent}.{name}"),
            Location::Item(parent, index) => write!(f, "{parent}[{index}]"),
        }
    }
}
