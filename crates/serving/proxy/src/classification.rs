//! Classifies how an attempt to get a response ended: what that means for the request, its client and the endpoint's
//! connection. No clock, no I/O.
//!
//! An [`Attempt`] is one send of a request over one connection. It has three explicit states: how far the request was
//! sent ([`SendProgress`]), how much of a response came ([`ResponseProgress`]), and who ended it ([`EndedBy`]).
//! [`Attempt::classify`] is the table over all of them; the data plane decides by nothing else.
//!
//! Two things of HTTP make the table longer than it looks:
//!
//! - A server may answer, and so run, a request whose body it has not read (RFC 9112 section 9.3). So a request may
//!   have run as soon as its head was written, not only once all of it was.
//! - A body without a length ends with its connection (RFC 9112 section 6.3). Closed in order it is complete, reset it
//!   is not.

use crate::safeguards::Safeguards;

/// Whether a request may run more than once (RFC 9110 section 9.2.2); its route says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Idempotency {
    /// Running it again does no harm.
    Idempotent,
    /// It must not run twice.
    NotIdempotent,
}

/// How much of a request was written to its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SendProgress {
    /// No byte.
    Nothing,
    /// Some of its head, or all but the end of it.
    PartialHead,
    /// Its head, and less than its body.
    PartialBody,
    /// All of it.
    Complete,
}

impl SendProgress {
    /// All states, in order.
    pub const ALL: [SendProgress; 4] = [
        SendProgress::Nothing,
        SendProgress::PartialHead,
        SendProgress::PartialBody,
        SendProgress::Complete,
    ];

    /// Whether a server that has received this much may work on the request.
    #[must_use]
    pub fn may_run(self) -> bool {
        self >= SendProgress::PartialBody
    }
}

/// What the head of a response says about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResponseKind {
    /// The endpoint's response, to be forwarded.
    Final,
    /// A failure of the endpoint's own: the request has run.
    Failure,
    /// The endpoint has not run the request.
    NotExecuted,
    /// Another instance has the address; it has not run the request.
    OtherInstance,
    /// The status means that the request has not run, and no header confirms it: it may have.
    UnconfirmedRejection,
    /// It does not answer this request: a stale response to another one, bytes that form none, or one that no endpoint
    /// vouches for.
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
    /// Its length, its last chunk, or having no body at all.
    Delimited,
    /// The end of the connection.
    UntilClose,
}

/// How much of a response came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResponseProgress {
    /// No byte of a response.
    Nothing,
    /// Interim responses (1xx) alone. They say nothing of whether the request runs, and the HTTP library does not
    /// report them.
    Interim,
    /// The head, and less than the body.
    Partial {
        /// What the head says.
        kind: ResponseKind,
        /// What would have marked the end.
        framing: Framing,
        /// Whether the client has received some of it already.
        forwarded: bool,
    },
    /// All of it.
    Complete {
        /// What the head says.
        kind: ResponseKind,
        /// What marked the end.
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
    /// Nobody: its response is complete, and the connection stays open.
    Nobody,
    /// The endpoint closed the connection in order.
    Endpoint,
    /// The connection was reset, or failed.
    Reset,
    /// The deadline of the request, or the response timeout of its endpoint, has passed.
    Timeout,
    /// The client disconnected.
    Client,
    /// The proxy itself: what came can't be used.
    Proxy,
}

impl EndedBy {
    /// All of them.
    pub const ALL: [EndedBy; 6] = [
        EndedBy::Nobody,
        EndedBy::Endpoint,
        EndedBy::Reset,
        EndedBy::Timeout,
        EndedBy::Client,
        EndedBy::Proxy,
    ];
}

/// Whether a request that was sent has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Execution {
    /// It has not, and never will.
    NotRun,
    /// It may have run, and is finished.
    MayHaveRun,
    /// It may have run, and may be running still.
    MayBeRunning,
}

impl Execution {
    /// What a client gets whose request no endpoint has a usable response for.
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
    /// Yes: it has not run.
    Allowed,
    /// Only an idempotent one.
    IfIdempotent,
    /// Only to resume behind the events that the client has, on a route that allows it.
    IfResumable,
    /// No: the client has its response, or has disconnected.
    Never,
}

/// Whether a connection may carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionReuse {
    /// It may, unless the endpoint closes it or surplus bytes come.
    Reusable,
    /// It closes now.
    Closes,
}

/// What the client gets where the request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientResponse {
    /// The endpoint's response.
    Forwarded,
    /// The beginning of the endpoint's response, and a connection that closes before its end.
    Truncated,
    /// A 503 of the proxy's own: the request has not run.
    Rejected,
    /// A 502: the request may have run.
    BadGateway,
    /// A 504: the request may have run, and its deadline has passed.
    GatewayTimeout,
    /// Nothing: it has disconnected.
    Nothing,
}

/// One attempt to get a response, as far as it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// How far the request was sent.
    pub request: SendProgress,
    /// What came back.
    pub response: ResponseProgress,
    /// Who ended it.
    pub ended_by: EndedBy,
}

/// What follows from an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Classification {
    /// Whether the request has run.
    pub execution: Execution,
    /// Whether it may be sent again.
    pub retry: RetryRule,
    /// Whether its connection may be used again.
    pub connection: ConnectionReuse,
    /// What the client gets unless the request is sent again.
    pub client: ClientResponse,
}

impl Attempt {
    /// One that ended before any of its response came.
    #[must_use]
    pub fn unanswered(request: SendProgress, ended_by: EndedBy) -> Attempt {
        Attempt {
            request,
            response: ResponseProgress::Nothing,
            ended_by,
        }
    }

    /// The table.
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
            // It carries the request's id, so that the endpoint has it.
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
        // Protects against an early response to a long body: the endpoint may read on, and what comes next over the
        // connection would be taken for the rest of that body.
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

/// Whether a body that ends with its connection is complete where the connection ended so.
pub(crate) fn close_completes_body(ended_by: EndedBy, safeguards: Safeguards) -> bool {
    match ended_by {
        EndedBy::Endpoint => true,
        EndedBy::Reset => !safeguards.reset_truncates_body(),
        _ => false,
    }
}

#[cfg(test)]
mod tests;
