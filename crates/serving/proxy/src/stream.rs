//! Answers that are streams of events: passed on as they come, counted, kept, taken up elsewhere after a cut.

use crate::answer::{AnswerBody, Broken, Outlet};
use crate::client::Client;
use crate::disposition::EndedBy;
use crate::events::{Event, Splitter};
use crate::http_headers;
use crate::memory::Room;
use crate::node::{KeptTurn, Node};
use crate::plain::response_head;
use crate::reply::{Next, Reply, Source};
use crate::sending::Sending;
use crate::turn::{TokenCount, Turn};
use bytes::{Bytes, BytesMut};
use dunespur_configuration::Kind;
use dunespur_routing::Outcome;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::response::Parts;
use http::{Response, StatusCode};
use std::rc::Rc;

/// The most output of one turn that is held until it is kept. A longer one can't be kept, so its answer ends
/// broken: whole, it would promise that a later turn may go on from it.
const MOST_OUTPUT: usize = 4 * 1024 * 1024;

/// What a stream of events says it is, unless it says nothing.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Whether an answer is a stream of events.
pub(crate) fn is_stream(kind: Kind, head: &Parts) -> bool {
    let of_events = head.headers.get(CONTENT_TYPE).is_none_or(|content_type| {
        let named = content_type.as_bytes().get(..EVENT_STREAM.len());
        named.is_some_and(|named| named.eq_ignore_ascii_case(EVENT_STREAM))
    });
    kind == Kind::Streaming && head.status == StatusCode::OK && of_events
}

/// A turn that is kept once its answer is whole.
pub(crate) struct Keeping {
    pub(crate) turn: KeptTurn,
    pub(crate) room: Room,
    pub(crate) output: BytesMut,
}

impl Keeping {
    /// Guards against outputs that would take more memory than there is.
    fn make_room(&mut self, bytes: usize) -> Result<(), Broken> {
        if self.output.len() + bytes > MOST_OUTPUT {
            return Err(Broken);
        }
        self.room.take(bytes).map_err(|_| Broken)
    }
}

/// What a stream has come to so far, over all its servers.
pub(crate) struct Streaming<N: Node> {
    splitter: Splitter,
    /// The event that the client had already.
    start_id: Option<u64>,
    last_id: Option<u64>,
    tokens: TokenCount,
    turn: Option<Turn<N>>,
    keeping: Option<Keeping>,
}

/// How a stream begins.
pub(crate) enum Begin {
    /// With these events, or with its end where there are none.
    Events(Bytes),
    /// It broke off before the first.
    Broken(EndedBy),
}

impl<N: Node> Streaming<N> {
    /// `start_id` is the event that the client has already.
    pub(crate) fn new(
        tokens: TokenCount,
        turn: Option<Turn<N>>,
        keeping: Option<Keeping>,
        start_id: Option<u64>,
    ) -> Streaming<N> {
        Streaming {
            splitter: Splitter::default(),
            start_id,
            last_id: start_id,
            tokens,
            turn,
            keeping,
        }
    }

    /// Whether the turn is kept once its answer is whole.
    pub(crate) fn is_kept(&self) -> bool {
        self.keeping.is_some()
    }

    /// Waits for the first event.
    pub(crate) async fn begin(
        &mut self,
        sending: &mut Sending<N>,
        source: &mut Source<N>,
    ) -> Begin {
        self.set_chunk(sending);
        self.splitter.clear();
        self.last_id = self.start_id;
        if let Some(keeping) = &mut self.keeping {
            keeping.output.clear();
        }
        loop {
            match sending.next(&mut source.body).await {
                Next::Piece(bytes) => match self.take(bytes) {
                    Ok(whole) if whole.is_empty() => {}
                    Ok(whole) => {
                        sending.heard_event();
                        source.flight.first_event();
                        return Begin::Events(whole);
                    }
                    Err(Broken) => return Begin::Broken(EndedBy::Proxy),
                },
                Next::End if self.splitter.is_empty() => return Begin::Events(Bytes::new()),
                Next::End => return Begin::Broken(EndedBy::Server),
                Next::Broken(ended_by) => return Begin::Broken(ended_by),
            }
        }
    }

