//! Writes the response to one request and injects the fault that the test ordered for it.

use super::fault::ServerFault;
use super::handle::ServerHandle;
use crate::digest::Digester;
use crate::identity::RequestId;
use crate::record::{Fate, Observation};
use crate::wire::{chunk, header_lines, name, response_head, Event, Headers, LAST_CHUNK};
use bytes::Bytes;
use std::future::pending;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

/// The bytes that [`ServerFault::SendGarbage`] sends in place of a response.
const GARBAGE: &[u8] = b"\x00\x07 no answer at all \xff\xfe\r\n\r\n";
/// The body behind a broken head: an event, so that it could also be taken for a stream.
const BODY_OF_BROKEN_HEAD: &str = "id: 1\ndata: behind a broken head\n\n";

/// Progress of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing has been sent.
    NotStarted,
    /// The head of a stream has been sent.
    Streaming,
    /// The complete response has been sent; the connection may serve another request.
    Complete,
    /// A fault has cut the response short, or a write has failed: the connection has to be closed.
    Ended,
}

/// Writes the response to one request.
pub struct Reply {
    handle: Arc<ServerHandle>,
    write: OwnedWriteHalf,
    request: RequestId,
    /// Number of the request's observation in the record.
    observation: usize,
    stamp: String,
    fault: Option<ServerFault>,
    state: State,
    sent_digest: Digester,
    sent_bytes: usize,
    /// A copy of the response, to be sent before the connection's next one because of [`ServerFault::LateSurplus`].
    surplus: Option<Bytes>,
}

impl Reply {
    pub(super) fn new(
        handle: Arc<ServerHandle>,
        write: OwnedWriteHalf,
        request: RequestId,
        observation: usize,
    ) -> Reply {
        let stamp = handle.next_stamp();
        let fault = handle.faults.next_fault();
        Reply {
            handle,
            write,
            request,
            observation,
            stamp,
            fault,
            state: State::NotStarted,
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

    /// Whether the connection may serve another request.
    pub(super) fn keeps_connection(&self) -> bool {
        self.state == State::Complete
            && self.fault != Some(ServerFault::Close)
            && !self.handle.leaving()
    }

    /// The status with which an injected [`ServerFault::Reject`] rejects the request.
    pub fn injected_rejection(&self) -> Option<u16> {
        match self.fault {
            Some(ServerFault::Reject { status }) => Some(status),
            _ => None,
        }
    }

    /// Records that the server has begun to run the request.
    pub fn mark_running(&mut self) {
        self.update_observation(|observation| observation.fate = Fate::Run);
    }

    /// Rejects the request with a response that states that it did not run.
    pub async fn reject(&mut self, status: u16) {
        self.update_observation(|observation| observation.fate = Fate::Rejected);
        let headers = self.headers().with(name::NOT_EXECUTED, "1");
        self.send_complete(status, headers, Bytes::new()).await;
    }

    /// Responds to a request that has run.
    pub async fn answer(&mut self, status: u16, body: Bytes) {
        if self.inject_response_fault().await {
            return;
        }
        match self.fault {
            Some(ServerFault::TruncateBody { after }) => {
                self.send_truncated(status, &body, after).await
            }
            _ => self.send_stamped(status, body).await,
        }
    }

    /// Sends the head of a stream; false where a fault or a failed write has ended the response.
    pub async fn begin_stream(&mut self) -> bool {
        if self.inject_response_fault().await {
            return false;
        }
        self.send_stream_head().await;
        self.state == State::Streaming
    }

    /// Sends one event of the stream; false where a fault or a failed write has ended the response.
    pub async fn send_event(&mut self, event: &Event) -> bool {
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

    /// Marks the response as cut short by a fault, so that the connection is closed.
    pub fn break_off(&mut self) {
        self.end_with_fault();
    }

    async fn send_stream_head(&mut self) {
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

    /// Injects a fault that replaces the whole response; true where there is one.
    async fn inject_response_fault(&mut self) -> bool {
        match self.fault {
            Some(ServerFault::Fail) => self.send_stamped(500, Bytes::new()).await,
            Some(ServerFault::Unavailable) => self.send_stamped(503, Bytes::new()).await,
            Some(ServerFault::AnswerLost) => self.end_with_fault(),
            Some(ServerFault::NeverAnswer) => {
                self.update_observation(|observation| observation.faulted = true);
                pending::<()>().await;
            }
            Some(ServerFault::SendGarbage) => {
                self.write(GARBAGE).await;
                self.end_with_fault();
            }
            Some(ServerFault::BreakHead(head)) => {
                let lines = header_lines(&self.stamped_headers());
                let response = head.with_body(&lines, BODY_OF_BROKEN_HEAD);
                self.write(&response).await;
                self.end_with_fault();
            }
            _ => return false,
        }
        true
    }

    async fn send_stamped(&mut self, status: u16, body: Bytes) {
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
        let send_twice = self.fault == Some(ServerFault::Surplus);
        let bytes = Bytes::from(bytes);
        if self.fault == Some(ServerFault::LateSurplus) {
            self.surplus = Some(bytes.clone());
        }
        self.write(&bytes).await;
        if send_twice {
            self.write(&bytes).await;
        }
        self.complete_if_written(State::NotStarted);
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

    /// Marks the response as complete, unless a failed write has changed the state from `expected`.
    fn complete_if_written(&mut self, expected: State) {
        if self.state == expected {
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
