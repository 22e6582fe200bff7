//! Answers that are no streams of events.

use crate::answer::{AnswerBody, Broken, Outlet};
use crate::client::Client;
use crate::disposition::EndedBy;
use crate::http_headers;
use crate::node::Node;
use crate::reply::{Next, Reply, Source};
use crate::sending::Sending;
use bytes::{Bytes, BytesMut};
use dunespur_routing::Outcome;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http::{HeaderMap, Response, StatusCode};
use std::rc::Rc;

/// An answer up to this length is awaited whole, so that one that breaks off can still become a refusal, or be had
/// from another server. A longer one is passed on while it comes.
const MOST_AWAITED: usize = 64 * 1024;

/// An answer as far as it was awaited.
pub(crate) enum Awaited {
    Whole(Bytes),
    /// Longer than that: what has come.
    Longer(Bytes),
    /// It broke off.
    Broken(EndedBy),
}

/// Waits for the body of an answer.
pub(crate) async fn await_body<N: Node>(
    sending: &mut Sending<N>,
    source: &mut Source<N>,
) -> Awaited {
    let mut body = BytesMut::new();
    let mut first = Bytes::new();
    loop {
        match sending.next(&mut source.body).await {
            Next::Piece(bytes) if first.is_empty() && body.is_empty() => first = bytes,
            Next::Piece(bytes) => {
                body.extend_from_slice(&std::mem::take(&mut first));
                body.extend_from_slice(&bytes);
            }
            Next::End => return Awaited::Whole(joined(first, body)),
            Next::Broken(ended_by) => return Awaited::Broken(ended_by),
        }
        if first.len() + body.len() > MOST_AWAITED {
            return Awaited::Longer(joined(first, body));
        }
    }
}

fn joined(first: Bytes, body: BytesMut) -> Bytes {
    if body.is_empty() {
        first
    } else {
        body.freeze()
    }
}

/// The outcome of an answer that came whole.
pub(crate) fn outcome(status: StatusCode) -> Outcome {
    if status.is_server_error() {
        Outcome::Failed
    } else {
        Outcome::Served { tokens_out: 0 }
    }
}

/// The head for the client of an answer with this head.
pub(crate) fn response_head(mut head: Parts) -> Parts {
    http_headers::strip(&mut head.headers);
    if matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    ) {
        head.headers.remove(CONTENT_LENGTH);
    }
    head
}

/// The length that the headers of an answer state.
fn stated_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// The answer to the client where the server's was awaited whole.
pub(crate) fn whole_response(
    head: Parts,
    body: Bytes,
    client: &Rc<Client>,
) -> Response<AnswerBody> {
    Response::from_parts(response_head(head), AnswerBody::whole(body, client))
}

/// The answer to the client where the rest of the server's is passed on while it comes.
pub(crate) fn relayed_response<N: Node>(
    sending: Box<Sending<N>>,
    reply: Reply<N>,
    begun: Bytes,
    client: &Rc<Client>,
) -> Response<AnswerBody> {
    let Reply { head, source } = reply;
    let status = head.status;
    let length = stated_length(&head.headers);
    let outlet = Outlet::default();
    let relay = Relay {
        sending,
        source,
        status,
        left: length,
        outlet: outlet.clone(),
    };
    Response::from_parts(
        response_head(head),
        AnswerBody::pumped(relay.run(begun), outlet, length, client),
    )
}

/// Passes the rest of an answer on.
struct Relay<N: Node> {
    sending: Box<Sending<N>>,
    source: Source<N>,
    status: StatusCode,
    /// Bytes to come, where the length is known.
    left: Option<u64>,
    outlet: Outlet,
}

impl<N: Node> Relay<N> {
    async fn run(mut self, begun: Bytes) -> Result<(), Broken> {
        let mut piece = begun;
        loop {
            self.left = self
                .left
                .map(|left| left.saturating_sub(piece.len() as u64));
            // Once the client has the last byte nobody polls this again: it comes after all else.
            if self.left == Some(0) {
                break;
            }
            self.outlet.put(piece).await;
            piece = match self.sending.next(&mut self.source.body).await {
                Next::Piece(bytes) => bytes,
                Next::End => {
                    piece = Bytes::new();
                    break;
                }
                Next::Broken(ended_by) => return self.broken(ended_by),
            };
        }
        if self.left == Some(0) {
            match self.sending.next(&mut self.source.body).await {
                Next::End => {}
                Next::Broken(ended_by) => return self.broken(ended_by),
                Next::Piece(_) => return self.broken(EndedBy::Proxy),
            }
        }
        let Relay {
            sending,
            mut source,
            status,
            outlet,
            ..
        } = self;
        source.flight.finish(outcome(status));
        source.body.give_back(&sending.front);
        outlet.put(piece).await;
        Ok(())
    }

    fn broken(self, ended_by: EndedBy) -> Result<(), Broken> {
        self.source.give_up(ended_by);
        Err(Broken)
    }
}
