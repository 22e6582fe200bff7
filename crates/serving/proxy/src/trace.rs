//! Debug log lines about the decisions on a request: `event=NAME request=ID key=value ...`, parsed by
//! `dunespur explain`. Above debug level nothing is formatted.

use crate::attempt_error::AttemptError;
use crate::classification::ResponseKind;
use crate::parsed_request::{header_text, ParsedRequest};
use crate::rejection::Rejection;
use dunespur_configuration::Route;
use dunespur_routing::{Choice, Ticket};
use http::request::Parts;
use http::{HeaderValue, Request, StatusCode};
use std::fmt;

/// Whether debug lines are written.
fn is_enabled() -> bool {
    log::log_enabled!(log::Level::Debug)
}

/// The request id for the lines that end a request; None above debug level.
pub(crate) struct LoggedId(Option<HeaderValue>);

impl LoggedId {
    pub(crate) fn from_request<B>(request: &Request<B>) -> LoggedId {
        let id = || {
            request
                .headers()
                .get(crate::http_headers::REQUEST_ID)
                .cloned()
        };
        LoggedId(is_enabled().then(id).flatten())
    }

    /// Logs the status of the response to the client.
    pub(crate) fn responded(&self, status: StatusCode) {
        if let Some(id) = &self.0 {
            log::debug!(
                "event=responded request={} status={}",
                LogValue::from_header(id),
                status.as_u16()
            );
        }
    }

    /// Logs a rejection by the proxy.
    pub(crate) fn rejected(&self, rejection: Rejection) {
        let Some(id) = &self.0 else { return };
        let (status, reason) = (rejection.status().as_u16(), rejection.reason().trim_end());
        log::debug!(
            "event=rejected request={} status={status} reason={}",
            LogValue::from_header(id),
            LogValue(reason)
        );
    }
}

/// Logs a request whose route was found.
pub(crate) fn arrived(head: &Parts, route: &Route, parsed: &ParsedRequest, remaining_ms: u64) {
    log::debug!(
        "event=arrived request={} method={} path={} route={} kind={:?} remaining_ms={remaining_ms} program={} \
         session={} previous={} budget={} max_tokens={}",
        LogValue::from_header(&parsed.id),
        head.method,
        LogValue(head.uri.path()),
        LogValue(&route.name),
        route.kind,
        LogValue(header_text(parsed.program.as_ref()).unwrap_or_default()),
        LogValue(header_text(parsed.session.as_ref()).unwrap_or_default()),
        LogValue(header_text(parsed.previous.as_ref()).unwrap_or_default()),
        parsed.budget.unwrap_or(0),
        parsed.max_tokens,
    );
}

/// Logs the key under which a turn's budget is reserved.
pub(crate) fn admitted(parsed: &ParsedRequest, turn: u64) {
    log::debug!(
        "event=admitted request={} turn={turn}",
        LogValue::from_header(&parsed.id)
    );
}

/// Logs the choice of an endpoint, or that none was chosen.
pub(crate) fn choice(parsed: &ParsedRequest, backend: &str, choice: &Choice) {
    let id = LogValue::from_header(&parsed.id);
    let backend = LogValue(backend);
    match choice {
        Choice::Send(ticket) => {
            log::debug!(
                "event=choice request={id} backend={backend} server={} ticket={}",
                LogValue(&ticket.server.id),
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

/// Whether a request is sent over a pooled or a new connection.
#[derive(Clone, Copy)]
pub(crate) enum ConnectionOrigin {
    Pooled,
    New,
}

/// Logs a send to an endpoint.
pub(crate) fn attempt(parsed: &ParsedRequest, ticket: &Ticket, origin: ConnectionOrigin) {
    let connection = match origin {
        ConnectionOrigin::Pooled => "pooled",
        ConnectionOrigin::New => "new",
    };
    let (id, server) = (
        LogValue::from_header(&parsed.id),
        LogValue(&ticket.server.id),
    );
    log::debug!(
        "event=attempt request={id} ticket={} server={server} connection={connection}",
        ticket.key
    );
}

/// Logs the head of an endpoint's response.
pub(crate) fn response(
    parsed: &ParsedRequest,
    ticket: &Ticket,
    status: StatusCode,
    kind: ResponseKind,
) {
    let (id, server) = (
        LogValue::from_header(&parsed.id),
        LogValue(&ticket.server.id),
    );
    let (key, status) = (ticket.key, status.as_u16());
    log::debug!(
        "event=response request={id} ticket={key} server={server} status={status} kind={kind:?}"
    );
}

/// Logs an attempt without a usable response.
pub(crate) fn attempt_failed(parsed: &ParsedRequest, ticket: &Ticket, error: AttemptError) {
    let (id, server) = (
        LogValue::from_header(&parsed.id),
        LogValue(&ticket.server.id),
    );
    log::debug!(
        "event=fault request={id} ticket={} server={server} fault={}",
        ticket.key,
        ErrorWord(error)
    );
}

/// Formats an attempt's error without spaces, so that it needs no quotation marks.
struct ErrorWord(AttemptError);

impl fmt::Display for ErrorWord {
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

/// Formats a value of a `key=value` pair: quoted if it is empty or contains spaces, quotation marks, backslashes or
/// characters outside visible ASCII.
struct LogValue<'a>(&'a str);

impl<'a> LogValue<'a> {
    fn from_header(value: &'a HeaderValue) -> LogValue<'a> {
        LogValue(value.to_str().unwrap_or("unreadable"))
    }
}

impl fmt::Display for LogValue<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_plain =
            |character: char| character.is_ascii_graphic() && character != '"' && character != '\\';
        if !self.0.is_empty() && self.0.chars().all(is_plain) {
            f.write_str(self.0)
        } else {
            write!(f, "{:?}", self.0)
        }
    }
}
