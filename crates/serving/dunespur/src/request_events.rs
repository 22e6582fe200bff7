//! Debug log lines that record the decisions on a request and their reasons, for `dunespur explain`.
//!
//! A line is `event=NAME key=value ...`. Keys connect the lines of one request across processes: `request` is the id
//! given by the client, `ticket` identifies one attempt and `turn` one admission within a process, `previous` is the
//! turn that a turn continues, and `program` its agent program. At log levels above debug nothing is formatted or
//! written.

use crate::clock::Clock;
use dunespur_budget::{CounterChange, CounterReply, CounterRequest};
use dunespur_proxy::{AdmissionDecision, AdmissionRequest, History};
use dunespur_routing::{Choice, LoadReport, Outcome, RoutingRequest};
use dunespur_turn_replication::message::{StoreReply, StoreRequest};
use std::fmt;

/// Maximum number of server loads in one line, as a gateway may know hundreds of servers.
const MAX_LOADS: usize = 32;

/// Whether event lines are logged.
pub fn enabled() -> bool {
    log::log_enabled!(log::Level::Debug)
}

/// Measures a duration for an event line; does nothing unless event lines are logged.
pub struct Stopwatch(Option<(Clock, u64)>);

impl Stopwatch {
    /// Starts the measurement.
    pub fn start(clock: Clock) -> Stopwatch {
        Stopwatch(enabled().then(|| (clock, clock.now())))
    }

    /// Time since the start; `None` if event lines are not logged.
    pub fn took_ms(&self) -> Option<u64> {
        let (clock, started_at) = self.0.as_ref()?;
        Some(clock.now() - started_at)
    }
}

/// Formats a field's value: as a JSON string if it is empty or contains spaces, quotation marks, backslashes or
/// non-ASCII characters.
pub struct FieldValue<'a>(pub &'a str);

impl fmt::Display for FieldValue<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_plain =
            |character: char| character.is_ascii_graphic() && character != '"' && character != '\\';
        if !self.0.is_empty() && self.0.chars().all(is_plain) {
            return f.write_str(self.0);
        }
        // Encoding a string as JSON can't fail.
        f.write_str(&serde_json::to_string(self.0).unwrap_or_default())
    }
}

/// Formats an optional field, preceded by a space; empty without a value.
struct OptionalField<'a>(&'a str, Option<&'a str>);

impl fmt::Display for OptionalField<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.1 {
            Some(value) => write!(f, " {}={}", self.0, FieldValue(value)),
            None => Ok(()),
        }
    }
}

/// Logs the choice of a server, or that none was chosen; `loads` are this gateway's loads in flight before the choice.
pub fn choice(request: &RoutingRequest, choice: &Choice, loads: &[LoadReport]) {
    let program = OptionalField("program", request.program);
    let session = OptionalField("session", request.session);
    let attempt = format!(
        "backend={} left_ms={} prompt={} max_tokens={} tried={}{program}{session}",
        FieldValue(request.backend),
        request.time_left_ms,
        request.prompt_tokens,
        request.max_tokens,
        request.tried.len(),
    );
    match choice {
        Choice::Send(ticket) => log::debug!(
            "event=choice_reason ticket={} server={} address={} zone={} loads={} {attempt}",
            ticket.key,
            FieldValue(&ticket.server.id),
            ticket.server.address,
            FieldValue(&ticket.server.zone),
            FieldValue(&loads_text(loads)),
        ),
        Choice::Reject { retry_after_ms } => log::debug!(
            "event=choice_reason verdict=refuse retry_after_ms={retry_after_ms} loads={} {attempt}",
            FieldValue(&loads_text(loads))
        ),
        Choice::NoServer => log::debug!("event=choice_reason verdict=no_server {attempt}"),
    }
}

/// Formats loads as `server:requests`, such as `i-1:3,i-2:0`.
fn loads_text(loads: &[LoadReport]) -> String {
    let texts = loads
        .iter()
        .take(MAX_LOADS)
        .map(|load| format!("{}:{}", load.server, load.in_flight));
    texts.collect::<Vec<_>>().join(",")
}

/// Logs that the first event of a stream, or the head of a plain response, has arrived.
pub fn first_event(ticket: u64) {
    log::debug!("event=first_event ticket={ticket}");
}

/// Logs the outcome of an attempt.
pub fn outcome(ticket: u64, outcome: Outcome) {
    match outcome {
        Outcome::Served { tokens_out } => {
            log::debug!("event=outcome ticket={ticket} outcome=served tokens={tokens_out}");
        }
        other => {
            let name = match other {
                Outcome::Served { .. } => "served",
                Outcome::Failed => "failed",
                Outcome::TimedOut => "silent",
                Outcome::Rejected => "shed",
                Outcome::Misdirected => "moved",
                Outcome::Unreachable => "unreachable",
                Outcome::Cancelled => "abandoned",
            };
            log::debug!("event=outcome ticket={ticket} outcome={name}");
        }
    }
}

/// Logs the admission decision on a turn; `waited_ms` is the time until the decision.
pub fn budget(
    request: &AdmissionRequest,
    verdict: &AdmissionDecision,
    leased: u64,
    waited_ms: u64,
) {
    let verdict = match verdict {
        AdmissionDecision::Admitted(turn) => format!("verdict=admitted turn={}", turn.0),
        AdmissionDecision::BudgetSpent => "verdict=spent".to_owned(),
        AdmissionDecision::RetryLater { retry_after_ms } => {
            format!("verdict=wait retry_after_ms={retry_after_ms}")
        }
    };
    log::debug!(
        "event=budget program={} budget={} max_tokens={} {verdict} leased={leased} waited_ms={waited_ms}",
        FieldValue(request.program),
        request.budget,
        request.max_tokens,
    );
}

