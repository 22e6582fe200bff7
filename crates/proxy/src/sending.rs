//! One request on its way to the servers: which of them may get it, and what its sends came to.

use crate::asked::{text, Asked};
use crate::flight::Flight;
use crate::front::Front;
use crate::hop;
use crate::memory::Room;
use crate::node::Node;
use crate::refusal::Refusal;
use crate::servers::{Fault, KeepTerms, Link};
use crate::verdict::{judge, Verdict};
use bytes::Bytes;
use dunespur_configuration::Route;
use dunespur_routing::{Ask, Choice, Outcome, Server, ServerId, Ticket};
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Uri};
use hyper::body::Incoming;
use smallvec::SmallVec;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::time::Sleep;

/// Sends of one request, those that servers turned away included. Guards against a round without end when all
/// of them turn it away.
const MOST_SENDS: u32 = 8;
/// A server answers at the time it was handed; its answer is waited for a little beyond.
const ANSWER_GRACE_MS: u64 = 100;
/// When a client may come back whose request found no server.
const NO_SERVER_RETRY_MS: u64 = 200;

/// The time of a request.
pub(crate) struct TimeLimit {
    /// On the front's clock.
    until_ms: u64,
    timer: Pin<Box<Sleep>>,
}

impl TimeLimit {
    pub(crate) fn new<N: Node>(front: &Front<N>, until_ms: u64) -> TimeLimit {
        let end = front.clock.instant(until_ms + ANSWER_GRACE_MS);
        TimeLimit { until_ms, timer: Box::pin(tokio::time::sleep_until(end)) }
    }

    pub(crate) fn until_ms(&self) -> u64 {
        self.until_ms
    }

    pub(crate) fn poll(&mut self, cx: &mut Context) -> Poll<()> {
        self.timer.as_mut().poll(cx)
    }

    /// What `work` gives, or None once the time is over.
    pub(crate) async fn bound<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
        let mut work = pin!(work);
        poll_fn(|cx| {
            if let Poll::Ready(value) = work.as_mut().poll(cx) {
                return Poll::Ready(Some(value));
            }
            self.poll(cx).map(|()| None)
        })
        .await
    }
}

/// What is sent, whichever server gets it.
pub(crate) struct Message {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) pieces: SmallVec<[Bytes; 1]>,
    /// What the pieces take of the memory for all.
    pub(crate) _room: Room,
}

/// The worst that a send that may have run came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trace {
    /// No server can have run it.
    None,
    /// One may have run it.
    MayHaveRun,
    /// One may still be running it.
    Silent,
}

/// A request with the servers that it was sent to.
pub(crate) struct Sending<N: Node> {
    pub(crate) front: Rc<Front<N>>,
    pub(crate) route: Rc<Route>,
    pub(crate) backend: String,
    pub(crate) asked: Asked,
    pub(crate) message: Message,
    pub(crate) limit: TimeLimit,
    tried: SmallVec<[ServerId; 2]>,
    ran: SmallVec<[ServerId; 2]>,
    sends: u32,
    trace: Trace,
}

/// An answer whose head has come.
pub(crate) struct Reply<N: Node> {
    pub(crate) head: Parts,
    pub(crate) body: ReplyBody,
    pub(crate) flight: Flight<N>,
}

/// The rest of an answer.
pub(crate) struct ReplyBody {
    incoming: Incoming,
    link: Option<Link>,
    terms: KeepTerms,
}

/// What came next of an answer's body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Next {
    Piece(Bytes),
    End,
    /// It broke off.
    Cut,
    TimeUp,
}

impl ReplyBody {
    pub(crate) async fn next(&mut self, limit: &mut TimeLimit) -> Next {
        poll_fn(|cx| {
            if let Poll::Ready(next) = self.poll_next(cx) {
                return Poll::Ready(next);
            }
            limit.poll(cx).map(|()| Next::TimeUp)
        })
        .await
    }

    fn poll_next(&mut self, cx: &mut Context) -> Poll<Next> {
        let Some(link) = &mut self.link else { return Poll::Ready(Next::End) };
        link.poll_body(&mut self.incoming, cx).map(|next| match next {
            Some(Ok(bytes)) => Next::Piece(bytes),
            Some(Err(_)) => Next::Cut,
            None => Next::End,
        })
    }

