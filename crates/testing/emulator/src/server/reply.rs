//! The answer to one request, spoilt where the test ordered a trouble.

use super::{Door, Trouble};
use crate::digest::Digester;
use crate::identity::RequestId;
use crate::record::{Fate, Sighting};
use crate::wire::{chunk, name, response_head, Event, Headers, LAST_CHUNK};
use bytes::Bytes;
use std::future::pending;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

/// What a server in trouble sends for an answer.
const GARBAGE: &[u8] = b"\x00\x07 no answer at all \xff\xfe\r\n\r\n";

/// Where an answer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Nothing,
    Streaming,
    /// Whole; the connection goes on if `keeps`.
    Whole,
    /// Spoilt or not written: the connection ends.
    Ended,
}

/// Writes the answer to one request.
pub struct Reply {
    door: Arc<Door>,
    write: OwnedWriteHalf,
    request: RequestId,
    sighting: usize,
    stamp: String,
    trouble: Option<Trouble>,
    state: State,
    sent: Digester,
    sent_bytes: usize,
    /// An answer's second copy, for the place of the next answer.
    surplus: Option<Bytes>,
}

impl Reply {
    pub(super) fn new(
        door: Arc<Door>,
        write: OwnedWriteHalf,
        request: RequestId,
        sighting: usize,
    ) -> Reply {
        let stamp = door.stamp();
        let trouble = door.troubles.draw();
        Reply {
            door,
            write,
            request,
            sighting,
            stamp,
            trouble,
            state: State::Nothing,
            sent: Digester::default(),
            sent_bytes: 0,
            surplus: None,
        }
    }

    pub(super) fn into_write(self) -> OwnedWriteHalf {
        self.write
    }

    pub(super) fn take_surplus(&mut self) -> Option<Bytes> {
        self.surplus.take()
    }

    /// Whether the connection can take another request.
    pub(super) fn keeps(&self) -> bool {
        self.state == State::Whole && self.trouble != Some(Trouble::Close) && !self.door.leaving()
    }

    /// The status with which the test wants the request turned away, if it does.
    pub fn ordered_away(&self) -> Option<u16> {
        match self.trouble {
            Some(Trouble::TurnAway { status }) => Some(status),
            _ => None,
        }
    }

    /// The server begins to work on the request.
    pub fn run(&mut self) {
        self.note(|sighting| sighting.fate = Fate::Run);
    }

    /// Does not run the request, and says so.
    pub async fn turn_away(&mut self, status: u16) {
        self.note(|sighting| sighting.fate = Fate::TurnedAway);
        let headers = self.headers().with(name::NOT_EXECUTED, "1");
        self.send_whole(status, headers, Bytes::new()).await;
    }

    /// Answers a request that ran.
    pub async fn answer(&mut self, status: u16, body: Bytes) {
        if self.spoilt_before_answer().await {
            return;
        }
        match self.trouble {
            Some(Trouble::Cut { after }) => self.cut_whole(status, &body, after).await,
            _ => self.stamped(status, body).await,
        }
    }

    /// Begins a stream; false where nothing more has to be sent.
    pub async fn begin_stream(&mut self) -> bool {
        if self.spoilt_before_answer().await {
            return false;
        }
        self.stream_head().await;
        self.state == State::Streaming
    }

    /// Sends one event; false where nothing more has to be sent.
    pub async fn event(&mut self, event: &Event) -> bool {
        let mut bytes = event.bytes();
        let cut = match self.trouble {
            Some(Trouble::Cut { after }) if self.sent_bytes + bytes.len() > after => {
                bytes.truncate(after - self.sent_bytes);
                true
            }
            _ => false,
        };
        self.sent.push(&bytes);
        self.sent_bytes += bytes.len();
        if !bytes.is_empty() {
            self.write(&chunk(&bytes)).await;
        }
        if cut {
            self.spoil();
            return false;
        }
        let (digest, event) = (self.sent.finish(), event.clone());
        let now = self.door.surroundings.clock.now_us();
        self.note(|sighting| {
            sighting.sent = Some(digest);
            sighting.events.push(event);
            sighting.moments.first_us.get_or_insert(now);
        });
        self.state == State::Streaming
    }

    /// Ends the stream as whole.
    pub async fn end_stream(&mut self) {
        if self.state != State::Streaming {
            return;
        }
        self.write(LAST_CHUNK).await;
        self.whole_if_written(State::Streaming);
    }