/// Logs that an admitted turn has ended.
pub fn release(turn: u64) {
    log::debug!("event=release turn={turn}");
}

/// Logs a counter request to the core with its reply; `None` if there was no reply.
pub fn counter(request: &CounterRequest, reply: Option<&CounterReply>, took_ms: u64) {
    let change = match request.change {
        CounterChange::Lease {
            needed,
            wanted,
            returned,
        } => {
            format!("needed={needed} wanted={wanted} returned={returned}")
        }
        CounterChange::Return { units } => format!("returned={units}"),
    };
    let reply = match reply {
        Some(CounterReply::Granted { units, left }) => {
            format!("reply=granted units={units} left={left}")
        }
        Some(CounterReply::Spent) => "reply=spent".to_owned(),
        Some(CounterReply::LeasedElsewhere { leased }) => {
            format!("reply=elsewhere leased={leased}")
        }
        Some(CounterReply::Returned) => "reply=returned".to_owned(),
        Some(CounterReply::Stale) => "reply=stale".to_owned(),
        None => "reply=none".to_owned(),
    };
    log::debug!(
        "event=counter program={} sequence={} used={} {change} {reply} took_ms={took_ms}",
        FieldValue(&request.program),
        request.sequence,
        request.used,
    );
}

/// Logs the result of reading the history that ends in the turn `previous`.
pub fn history(program: &str, previous: &str, found: &History, took_ms: u64) {
    let outcome = match found {
        History::Found(messages) => {
            let bytes: usize = messages.iter().map(bytes::Bytes::len).sum();
            format!("outcome=found messages={} bytes={bytes}", messages.len())
        }
        History::Unknown => "outcome=unknown".to_owned(),
        History::Unavailable { retry_after_ms } => {
            format!("outcome=unavailable retry_after_ms={retry_after_ms}")
        }
    };
    log::debug!(
        "event=history previous={} program={} {outcome} took_ms={took_ms}",
        FieldValue(previous),
        FieldValue(program),
    );
}

/// Logs a request to a store for the chain of turns that ends in `turn`.
pub fn chain_request(previous: &str, turn: &str, store: &str) {
    log::debug!(
        "event=chain_request previous={} of={} store={}",
        FieldValue(previous),
        FieldValue(turn),
        FieldValue(store)
    );
}

/// Logs a store's reply to a request for a chain; `None` if there was no reply.
pub fn chain_reply(previous: &str, store: &str, reply: Option<&StoreReply>) {
    log::debug!(
        "event=chain_reply previous={} store={} reply={}",
        FieldValue(previous),
        FieldValue(store),
        reply_name(reply)
    );
}

/// Logs a request to a store to store a turn.
pub fn put(request: &str, store: &str, hint: Option<&str>) {
    log::debug!(
        "event=put request={} store={}{}",
        FieldValue(request),
        FieldValue(store),
        OptionalField("hint", hint)
    );
}

/// Logs a store's reply to a request to store a turn; `None` if there was no reply.
pub fn put_reply(request: &str, store: &str, reply: Option<&StoreReply>) {
    log::debug!(
        "event=put_reply request={} store={} reply={}",
        FieldValue(request),
        FieldValue(store),
        reply_name(reply)
    );
}

/// Logs whether enough stores have a turn on disk.
pub fn persisted(
    request: &str,
    previous: Option<&str>,
    program: &str,
    persisted: bool,
    took_ms: u64,
) {
    log::debug!(
        "event=persisted request={}{} program={} verdict={} took_ms={took_ms}",
        FieldValue(request),
        OptionalField("previous", previous),
        FieldValue(program),
        if persisted { "persisted" } else { "uncertain" },
    );
}

/// Logs, at a store, the reply to a request from a gateway or another store.
pub fn store_answered(subject: &StoreSubject, reply: Option<&StoreReply>, took_ms: u64) {
    let reply = reply_name(reply);
    match subject {
        StoreSubject::Put { id, hint } => log::debug!(
            "event=stored request={}{} reply={reply} took_ms={took_ms}",
            FieldValue(id),
            OptionalField("hint", hint.as_deref()),
        ),
        StoreSubject::Chain { id } => {
            log::debug!(
                "event=chain_read previous={} reply={reply} took_ms={took_ms}",
                FieldValue(id)
            );
        }
    }
}

/// The turn that a request to a store belongs to.
pub enum StoreSubject {
    Put { id: String, hint: Option<String> },
    Chain { id: String },
}

impl StoreSubject {
    /// `None` if event lines are not logged, or the request does not belong to one turn.
    pub fn of(request: &StoreRequest) -> Option<StoreSubject> {
        if !enabled() {
            return None;
        }
        match request {
            StoreRequest::Put { turn, hint } => Some(StoreSubject::Put {
                id: turn.id.clone(),
                hint: hint.clone(),
            }),
            StoreRequest::Chain { id } => Some(StoreSubject::Chain { id: id.clone() }),
            _ => None,
        }
    }
}

fn reply_name(reply: Option<&StoreReply>) -> String {
    match reply {
        Some(StoreReply::Stored) => "stored".to_owned(),
        Some(StoreReply::Rejected(rejection)) => format!("rejected_{rejection:?}").to_lowercase(),
        Some(StoreReply::Found { turns, missing, .. }) => {
            format!("found turns={} complete={}", turns.len(), missing.is_none())
        }
        Some(StoreReply::Unknown { .. }) => "unknown".to_owned(),
        Some(_) => "other".to_owned(),
        None => "none".to_owned(),
    }
}
