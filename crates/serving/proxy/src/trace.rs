//! Lines at debug level that tell what was decided on a request: `event=NAME request=ID key=value ...`, as
//! `dunespur explain` reads them. Nothing of this is formatted, let alone written, above debug.

use crate::asked::{text, Asked};
use crate::attempt::AttemptError;
use crate::disposition::AnswerKind;
use crate::refusal::Refusal;
use dunespur_configuration::Route;
use dunespur_routing::{Choice, Ticket};
use http::request::Parts;
use http::{HeaderValue, Request, StatusCode};
use std::fmt;

/// Whether these lines are written.
fn enabled() -> bool {
    log::log_enabled!(log::Level::Debug)
}

/// The id of a request whose lines are written.
pub(crate) struct Told(Option<HeaderValue>);

impl Told {
    pub(crate) fn of<B>(request: &Request<B>) -> Told {
        let id = || {
            request
                .headers()
                .get(crate::http_headers::REQUEST_ID)
                .cloned()
        };
        Told(enabled().then(id).flatten())
    }

    /// The head of an answer goes to the client.
    pub(crate) fn answered(&self, status: StatusCode) {
        if let Some(id) = &self.0 {
            log::debug!(
                "event=answered request={} status={}",
                Value::of(id),
                status.as_u16()
            );
        }
    }

    /// The data plane answers itself.
    pub(crate) fn refused(&self, refusal: Refusal) {
        let Some(id) = &self.0 else { return };
        let (status, reason) = (refusal.status().as_u16(), refusal.reason().trim_end());
        log::debug!(
            "event=refused request={} status={status} reason={}",
            Value::of(id),
            Value(reason)
        );
    }
}

/// A request has a route.
pub(crate) fn arrived(head: &Parts, route: &Route, asked: &Asked, left_ms: u64) {
    log::debug!(
        "event=arrived request={} method={} path={} route={} kind={:?} left_ms={left_ms} program={} session={} \
         previous={} budget={} most={}",
        Value::of(&asked.id),
        head.method,
        Value(head.uri.path()),
        Value(&route.name),
        route.kind,
        Value(text(&asked.program).unwrap_or_default()),
        Value(text(&asked.session).unwrap_or_default()),
        Value(text(&asked.previous).unwrap_or_default()),
        asked.budget.unwrap_or(0),
        asked.most_tokens,
    );
}

/// A turn's budget is reserved under this key.
pub(crate) fn admitted(asked: &Asked, turn: u64) {
    log::debug!(
        "event=admitted request={} turn={turn}",
        Value::of(&asked.id)
    );
}

/// A server was chosen, or none.
pub(crate) fn choice(asked: &Asked, backend: &str, choice: &Choice) {
    let id = Value::of(&asked.id);
    let backend = Value(backend);
    match choice {
        Choice::Send(ticket) => {
            log::debug!(
                "event=choice request={id} backend={backend} server={} ticket={}",
                Value(&ticket.server.id),
                ticket.key
            );
        }
        Choice::Refuse { retry_after_ms } => {
            log::debug!(
                "event=choice request={id} backend={backend} verdict=refuse retry_after_ms={retry_after_ms}"
            );
        }
        Choice::NoServer => {
            log::debug!("event=choice request={id} backend={backend} verdict=no_server")
        }
    }
}

/// Which connection carries a request.
#[derive(Clone, Copy)]
pub(crate) enum Over {
    Kept,
    New,
}

/// The request is sent to a server.
pub(crate) fn sent(asked: &Asked, ticket: &Ticket, over: Over) {
    let over = match over {
        Over::Kept => "kept",
        Over::New => "new",
    };
    let (id, server) = (Value::of(&asked.id), Value(&ticket.server.id));
    log::debug!(
        "event=try request={id} ticket={} server={server} over={over}",
        ticket.key
    );
}

/// The head of an answer has come. The key `verdict` is what `dunespur explain` reads.
pub(crate) fn answer_kind(asked: &Asked, ticket: &Ticket, status: StatusCode, kind: AnswerKind) {
    let (id, server) = (Value::of(&asked.id), Value(&ticket.server.id));
    let status = status.as_u16();
    log::debug!(
        "event=verdict request={id} ticket={} server={server} status={status} verdict={kind:?}",
        ticket.key
    );
}

/// An attempt brought no answer that can be used.
pub(crate) fn attempt_failed(asked: &Asked, ticket: &Ticket, error: AttemptError) {
    let (id, server) = (Value::of(&asked.id), Value(&ticket.server.id));
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
                let execution = attempt.disposition().execution;
                write!(
                    f,
                    "{execution:?},sent:{:?},ended_by:{:?}",
                    attempt.sent, attempt.ended_by
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
