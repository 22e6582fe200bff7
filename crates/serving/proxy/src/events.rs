//! Events of a stream (`text/event-stream`): split at their ends, read, never changed.

use bytes::{Bytes, BytesMut};
use smallvec::SmallVec;

/// The most bytes of one event. Guards against a server that never ends one.
const MOST_EVENT_BYTES: usize = 1024 * 1024;

/// An event that is longer than any may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

/// Holds back the part of an event that has not come whole.
#[derive(Debug, Default)]
pub struct Splitter {
    tail: BytesMut,
}

impl Splitter {
    /// Takes what came; gives the whole events so far, unchanged and in one piece.
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, TooLong> {
        if self.tail.is_empty() {
            return self.split(bytes);
        }
        self.tail.extend_from_slice(&bytes);
        let joined = self.tail.split().freeze();
        self.split(joined)
    }

    /// Whether nothing is held back.
    pub fn is_empty(&self) -> bool {
        self.tail.is_empty()
    }

    /// Bytes held back.
    pub fn held(&self) -> usize {
        self.tail.len()
    }

    /// Drops the part of an event that will never come whole.
    pub fn clear(&mut self) {
        self.tail.clear();
    }

    fn split(&mut self, mut bytes: Bytes) -> Result<Bytes, TooLong> {
        let whole = bytes.split_to(end_of_last_event(&bytes));
        if bytes.len() > MOST_EVENT_BYTES {
            return Err(TooLong);
        }
        self.tail.extend_from_slice(&bytes);
        Ok(whole)
    }
}

/// Where the last whole event ends: behind its empty line.
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

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event<'a> {
    /// Its id, where it is a number.
    pub id: Option<u64>,
    /// Its lines of data.
    pub data: SmallVec<[&'a [u8]; 1]>,
}

impl<'a> Event<'a> {
    /// The events in what a [`Splitter`] gave. What has no data is a comment, and no event.
    pub fn all(whole: &'a [u8]) -> impl Iterator<Item = Event<'a>> {
        let mut lines = Lines(whole);
        std::iter::from_fn(move || {
            let mut event = Event {
                id: None,
                data: SmallVec::new(),
            };
            for line in lines.by_ref() {
                if !line.is_empty() {
                    event.read(line);
                } else if !event.data.is_empty() {
                    return Some(event);
                }
            }
            None
        })
    }

    /// Appends its data, followed by a line feed.
    pub fn append_data(&self, output: &mut BytesMut) {
        for line in &self.data {
            output.extend_from_slice(line);
            output.extend_from_slice(b"\n");
        }
    }

    fn read(&mut self, line: &'a [u8]) {
        let (name, value) = field(line);
        match name {
            b"data" => self.data.push(value),
            b"id" => self.id = number(value),
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

/// Name and value of a line; one space behind the colon belongs to neither.
fn field(line: &[u8]) -> (&[u8], &[u8]) {
    match line.iter().position(|byte| *byte == b':') {
        Some(colon) => {
            let value = &line[colon + 1..];
            (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
        }
        None => (line, &[]),
    }
}

fn number(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