    /// Hands the connection back after the whole answer.
    pub(crate) fn give_back<N: Node>(&mut self, front: &Front<N>) {
        if let Some(link) = self.link.take() {
            front.servers.keep(link, &self.terms, &front.clock);
        }
    }

    /// Hands the connection back if nothing is left of the answer but what has come by now.
    fn give_back_if_over<N: Node>(&mut self, front: &Front<N>) {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        loop {
            match self.poll_next(&mut cx) {
                Poll::Ready(Next::Piece(_)) => continue,
                Poll::Ready(Next::End) => return self.give_back(front),
                _ => return,
            }
        }
    }
}

impl<N: Node> Sending<N> {
    pub(crate) fn new(
        front: Rc<Front<N>>,
        route: Rc<Route>,
        asked: Asked,
        message: Message,
        limit: TimeLimit,
    ) -> Sending<N> {
        let backend = route.backend(front.draw()).to_owned();
        Sending {
            front,
            route,
            backend,
            asked,
            message,
            limit,
            tried: SmallVec::new(),
            ran: SmallVec::new(),
            sends: 0,
            trace: Trace::None,
        }
    }

    /// Sends the request until a server's answer has come that is to be passed on.
    pub(crate) async fn send(&mut self) -> Result<Reply<N>, Refusal> {
        loop {
            let ticket = self.next_server()?;
            let flight = Flight::new(&self.front.node, ticket.key);
            match self.attempt(&ticket).await {
                Ok((link, head, incoming)) => {
                    let terms = KeepTerms::read(&head.headers);
                    let body = ReplyBody { incoming, link: Some(link), terms };
                    if let Some(reply) = self.take(&ticket, Reply { head, body, flight })? {
                        return Ok(reply);
                    }
                }
                Err(fault) => {
                    self.note_fault(&ticket.server, fault, flight);
                    self.may_go_on()?;
                }
            }
        }
    }

    /// Whether what has been sent may be sent to one more server, after a send that came to nothing.
    pub(crate) fn may_go_on(&self) -> Result<(), Refusal> {
        let ran_enough = self.ran.len() >= self.route.retries.max(1) as usize;
        let ran = !self.ran.is_empty();
        if ran && (ran_enough || !self.route.idempotent()) {
            return Err(self.give_up());
        }
        Ok(())
    }

    /// A send of a stream broke off after its head.
    pub(crate) fn note_cut(&mut self, flight: Flight<N>, time_up: bool) {
        flight.finish(if time_up { Outcome::Silent } else { Outcome::Failed });
        self.trace = if time_up { Trace::Silent } else { Trace::MayHaveRun };
    }

    /// The answer where no server's can be had.
    pub(crate) fn give_up(&self) -> Refusal {
        match self.trace {
            Trace::None => Refusal::Later { retry_after_ms: NO_SERVER_RETRY_MS },
            Trace::MayHaveRun => Refusal::MayHaveRun,
            Trace::Silent => Refusal::TimeUp,
        }
    }

    fn time_left_ms(&self) -> u64 {
        self.limit.until_ms().saturating_sub(self.front.clock.now_ms())
    }

    fn next_server(&mut self) -> Result<Ticket, Refusal> {
        let time_left_ms = self.time_left_ms();
        if time_left_ms == 0 || self.sends >= MOST_SENDS {
            return Err(self.give_up());
        }
        let ask = Ask {
            backend: &self.backend,
            program: text(&self.asked.program),
            session: text(&self.asked.session),
            prefix: &self.asked.prefix,
            prompt_tokens: self.asked.prompt_tokens,
            most_tokens: self.asked.most_tokens,
            idempotent: self.route.idempotent(),
            priority: self.route.priority,
            time_left_ms,
            target_ms: self.route.target_ms,
            tried: &self.tried,
        };
        match self.front.node.choose(&ask) {
            Choice::Send(ticket) => {
                self.sends += 1;
                if !self.tried.contains(&ticket.server.id) {
                    self.tried.push(ticket.server.id.clone());
                }
                Ok(ticket)
            }
            Choice::Refuse { retry_after_ms } if self.trace == Trace::None => {
                Err(Refusal::Later { retry_after_ms })
            }
            Choice::Refuse { .. } | Choice::NoServer => Err(self.give_up()),
        }
    }

