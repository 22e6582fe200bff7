//! HTTP/1.1 as bytes: a reader and writers of our own, so that a stand-in sees exactly what came and can send what
//! no library would. Strict: what is not an answer in the protocol is an error, never repaired.

mod body;
mod event;
mod headers;
mod reader;
mod write;

pub use body::Framing;
pub use event::{Event, EventReader, GarbledEvent};
pub use headers::{Header, Headers, RequestHead, ResponseHead};
pub use reader::{MessageReader, WireError};
pub use write::{chunk, request_bytes, response_head, LAST_CHUNK};

/// Names of the headers of the protocol.
pub mod name {
    pub const REQUEST_ID: &str = "X-Dunespur-Request-Id";
    pub const STAMP: &str = "X-Dunespur-Response-Stamp";
    pub const NOT_EXECUTED: &str = "X-Dunespur-Not-Executed";
    pub const EXPECT_INSTANCE: &str = "X-Dunespur-Expect-Instance";
    pub const INSTANCE_ID: &str = "X-Dunespur-Instance-Id";
    pub const DEADLINE: &str = "X-Dunespur-Deadline-Ms";
    pub const MODEL: &str = "X-Dunespur-Model";
    pub const TOKEN_COUNT: &str = "X-Dunespur-Token-Count";
    pub const PROMPT_PREFIX: &str = "X-Dunespur-Prompt-Prefix";
    pub const BASE_VERSION: &str = "X-Dunespur-Base-Version";
    pub const PROGRAM: &str = "Program";
    pub const SESSION: &str = "Session";
    pub const FINISH: &str = "Finish-Ms";
    pub const BUDGET: &str = "Budget";
    pub const PREVIOUS: &str = "Previous";
    pub const PRIORITY: &str = "Priority";
    pub const LAST_EVENT_ID: &str = "Last-Event-Id";
    pub const RETRY_AFTER: &str = "Retry-After";
    pub const HOST: &str = "Host";
    pub const CONNECTION: &str = "Connection";
    pub const CONTENT_LENGTH: &str = "Content-Length";
    pub const CONTENT_TYPE: &str = "Content-Type";
    pub const CONTENT_ENCODING: &str = "Content-Encoding";
    pub const TRANSFER_ENCODING: &str = "Transfer-Encoding";
    pub const LOCATION: &str = "Location";
}
