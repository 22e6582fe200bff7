//! The operator's configuration: read, checked, patched, and asked for the route of a request.
//!
//! A [`Document`] is one checked configuration, kept as the operator sent it. A [`Table`] is what the
//! data plane asks for the route of a request. What is wrong with a configuration is told as
//! [`Findings`]: all of it at once, each with its place.
//!
//! Strict only where a configuration is invalid or can't be used. A field that isn't known here is
//! kept and given back; it never makes a configuration invalid.
//!
//! Read by hand over `serde_json` instead of by `schematic`, which stops at the first value of a wrong type
//! and doesn't keep what it doesn't know.

mod check;
mod document;
mod fields;
mod finding;
mod model;
mod object;
mod patch;
mod place;
mod read;
mod table;

pub use document::Document;
pub use finding::{Finding, Findings};
pub use model::{Engine, Kind, Limits, Route, Service, WeightedBackend};
pub use table::Table;
