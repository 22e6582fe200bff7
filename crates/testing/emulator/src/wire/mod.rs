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
    /// Id of a request; the answer repeats it.
    pub const REQUEST_ID: &str = "X-Dunespur-Request-Id";
    /// What a server puts into its answer to tell it from all others.
    pub const STAMP: &str = "X-Dunespur-Response-Stamp";
    /// The request did not run and never will.
    pub const NOT_EXECUTED: &str = "X-Dunespur-Not-Executed";
    /// Id of the server that is meant; another one refuses.
    pub const EXPECT_INSTANCE: &str = "X-Dunespur-Expect-Instance";
    /// Id of the server that answers.
    pub const INSTANCE_ID: &str = "X-Dunespur-Instance-Id";
    /// Time left for the answer, in milliseconds.
    pub const DEADLINE: &str = "X-Dunespur-Deadline-Ms";
    /// The model that is to answer.
    pub const MODEL: &str = "X-Dunespur-Model";
    /// Tokens of the prompt and the most to generate.
    pub const TOKEN_COUNT: &str = "X-Dunespur-Token-Count";
    /// Parts of the prompt, as ids with their tokens.
    pub const PROMPT_PREFIX: &str = "X-Dunespur-Prompt-Prefix";
    /// The configuration's version that a patch goes on from.
    pub const BASE_VERSION: &str = "X-Dunespur-Base-Version";
    /// Id of the program.
    pub const PROGRAM: &str = "Program";
    /// Id of the session within it.
    pub const SESSION: &str = "Session";
    /// Time left until the program should end, in milliseconds.
    pub const FINISH: &str = "Finish-Ms";
    /// The program's token budget.
    pub const BUDGET: &str = "Budget";
    /// Id of the turn that this one goes on from.
    pub const PREVIOUS: &str = "Previous";
    /// Lesser numbers are more urgent.
    pub const PRIORITY: &str = "Priority";
    /// The last event that the client has (server-sent events).
    pub const LAST_EVENT_ID: &str = "Last-Event-Id";
    /// When the client may come again (RFC 9110, section 10.2.3).
    pub const RETRY_AFTER: &str = "Retry-After";
    /// The host that is asked (RFC 9110, section 7.2).
    pub const HOST: &str = "Host";
    /// Whether the connection stays (RFC 9110, section 7.6.1).
    pub const CONNECTION: &str = "Connection";
    /// Length of the body (RFC 9110, section 8.6).
    pub const CONTENT_LENGTH: &str = "Content-Length";
    /// Type of the body (RFC 9110, section 8.3).
    pub const CONTENT_TYPE: &str = "Content-Type";
    /// Encoding of the body (RFC 9110, section 8.4).
    pub const CONTENT_ENCODING: &str = "Content-Encoding";
    /// How the body is framed (RFC 9112, section 6.1).
    pub const TRANSFER_ENCODING: &str = "Transfer-Encoding";
    /// Where else to go (RFC 9110, section 10.2.2).
    pub const LOCATION: &str = "Location";
}
