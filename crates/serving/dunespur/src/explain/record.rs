//! One log line with an event, in either format.

use serde::Deserialize;

/// What an event's text begins with.
const BEGIN: &str = "event=";
/// What stands between the head of a text line and its event.
const BEHIND_HEAD: &str = "] event=";

/// An event with when and where it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// When it was written, as RFC 3339.
    pub time: String,
    /// The machine's name.
    pub node: String,
    /// The role of its process.
    pub role: String,
    /// The event.
    pub event: Event,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its name.
    pub name: String,
    /// Keys and values, as they stood.
    pub fields: Vec<Field>,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Its key.
    pub key: String,
    /// Its value, without quotation marks.
    pub value: String,
}

/// A line of `--log-format json`.
#[derive(Deserialize)]
struct JsonRecord {
    time: String,
    node: String,
    role: String,
    text: String,
}

impl LogRecord {
    /// The event of a log line; none if it has none.
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

    /// `TIME NODE ROLE [LEVEL] event=...`, whatever a collector of logs has put before.
    fn read_text(text: &str) -> Option<LogRecord> {
        let behind_head = text.find(BEHIND_HEAD)?;
        let event = Event::read(text[behind_head..].trim_start_matches("] "))?;
        let mut known_sentence = text[..behind_head].rsplit(' ');
        let _level = known_sentence.next().filter(|word| word.starts_with('['))?;
        let role = known_sentence.next()?.to_owned();
        let node = known_sentence.next()?.to_owned();
        let time = known_sentence.next()?.to_owned();
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
        text.strip_prefix(BEGIN)?;
        let mut fields = Vec::new();
        let mut rest = text;
        while let Some((field, behind)) = Field::read(rest) {
            fields.push(field);
            rest = behind;
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
    /// The first field of a text, and what stands behind it.
    fn read(text: &str) -> Option<(Field, &str)> {
        let (key, rest) = text.trim_start().split_once('=')?;
        if key.is_empty() || key.contains(' ') {
            return None;
        }
        let (value, behind) = match rest.starts_with('"') {
            true => quoted(rest)?,
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
            behind,
        ))
    }
}

/// The value in quotation marks that a text begins with.
fn quoted(text: &str) -> Option<(String, &str)> {
    let mut values = serde_json::Deserializer::from_str(text).into_iter::<String>();
    let value = values.next()?.ok()?;
    Some((value, &text[values.byte_offset()..]))
}

#[cfg(test)]
mod tests;
