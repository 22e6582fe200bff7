//! Limits on the size of configurations and of the requests that change them.
//!
//! A configuration travels whole, in one message to each process that follows the core, so a larger one could never come
//! into force.

use crate::{location::Location, Findings};

/// The most bytes that a request's fields take beside its body in the log of the core.
const REQUEST_ENVELOPE_BYTES: usize = 64;
/// The most bytes of the body of one configuration request. The core takes operations of up to 1 MiB.
pub const MAX_REQUEST_BYTES: usize = (1 << 20) - REQUEST_ENVELOPE_BYTES;
/// The most bytes of a configuration that a patch may result in: half of the largest message, so that the rest of the
/// control state fits beside it.
pub const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// Checks the length of a configuration request's body.
///
/// # Errors
///
/// A finding that names the limit, if the body is too long.
pub fn check_request_size(bytes: usize) -> Result<(), Findings> {
    check(bytes, MAX_REQUEST_BYTES, "a request has")
}

/// Checks the length of a configuration.
///
/// # Errors
///
/// A finding that names the limit, if the configuration is too long.
pub fn check_document_size(bytes: usize) -> Result<(), Findings> {
    check(bytes, MAX_DOCUMENT_BYTES, "a configuration has")
}

fn check(bytes: usize, limit: usize, subject: &str) -> Result<(), Findings> {
    if bytes <= limit {
        return Ok(());
    }
    let problem = format!("has {bytes} bytes, but {subject} at most {limit}");
    Err(Findings::one(Location::Top, problem))
}
