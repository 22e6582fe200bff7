//! Classifies the end of an attempt: its consequences for the request, the client and the endpoint connection. Pure
//! logic, without a clock or I/O.
//!
//! An [`Attempt`] is one send of a request over one connection. Its state has three parts: how much of the request was
//! sent ([`SendProgress`]), how much of a response arrived ([`ResponseProgress`]), and who ended the attempt
//! ([`EndedBy`]). [`Attempt::classify`] is the table over all combinations; the data plane uses no other rules.
//!
//! Two properties of HTTP add rows to the table:
//!
//! - A server may answer, and therefore run, a request whose body it has not read (RFC 9112 section 9.3). So a request
//!   may have run as soon as its head was written.
//! - A body without a length ends with its connection (RFC 9112 section 6.3). The body is complete if the connection
//!   was closed in order, and incomplete if it was reset.

use crate::safeguards::Safeguards;

/// Whether a request may run more than once (RFC 9110 section 9.2.2), as configured for its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Idempotency {
    /// The request may run more than once.
    Idempotent,
    /// The request must not run twice.
    NotIdempotent,
}

/// How much of a request was written to its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SendProgress {
    /// No byte of the request.
    Nothing,
    /// Part of the head.
    PartialHead,
    /// The head, and not all of the body.
    PartialBody,
    /// The whole request.
    Complete,
}

impl SendProgress {
    /// All values, in order.
    pub const ALL: [SendProgress; 4] = [
        SendProgress::Nothing,
        SendProgress::PartialHead,
        SendProgress::PartialBody,
        SendProgress::Complete,
    ];

    /// Whether a server that has received this much may run the request.
    #[must_use]
    pub fn may_run(self) -> bool {
        self >= SendProgress::PartialBody
    }
}

/// The kind of a response, judged by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResponseKind {
    /// The endpoint's response, to be forwarded.
    Final,
    /// A failure reported by the endpoint: the request has run.
    Failure,
    /// The endpoint confirms that it has not run the request.
    NotExecuted,
    /// Another instance has the endpoint's address; it has not run the request.
    OtherInstance,
    /// The status implies that the request has not run, but no header confirms it: the request may have run.
    UnconfirmedRejection,
    /// Not a response to this request: a stale response to another request, bytes that are not a response, or a success
    /// without the stamp of an endpoint.
    Unrelated,
}

impl ResponseKind {
    /// All kinds.
    pub const ALL: [ResponseKind; 6] = [
        ResponseKind::Final,
        ResponseKind::Failure,
        ResponseKind::NotExecuted,
        ResponseKind::OtherInstance,
        ResponseKind::UnconfirmedRejection,
        ResponseKind::Unrelated,
    ];

    /// Whether a response of this kind may go to the client.
    fn is_for_client(self) -> bool {
        matches!(self, ResponseKind::Final | ResponseKind::Failure)
    }
}

/// What marks the end of a response's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Framing {
    /// A length or a last chunk; or the response has no body.
    Delimited,
    /// The end of the connection.
    UntilClose,
}

/// How much of a response arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResponseProgress {
    /// No byte of a response.
    Nothing,
    /// Only interim responses (1xx). They do not show whether the request runs, and the HTTP library does not report
    /// them.
    Interim,
    /// The head, and not all of the body.
    Partial {
        /// The kind of the response.
        kind: ResponseKind,
        /// What would have marked the end of the body.
        framing: Framing,
        /// Whether the client has already received part of the response.
        forwarded: bool,
    },
    /// The whole response.
    Complete {
        /// The kind of the response.
        kind: ResponseKind,
        /// What marked the end of the body.
        framing: Framing,
    },
}

impl ResponseProgress {
    fn kind(self) -> Option<ResponseKind> {
        match self {
            ResponseProgress::Nothing | ResponseProgress::Interim => None,
            ResponseProgress::Partial { kind, .. } | ResponseProgress::Complete { kind, .. } => {
                Some(kind)
            }
        }
    }
}

/// Who ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndedBy {
    /// Nobody: the response is complete, and the connection stays open.
    Nobody,
    /// The endpoint closed the connection in order.
    Endpoint,
    /// The connection was reset, or failed.
    Reset,
    /// The request's deadline or the endpoint's response timeout has passed.
    Timeout,
    /// The client disconnected.
    Client,
    /// The proxy itself: the received bytes cannot be used.
    Proxy,
}

impl EndedBy {
    /// All values.
    pub const ALL: [EndedBy; 6] = [
        EndedBy::Nobody,
        EndedBy::Endpoint,
        EndedBy::Reset,
        EndedBy::Timeout,
        EndedBy::Client,
        EndedBy::Proxy,
    ];
}

/// Whether a sent request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Execution {
    /// The request has not run, and never will.
    NotRun,
    /// The request may have run, and is no longer running.
    MayHaveRun,
    /// The request may have run, and may still be running.
    MayBeRunning,
}

