//! Reading and writing of HTTP/1.1 messages. It uses no HTTP library, so that tests see exactly which bytes were sent
//! and can send malformed messages. The reader is strict: a malformed message is an error and never repaired.

mod body;
mod event;
mod headers;
pub mod name;
mod reader;
mod write;

pub use body::Framing;
pub use event::{Event, EventReader, GarbledEvent};
pub use headers::{Header, Headers, RequestHead, ResponseHead};
pub use reader::{MessageReader, WireError};
pub use write::{chunk, header_lines, request_bytes, response_head, LAST_CHUNK};
