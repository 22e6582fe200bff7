//! Formats a trace as text for people.

use super::record::{Event, Field, LogRecord};
use super::trace::RequestTrace;
use std::fmt::Write;

const SECONDS_PER_MINUTE: u64 = 60;
const MINUTES_PER_HOUR: u64 = 60;
const MS_PER_SECOND: u64 = 1000;

/// Renders a trace with one line per event, each with the milliseconds since the first event.
pub fn render(trace: &RequestTrace) -> String {
    let mut text = String::new();
    let first = trace
        .records
        .first()
        .map(|record| record.time.as_str())
        .unwrap_or_default();
    let _ = writeln!(
        text,
        "request {}, from {first} on (ms, by each machine's own clock)",
        trace.request
    );
    let width = trace
        .records
        .iter()
        .map(|record| process_name(record).chars().count())
        .max()
        .unwrap_or(0);
    for record in &trace.records {
        let elapsed_ms =
            ms_between(first, &record.time).map_or("?".to_owned(), |ms| ms.to_string());
        let _ = writeln!(
            text,
            "{elapsed_ms:>6}  {:<width$}  {}",
            process_name(record),
            sentence(&record.event)
        );
    }
    text
}

fn process_name(record: &LogRecord) -> String {
    format!("{} {}", record.node, record.role)
}

/// Milliseconds between two times on the same day or on consecutive days.
fn ms_between(first: &str, time: &str) -> Option<u64> {
    let day_ms = 24 * MINUTES_PER_HOUR * SECONDS_PER_MINUTE * MS_PER_SECOND;
    let (first_date, first) = first.split_once('T')?;
    let (date, time) = time.split_once('T')?;
    let date_offset_ms = if date == first_date { 0 } else { day_ms };
    (date_offset_ms + ms_of_day(time)?).checked_sub(ms_of_day(first)?)
}

/// Milliseconds since midnight of `HH:MM:SS.mmmZ`.
fn ms_of_day(time: &str) -> Option<u64> {
    let (clock, ms) = time.strip_suffix('Z')?.split_once('.')?;
    let fields: Vec<u64> = clock
        .split(':')
        .map(str::parse)
        .collect::<Result<_, _>>()
        .ok()?;
    let [hours, minutes, seconds] = fields[..] else {
        return None;
    };
    let seconds = (hours * MINUTES_PER_HOUR + minutes) * SECONDS_PER_MINUTE + seconds;
    Some(seconds * MS_PER_SECOND + ms.parse::<u64>().ok()?)
}

/// An event described as a sentence.
struct Sentence {
    text: String,
    /// Keys whose values the text already contains.
    shown: &'static [&'static str],
}

impl Sentence {
    fn new(text: String, shown: &'static [&'static str]) -> Sentence {
        Sentence { text, shown }
    }
}

/// Describes an event, followed by the fields that the description does not contain. An unknown event is rendered by
/// its name and fields.
fn sentence(event: &Event) -> String {
    let Sentence { text, shown } =
        known_sentence(event).unwrap_or_else(|| Sentence::new(event.name.clone(), &[]));
    let is_not_shown = |field: &&Field| {
        field.key != "request" && !field.value.is_empty() && !shown.contains(&field.key.as_str())
    };
    let not_shown: Vec<String> = event
        .fields
        .iter()
        .filter(is_not_shown)
        .map(key_and_value)
        .collect();
    if not_shown.is_empty() {
        text
    } else {
        format!("{text} ({})", not_shown.join(", "))
    }
}

fn key_and_value(field: &Field) -> String {
    format!("{} {}", field.key.replace('_', " "), field.value)
}

fn known_sentence(event: &Event) -> Option<Sentence> {
    client_sentence(event)
        .or_else(|| admission_sentence(event))
        .or_else(|| attempt_sentence(event))
        .or_else(|| turn_sentence(event))
}

/// The value of a key, or a question mark if the event lacks it.
fn value<'a>(event: &'a Event, key: &str) -> &'a str {
    event.get(key).unwrap_or("?")
}

