//! Lines at debug level that say what was decided on a request and why, for `dunespur explain`.
//!
//! Each is `event=NAME key=value ...`. Keys join the lines of one request, over processes: `request` is the id that
//! the client gave, `ticket` names a send and `turn` an admission within one process, `previous` the turn that a
//! turn goes on from, `program` its agent program. Nothing of this is formatted, let alone written, above debug.

use crate::clock::Clock;
use dunespur_budget::{CounterChange, CounterReply, CounterRequest};
use dunespur_proxy::{AdmissionDecision, AdmissionRequest, History};
use dunespur_routing::{Choice, LoadReport, Outcome, RoutingRequest};
use dunespur_turn_replication::message::{StoreReply, StoreRequest};
use std::fmt;

/// Servers whose load is written with a choice; guards against lines of hundreds of servers.
const MAX_LOADS: usize = 32;

/// Whether these lines are written.
pub fn enabled() -> bool {
    log::log_enabled!(log::Level::Debug)
}

/// Measures how long something takes, where that is written.
pub struct Stopwatch(Option<(Clock, u64)>);

impl Stopwatch {
    /// Starts to measure.
    pub fn start(clock: Clock) -> Stopwatch {
        Stopwatch(enabled().then(|| (clock, clock.now())))
    }

    /// The time since the start; none where nothing is written.
    pub fn took_ms(&self) -> Option<u64> {
        let (clock, started_at) = self.0.as_ref()?;
        Some(clock.now() - started_at)
    }
}

/// A value as it stands behind its key: in quotation marks if it would not end where it ends.
pub struct Value<'a>(pub &'a str);

impl fmt::Display for Value<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '\\';
        if !self.0.is_empty() && self.0.chars().all(is_plain) {
            return f.write_str(self.0);
        }
        // A text can always be written as JSON.
        f.write_str(&serde_json::to_string(self.0).unwrap_or_default())
    }
}

/// A key with its value, behind a space; nothing where there is no value.
struct Field<'a>(&'a str, Option<&'a str>);

impl fmt::Display for Field<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.1 {
            Some(value) => write!(f, " {}={}", self.0, Value(value)),
            None => Ok(()),
        }
    }
}

/// A server was chosen, or none; `loads` is what this gateway had in flight at servers before.
pub fn choice(request: &RoutingRequest, choice: &Choice, loads: &[LoadReport]) {
    let program = Field("program", request.program);
    let session = Field("session", request.session);
    let attempt = format!(
        "backend={} left_ms={} prompt={} max_tokens={} tried={}{program}{session}",
        Value(request.backend),
        request.time_left_ms,
        request.prompt_tokens,
        request.max_tokens,
        request.tried.len(),
    );
    match choice {
        Choice::Send(ticket) => log::debug!(
            "event=choice_reason ticket={} server={} address={} zone={} loads={} {attempt}",
            ticket.key,
            Value(&ticket.server.id),
            ticket.server.address,
            Value(&ticket.server.zone),
            Value(&loads_text(loads)),
        ),
        Choice::Reject { retry_after_ms } => log::debug!(
            "event=choice_reason verdict=refuse retry_after_ms={retry_after_ms} loads={} {attempt}",
            Value(&loads_text(loads))
        ),
        Choice::NoServer => log::debug!("event=choice_reason verdict=no_server {attempt}"),
    }
}

/// `server:requests` of each, such as `i-1:3,i-2:0`.
fn loads_text(loads: &[LoadReport]) -> String {
    let texts = loads
        .iter()
        .take(MAX_LOADS)
        .map(|load| format!("{}:{}", load.server, load.in_flight));
    texts.collect::<Vec<_>>().join(",")
}

/// The first event of a stream, or the head of a plain answer, has come.
pub fn first_event(ticket: u64) {
    log::debug!("event=first_event ticket={ticket}");
}

/// An attempt has ended.
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

/// A turn was admitted or not; `waited_ms` is how long the decision took.
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
        Value(request.program),
        request.budget,
        request.max_tokens,
    );
}

/// A turn has ended.
pub fn release(turn: u64) {
    log::debug!("event=release turn={turn}");
}

/// The core's counter has answered a request of this limiter, or has not.
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
        Value(&request.program),
        request.sequence,
        request.used,
    );
}

/// The turn that another one continues was looked up.
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
        Value(previous),
        Value(program),
    );
}

/// A store was called for the chain that ends in a turn.
pub fn chain_request(previous: &str, turn: &str, store: &str) {
    log::debug!(
        "event=chain_request previous={} of={} store={}",
        Value(previous),
        Value(turn),
        Value(store)
    );
}

/// It answered, or could not be reached.
pub fn chain_reply(previous: &str, store: &str, reply: Option<&StoreReply>) {
    log::debug!(
        "event=chain_reply previous={} store={} reply={}",
        Value(previous),
        Value(store),
        reply_name(reply)
    );
}

/// A turn was put to a store.
pub fn put(request: &str, store: &str, hint: Option<&str>) {
    log::debug!(
        "event=put request={} store={}{}",
        Value(request),
        Value(store),
        Field("hint", hint)
    );
}

/// The store answered, or could not be reached.
pub fn put_reply(request: &str, store: &str, reply: Option<&StoreReply>) {
    log::debug!(
        "event=put_reply request={} store={} reply={}",
        Value(request),
        Value(store),
        reply_name(reply)
    );
}

/// Whether enough stores have a turn on their disks.
pub fn persisted(
    request: &str,
    previous: Option<&str>,
    program: &str,
    persisted: bool,
    took_ms: u64,
) {
    log::debug!(
        "event=persisted request={}{} program={} verdict={} took_ms={took_ms}",
        Value(request),
        Field("previous", previous),
        Value(program),
        if persisted { "persisted" } else { "uncertain" },
    );
}

/// At a store: a request of a gateway or another store was answered.
pub fn store_answered(subject: &StoreSubject, reply: Option<&StoreReply>, took_ms: u64) {
    let reply = reply_name(reply);
    match subject {
        StoreSubject::Put { id, hint } => log::debug!(
            "event=stored request={}{} reply={reply} took_ms={took_ms}",
            Value(id),
            Field("hint", hint.as_deref()),
        ),
        StoreSubject::Chain { id } => {
            log::debug!(
                "event=chain_read previous={} reply={reply} took_ms={took_ms}",
                Value(id)
            );
        }
    }
}

/// What a request to a store is about, as far as it belongs to one turn.
pub enum StoreSubject {
    Put { id: String, hint: Option<String> },
    Chain { id: String },
}

impl StoreSubject {
    /// None where nothing is written, or the request belongs to no turn.
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
