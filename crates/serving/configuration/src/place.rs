//! Places in a configuration, written out only when something is wrong there.

use std::fmt;

/// A place: a path of field names and positions from the top of the document.
#[derive(Clone, Copy)]
pub(crate) enum Place<'a> {
    /// The whole document.
    Top,
    /// A field of an object.
    Field(&'a Place<'a>, &'a str),
    /// An item of a list.
    Item(&'a Place<'a>, usize),
}

impl<'a> Place<'a> {
    /// The field `name` of the object at this place.
    pub(crate) fn field(&'a self, name: &'a str) -> Place<'a> {
        Place::Field(self, name)
    }

    /// The item at `index` of the list at this place.
    pub(crate) fn item(&'a self, index: usize) -> Place<'a> {
        Place::Item(self, index)
    }
}

impl fmt::Display for Place<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Top => f.write_str("configuration"),
            Place::Field(Place::Top, name) => f.write_str(name),
            Place::Field(parent, name) => write!(f, "{parent}.{name}"),
            Place::Item(parent, index) => write!(f, "{parent}[{index}]"),
        }
    }
}
