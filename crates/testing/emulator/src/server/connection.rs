//! Connections of a server: one request at a time on each.

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

/// Accepts connections until the task is aborted, which closes them too.
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
                if !handle.enter() {
                    let _ = stream.set_zero_linger();
                    continue;
                }
                connections.spawn(entered(stream, handle.clone(), work.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Releases the connection's slot however the connection ends.
struct ConnectionSlot(Arc<ServerHandle>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.left();
    }
}

async fn entered<W: Work>(stream: TcpStream, handle: Arc<ServerHandle>, work: Arc<W>) {
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
    /// Absent while a reply owns it.
    write: Option<OwnedWriteHalf>,
    handle: Arc<ServerHandle>,
    work: Arc<W>,
    surplus: Option<Bytes>,
}

impl<W: Work> Connection<W> {
    /// Serves one request; false once the connection is to end.
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
            return self.health(&head).await;
        }
        if head.method == "GET" && head.target == "/api/report" {
            return self.report().await;
        }
        self.request(head, body).await
    }

    async fn health(&mut self, head: &RequestHead) -> bool {
        self.handle.probed();
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

    async fn report(&mut self) -> bool {
        self.handle.probed();
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

    async fn request(&mut self, head: RequestHead, body: Bytes) -> bool {
        let id = head
            .headers
            .get(name::REQUEST_ID)
            .and_then(RequestId::parse);
        let observation = self.observation(&head, &body, id);
        let Some(write) = self.write.take() else {
            return false;
        };
        let mut reply = Reply::new(
            self.handle.clone(),
            write,
            id.unwrap_or(RequestId(0)),
            observation,
        );
        let refusal = self.refusal(&head, id).or(reply.ordered_rejection());
        let done = match (refusal, id) {
            (None, Some(request)) => {
                let deadline_ms = head.headers.number(name::DEADLINE);
                let arrived = ReceivedRequest {
                    head,
                    body,
                    request,
                    deadline_ms,
                };
                tokio::select! {
                    () = self.work.work(arrived, &mut reply) => true,
                    () = self.reader.closed() => false,
                }
            }
            (refusal, _) => {
                reply.reject(refusal.unwrap_or(400)).await;
                true
            }
        };
        if !done {
            self.abandoned(observation);
            return false;
        }
        let keeps = reply.keeps();
        self.surplus = reply.take_surplus();
        self.write = Some(reply.into_write());
        keeps
    }

    /// The status with which a request is rejected before it reaches the work, if it is.
    fn refusal(&self, head: &RequestHead, id: Option<RequestId>) -> Option<u16> {
        let expected = head.headers.get(name::EXPECT_INSTANCE);
        if expected.is_some_and(|expected| expected != self.handle.identity.instance) {
            return Some(421);
        }
        if id.is_none() {
            return Some(400);
        }
        None
    }

    fn observation(&self, head: &RequestHead, body: &Bytes, request: Option<RequestId>) -> usize {
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

    fn abandoned(&self, observation: usize) {
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
