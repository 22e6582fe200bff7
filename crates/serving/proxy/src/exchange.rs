//! One request of a client, from its head to the head of its answer.

use crate::answer::AnswerBody;
use crate::asked::{text, Asked};
use crate::body::{collect, discard};
use crate::client::{Client, Stage};
use crate::disposition::EndedBy;
use crate::front::Front;
use crate::http_headers;
use crate::limit::TimeLimit;
use crate::memory::Room;
use crate::node::{History, KeptTurn, Node, Reserve, TurnAsk};
use crate::plain::{self, Awaited};
use crate::refusal::Refusal;
use crate::reply::Reply;
use crate::sending::{Message, Sending};
use crate::stream::{is_stream, Begin, Keeping, Streaming};
use crate::trace::{self, Told};
use crate::turn::{TokenCount, Turn};
use bytes::{Bytes, BytesMut};
use dunespur_configuration::{Kind, Route, Table};
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, Uri, Version};
use hyper::body::Incoming;
use smallvec::SmallVec;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// An answer may still be written for so long after the time of its request; then nobody reads it.
const OVERTIME_MS: u64 = 500;
/// The same for an answer of the data plane's own.
const REFUSAL_TIME_MS: u64 = 2000;
/// A request that comes before the first configuration waits for it so long at most. Guards against losing, just
/// after a start of all processes, clients who have only a few tries.
const MOST_TABLE_WAIT_MS: u64 = 500;
/// It waits for no more than one in so many parts of its time: a further try at another gateway needs the rest.
const TABLE_WAIT_PARTS: u64 = 4;
/// When a client may come back that has waited in vain for the first configuration.
const NO_TABLE_RETRY_MS: u64 = 200;
/// When a client may come back whose turn waited for its admission until its time was over.
const NOT_ADMITTED_RETRY_MS: u64 = 300;

/// Answers a request of `client`.
pub(crate) async fn answer<N: Node>(
    front: Rc<Front<N>>,
    client: Rc<Client>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    client.set_stage(Stage::InHand);
    front.count_request();
    let arrived_ms = front.clock.now_ms();
    let mut until_ms = arrived_ms + REFUSAL_TIME_MS;
    let told = Told::of(&request);
    let mut response = match serve(&front, &client, request, arrived_ms, &mut until_ms).await {
        Ok(response) => {
            told.answered(response.status());
            response
        }
        Err(refusal) => {
            told.refused(refusal);
            refuse(&front, &client, refusal)
        }
    };
    if front.is_leaving() || client.is_ending() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let until_ms = until_ms.max(front.clock.now_ms()) + OVERTIME_MS;
    client.set_stage(Stage::Answering { until_ms });
    response
}

fn refuse<N: Node>(
    front: &Front<N>,
    client: &Rc<Client>,
    refusal: Refusal,
) -> Response<AnswerBody> {
    front.count_refusal(refusal);
    if refusal.leaves_unread() {
        client.refuse_unread();
    }
    let reason = Bytes::from_static(refusal.reason().as_bytes());
    refusal.head().map(|()| AnswerBody::whole(reason, client))
}

async fn serve<N: Node>(
    front: &Rc<Front<N>>,
    client: &Rc<Client>,
    request: Request<Incoming>,
    arrived_ms: u64,
    until_ms: &mut u64,
) -> Result<Response<AnswerBody>, Refusal> {
    let (head, body) = request.into_parts();
    let Routed {
        table,
        route,
        asked,
    } = match Routed::find(front, &head).await {
        Ok(routed) => routed,
        Err(refusal) => {
            if !discard(body).await {
                client.refuse_unread();
            }
            return Err(refusal);
        }
    };
    let held_ms = asked.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    *until_ms = arrived_ms.saturating_add(held_ms);
    trace::arrived(&head, &route, &asked, held_ms);
    let mut limit = TimeLimit::new(&front.clock, &front.departures, *until_ms);
    let mut room = front.memory.room();
    let input = collect(body, table.limits().max_body_bytes, &mut limit, &mut room).await?;
    let pieces = prompt(front, &route, &asked, &input, &mut limit, &mut room).await?;
    let turn = admit(front, &route, &asked, &mut limit).await?;
    let keeping = keeping(front, &route, &asked, input);
    let message = message(head, pieces, room);
    let sending = Box::new(Sending::new(
        front.clone(),
        table,
        route,
        asked,
        message,
        limit,
    ));
    run(sending, turn, keeping, client).await
}