impl Execution {
    /// Returns what the client gets if no endpoint returns a usable response.
    #[must_use]
    pub fn without_response(self) -> ClientResponse {
        match self {
            Execution::NotRun => ClientResponse::Rejected,
            Execution::MayHaveRun => ClientResponse::BadGateway,
            Execution::MayBeRunning => ClientResponse::GatewayTimeout,
        }
    }
}

/// Whether a request may be sent again after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryRule {
    /// It may be sent again, as it has not run.
    Allowed,
    /// It may be sent again only if it is idempotent.
    IfIdempotent,
    /// It may be sent again only to resume after the events that the client has, on a route that allows this.
    IfResumable,
    /// It may not be sent again: the client has its response, or has disconnected.
    Never,
}

/// Whether a connection may carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionReuse {
    /// The connection may be reused, unless the endpoint closes it or surplus bytes arrive.
    Reusable,
    /// The connection has to be closed.
    Closes,
}

/// What the client gets if the request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientResponse {
    /// The endpoint's response.
    Forwarded,
    /// The beginning of the endpoint's response; the connection closes before the end.
    Truncated,
    /// A 503 from the proxy: the request has not run.
    Rejected,
    /// A 502 from the proxy: the request may have run.
    BadGateway,
    /// A 504 from the proxy: the request may have run, and its deadline has passed.
    GatewayTimeout,
    /// Nothing: the client has disconnected.
    Nothing,
}

/// The state of one attempt to get a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// How much of the request was sent.
    pub request: SendProgress,
    /// How much of a response arrived.
    pub response: ResponseProgress,
    /// Who ended the attempt.
    pub ended_by: EndedBy,
}

/// The consequences of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Classification {
    /// Whether the request has run.
    pub execution: Execution,
    /// Whether the request may be sent again.
    pub retry: RetryRule,
    /// Whether the connection may be used again.
    pub connection: ConnectionReuse,
    /// What the client gets if the request is not sent again.
    pub client: ClientResponse,
}

impl Attempt {
    /// Returns an attempt that ended before any byte of a response.
    #[must_use]
    pub fn unanswered(request: SendProgress, ended_by: EndedBy) -> Attempt {
        Attempt {
            request,
            response: ResponseProgress::Nothing,
            ended_by,
        }
    }

    /// Classifies the attempt: the table over all states.
    #[must_use]
    pub fn classify(self) -> Classification {
        let execution = self.execution();
        Classification {
            execution,
            retry: self.retry(execution),
            connection: self.connection(),
            client: self.client(execution),
        }
    }

    fn execution(self) -> Execution {
        let may_run = match self.response.kind() {
            Some(ResponseKind::NotExecuted | ResponseKind::OtherInstance) => false,
            // The response carries the request's id, so the endpoint has received the request.
            Some(
                ResponseKind::Final | ResponseKind::Failure | ResponseKind::UnconfirmedRejection,
            ) => true,
            Some(ResponseKind::Unrelated) | None => self.request.may_run(),
        };
        match self.ended_by {
            _ if !may_run => Execution::NotRun,
            EndedBy::Timeout | EndedBy::Client => Execution::MayBeRunning,
            _ => Execution::MayHaveRun,
        }
    }

    fn retry(self, execution: Execution) -> RetryRule {
        if self.ended_by == EndedBy::Client {
            return RetryRule::Never;
        }
        match self.response {
            ResponseProgress::Partial {
                forwarded: true, ..
            } => RetryRule::IfResumable,
            ResponseProgress::Complete {
                kind: ResponseKind::Final,
                ..
            } => RetryRule::Never,
            _ if execution == Execution::NotRun => RetryRule::Allowed,
            _ => RetryRule::IfIdempotent,
        }
    }

    fn connection(self) -> ConnectionReuse {
        let is_response_complete = matches!(
            self.response,
            ResponseProgress::Complete {
                kind: ResponseKind::Final | ResponseKind::Failure | ResponseKind::NotExecuted,
                framing: Framing::Delimited
            }
        );
        // Protects against an early response to a long body: the endpoint may still be reading the body, and would take
        // the next request for the rest of it.
        let is_request_complete = self.request == SendProgress::Complete;
        if is_response_complete && is_request_complete && self.ended_by == EndedBy::Nobody {
            ConnectionReuse::Reusable
        } else {
            ConnectionReuse::Closes
        }
    }

    fn client(self, execution: Execution) -> ClientResponse {
        if self.ended_by == EndedBy::Client {
            return ClientResponse::Nothing;
        }
        match self.response {
            ResponseProgress::Partial {
                forwarded: true, ..
            } => ClientResponse::Truncated,
            ResponseProgress::Complete { kind, .. } if kind.is_for_client() => {
                ClientResponse::Forwarded
            }
            _ => execution.without_response(),
        }
    }
}

/// Whether a body without a length is complete after its connection has ended in this way.
pub(crate) fn close_completes_body(ended_by: EndedBy, safeguards: Safeguards) -> bool {
    match ended_by {
        EndedBy::Endpoint => true,
        EndedBy::Reset => !safeguards.reset_truncates_body(),
        _ => false,
    }
}

#[cfg(test)]
mod tests;
