//! Errors of the gateway. Each tells how far an attempt or call had come, and maps to the attempt result that the
//! limiter receives and to the status code that a client receives.

use dunespur_decisions::types::AttemptResult;
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum GatewayError {
    /// The configuration is invalid or names a resource that is unavailable.
    Config(String),
    /// A message that violates the protocol.
    Malformed(String),
    /// The request id belongs to an invocation in flight.
    DuplicateId,
    /// A body or line exceeds its size limit.
    TooLarge,
    /// The memory for request bodies is used up; a later attempt may succeed.
    OutOfBodyMemory,
    /// The connection could not be established.
    ConnectFailed,
    /// The connection closed before the last byte of the request was written.
    ClosedBeforeSent,
    /// The connection closed after the last byte was written, so the server may have run the request.
    ClosedAfterSent,
    /// No response arrived in time.
    TimedOut,
    /// The attempt was cancelled.
    Cancelled,
}

impl GatewayError {
    pub fn attempt_result(&self) -> AttemptResult {
        match self {
            GatewayError::ConnectFailed
            | GatewayError::ClosedBeforeSent
            | GatewayError::OutOfBodyMemory
            | GatewayError::Config(_) => AttemptResult::ConnectFailed,
            GatewayError::TimedOut => AttemptResult::Timeout,
            GatewayError::Cancelled => AttemptResult::Cancelled,
            GatewayError::ClosedAfterSent
            | GatewayError::Malformed(_)
            | GatewayError::DuplicateId
            | GatewayError::TooLarge => AttemptResult::Reset,
        }
    }

    pub fn status(&self) -> u16 {
        match self {
            GatewayError::TooLarge => 413,
            GatewayError::Malformed(_) => 400,
            GatewayError::DuplicateId => 409,
            GatewayError::OutOfBodyMemory => 503,
            _ => 502,
        }
    }
}

/// The texts for `Malformed`, `DuplicateId`, `TooLarge` and `OutOfBodyMemory` are sent to clients as response bodies.
impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            GatewayError::Config(reason) => write!(f, "configuration: {reason}"),
            GatewayError::Malformed(reason) => write!(f, "malformed: {reason}"),
            GatewayError::DuplicateId => f.write_str("the id is that of an invocation in hand"),
            GatewayError::TooLarge => f.write_str("the body is too large"),
            GatewayError::OutOfBodyMemory => {
                f.write_str("no memory for one more body, trying again is harmless")
            }
            GatewayError::ConnectFailed => f.write_str("connection could not be established"),
            GatewayError::ClosedBeforeSent => {
                f.write_str("connection closed before the request was completely written")
            }
            GatewayError::ClosedAfterSent => {
                f.write_str("connection closed after the request was completely written")
            }
            GatewayError::TimedOut => f.write_str("no response within the time limit"),
            GatewayError::Cancelled => f.write_str("cancelled"),
        }
    }
}
