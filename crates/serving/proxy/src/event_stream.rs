//! Parses event streams (`text/event-stream`, the server-sent events of the HTML standard). Splits the bytes at event
//! boundaries and never changes them.

use bytes::{Bytes, BytesMut};
use smallvec::SmallVec;
use thiserror::Error;

/// The most bytes of one event. Protects against an endpoint that never ends an event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event exceeds the maximum length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Splits a stream after its complete events, and buffers the event that is still incomplete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
}

impl EventSplitter {
    /// Adds received bytes and returns all complete events, unchanged and contiguous.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] if the incomplete event exceeds the maximum length.
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, EventTooLong> {
        if self.partial.is_empty() {
            return self.split(bytes);
        }
        self.partial.extend_from_slice(&bytes);
        let joined = self.partial.split().freeze();
        self.split(joined)
    }

    /// Whether no part of an event is buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.partial.is_empty()
    }

    /// Returns the number of buffered bytes.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Discards the buffered part of an event.
    pub fn clear(&mut self) {
        self.partial.clear();
    }

    fn split(&mut self, mut bytes: Bytes) -> Result<Bytes, EventTooLong> {
        let complete = bytes.split_to(end_of_last_event(&bytes));
        if bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.partial.extend_from_slice(&bytes);
        Ok(complete)
    }
}

/// Returns the end of the last complete event, just after its empty line; 0 if there is none.
fn end_of_last_event(bytes: &[u8]) -> usize {
    let mut end = bytes.len();
    while let Some(line_feed) = bytes[..end].iter().rposition(|byte| *byte == b'\n') {
        if ends_in_empty_line(&bytes[..line_feed]) {
            return line_feed + 1;
        }
        end = line_feed;
    }
    0
}

/// Whether a line feed after these bytes would end an empty line that follows another line.
fn ends_in_empty_line(bytes: &[u8]) -> bool {
    let without_return = bytes.strip_suffix(b"\r").unwrap_or(bytes);
    without_return.ends_with(b"\n")
}

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event<'a> {
    /// The event's id, if it is a number.
    pub id: Option<u64>,
    /// The values of the event's `data` lines.
    pub data: SmallVec<[&'a [u8]; 1]>,
}

impl<'a> Event<'a> {
    /// Parses the complete events that an [`EventSplitter`] returned. Skips blocks without data, such as comments.
    pub fn parse_all(complete: &'a [u8]) -> impl Iterator<Item = Event<'a>> {
        let mut lines = Lines(complete);
        std::iter::from_fn(move || {
            let mut event = Event {
                id: None,
                data: SmallVec::new(),
            };
            for line in lines.by_ref() {
                if !line.is_empty() {
                    event.read_line(line);
                } else if !event.data.is_empty() {
                    return Some(event);
                }
            }
            None
        })
    }

    /// Appends the event's data lines, each followed by a line feed.
    pub fn append_data(&self, output: &mut BytesMut) {
        for line in &self.data {
            output.extend_from_slice(line);
            output.extend_from_slice(b"\n");
        }
    }

    fn read_line(&mut self, line: &'a [u8]) {
        let field = Field::parse(line);
        match field.name {
            b"data" => self.data.push(field.value),
            b"id" => self.id = parse_number(field.value),
            _ => {}
        }
    }
}

/// Iterates over lines without their line ends; skips a last line without a line end.
struct Lines<'a>(&'a [u8]);

impl<'a> Iterator for Lines<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<&'a [u8]> {
        let line_feed = self.0.iter().position(|byte| *byte == b'\n')?;
        let line = &self.0[..line_feed];
        self.0 = &self.0[line_feed + 1..];
        Some(line.strip_suffix(b"\r").unwrap_or(line))
    }
}

/// The field name and value of a line, without the colon and one optional space after it.
struct Field<'a> {
    name: &'a [u8],
    value: &'a [u8],
}

impl<'a> Field<'a> {
    fn parse(line: &'a [u8]) -> Field<'a> {
        match line.iter().position(|byte| *byte == b':') {
            Some(colon) => {
                let value = &line[colon + 1..];
                Field {
                    name: &line[..colon],
                    value: value.strip_prefix(b" ").unwrap_or(value),
                }
            }
            None => Field {
                name: line,
                value: &[],
            },
        }
    }
}

fn parse_number(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
