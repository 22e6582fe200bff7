//! One attempt of a request, on a new connection or one that is open.

use super::connection::ClientConnection;
use super::request::{RequestKind, RequestSpec};
use crate::digest::Digester;
use crate::identity::RequestId;
use crate::record::{Answered, AttemptOutcome};
use crate::wire::{name, request_bytes, EventReader, ResponseHead, WireError};
use bytes::{Bytes, BytesMut};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{timeout, timeout_at, Instant};

/// Body bytes kept in the record; the digest covers the whole body.
const MAX_RECORDED_BODY_BYTES: usize = 64 * 1024;
/// Time to wait for surplus bytes after a complete response on a connection that stays open.
const SURPLUS_TIMEOUT: Duration = Duration::from_millis(2);

/// Time-outs of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Deadline of the operation, common to all its attempts.
    pub deadline: Instant,
    /// Longest wait for a stream's head and between two parts of its body.
    pub idle: Duration,
}

/// One attempt of a request at one gateway.
pub(super) struct Attempt<'a> {
    pub spec: &'a RequestSpec,
    pub request: RequestId,
    pub front: SocketAddr,
    pub timeouts: Timeouts,
}

impl Attempt<'_> {
    /// Sends the request over a new connection and reads the response.
    pub async fn send(&self) -> AttemptOutcome {
        let started = Instant::now();
        let exchange = async {
            match ClientConnection::open(self.front).await {
                Some(mut connection) => self.exchange(&mut connection, started).await,
                None => AttemptOutcome::NotSent,
            }
        };
        let outcome = timeout_at(self.timeouts.deadline, exchange).await;
        outcome.unwrap_or(AttemptOutcome::GivenUp)
    }

    /// Sends the request over an open connection and reads the response.
    pub async fn send_over(&self, connection: &mut ClientConnection) -> AttemptOutcome {
        let exchange = self.exchange(connection, Instant::now());
        let outcome = timeout_at(self.timeouts.deadline, exchange).await;
        let outcome = outcome.unwrap_or(AttemptOutcome::GivenUp);
        connection.is_open &= matches!(outcome, AttemptOutcome::Answered(_));
        outcome
    }

    async fn exchange(
        &self,
        connection: &mut ClientConnection,
        started: Instant,
    ) -> AttemptOutcome {
        let remaining = self
            .timeouts
            .deadline
            .saturating_duration_since(Instant::now());
        let head = self.spec.head(self.request, remaining.as_millis() as u64);
        let request = request_bytes(&head, &self.spec.body);
        if connection.write.write_all(&request).await.is_err() {
            return AttemptOutcome::NotSent;
        }
        ResponseReceiver::new(self, connection, started)
            .receive()
            .await
    }
}

/// Reads the response to an attempt and collects what the record stores about it.
struct ResponseReceiver<'a> {
    attempt: &'a Attempt<'a>,
    connection: &'a mut ClientConnection,
    started: Instant,
    digester: Digester,
    body: BytesMut,
    events: EventReader,
    answered: Answered,
    last_event: Option<Instant>,
}

/// Why a response was not received completely.
enum ReceiveError {
    Wire(WireError),
    Timeout,
}

impl<'a> ResponseReceiver<'a> {
    fn new(
        attempt: &'a Attempt<'a>,
        connection: &'a mut ClientConnection,
        started: Instant,
    ) -> Self {
        ResponseReceiver {
            attempt,
            connection,
            started,
            digester: Digester::default(),
            body: BytesMut::new(),
            events: EventReader::default(),
            answered: Answered::empty(),
            last_event: None,
        }
    }

    async fn receive(mut self) -> AttemptOutcome {
        let head = match self.response_head().await {
            Ok(head) => head,
            Err(error) => return outcome_without_head(error),
        };
        self.record_head(&head);
        let streaming = is_event_stream(&head);
        loop {
            match self.next_data(streaming).await {
                Ok(Some(data)) => self.record_data(&data, streaming),
                Ok(None) => return self.complete().await,
                Err(error) => return self.incomplete(error),
            }
        }
    }

    async fn response_head(&mut self) -> Result<ResponseHead, ReceiveError> {
        let streaming = matches!(self.attempt.spec.kind, RequestKind::Streaming { .. });
        if !streaming {
            return self
                .connection
                .reader
                .response_head()
                .await
                .map_err(ReceiveError::Wire);
        }
        match timeout(
            self.attempt.timeouts.idle,
            self.connection.reader.response_head(),
        )
        .await
        {
            Ok(head) => head.map_err(ReceiveError::Wire),
            Err(_) => Err(ReceiveError::Timeout),
        }
    }

