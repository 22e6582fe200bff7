//! Lines at debug level that say what was decided on a request: `event=NAME request=ID key=value ...`, as
//! `dunespur explain` reads them. Nothing of this is formatted, let alone written, above debug.

use crate::attempt_error::AttemptError;
use crate::classification::ResponseKind;
use crate::parsed_request::{text, ParsedRequest};
use crate::rejection::Rejection;
use dunespur_configuration::Route;
use dunespur_routing::{Choice, Ticket};
use http::request::Parts;
use http::{HeaderValue, Request, StatusCode};
use std::fmt;

/// Whether these lines are written.
fn enabled() -> bool {
    log::log_enabled!(log::Level::Debug)
}

/// The id of a request whose lines are written; none above debug level.
pub(crate) struct LoggedId(Option<HeaderValue>);

impl LoggedId {
    pub(crate) fn of<B>(request: &Request<B>) -> LoggedId {
        let id = || {
            request
                .headers()
                .get(crate::http_headers::REQUEST_ID)
                .cloned()
        };
        LoggedId(enabled().then(id).flatten())
    }

    /// The head of a response goes to the client.
    pub(crate) fn responded(&self, status: StatusCode) {
        if let Some(id) = &self.0 {
            log::debug!(
                "event=responded request={} status={}",
                Value::of(id),
                status.as_u16()
            );
        }
    }

    /// The proxy responds itself.
    pub(crate) fn rejected(&self, rejection: Rejection) {
        let Some(id) = &self.0 else { return };
        let (status, reason) = (rejection.status().as_u16(), rejection.reason().trim_end());
        log::debug!(
            "event=rejected request={} status={status} reason={}",
            Value::of(id),
            Value(reason)
        );
    }
}

/// A request has a route.
pub(crate) fn arrived(head: &Parts, route: &Route, parsed: &ParsedRequest, remaining_ms: u64) {
    log::debug!(
        "event=arrived request={} method={} path={} route={} kind={:?} remaining_ms={remaining_ms} program={} \
         session={} previous={} budget={} max_tokens={}",
        Value::of(&parsed.id),
        head.method,
        Value(head.uri.path()),
        Value(&route.name),
        route.kind,
        Value(text(parsed.program.as_ref()).unwrap_or_default()),
        Value(text(parsed.session.as_ref()).unwrap_or_default()),
        Value(text(parsed.previous.as_ref()).unwrap_or_default()),
        parsed.budget.unwrap_or(0),
        parsed.max_tokens,
    );
}

/// A turn's budget is reserved under this key.
pub(crate) fn admitted(parsed: &ParsedRequest, turn: u64) {
    log::debug!(
        "event=admitted request={} turn={turn}",
        Value::of(&parsed.id)
    );
}

/// An endpoint was chosen, or none.
pub(crate) fn choice(parsed: &ParsedRequest, backend: &str, choice: &Choice) {
    let id = Value::of(&parsed.id);
    let backend = Value(backend);
    match choice {
        Choice::Send(ticket) => {
            log::debug!(
                "event=choice request={id} backend={backend} server={} ticket={}",
                Value(&ticket.server.id),
                ticket.key
            );
        }
        Choice::Reject { retry_after_ms } => {
            log::debug!(
                "event=choice request={id} backend={backend} verdict=refuse retry_after_ms={retry_after_ms}"
            );
        }
        Choice::NoServer => {
            log::debug!("event=choice request={id} backend={backend} verdict=no_server");
        }
    }
}

/// Which connection carries a request.
#[derive(Clone, Copy)]
pub(crate) enum ConnectionOrigin {
    Pooled,
    New,
}

/// The request is sent to an endpoint.
pub(crate) fn attempt(parsed: &ParsedRequest, ticket: &Ticket, origin: ConnectionOrigin) {
    let connection = match origin {
        ConnectionOrigin::Pooled => "pooled",
        ConnectionOrigin::New => "new",
    };
    let (id, server) = (Value::of(&parsed.id), Value(&ticket.server.id));
    log::debug!(
        "event=attempt request={id} ticket={} server={server} connection={connection}",
        ticket.key
    );
}

/// The head of a response has come.
pub(crate) fn response(
    parsed: &ParsedRequest,
    ticket: &Ticket,
    status: StatusCode,
    kind: ResponseKind,
) {
    let (id, server) = (Value::of(&parsed.id), Value(&ticket.server.id));
    let (key, status) = (ticket.key, status.as_u16());
    log::debug!(
        "event=response request={id} ticket={key} server={server} status={status} kind={kind:?}"
    );
}

/// An attempt brought no response that can be used.
pub(crate) fn attempt_failed(parsed: &ParsedRequest, ticket: &Ticket, error: AttemptError) {
    let (id, server) = (Value::of(&parsed.id), Value(&ticket.server.id));
    log::debug!(
        "event=fault request={id} ticket={} server={server} fault={}",
        ticket.key,
        Fault(error)
    );
}

/// An error of an attempt as one word.
struct Fault(AttemptError);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            AttemptError::Connect(error) => write!(f, "{error:?}"),
            AttemptError::Ended(attempt) => {
                let execution = attempt.classify().execution;
                write!(
                    f,
                    "{execution:?},request:{:?},ended_by:{:?}",
                    attempt.request, attempt.ended_by
                )
            }
        }
    }
}

/// A value as it stands behind its key: in quotation marks if it would not end where it ends.
struct Value<'a>(&'a str);

impl<'a> Value<'a> {
    fn of(value: &'a HeaderValue) -> Value<'a> {
        Value(value.to_str().unwrap_or("unreadable"))
    }
}

impl fmt::Display for Value<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '\\';
        if !self.0.is_empty() && self.0.chars().all(is_plain) {
            f.write_str(self.0)
        } else {
            write!(f, "{:?}", self.0)
        }
    }
}