    /// Breaks the answer off.
    pub fn break_off(&mut self) {
        self.spoil();
    }

    async fn stream_head(&mut self) {
        let headers = self
            .stamped_headers()
            .with(name::CONTENT_TYPE, "text/event-stream")
            .with(name::TRANSFER_ENCODING, "chunked");
        self.state = State::Streaming;
        let stamp = self.stamp.clone();
        self.note(|sighting| {
            sighting.status = Some(200);
            sighting.stamp = Some(stamp);
        });
        self.write(&response_head(200, &headers)).await;
    }

    /// Troubles in which another answer comes or none; true if this was one.
    async fn spoilt_before_answer(&mut self) -> bool {
        match self.trouble {
            Some(Trouble::Fail) => self.stamped(500, Bytes::new()).await,
            Some(Trouble::Unavailable) => self.stamped(503, Bytes::new()).await,
            Some(Trouble::AnswerLost) => self.spoil(),
            Some(Trouble::Mute) => {
                self.note(|sighting| sighting.spoilt = true);
                pending::<()>().await;
            }
            Some(Trouble::Garble) => {
                self.write(GARBAGE).await;
                self.spoil();
            }
            _ => return false,
        }
        true
    }

    async fn stamped(&mut self, status: u16, body: Bytes) {
        let headers = self.stamped_headers();
        let stamp = self.stamp.clone();
        self.note(|sighting| sighting.stamp = Some(stamp));
        self.send_whole(status, headers, body).await;
    }

    async fn cut_whole(&mut self, status: u16, body: &Bytes, after: usize) {
        let headers = self
            .stamped_headers()
            .with(name::CONTENT_LENGTH, body.len().to_string());
        let mut bytes = response_head(status, &headers).to_vec();
        bytes.extend_from_slice(&body[..after.min(body.len().saturating_sub(1))]);
        self.write(&bytes).await;
        let stamp = self.stamp.clone();
        self.note(|sighting| {
            sighting.status = Some(status);
            sighting.stamp = Some(stamp);
        });
        self.spoil();
    }

    async fn send_whole(&mut self, status: u16, headers: Headers, body: Bytes) {
        let headers = headers.with(name::CONTENT_LENGTH, body.len().to_string());
        let mut bytes = response_head(status, &headers).to_vec();
        bytes.extend_from_slice(&body);
        self.sent.push(&body);
        let digest = self.sent.finish();
        self.note(|sighting| {
            sighting.status = Some(status);
            sighting.sent = Some(digest);
        });
        let twice = self.trouble == Some(Trouble::Surplus);
        let bytes = Bytes::from(bytes);
        if self.trouble == Some(Trouble::LateSurplus) {
            self.surplus = Some(bytes.clone());
        }
        self.write(&bytes).await;
        if twice {
            self.write(&bytes).await;
        }
        self.whole_if_written(State::Nothing);
    }

    fn headers(&self) -> Headers {
        let headers = Headers::new().with(name::REQUEST_ID, self.request.to_string());
        if self.trouble == Some(Trouble::Close) || self.door.leaving() {
            return headers.with(name::CONNECTION, "close");
        }
        headers.with(
            "Keep-Alive",
            format!("timeout={}", self.door.settings.idle.as_secs()),
        )
    }

    fn stamped_headers(&self) -> Headers {
        self.headers().with(name::STAMP, self.stamp.clone())
    }

    async fn write(&mut self, bytes: &[u8]) {
        if self.write.write_all(bytes).await.is_err() {
            self.state = State::Ended;
        }
    }

    /// The answer is whole if no write since `before` has failed.
    fn whole_if_written(&mut self, before: State) {
        if self.state == before {
            self.state = State::Whole;
            let now = self.door.surroundings.clock.now_us();
            self.note(|sighting| {
                sighting.whole = true;
                sighting.moments.first_us.get_or_insert(now);
                sighting.moments.ended_us = Some(now);
            });
        }
    }

    fn spoil(&mut self) {
        self.state = State::Ended;
        self.note(|sighting| sighting.spoilt = true);
    }

    fn note(&self, change: impl FnOnce(&mut Sighting)) {
        self.door.surroundings.record.update(self.sighting, change);
    }
}