/// Events between a client and its gateway.
fn client_sentence(event: &Event) -> Option<Sentence> {
    let get = |key| value(event, key);
    let sentence = match event.name.as_str() {
        "arrived" => Sentence::new(
            format!(
                "arrived: {} {}, route {}",
                get("method"),
                get("path"),
                get("route")
            ),
            &["method", "path", "route"],
        ),
        "responded" => Sentence::new(
            format!("response to the client: {}", get("status")),
            &["status"],
        ),
        "rejected" => Sentence::new(
            format!("rejected with {}: {}", get("status"), get("reason")),
            &["status", "reason"],
        ),
        "ended" => Sentence::new(format!("response ended: {}", get("end")), &["end"]),
        _ => return None,
    };
    Some(sentence)
}

/// Events of a program's budget.
fn admission_sentence(event: &Event) -> Option<Sentence> {
    let get = |key| value(event, key);
    let sentence = match event.name.as_str() {
        "budget" => Sentence::new(
            format!("budget of program {}: {}", get("program"), get("verdict")),
            &["program", "verdict"],
        ),
        "counter" => Sentence::new(
            format!(
                "the core's counter of program {}: {}",
                get("program"),
                get("reply")
            ),
            &["program", "reply"],
        ),
        "release" => Sentence::new("unused tokens of the turn released".to_owned(), &[]),
        _ => return None,
    };
    Some(sentence)
}

/// Events of server choices and attempts.
fn attempt_sentence(event: &Event) -> Option<Sentence> {
    let get = |key| value(event, key);
    let sentence = match event.name.as_str() {
        "choice" => choice_sentence(event),
        "choice_reason" => choice_reason_sentence(event),
        "attempt" => Sentence::new(
            format!(
                "sent to {} over a {} connection",
                get("server"),
                get("connection")
            ),
            &["server", "connection"],
        ),
        "first_event" => Sentence::new("the response begins".to_owned(), &[]),
        "response" => Sentence::new(
            format!(
                "{} responded {}: {}",
                get("server"),
                get("status"),
                get("kind")
            ),
            &["server", "status", "kind"],
        ),
        "fault" => Sentence::new(
            format!("{}: {}", get("server"), get("fault")),
            &["server", "fault"],
        ),
        "outcome" => Sentence::new(
            format!("the attempt ends: {}", get("outcome")),
            &["outcome"],
        ),
        _ => return None,
    };
    Some(sentence)
}

/// Events of reading and storing turns.
fn turn_sentence(event: &Event) -> Option<Sentence> {
    let get = |key| value(event, key);
    let sentence = match event.name.as_str() {
        "history" => Sentence::new(
            format!(
                "history that ends in turn {}: {}",
                get("previous"),
                get("outcome")
            ),
            &["previous", "outcome"],
        ),
        "put" => Sentence::new(format!("put to store {}", get("store")), &["store"]),
        "put_reply" | "chain_reply" => Sentence::new(
            format!("store {} replied: {}", get("store"), get("reply")),
            &["store", "reply"],
        ),
        "stored" => Sentence::new(
            format!("request to store it, replied: {}", get("reply")),
            &["reply"],
        ),
        "chain_request" => Sentence::new(
            format!(
                "request to store {} to read turn {}",
                get("store"),
                get("of")
            ),
            &["store", "of"],
        ),
        "chain_read" => Sentence::new(
            format!(
                "request to read turn {}, replied: {}",
                get("previous"),
                get("reply")
            ),
            &["previous", "reply"],
        ),
        "persisted" => Sentence::new(format!("turn {}", get("verdict")), &["verdict"]),
        _ => return None,
    };
    Some(sentence)
}

fn choice_sentence(event: &Event) -> Sentence {
    match event.get("server") {
        Some(server) => Sentence::new(format!("goes to {server}"), &["server", "verdict"]),
        None => Sentence::new(
            format!("no server chosen: {}", value(event, "verdict")),
            &["verdict"],
        ),
    }
}

fn choice_reason_sentence(event: &Event) -> Sentence {
    let loads = event
        .get("loads")
        .filter(|loads| !loads.is_empty())
        .unwrap_or("nothing");
    let backend = value(event, "backend");
    let chosen = event
        .get("server")
        .map_or("none".to_owned(), |server| format!("server {server}"));
    Sentence::new(
        format!("choice for service {backend}: {chosen}, with {loads} in flight from here"),
        &["loads", "backend", "server"],
    )
}