/// A proper request with its route.
struct Routed {
    table: Rc<Table>,
    route: Rc<Route>,
    asked: Asked,
}

impl Routed {
    async fn find<N: Node>(front: &Front<N>, head: &Parts) -> Result<Routed, Refusal> {
        if head.version != Version::HTTP_11 {
            return Err(Refusal::OldVersion);
        }
        let table = match front.node.table() {
            Some(table) => table,
            // Boxed, as it is rare and would make room for itself in every request.
            None => Box::pin(first_table(front, head)).await?,
        };
        let route = match find_route(&table, head) {
            // The route may have been added since.
            Err(Refusal::NoRoute) if front.node.is_out_of_touch() => {
                return Err(Refusal::Later {
                    retry_after_ms: NO_TABLE_RETRY_MS,
                });
            }
            found => found?,
        };
        let asked = Asked::read(&head.headers)?;
        Ok(Routed {
            table,
            route,
            asked,
        })
    }
}

/// The first configuration, waited for while the process starts.
async fn first_table<N: Node>(front: &Front<N>, head: &Parts) -> Result<Rc<Table>, Refusal> {
    let later = Refusal::Later {
        retry_after_ms: NO_TABLE_RETRY_MS,
    };
    let time_ms = Asked::read(&head.headers)?.deadline_ms.unwrap_or(u64::MAX);
    let wait_ms = (time_ms / TABLE_WAIT_PARTS).min(MOST_TABLE_WAIT_MS);
    if wait_ms == 0 {
        return Err(later);
    }
    let coming = async {
        loop {
            front.node.next_change().await;
            if let Some(table) = front.node.table() {
                return table;
            }
        }
    };
    timeout(Duration::from_millis(wait_ms), coming)
        .await
        .map_err(|_| later)
}

fn find_route(table: &Table, head: &Parts) -> Result<Rc<Route>, Refusal> {
    let named = || head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = head
        .uri
        .authority()
        .map(|authority| authority.as_str())
        .or_else(named);
    let host = host.ok_or(Refusal::Malformed)?;
    table
        .find(host, head.uri.path())
        .cloned()
        .ok_or(Refusal::NoRoute)
}

/// The body for the server: what the turn goes on from, then its input.
async fn prompt<N: Node>(
    front: &Front<N>,
    route: &Route,
    asked: &Asked,
    input: &Bytes,
    limit: &mut TimeLimit,
    room: &mut Room,
) -> Result<SmallVec<[Bytes; 1]>, Refusal> {
    let mut pieces = SmallVec::new();
    if route.persisted && asked.last_event_id.is_some() {
        // Only the rest of the answer would come, and kept as the whole it would be another one.
        return Err(Refusal::Later {
            retry_after_ms: NOT_ADMITTED_RETRY_MS,
        });
    }
    let previous = text(&asked.previous).filter(|_| route.persisted);
    if let Some(previous) = previous {
        let program = text(&asked.program).unwrap_or_default();
        let history = limit.bound(front.node.history(program, previous)).await;
        match history {
            Some(History::Found(found)) => {
                room.take(found.iter().map(Bytes::len).sum())?;
                pieces.extend(found);
            }
            Some(History::Unknown) => return Err(Refusal::UnknownTurn),
            Some(History::Unsure { retry_after_ms }) => {
                return Err(Refusal::Later { retry_after_ms })
            }
            None => {
                return Err(Refusal::Later {
                    retry_after_ms: NOT_ADMITTED_RETRY_MS,
                })
            }
        }
    }
    pieces.push(input.clone());
    Ok(pieces)
}

/// Sets aside what a turn may generate. Requests that state no budget are no turns.
async fn admit<N: Node>(
    front: &Front<N>,
    route: &Route,
    asked: &Asked,
    limit: &mut TimeLimit,
) -> Result<Option<Turn<N>>, Refusal> {
    let (Some(budget), Some(program)) = (asked.budget, text(&asked.program)) else {
        return Ok(None);
    };
    if route.kind != Kind::Streaming {
        return Ok(None);
    }
    let ask = TurnAsk {
        program,
        budget,
        most: most_tokens(asked),
    };
    match limit.bound(front.node.reserve(ask)).await {
        Some(Reserve::Admitted(key)) => {
            trace::admitted(asked, key.0);
            Ok(Some(Turn::new(&front.node, key)))
        }
        Some(Reserve::Spent) => Err(Refusal::Spent),
        Some(Reserve::Wait { retry_after_ms }) => Err(Refusal::Later { retry_after_ms }),
        None => Err(Refusal::Later {
            retry_after_ms: NOT_ADMITTED_RETRY_MS,
        }),
    }
}

