//! The response to one request, altered where the test injected a fault.

use super::fault::ServerFault;
use super::handle::ServerHandle;
use crate::digest::Digester;
use crate::identity::RequestId;
use crate::record::{Fate, Observation};
use crate::wire::{chunk, name, response_head, Event, Headers, LAST_CHUNK};
use bytes::Bytes;
use std::future::pending;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

/// What [`ServerFault::SendGarbage`] sends in place of a response.
const GARBAGE: &[u8] = b"\x00\x07 no answer at all \xff\xfe\r\n\r\n";

/// Progress of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Nothing,
    Streaming,
    /// Complete; the connection may take another request.
    Complete,
    /// Altered by a fault or not written: the connection ends.
    Ended,
}

/// Writes the answer to one request.
pub struct Reply {
    handle: Arc<ServerHandle>,
    write: OwnedWriteHalf,
    request: RequestId,
    observation: usize,
    stamp: String,
    fault: Option<ServerFault>,
    state: State,
    sent_digest: Digester,
    sent_bytes: usize,
    /// The response once more, to be sent before the next one.
    surplus: Option<Bytes>,
}

impl Reply {
    pub(super) fn new(
        handle: Arc<ServerHandle>,
        write: OwnedWriteHalf,
        request: RequestId,
        observation: usize,
    ) -> Reply {
        let stamp = handle.stamp();
        let fault = handle.faults.draw();
        Reply {
            handle,
            write,
            request,
            observation,
            stamp,
            fault,
            state: State::Nothing,
            sent_digest: Digester::default(),
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
        self.state == State::Complete
            && self.fault != Some(ServerFault::Close)
            && !self.handle.leaving()
    }

    /// The status with which a fault rejects the request, if it does.
    pub fn ordered_rejection(&self) -> Option<u16> {
        match self.fault {
            Some(ServerFault::Reject { status }) => Some(status),
            _ => None,
        }
    }

    /// Records that the request runs.
    pub fn run(&mut self) {
        self.update_observation(|observation| observation.fate = Fate::Run);
    }

    /// Rejects the request: the response says that it did not run.
    pub async fn reject(&mut self, status: u16) {
        self.update_observation(|observation| observation.fate = Fate::Rejected);
        let headers = self.headers().with(name::NOT_EXECUTED, "1");
        self.send_complete(status, headers, Bytes::new()).await;
    }

    /// Responds to a request that ran.
    pub async fn answer(&mut self, status: u16, body: Bytes) {
        if self.faulted_before_answer().await {
            return;
        }
        match self.fault {
            Some(ServerFault::TruncateBody { after }) => {
                self.send_truncated(status, &body, after).await
            }
            _ => self.stamped(status, body).await,
        }
    }

    /// Begins a stream; false where a fault has ended the response.
    pub async fn begin_stream(&mut self) -> bool {
        if self.faulted_before_answer().await {
            return false;
        }
        self.stream_head().await;
        self.state == State::Streaming
    }

    /// Sends one event; false where the response has ended.
    pub async fn event(&mut self, event: &Event) -> bool {
        let mut bytes = event.bytes();
        let truncated = match self.fault {
            Some(ServerFault::TruncateBody { after }) if self.sent_bytes + bytes.len() > after => {
                bytes.truncate(after - self.sent_bytes);
                true
            }
            _ => false,
        };
        self.sent_digest.push(&bytes);
        self.sent_bytes += bytes.len();
        if !bytes.is_empty() {
            self.write(&chunk(&bytes)).await;
        }
        if truncated {
            self.end_with_fault();
            return false;
        }
        let (digest, event) = (self.sent_digest.finish(), event.clone());
        let now = self.handle.context.clock.now_us();
        self.update_observation(|observation| {
            observation.sent_digest = Some(digest);
            observation.events.push(event);
            observation.timings.first_us.get_or_insert(now);
        });
        self.state == State::Streaming
    }

    /// Completes the stream.
    pub async fn end_stream(&mut self) {
        if self.state != State::Streaming {
            return;
        }
        self.write(LAST_CHUNK).await;
        self.complete_if_written(State::Streaming);
    }

    /// Ends the connection inside the response.
    pub fn break_off(&mut self) {
        self.end_with_fault();
    }

    async fn stream_head(&mut self) {
        let headers = self
            .stamped_headers()
            .with(name::CONTENT_TYPE, "text/event-stream")
            .with(name::TRANSFER_ENCODING, "chunked");
        self.state = State::Streaming;
        let stamp = self.stamp.clone();
        self.update_observation(|observation| {
            observation.status = Some(200);
            observation.stamp = Some(stamp);
        });
        self.write(&response_head(200, &headers)).await;
    }

    /// Applies faults that replace the response; true if one did.
    async fn faulted_before_answer(&mut self) -> bool {
        match self.fault {
            Some(ServerFault::Fail) => self.stamped(500, Bytes::new()).await,
            Some(ServerFault::Unavailable) => self.stamped(503, Bytes::new()).await,
            Some(ServerFault::AnswerLost) => self.end_with_fault(),
            Some(ServerFault::NeverAnswer) => {
                self.update_observation(|observation| observation.faulted = true);
                pending::<()>().await;
            }
            Some(ServerFault::SendGarbage) => {
                self.write(GARBAGE).await;
                self.end_with_fault();
            }
            _ => return false,
        }
        true
    }

    async fn stamped(&mut self, status: u16, body: Bytes) {
        let headers = self.stamped_headers();
        let stamp = self.stamp.clone();
        self.update_observation(|observation| observation.stamp = Some(stamp));
        self.send_complete(status, headers, body).await;
    }

    async fn send_truncated(&mut self, status: u16, body: &Bytes, after: usize) {
        let headers = self
            .stamped_headers()
            .with(name::CONTENT_LENGTH, body.len().to_string());
        let mut bytes = response_head(status, &headers).to_vec();
        bytes.extend_from_slice(&body[..after.min(body.len().saturating_sub(1))]);
        self.write(&bytes).await;
        let stamp = self.stamp.clone();
        self.update_observation(|observation| {
            observation.status = Some(status);
            observation.stamp = Some(stamp);
        });
        self.end_with_fault();
    }

    async fn send_complete(&mut self, status: u16, headers: Headers, body: Bytes) {
        let headers = headers.with(name::CONTENT_LENGTH, body.len().to_string());
        let mut bytes = response_head(status, &headers).to_vec();
        bytes.extend_from_slice(&body);
        self.sent_digest.push(&body);
        let digest = self.sent_digest.finish();
        self.update_observation(|observation| {
            observation.status = Some(status);
            observation.sent_digest = Some(digest);
        });
        let twice = self.fault == Some(ServerFault::Surplus);
        let bytes = Bytes::from(bytes);
        if self.fault == Some(ServerFault::LateSurplus) {
            self.surplus = Some(bytes.clone());
        }
        self.write(&bytes).await;
        if twice {
            self.write(&bytes).await;
        }
        self.complete_if_written(State::Nothing);
    }

    fn headers(&self) -> Headers {
        let headers = Headers::new().with(name::REQUEST_ID, self.request.to_string());
        if self.fault == Some(ServerFault::Close) || self.handle.leaving() {
            return headers.with(name::CONNECTION, "close");
        }
        headers.with(
            "Keep-Alive",
            format!("timeout={}", self.handle.settings.idle.as_secs()),
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

    /// The response is complete if no write since `before` has failed.
    fn complete_if_written(&mut self, before: State) {
        if self.state == before {
            self.state = State::Complete;
            let now = self.handle.context.clock.now_us();
            self.update_observation(|observation| {
                observation.complete = true;
                observation.timings.first_us.get_or_insert(now);
                observation.timings.ended_us = Some(now);
            });
        }
    }

    fn end_with_fault(&mut self) {
        self.state = State::Ended;
        self.update_observation(|observation| observation.faulted = true);
    }

    fn update_observation(&self, change: impl FnOnce(&mut Observation)) {
        self.handle.context.record.update(self.observation, change);
    }
}
