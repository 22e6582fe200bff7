//! Events of a stream (`text/event-stream`).

use bytes::{Bytes, BytesMut};

/// One server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Id of the event; increases within a stream.
    pub id: u64,
    /// Data of the event; its lines are joined by line feeds.
    pub data: String,
}

impl Event {
    /// The event in the form in which a server sends it.
    #[must_use]
    pub fn bytes(&self) -> Bytes {
        let mut text = format!("id: {}\n", self.id);
        for line in self.data.split('\n') {
            text.push_str("data: ");
            text.push_str(line);
            text.push('\n');
        }
        text.push('\n');
        Bytes::from(text)
    }

    fn parse(block: &str) -> Option<Event> {
        let mut id = None;
        let mut data: Option<String> = None;
        for line in block.split('\n') {
            let (field, value) = line.split_once(':')?;
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "id" => id = Some(value.parse().ok()?),
                "data" => match &mut data {
                    Some(text) => {
                        text.push('\n');
                        text.push_str(value);
                    }
                    None => data = Some(value.to_owned()),
                },
                _ => {}
            }
        }
        Some(Event {
            id: id?,
            data: data?,
        })
    }
}

/// A malformed block of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GarbledEvent;

/// Parses events from chunks of a body.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
}

impl EventReader {
    /// Adds a chunk of the body.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Takes the next complete event, or an error for a malformed block; `None` where no block is complete.
    pub fn take(&mut self) -> Option<Result<Event, GarbledEvent>> {
        let end = self
            .buffer
            .windows(2)
            .position(|window| window == b"\n\n")?;
        let block = self.buffer.split_to(end + 2);
        let event = std::str::from_utf8(&block[..end])
            .ok()
            .and_then(Event::parse);
        Some(event.ok_or(GarbledEvent))
    }

    /// Number of bytes of an incomplete event.
    #[must_use]
    pub fn left(&self) -> usize {
        self.buffer.len()
    }
}
