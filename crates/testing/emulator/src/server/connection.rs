//! Connections of a server; each serves one request at a time.

use super::handle::ServerHandle;
use super::reply::Reply;
use super::work::{ReceivedRequest, Work};
use crate::digest::Digest;
use crate::identity::RequestId;
use crate::record::{Fate, Observation, Timings};
use crate::wire::{name, response_head, Headers, MessageReader, RequestHead};
use bytes::Bytes;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Accepts connections until the task is aborted; aborting the task also closes its connections.
pub(super) async fn accept<W: Work>(
    listener: TcpListener,
    handle: Arc<ServerHandle>,
    work: Arc<W>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { return };
                if !handle.acquire_connection_slot() {
                    let _ = stream.set_zero_linger();
                    continue;
                }
                connections.spawn(serve_connection(stream, handle.clone(), work.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Releases a connection's slot when the connection ends.
struct ConnectionSlot(Arc<ServerHandle>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.release_connection_slot();
    }
}

async fn serve_connection<W: Work>(stream: TcpStream, handle: Arc<ServerHandle>, work: Arc<W>) {
    let _slot = ConnectionSlot(handle.clone());
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let mut connection = Connection {
        reader: MessageReader::new(read),
        write: Some(write),
        handle,
        work,
        surplus: None,
    };
    while connection.serve_one().await {}
}

struct Connection<W> {
    reader: MessageReader<OwnedReadHalf>,
    /// `None` while a [`Reply`] owns the write half.
    write: Option<OwnedWriteHalf>,
    handle: Arc<ServerHandle>,
    work: Arc<W>,
    /// A copy of the last response, sent before the next one because of `ServerFault::LateSurplus`.
    surplus: Option<Bytes>,
}

impl<W: Work> Connection<W> {
    /// Serves one request; false where the connection has to be closed afterwards.
    async fn serve_one(&mut self) -> bool {
        let idle = self.handle.settings.idle;
        let Ok(Ok(head)) = timeout(idle, self.reader.request_head()).await else {
            return false;
        };
        let Ok(body) = self.reader.body().await else {
            return false;
        };
        if let Some(surplus) = self.surplus.take() {
            if !self.write_bytes(&surplus).await {
                return false;
            }
        }
        if head.method == "GET" && head.target == self.handle.settings.health_path {
            return self.answer_health_check(&head).await;
        }
        if head.method == "GET" && head.target == "/api/report" {
            return self.answer_report().await;
        }
        self.serve_request(head, body).await
    }

    async fn answer_health_check(&mut self, head: &RequestHead) -> bool {
        self.handle.count_probe();
        let status = if self.handle.healthy() { 200 } else { 503 };
        let mut headers =
            Headers::new().with(name::INSTANCE_ID, self.handle.identity.instance.clone());
        if let Some(id) = head.headers.get(name::REQUEST_ID) {
            headers.push(name::REQUEST_ID, id);
        }
        self.write_bytes(&response_head(
            status,
            &headers.with(name::CONTENT_LENGTH, "0"),
        ))
        .await
    }

    async fn answer_report(&mut self) -> bool {
        self.handle.count_probe();
        let report = self.work.report();
        let status = if report.is_some() { 200 } else { 404 };
        let body = report.unwrap_or_default();
        let headers = Headers::new()
            .with(name::CONTENT_TYPE, "application/json")
            .with(name::CONTENT_LENGTH, body.len().to_string());
        let mut bytes = response_head(status, &headers).to_vec();
        bytes.extend_from_slice(body.as_bytes());
        self.write_bytes(&bytes).await
    }

    async fn serve_request(&mut self, head: RequestHead, body: Bytes) -> bool {
        let id = head
            .headers
            .get(name::REQUEST_ID)
            .and_then(RequestId::parse);
        let observation = self.record_observation(&head, &body, id);
        let Some(write) = self.write.take() else {
            return false;
        };
        let mut reply = Reply::new(
            self.handle.clone(),
            write,
            id.unwrap_or(RequestId(0)),
            observation,
        );
        let rejection = self.rejection(&head, id).or(reply.injected_rejection());
        let connected = match (rejection, id) {
            (None, Some(request)) => {
                let deadline_ms = head.headers.number(name::DEADLINE);
                let received = ReceivedRequest {
                    head,
                    body,
                    request,
                    deadline_ms,
                };
                tokio::select! {
                    () = self.work.work(received, &mut reply) => true,
                    () = self.reader.closed() => false,
                }
            }
            (rejection, _) => {
                reply.reject(rejection.unwrap_or(400)).await;
                true
            }
        };
        if !connected {
            self.mark_abandoned(observation);
            return false;
        }
        let keep_alive = reply.keeps_connection();
        self.surplus = reply.take_surplus();
        self.write = Some(reply.into_write());
        keep_alive
    }

    /// The status with which a request is rejected before it is passed to the server's work; `None` where it is
    /// admitted.
    fn rejection(&self, head: &RequestHead, id: Option<RequestId>) -> Option<u16> {
        let expected = head.headers.get(name::EXPECT_INSTANCE);
        if expected.is_some_and(|expected| expected != self.handle.identity.instance) {
            return Some(421);
        }
        if id.is_none() {
            return Some(400);
        }
        None
    }

    /// Adds the request to the record; returns the number of the observation.
    fn record_observation(
        &self,
        head: &RequestHead,
        body: &Bytes,
        request: Option<RequestId>,
    ) -> usize {
        let context = &self.handle.context;
        let observation = Observation {
            number: 0,
            at_ms: context.clock.now_ms(),
            instance: self.handle.identity.instance.clone(),
            backend: self.handle.identity.backend.clone(),
            request,
            method: head.method.clone(),
            target: head.target.clone(),
            digest: Digest::of(body),
            body: None,
            program: head.headers.get(name::PROGRAM).map(str::to_owned),
            deadline_ms: head.headers.number(name::DEADLINE),
            fate: Fate::Waiting,
            stamp: None,
            status: None,
            sent_digest: None,
            events: Vec::new(),
            complete: false,
            faulted: false,
            timings: Timings::started(context.clock.now_us()),
        };
        context.record.record_observation(observation, body)
    }

    /// Marks a request as abandoned whose caller disconnected before it ran.
    fn mark_abandoned(&self, observation: usize) {
        self.handle
            .context
            .record
            .update(observation, |observation| {
                if observation.fate == Fate::Waiting {
                    observation.fate = Fate::Abandoned;
                }
            });
    }

    async fn write_bytes(&mut self, bytes: &[u8]) -> bool {
        match &mut self.write {
            Some(write) => write.write_all(bytes).await.is_ok(),
            None => false,
        }
    }
}
