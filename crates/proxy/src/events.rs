//! Events of a stream (`text/event-stream`): split at their ends, read, never changed.

use bytes::{Bytes, BytesMut};

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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event<'a> {
    /// Its lines, without the empty one behind them.
    text: &'a [u8],
}

impl<'a> Event<'a> {
    /// The events in what a [`Splitter`] gave.
    pub fn all(whole: &'a [u8]) -> impl Iterator<Item = Event<'a>> {
        let mut rest = whole;
        std::iter::from_fn(move || {
            while !rest.is_empty() {
                let (text, behind) = rest.split_at(end_of_first_event(rest));
                rest = behind;
                let event = Event { text };
                if event.has_data() {
                    return Some(event);
                }
            }
            None
        })
    }

    /// Its id, where it is a number.
    pub fn id(&self) -> Option<u64> {
        let id = self.fields().filter(|(name, _)| *name == b"id").last()?.1;
        std::str::from_utf8(id).ok()?.trim().parse().ok()
    }

    /// Appends its data, followed by a line feed.
    pub fn append_data(&self, output: &mut BytesMut) {
        for (_, value) in self.fields().filter(|(name, _)| *name == b"data") {
            output.extend_from_slice(value);
            output.extend_from_slice(b"\n");
        }
    }

    /// Without any it is a comment, and no event.
    fn has_data(&self) -> bool {
        self.fields().any(|(name, _)| name == b"data")
    }

    fn fields(&self) -> impl Iterator<Item = (&'a [u8], &'a [u8])> {
        let lines = self.text.split(|byte| *byte == b'\n');
        lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line)).map(field)
    }
}

/// Where the first event of `bytes` ends; at their end if there is no empty line.
fn end_of_first_event(bytes: &[u8]) -> usize {
    let feeds = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    let mut ends = feeds.filter(|(feed, _)| is_empty_line_end(&bytes[..*feed]));
    ends.next().map_or(bytes.len(), |(feed, _)| feed + 1)
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
