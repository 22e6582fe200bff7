//! HTTP/1.1 as bytes: a reader and writers of its own, so that tests see exactly what was sent and can send what
//! no library would. Strict: a malformed message is an error, never repaired.

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
pub use write::{chunk, request_bytes, response_head, LAST_CHUNK};