    async fn next_data(&mut self, streaming: bool) -> Result<Option<Bytes>, ReceiveError> {
        if !streaming {
            return self
                .connection
                .reader
                .next_data()
                .await
                .map_err(ReceiveError::Wire);
        }
        match timeout(
            self.attempt.timeouts.idle,
            self.connection.reader.next_data(),
        )
        .await
        {
            Ok(data) => data.map_err(ReceiveError::Wire),
            Err(_) => Err(ReceiveError::Timeout),
        }
    }

    fn record_head(&mut self, head: &ResponseHead) {
        let headers = &head.headers;
        let closes = headers.get(name::CONNECTION) == Some("close");
        self.connection.is_open &= !closes;
        self.answered.status = head.status;
        self.answered.request = headers.get(name::REQUEST_ID).and_then(RequestId::parse);
        self.answered.stamp = headers.get(name::STAMP).map(str::to_owned);
        self.answered.encoding = headers.get(name::CONTENT_ENCODING).map(str::to_owned);
        self.answered.not_executed = headers.get(name::NOT_EXECUTED).is_some();
        let seconds = headers
            .get(name::RETRY_AFTER)
            .and_then(|text| text.trim().parse::<f64>().ok());
        self.answered.retry_after_ms = seconds.map(|seconds| (seconds * 1_000.0) as u64);
    }

    fn record_data(&mut self, data: &[u8], streaming: bool) {
        self.digester.push(data);
        let recorded_bytes = MAX_RECORDED_BODY_BYTES
            .saturating_sub(self.body.len())
            .min(data.len());
        self.body.extend_from_slice(&data[..recorded_bytes]);
        if !streaming {
            return;
        }
        self.events.push(data);
        while let Some(event) = self.events.take() {
            self.record_event_time();
            match event {
                Ok(event) => self.answered.events.push(event),
                Err(_) => self.answered.garbled_events += 1,
            }
        }
    }

    fn record_event_time(&mut self) {
        let now = Instant::now();
        match self.last_event {
            None => {
                let elapsed = now.duration_since(self.started);
                self.answered.first_event_us = Some(elapsed.as_micros() as u64);
            }
            Some(last_event) => {
                let gap = now.duration_since(last_event).as_millis() as u64;
                self.answered.longest_gap_ms = self.answered.longest_gap_ms.max(gap);
            }
        }
        self.last_event = Some(now);
    }

    async fn complete(mut self) -> AttemptOutcome {
        let reader = &mut self.connection.reader;
        let has_closed = timeout(SURPLUS_TIMEOUT, reader.closed()).await.is_ok();
        self.answered.surplus = reader.ahead();
        self.connection.is_open &= !has_closed;
        AttemptOutcome::Answered(self.finish())
    }

    fn incomplete(self, error: ReceiveError) -> AttemptOutcome {
        match error {
            ReceiveError::Timeout => AttemptOutcome::GivenUp,
            ReceiveError::Wire(WireError::Garbled(reason)) => {
                AttemptOutcome::Garbled(reason.to_owned())
            }
            ReceiveError::Wire(_) => AttemptOutcome::BrokenOff(self.finish()),
        }
    }

    fn finish(mut self) -> Answered {
        self.answered.digest = self.digester.finish();
        self.answered.body = self.body.split().freeze();
        self.answered.trailing_bytes = self.events.left();
        self.answered
    }
}

impl Answered {
    fn empty() -> Answered {
        Answered {
            status: 0,
            request: None,
            stamp: None,
            encoding: None,
            not_executed: false,
            retry_after_ms: None,
            digest: Digester::default().finish(),
            body: Bytes::new(),
            events: Vec::new(),
            garbled_events: 0,
            trailing_bytes: 0,
            first_event_us: None,
            longest_gap_ms: 0,
            surplus: 0,
        }
    }
}

fn outcome_without_head(error: ReceiveError) -> AttemptOutcome {
    match error {
        ReceiveError::Timeout => AttemptOutcome::GivenUp,
        ReceiveError::Wire(WireError::Garbled(reason)) => {
            AttemptOutcome::Garbled(reason.to_owned())
        }
        ReceiveError::Wire(WireError::BrokenOff) => {
            AttemptOutcome::Garbled("the connection ended inside the response's head".to_owned())
        }
        ReceiveError::Wire(WireError::Ended | WireError::Failed(_)) => AttemptOutcome::Closed,
    }
}

fn is_event_stream(head: &ResponseHead) -> bool {
    let content_type = head.headers.get(name::CONTENT_TYPE);
    head.status == 200
        && content_type.is_some_and(|content_type| content_type.starts_with("text/event-stream"))
}
