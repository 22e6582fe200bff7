//! The operator's configuration: parsing, validation, patches and request matching.
//!
//! A [`Document`] is one validated configuration, stored as the operator sent it. A [`RouteTable`] matches requests to
//! routes for the data plane. What is wrong with a configuration is reported as [`Findings`]: everything at once, each
//! with its location.
//!
//! Strict only where a configuration is invalid or unusable. An unknown field is stored and returned; it never makes a
//! configuration invalid.
//!
//! Parsed by hand over `serde_json` instead of by `schematic`, which stops at the first value of a wrong type and drops
//! unknown fields.

mod document;
mod draft;
mod fields;
mod finding;
mod location;
mod model;
mod parser;
mod patch;
mod raw_object;
mod route_table;
mod validation;

pub use document::Document;
pub use finding::{Finding, Findings};
pub use model::{Engine, Limits, RequestKind, Route, Service, WeightedBackend};
pub use route_table::RouteTable;
