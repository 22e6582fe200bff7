//! What can go wrong, as values that say how far the delivery or call had come. Owns the step from a fault
//! to the ending that the decisions are told and to the status that a client sees. It must never panic,
//! log, retry or decide anything.

use dunespur_decisions::types::AttemptResult;
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The configuration can't be used.
    Config(String),
    /// A message that is not of the protocol.
    Malformed(String),
    /// An id that another invocation in hand has.
    InHand,
    /// A body over the bound.
    TooLarge,
    /// No memory for one more body; later there is.
    Crowded,
    /// No connection came up.
    NotConnected,
    /// The connection broke before the last byte was written.
    Unwritten,
    /// It broke after that: the other side may have acted.
    Broken,
    /// Nothing came before the time was up.
    Silent,
    /// The invocation no longer wanted it.
    Withdrawn,
}

impl Fault {
    pub fn ending(&self) -> AttemptResult {
        match self {
            Fault::NotConnected | Fault::Unwritten | Fault::Crowded | Fault::Config(_) => {
                AttemptResult::ConnectFailed
            }
            Fault::Silent => AttemptResult::Timeout,
            Fault::Withdrawn => AttemptResult::Cancelled,
            Fault::Broken | Fault::Malformed(_) | Fault::InHand | Fault::TooLarge => {
                AttemptResult::Reset
            }
        }
    }

    pub fn status(&self) -> u16 {
        match self {
            Fault::TooLarge => 413,
            Fault::Malformed(_) => 400,
            Fault::InHand => 409,
            Fault::Crowded => 503,
            _ => 502,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Config(what) => write!(f, "configuration: {what}"),
            Fault::Malformed(what) => write!(f, "malformed: {what}"),
            Fault::InHand => f.write_str("the id is that of an invocation in hand"),
            Fault::TooLarge => f.write_str("the body is too large"),
            Fault::Crowded => f.write_str("no memory for one more body, trying again is harmless"),
            Fault::NotConnected => f.write_str("no connection came up"),
            Fault::Unwritten => {
                f.write_str("the connection broke before the last byte was written")
            }
            Fault::Broken => f.write_str("the connection broke after the last byte was written"),
            Fault::Silent => f.write_str("no answer in time"),
            Fault::Withdrawn => f.write_str("no longer wanted"),
        }
    }
}
