//! Streams of events (`text/event-stream`, the HTML standard's server-sent events): split at the ends of events, read,
//! never changed.

use bytes::{Bytes, BytesMut};
use smallvec::SmallVec;
use thiserror::Error;

/// The most bytes of one event. Protects against an endpoint that never ends one.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event is longer than any may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("an event of more than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Buffers the part of an event that has not arrived completely.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
}

impl EventSplitter {
    /// Takes what arrived; gives the complete events so far, unchanged and contiguous.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] if the event under way is longer than any may be.
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, EventTooLong> {
        if self.partial.is_empty() {
            return self.split(bytes);
        }
        self.partial.extend_from_slice(&bytes);
        let joined = self.partial.split().freeze();
        self.split(joined)
    }

    /// Whether nothing is buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.partial.is_empty()
    }

    /// How many bytes are buffered.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Drops the part of an event that will never be complete.
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

/// Where the last complete event ends: behind its empty line.
fn end_of_last_event(bytes: &[u8]) -> usize {
    let mut end = bytes.len();
    while let Some(feed) = bytes[..end].iter().rposition(|byte| *byte == b'\n') {
        if is_empty_line_end(&bytes[..feed]) {
            return feed + 1;
        }
        end = feed;
    }
    0
}

/// Whether a line feed behind `before` ends an empty line that another line came before.
fn is_empty_line_end(before: &[u8]) -> bool {
    let line = before.strip_suffix(b"\r").unwrap_or(before);
    line.ends_with(b"\n")
}

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event<'a> {
    /// Its id, where it is a number.
    pub id: Option<u64>,
    /// Its lines of data.
    pub data: SmallVec<[&'a [u8]; 1]>,
}

impl<'a> Event<'a> {
    /// The events in what an [`EventSplitter`] gave. What has no data is a comment, and no event.
    pub fn all(complete: &'a [u8]) -> impl Iterator<Item = Event<'a>> {
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

    /// Appends its data, each line followed by a line feed.
    pub fn append_data(&self, output: &mut BytesMut) {
        for line in &self.data {
            output.extend_from_slice(line);
            output.extend_from_slice(b"\n");
        }
    }

    fn read_line(&mut self, line: &'a [u8]) {
        let field = Field::of(line);
        match field.name {
            b"data" => self.data.push(field.value),
            b"id" => self.id = number(field.value),
            _ => {}
        }
    }
}

/// Lines without their ends; a last one without an end is none.
struct Lines<'a>(&'a [u8]);

impl<'a> Iterator for Lines<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<&'a [u8]> {
        let feed = self.0.iter().position(|byte| *byte == b'\n')?;
        let line = &self.0[..feed];
        self.0 = &self.0[feed + 1..];
        Some(line.strip_suffix(b"\r").unwrap_or(line))
    }
}

/// A line's name and value; one space behind the colon belongs to neither.
struct Field<'a> {
    name: &'a [u8],
    value: &'a [u8],
}

impl<'a> Field<'a> {
    fn of(line: &'a [u8]) -> Field<'a> {
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

fn number(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
