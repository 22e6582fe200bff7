//! Names of the headers that the protocol uses.

/// Id of the attempt.
pub const REQUEST_ID: &str = "X-Dunespur-Request-Id";
/// Stamp that a server gives to its response; each response has another one.
pub const STAMP: &str = "X-Dunespur-Response-Stamp";
/// States that the request did not run.
pub const NOT_EXECUTED: &str = "X-Dunespur-Not-Executed";
/// Server incarnation that the request is meant for.
pub const EXPECT_INSTANCE: &str = "X-Dunespur-Expect-Instance";
/// Server incarnation that answers a health check.
pub const INSTANCE_ID: &str = "X-Dunespur-Instance-Id";
/// Remaining time of the request, in milliseconds.
pub const DEADLINE: &str = "X-Dunespur-Deadline-Ms";
/// Name of the model.
pub const MODEL: &str = "X-Dunespur-Model";
/// Number of the prompt's tokens and maximum number of tokens to generate.
pub const TOKEN_COUNT: &str = "X-Dunespur-Token-Count";
/// Segments of the prompt.
pub const PROMPT_PREFIX: &str = "X-Dunespur-Prompt-Prefix";
/// Version of the configuration that a change is based on.
pub const BASE_VERSION: &str = "X-Dunespur-Base-Version";
/// Id of the agent program.
pub const PROGRAM: &str = "Program";
/// Id of the session.
pub const SESSION: &str = "Session";
/// Remaining time of the program, in milliseconds.
pub const FINISH: &str = "Finish-Ms";
/// Token budget of the program.
pub const BUDGET: &str = "Budget";
/// Id of the turn that this one continues.
pub const PREVIOUS: &str = "Previous";
/// Priority of the request.
pub const PRIORITY: &str = "Priority";
/// Id of the last event that the client has received (HTML standard, server-sent events).
pub const LAST_EVENT_ID: &str = "Last-Event-Id";
/// When to retry (RFC 9110, section 10.2.3).
pub const RETRY_AFTER: &str = "Retry-After";
/// Host of the request (RFC 9110, section 7.2).
pub const HOST: &str = "Host";
/// Options of the connection (RFC 9110, section 7.6.1).
pub const CONNECTION: &str = "Connection";
/// Length of the body (RFC 9110, section 8.6).
pub const CONTENT_LENGTH: &str = "Content-Length";
/// Media type of the body (RFC 9110, section 8.3).
pub const CONTENT_TYPE: &str = "Content-Type";
/// Content coding of the body (RFC 9110, section 8.4).
pub const CONTENT_ENCODING: &str = "Content-Encoding";
/// Framing of the body (RFC 9112, section 6.1).
pub const TRANSFER_ENCODING: &str = "Transfer-Encoding";
/// Target of a redirection (RFC 9110, section 10.2.2).
pub const LOCATION: &str = "Location";
