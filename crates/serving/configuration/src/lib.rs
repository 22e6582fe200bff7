//! The operator's configuration: parsing, validation, patches and request matching.
//!
//! A [`Document`] is a validated configuration, stored as the operator sent it. A [`RouteTable`] matches requests to
//! routes for the data plane. All problems of a configuration are reported at once as [`Findings`], each with its
//! location.
//!
//! Only problems that make a configuration invalid or unusable are reported. Unknown fields are stored and returned,
//! and never make a configuration invalid.
//!
//! Configurations are parsed by hand with `serde_json`, because `schematic` stops at the first value of a wrong type
//! and drops unknown fields.

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
mod size;
mod validation;

pub use document::Document;
pub use finding::{Finding, Findings};
pub use model::{Engine, Limits, RequestKind, Route, Service, WeightedBackend};
pub use route_table::RouteTable;
pub use size::{check_document_size, check_request_size, MAX_DOCUMENT_BYTES, MAX_REQUEST_BYTES};
