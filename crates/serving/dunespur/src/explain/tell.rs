//! A story as text for people.

use super::line::{Event, Field, Line};
use super::story::Story;
use std::fmt::Write;

const SECONDS_PER_MINUTE: u64 = 60;
const MINUTES_PER_HOUR: u64 = 60;
const MS_PER_SECOND: u64 = 1000;

/// The whole text: a line an event, with the milliseconds since the first.
pub fn of(story: &Story) -> String {
    let mut text = String::new();
    let first = story
        .lines
        .first()
        .map(|line| line.time.as_str())
        .unwrap_or_default();
    let _ = writeln!(
        text,
        "request {}, from {first} on (ms, by each machine's own clock)",
        story.request
    );
    let width = story
        .lines
        .iter()
        .map(|line| process(line).chars().count())
        .max()
        .unwrap_or(0);
    for line in &story.lines {
        let since = since(first, &line.time).map_or("?".to_owned(), |ms| ms.to_string());
        let _ = writeln!(
            text,
            "{since:>6}  {:<width$}  {}",
            process(line),
            sentence(&line.event)
        );
    }
    text
}

fn process(line: &Line) -> String {
    format!("{} {}", line.node, line.role)
}

/// Milliseconds between two times of a day or of two that follow each other.
fn since(first: &str, time: &str) -> Option<u64> {
    let day = 24 * MINUTES_PER_HOUR * SECONDS_PER_MINUTE * MS_PER_SECOND;
    let (first_date, first) = first.split_once('T')?;
    let (date, time) = time.split_once('T')?;
    let passed = if date == first_date { 0 } else { day };
    (passed + of_day(time)?).checked_sub(of_day(first)?)
}

/// Milliseconds since midnight of `HH:MM:SS.mmmZ`.
fn of_day(time: &str) -> Option<u64> {
    let (clock, ms) = time.strip_suffix('Z')?.split_once('.')?;
    let parts: Vec<u64> = clock
        .split(':')
        .map(str::parse)
        .collect::<Result<_, _>>()
        .ok()?;
    let [hours, minutes, seconds] = parts[..] else {
        return None;
    };
    let seconds = (hours * MINUTES_PER_HOUR + minutes) * SECONDS_PER_MINUTE + seconds;
    Some(seconds * MS_PER_SECOND + ms.parse::<u64>().ok()?)
}

/// What an event says, and behind it the values that the sentence does not hold. An event that is not known here is
/// told as it stood.
fn sentence(event: &Event) -> String {
    let (words, said) = match words(event) {
        Some(told) => told,
        None => (event.name.clone(), Vec::new()),
    };
    let is_unsaid = |field: &&Field| {
        field.key != "request" && !field.value.is_empty() && !said.contains(&field.key.as_str())
    };
    let unsaid = event.fields.iter().filter(is_unsaid);
    let rest: Vec<String> = unsaid.map(told).collect();
    if rest.is_empty() {
        words
    } else {
        format!("{words} ({})", rest.join(", "))
    }
}

fn told(field: &Field) -> String {
    format!("{} {}", field.key.replace('_', " "), field.value)
}

type Told = (String, Vec<&'static str>);

/// A sentence with the keys whose values stand in it.
fn words(event: &Event) -> Option<Told> {
    let get = |key: &str| event.get(key).unwrap_or("?");
    let told = match event.name.as_str() {
        "arrived" => (
            format!(
                "arrived: {} {}, route {}",
                get("method"),
                get("path"),
                get("route")
            ),
            vec!["method", "path", "route"],
        ),
        "history" => (
            format!(
                "what it goes on from, {}, is {}",
                get("previous"),
                get("outcome")
            ),
            vec!["previous", "outcome"],
        ),
        "budget" => (
            format!("budget of program {}: {}", get("program"), get("verdict")),
            vec!["program", "verdict"],
        ),
        "counter" => (
            format!(
                "the core's counter of program {} says {}",
                get("program"),
                get("reply")
            ),
            vec!["program", "reply"],
        ),
        "choice" => return Some(choice_words(event)),
        "why" => return Some(reason_words(event)),
        "attempt" => (
            format!(
                "sent to {} over a {} connection",
                get("server"),
                get("connection")
            ),
            vec!["server", "connection"],
        ),
        "first_event" => ("the answer begins".to_owned(), vec![]),
        "response" => (
            format!(
                "{} responded {}: {}",
                get("server"),
                get("status"),
                get("kind")
            ),
            vec!["server", "status", "kind"],
        ),
        "fault" => (
            format!("{}: {}", get("server"), get("fault")),
            vec!["server", "fault"],
        ),
        "outcome" => (
            format!("the send ends: {}", get("outcome")),
            vec!["outcome"],
        ),
        "put" => (format!("put to store {}", get("store")), vec!["store"]),
        "put_answered" => (
            format!("store {} says {}", get("store"), get("reply")),
            vec!["store", "reply"],
        ),
        "stored" => (
            format!("asked to keep it, says {}", get("reply")),
            vec!["reply"],
        ),
        "chain_asked" => (
            format!("store {} asked for turn {}", get("store"), get("of")),
            vec!["store", "of"],
        ),
        "chain_answered" => (
            format!("store {} says {}", get("store"), get("reply")),
            vec!["store", "reply"],
        ),
        "chain_read" => (
            format!("asked for turn {}, says {}", get("previous"), get("reply")),
            vec!["previous", "reply"],
        ),
        "kept" => (format!("turn {}", get("verdict")), vec!["verdict"]),
        "release" => (
            "what the turn has not used of its budget is free".to_owned(),
            vec![],
        ),
        "responded" => (
            format!("response to the client: {}", get("status")),
            vec!["status"],
        ),
        "rejected" => (
            format!("rejected with {}: {}", get("status"), get("reason")),
            vec!["status", "reason"],
        ),
        "ended" => (format!("answer ended: {}", get("end")), vec!["end"]),
        _ => return None,
    };
    Some(told)
}

fn choice_words(event: &Event) -> Told {
    match event.get("server") {
        Some(server) => (format!("goes to {server}"), vec!["server", "verdict"]),
        None => (
            format!("no server chosen: {}", event.get("verdict").unwrap_or("?")),
            vec!["verdict"],
        ),
    }
}

fn reason_words(event: &Event) -> Told {
    let loads = event
        .get("loads")
        .filter(|loads| !loads.is_empty())
        .unwrap_or("nothing");
    let backend = event.get("backend").unwrap_or("?");
    let chosen = event
        .get("server")
        .map_or("none".to_owned(), |server| format!("server {server}"));
    (
        format!("choice for service {backend}: {chosen}, with {loads} in flight from here"),
        vec!["loads", "backend", "server"],
    )
}
