//! One attempt of a request on a new connection.

use super::request::{Kind, RequestSpec};
use crate::digest::Digester;
use crate::identity::RequestId;
use crate::record::{Answered, AttemptOutcome};
use crate::wire::{name, request_bytes, EventReader, MessageReader, ResponseHead, WireError};
use bytes::{Bytes, BytesMut};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

/// Bytes of a body that are stored; the digest covers all.
const MAX_RECORDED_BODY: usize = 64 * 1024;
/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long surplus bytes are awaited where the connection stays open.
const SURPLUS_TIMEOUT: Duration = Duration::from_millis(2);

/// Time-outs of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Deadline of the operation.
    pub until: Instant,
    /// Longest time between two parts of a stream.
    pub idle: Duration,
}

/// An attempt, ready to be made.
pub(super) struct Attempt<'a> {
    pub spec: &'a RequestSpec,
    pub request: RequestId,
    pub front: SocketAddr,
    pub timeouts: Timeouts,
}

impl Attempt<'_> {
    /// Sends the request and reads the response.
    pub async fn carry_out(&self) -> AttemptOutcome {
        match timeout_at(self.timeouts.until, self.exchange()).await {
            Ok(outcome) => outcome,
            Err(_) => AttemptOutcome::GivenUp,
        }
    }

    async fn exchange(&self) -> AttemptOutcome {
        let started = Instant::now();
        let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.front)).await else {
            return AttemptOutcome::NotSent;
        };
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let left = self
            .timeouts
            .until
            .saturating_duration_since(Instant::now());
        let head = self.spec.head(self.request, left.as_millis() as u64);
        if write
            .write_all(&request_bytes(&head, &self.spec.body))
            .await
            .is_err()
        {
            return AttemptOutcome::NotSent;
        }
        let outcome = Receiving::new(self, read, started).receive().await;
        drop(write);
        outcome
    }
}

/// A response that is being received.
struct Receiving<'a> {
    attempt: &'a Attempt<'a>,
    reader: MessageReader<OwnedReadHalf>,
    started: Instant,
    digester: Digester,
    body: BytesMut,
    events: EventReader,
    answered: Answered,
    last_event: Option<Instant>,
}

/// Why receiving ended early.
enum Stop {
    Wire(WireError),
    Timeout,
}

impl<'a> Receiving<'a> {
    fn new(attempt: &'a Attempt<'a>, read: OwnedReadHalf, started: Instant) -> Self {
        Receiving {
            attempt,
            reader: MessageReader::new(read),
            started,
            digester: Digester::default(),
            body: BytesMut::new(),
            events: EventReader::default(),
            answered: Answered::empty(),
            last_event: None,
        }
    }

    async fn receive(mut self) -> AttemptOutcome {
        let head = match self.head_within_timeout().await {
            Ok(head) => head,
            Err(stop) => return without_head(stop),
        };
        self.take_head(&head);
        let streaming = is_stream(&head);
        loop {
            match self.next_data(streaming).await {
                Ok(Some(data)) => self.take_data(&data, streaming),
                Ok(None) => return self.complete().await,
                Err(stop) => return self.broken(stop),
            }
        }
    }

    async fn head_within_timeout(&mut self) -> Result<ResponseHead, Stop> {
        let streaming = matches!(self.attempt.spec.kind, Kind::Streaming { .. });
        if !streaming {
            return self.reader.response_head().await.map_err(Stop::Wire);
        }
        match timeout(self.attempt.timeouts.idle, self.reader.response_head()).await {
            Ok(head) => head.map_err(Stop::Wire),
            Err(_) => Err(Stop::Timeout),
        }
    }

    async fn next_data(&mut self, streaming: bool) -> Result<Option<Bytes>, Stop> {
        if !streaming {
            return self.reader.next_data().await.map_err(Stop::Wire);
        }
        match timeout(self.attempt.timeouts.idle, self.reader.next_data()).await {
            Ok(data) => data.map_err(Stop::Wire),
            Err(_) => Err(Stop::Timeout),
        }
    }

    fn take_head(&mut self, head: &ResponseHead) {
        let headers = &head.headers;
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

    fn take_data(&mut self, data: &[u8], streaming: bool) {
        self.digester.push(data);
        let free = MAX_RECORDED_BODY
            .saturating_sub(self.body.len())
            .min(data.len());
        self.body.extend_from_slice(&data[..free]);
        if !streaming {
            return;
        }
        self.events.push(data);
        while let Some(event) = self.events.take() {
            self.event_came();
            match event {
                Ok(event) => self.answered.events.push(event),
                Err(_) => self.answered.garbled_events += 1,
            }
        }
    }

    fn event_came(&mut self) {
        let now = Instant::now();
        match self.last_event {
            None => {
                let since = now.duration_since(self.started);
                self.answered.first_event_us = Some(since.as_micros() as u64);
            }
            Some(last) => {
                let gap = now.duration_since(last).as_millis() as u64;
                self.answered.longest_gap_ms = self.answered.longest_gap_ms.max(gap);
            }
        }
        self.last_event = Some(now);
    }

    async fn complete(mut self) -> AttemptOutcome {
        let _ = timeout(SURPLUS_TIMEOUT, self.reader.closed()).await;
        self.answered.surplus = self.reader.ahead();
        AttemptOutcome::Answered(self.finish())
    }

    fn broken(self, stop: Stop) -> AttemptOutcome {
        match stop {
            Stop::Timeout => AttemptOutcome::GivenUp,
            Stop::Wire(WireError::Garbled(reason)) => AttemptOutcome::Garbled(reason.to_owned()),
            Stop::Wire(_) => AttemptOutcome::BrokenOff(self.finish()),
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

fn without_head(stop: Stop) -> AttemptOutcome {
    match stop {
        Stop::Timeout => AttemptOutcome::GivenUp,
        Stop::Wire(WireError::Garbled(reason)) => AttemptOutcome::Garbled(reason.to_owned()),
        Stop::Wire(WireError::BrokenOff) => {
            AttemptOutcome::Garbled("a response's head is incomplete".to_owned())
        }
        Stop::Wire(WireError::Ended | WireError::Failed(_)) => AttemptOutcome::Closed,
    }
}

fn is_stream(head: &ResponseHead) -> bool {
    let content = head.headers.get(name::CONTENT_TYPE);
    head.status == 200 && content.is_some_and(|content| content.starts_with("text/event-stream"))
}
