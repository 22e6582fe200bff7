//! Parses a log line with an event, in either log format.

use serde::Deserialize;

/// Prefix of an event's text.
const EVENT_PREFIX: &str = "event=";
/// Separator between the level of a plain text line and its event.
const EVENT_SEPARATOR: &str = "] event=";

/// An event with the time and process that logged it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Time of the log line, as RFC 3339.
    pub time: String,
    /// The machine's name.
    pub node: String,
    /// The role of the process.
    pub role: String,
    /// The logged event.
    pub event: Event,
}

/// A named event with its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Name of the event.
    pub name: String,
    /// Fields in the order in which they were logged.
    pub fields: Vec<Field>,
}

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// The key.
    pub key: String,
    /// The value, without quotation marks.
    pub value: String,
}

/// A log line written with `--log-format json`.
#[derive(Deserialize)]
struct JsonRecord {
    time: String,
    node: String,
    role: String,
    text: String,
}

impl LogRecord {
    /// Parses a log line; `None` if it holds no event.
    pub fn read(text: &str) -> Option<LogRecord> {
        let text = text.trim();
        if text.starts_with('{') {
            let JsonRecord {
                time,
                node,
                role,
                text,
            } = serde_json::from_str(text).ok()?;
            return Some(LogRecord {
                time,
                node,
                role,
                event: Event::read(&text)?,
            });
        }
        LogRecord::read_text(text)
    }

    /// Parses `TIME NODE ROLE [LEVEL] event=...`, ignoring any prefix that a log collector has added.
    fn read_text(text: &str) -> Option<LogRecord> {
        let level_end = text.find(EVENT_SEPARATOR)?;
        let event = Event::read(text[level_end..].trim_start_matches("] "))?;
        let mut words_before_event = text[..level_end].rsplit(' ');
        let _level = words_before_event
            .next()
            .filter(|word| word.starts_with('['))?;
        let role = words_before_event.next()?.to_owned();
        let node = words_before_event.next()?.to_owned();
        let time = words_before_event.next()?.to_owned();
        Some(LogRecord {
            time,
            node,
            role,
            event,
        })
    }
}

impl Event {
    fn read(text: &str) -> Option<Event> {
        text.strip_prefix(EVENT_PREFIX)?;
        let mut fields = Vec::new();
        let mut rest = text;
        while let Some((field, remainder)) = Field::read(rest) {
            fields.push(field);
            rest = remainder;
        }
        let name = fields.remove(0).value;
        Some(Event { name, fields })
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|field| field.key == key)
            .map(|field| field.value.as_str())
    }
}

impl Field {
    /// Parses the first field of a text; also returns the remaining text.
    fn read(text: &str) -> Option<(Field, &str)> {
        let (key, rest) = text.trim_start().split_once('=')?;
        if key.is_empty() || key.contains(' ') {
            return None;
        }
        let (value, remainder) = match rest.starts_with('"') {
            true => read_quoted(rest)?,
            false => {
                let end = rest.find(' ').unwrap_or(rest.len());
                (rest[..end].to_owned(), &rest[end..])
            }
        };
        Some((
            Field {
                key: key.to_owned(),
                value,
            },
            remainder,
        ))
    }
}

/// Parses the quoted value at the start of a text; also returns the remaining text.
fn read_quoted(text: &str) -> Option<(String, &str)> {
    let mut values = serde_json::Deserializer::from_str(text).into_iter::<String>();
    let value = values.next()?.ok()?;
    Some((value, &text[values.byte_offset()..]))
}

#[cfg(test)]
mod tests;