    /// Sends the request to one server and waits for the head of its answer.
    async fn attempt(&mut self, ticket: &Ticket) -> Result<(Link, Parts, Incoming), Fault> {
        let idempotent = self.route.idempotent();
        if let Some(link) = self.front.servers.kept(&ticket.server, idempotent, &self.front.clock) {
            match self.exchange(link, ticket).await {
                // The connection ended as it was used again: the server is as well reached over a new one.
                Err(Fault::Unsent) => {}
                Err(Fault::Broken) if idempotent => {}
                result => return result,
            }
        }
        let front = self.front.clone();
        let connected = self.limit.bound(front.servers.connect(&ticket.server)).await;
        let link = connected.unwrap_or(Err(Fault::Unsent))?;
        self.exchange(link, ticket).await
    }

    async fn exchange(&mut self, mut link: Link, ticket: &Ticket) -> Result<(Link, Parts, Incoming), Fault> {
        let head = self.head(ticket);
        let exchange = link.exchange(head, self.message.pieces.clone());
        let answered = self.limit.bound(exchange).await;
        match answered {
            Some(Ok(response)) => {
                let (head, incoming) = response.into_parts();
                Ok((link, head, incoming))
            }
            Some(Err(fault)) => Err(fault),
            None if link.sent_whole() => Err(Fault::Silent),
            None => Err(Fault::Unsent),
        }
    }

    fn head(&self, ticket: &Ticket) -> Request<()> {
        let mut head = Request::new(());
        *head.method_mut() = self.message.method.clone();
        *head.uri_mut() = self.message.uri.clone();
        let mut headers = self.message.headers.clone();
        headers.insert(hop::DEADLINE, hop::number(self.time_left_ms().max(1)));
        if let Ok(id) = HeaderValue::from_str(&ticket.server.id) {
            headers.insert(hop::EXPECT_INSTANCE, id);
        }
        if let Some(priority) = ticket.engine_priority {
            headers.insert(hop::PRIORITY, hop::number(u64::from(priority)));
        }
        *head.headers_mut() = headers;
        head
    }

    /// Decides about an answer; None where the request goes to another server.
    fn take(&mut self, ticket: &Ticket, mut reply: Reply<N>) -> Result<Option<Reply<N>>, Refusal> {
        let verdict = judge(&reply.head, &self.message.method, &self.asked.id);
        match verdict {
            Verdict::Answer => {
                self.note_ran(&ticket.server);
                return Ok(Some(reply));
            }
            Verdict::Failure => {
                self.note_ran(&ticket.server);
                if self.may_go_on().is_err() {
                    return Ok(Some(reply));
                }
                self.trace = Trace::MayHaveRun;
                reply.flight.finish(Outcome::Failed);
                reply.body.give_back_if_over(&self.front);
            }
            Verdict::Shed => {
                reply.flight.finish(Outcome::Shed);
                reply.body.give_back_if_over(&self.front);
            }
            Verdict::Moved => reply.flight.finish(Outcome::Moved),
            Verdict::EmptyPromise | Verdict::Spoilt => {
                log::debug!("server {}: {verdict:?} ({})", ticket.server.id, reply.head.status);
                self.note_fault(&ticket.server, Fault::Spoilt, reply.flight);
            }
        }
        self.may_go_on()?;
        Ok(None)
    }

    fn note_fault(&mut self, server: &Server, fault: Fault, flight: Flight<N>) {
        let (outcome, trace) = match fault {
            Fault::Unreachable => (Outcome::Unreachable, Trace::None),
            // The server is not to blame.
            Fault::NoConnectionLeft => (Outcome::Abandoned, Trace::None),
            Fault::Unsent => (Outcome::Failed, Trace::None),
            Fault::Broken | Fault::Spoilt => (Outcome::Failed, Trace::MayHaveRun),
            Fault::Silent => (Outcome::Silent, Trace::Silent),
        };
        flight.finish(outcome);
        if trace != Trace::None {
            self.note_ran(server);
            self.trace = trace;
        }
    }

    fn note_ran(&mut self, server: &Server) {
        if !self.ran.contains(&server.id) {
            self.ran.push(server.id.clone());
        }
    }
}