    /// The answer to the client: the head of the first server, then the events of all.
    pub(crate) fn respond(
        self,
        sending: Box<Sending<N>>,
        reply: Reply<N>,
        begun: Bytes,
        client: &Rc<Client>,
    ) -> Response<AnswerBody> {
        let Reply { mut head, source } = reply;
        // The end of the answer is a sign of its own, held back until the turn is kept.
        head.headers.remove(CONTENT_LENGTH);
        let outlet = Outlet::default();
        let pump = self.pump(sending, source, begun, outlet.clone());
        Response::from_parts(
            response_head(head),
            AnswerBody::pumped(pump, outlet, None, client),
        )
    }

    async fn pump(
        mut self,
        mut sending: Box<Sending<N>>,
        mut source: Source<N>,
        begun: Bytes,
        outlet: Outlet,
    ) -> Result<(), Broken> {
        outlet.put(begun).await;
        loop {
            let ended_by = match sending.next(&mut source.body).await {
                Next::Piece(bytes) => match self.take(bytes) {
                    Ok(whole) => {
                        sending.heard_event();
                        outlet.put(whole).await;
                        continue;
                    }
                    Err(Broken) => EndedBy::Proxy,
                },
                Next::End if self.splitter.is_empty() => break,
                Next::End => EndedBy::Server,
                Next::Broken(ended_by) => ended_by,
            };
            // Boxed, as it is rare and would make room for itself in every stream.
            source = Box::pin(self.resume(&mut sending, source, ended_by)).await?;
        }
        let tokens_out = u32::try_from(self.tokens.counted()).unwrap_or(u32::MAX);
        source.flight.finish(Outcome::Served { tokens_out });
        source.body.give_back(&sending.front);
        self.keep(&mut sending).await
    }

    /// Takes what came; gives the whole events, counted, to be passed on.
    fn take(&mut self, bytes: Bytes) -> Result<Bytes, Broken> {
        let whole = self.splitter.push(bytes).map_err(|_| Broken)?;
        let mut tokens = 0;
        for event in Event::all(&whole) {
            self.check_id(&event)?;
            tokens += self.tokens.next_event();
            if let Some(keeping) = &mut self.keeping {
                event.append_data(&mut keeping.output);
            }
        }
        if let Some(keeping) = &mut self.keeping {
            keeping.make_room(whole.len())?;
        }
        if let Some(turn) = &self.turn {
            turn.used(tokens);
        }
        Ok(whole)
    }

    /// Guards against pieces that come twice, or out of another run.
    fn check_id(&mut self, event: &Event) -> Result<(), Broken> {
        let Some(id) = event.id else { return Ok(()) };
        if self.last_id.is_some_and(|last| id <= last) {
            return Err(Broken);
        }
        self.last_id = Some(id);
        Ok(())
    }

    /// Takes the stream up again behind the last event that was passed on.
    async fn resume(
        &mut self,
        sending: &mut Sending<N>,
        cut: Source<N>,
        ended_by: EndedBy,
    ) -> Result<Source<N>, Broken> {
        self.splitter.clear();
        let Some(last_id) = self.last_id.filter(|_| sending.route.resumable) else {
            cut.give_up(ended_by);
            return Err(Broken);
        };
        sending
            .message
            .headers
            .insert(http_headers::LAST_EVENT_ID, http_headers::number(last_id));
        let reply = sending
            .send_again(cut, ended_by, true)
            .await
            .map_err(|_| Broken)?;
        if !is_stream(sending.route.kind, &reply.head) {
            reply.source.give_up(EndedBy::Proxy);
            return Err(Broken);
        }
        reply.source.flight.first_event();
        self.set_chunk(sending);
        Ok(reply.source)
    }

    /// Reads how many tokens an event of the present server holds.
    fn set_chunk(&mut self, sending: &Sending<N>) {
        let engine = sending
            .service()
            .and_then(|service| service.engine.as_ref());
        self.tokens
            .set_chunk(engine.map_or(1, |engine| u64::from(engine.chunk_tokens)));
    }

    /// Keeps the turn, so that the end of its answer may go out.
    async fn keep(self, sending: &mut Sending<N>) -> Result<(), Broken> {
        let Some(Keeping {
            mut turn,
            output,
            room: _room,
        }) = self.keeping
        else {
            return Ok(());
        };
        turn.output = output.freeze();
        let node = sending.front.node.clone();
        let kept = sending.limit.bound(node.keep(turn)).await;
        if kept == Some(true) {
            Ok(())
        } else {
            Err(Broken)
        }
    }
}