/// The most that a turn generates; one that does not say may take its whole budget.
fn most_tokens(asked: &Asked) -> u64 {
    match asked.most_tokens {
        0 => asked.budget.unwrap_or(0),
        most => u64::from(most),
    }
}

/// What is kept of the turn once its answer is whole.
fn keeping<N: Node>(
    front: &Front<N>,
    route: &Route,
    asked: &Asked,
    input: Bytes,
) -> Option<Keeping> {
    let of_text = |value: &Option<HeaderValue>| text(value).map(str::to_owned);
    let turn = KeptTurn {
        id: asked.id.to_str().ok()?.to_owned(),
        previous: of_text(&asked.previous),
        program: of_text(&asked.program).unwrap_or_default(),
        input,
        output: Bytes::new(),
        retention_ms: route.retention_ms,
    };
    let is_kept = route.persisted && route.kind == Kind::Streaming;
    is_kept.then(|| Keeping {
        turn,
        room: front.memory.room(),
        output: BytesMut::new(),
    })
}

/// The message for the servers, but for what each of them gets of its own.
fn message(head: Parts, pieces: SmallVec<[Bytes; 1]>, room: Room) -> Message {
    let Parts {
        method,
        uri,
        mut headers,
        ..
    } = head;
    http_headers::prepare_request(&mut headers);
    let is_empty = pieces.iter().all(Bytes::is_empty);
    if is_empty && matches!(method, Method::POST | Method::PUT | Method::PATCH) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from_static("0"));
    }
    Message {
        method,
        uri: origin_form(uri),
        headers,
        pieces,
        _room: room,
    }
}

/// Path and query as they came, without scheme and host.
fn origin_form(uri: Uri) -> Uri {
    if uri.authority().is_none() {
        return uri;
    }
    uri.path_and_query()
        .map(|path| Uri::from(path.clone()))
        .unwrap_or_default()
}

/// Sends a request, and turns the server's answer into the client's.
async fn run<N: Node>(
    mut sending: Box<Sending<N>>,
    turn: Option<Turn<N>>,
    keeping: Option<Keeping>,
    client: &Rc<Client>,
) -> Result<Response<AnswerBody>, Refusal> {
    let tokens = TokenCount::new(most_tokens(&sending.asked));
    let mut streaming = Streaming::new(tokens, turn, keeping, last_id(&sending.asked));
    let mut reply = sending.send().await?;
    loop {
        let ended_by = if is_stream(sending.route.kind, &reply.head) {
            match streaming.begin(&mut sending, &mut reply.source).await {
                Begin::Events(begun) => return Ok(streaming.respond(sending, reply, begun, client)),
                Begin::Broken(ended_by) => ended_by,
            }
        } else if streaming.is_kept() && reply.head.status.is_success() {
            // Passed on, it would promise that a later turn may go on from it.
            EndedBy::Proxy
        } else {
            reply.source.flight.first_event();
            sending.limit.wait_out();
            match plain::await_body(&mut sending, &mut reply.source).await {
                Awaited::Whole(body) => return Ok(finish_plain(&sending, reply, body, client)),
                Awaited::Longer(begun) => {
                    return Ok(plain::relayed_response(sending, reply, begun, client))
                }
                Awaited::Broken(ended_by) => ended_by,
            }
        };
        // Boxed, as it is rare and would make room for itself in every request.
        reply = Box::pin(sending.send_again(reply.source, ended_by, false)).await?;
    }
}

fn finish_plain<N: Node>(
    sending: &Sending<N>,
    reply: Reply<N>,
    body: Bytes,
    client: &Rc<Client>,
) -> Response<AnswerBody> {
    let Reply { head, mut source } = reply;
    source.flight.finish(plain::outcome(head.status));
    source.body.give_back(&sending.front);
    plain::whole_response(head, body, client)
}

/// The event that the client says it has.
fn last_id(asked: &Asked) -> Option<u64> {
    text(&asked.last_event_id)?.trim().parse().ok()
}
