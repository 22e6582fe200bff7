//! One request on its way to the servers: which of them may get it, and what its sends came to.

use crate::asked::{text, Asked};
use crate::flight::Flight;
use crate::front::Front;
use crate::hop;
use crate::limit::TimeLimit;
use crate::link::{Fault, Link};
use crate::memory::Room;
use crate::node::Node;
use crate::refusal::Refusal;
use crate::servers::KeepTerms;
use crate::story;
use crate::verdict::{judge, Verdict};
use bytes::Bytes;
use dunespur_configuration::{Route, Service, Table};
use dunespur_routing::{Ask, Choice, Outcome, Server, ServerId, Ticket};
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Uri};
use hyper::body::Incoming;
use smallvec::SmallVec;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Sends of one request, those that servers turned away included. Guards against a round without end when all
/// of them turn it away.
const MOST_SENDS: u32 = 8;
/// Sends to a server that may have run the request before. Guards against a server that breaks every answer off.
const MOST_RESENDS: u32 = 2;
/// What can be repeated leaves a server that has been silent for so many times the aim of its route.
const PATIENCE_AIMS: u64 = 4;
/// When a client may come back whose request found no server.
const NO_SERVER_RETRY_MS: u64 = 200;

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
    pub(crate) asked: Asked,
    pub(crate) message: Message,
    pub(crate) limit: TimeLimit,
    table: Rc<Table>,
    backend: String,
    tried: SmallVec<[ServerId; 2]>,
    /// Those that may have run it and are not known to have crashed since.
    ran: SmallVec<[ServerId; 2]>,
    /// The server that the request goes to from one that is silent.
    ahead: Option<Chosen<N>>,
    sends: u32,
    resends: u32,
    trace: Trace,
}

/// A server that the request counts as in flight at.
struct Chosen<N: Node> {
    ticket: Ticket,
    flight: Flight<N>,
}

/// An answer whose head has come.
pub(crate) struct Reply<N: Node> {
    pub(crate) head: Parts,
    pub(crate) source: Source<N>,
}

/// Where the rest of an answer comes from.
pub(crate) struct Source<N: Node> {
    pub(crate) body: ReplyBody,
    pub(crate) flight: Flight<N>,
    ticket: Ticket,
}

/// An answer of the server that was asked, judged by its head.
struct Answered {
    link: Link,
    head: Parts,
    incoming: Incoming,
    verdict: Verdict,
}

/// Which connections may carry a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Over {
    KeptOrNew,
    New,
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
        table: Rc<Table>,
        route: Rc<Route>,
        asked: Asked,
        message: Message,
        limit: TimeLimit,
    ) -> Sending<N> {
        let backend = route.backend(front.draw()).to_owned();
        Sending {
            front,
            route,
            asked,
            message,
            limit,
            table,
            backend,
            tried: SmallVec::new(),
            ran: SmallVec::new(),
            ahead: None,
            sends: 0,
            resends: 0,
            trace: Trace::None,
        }
    }

    /// The service whose server was chosen last.
    pub(crate) fn service(&self) -> Option<&Rc<Service>> {
        self.table.service(&self.backend)
    }

    /// Sends the request until a server's answer has come that is to be passed on.
    pub(crate) async fn send(&mut self) -> Result<Reply<N>, Refusal> {
        loop {
            let Chosen { ticket, flight } = self.next_server()?;
            if let Some(reply) = self.ask(ticket, flight, Over::KeptOrNew).await? {
                return Ok(reply);
            }
        }
    }

    /// What comes next of an answer's body.
    pub(crate) async fn next(&mut self, body: &mut ReplyBody) -> Next {
        self.wait(poll_fn(|cx| body.poll_next(cx))).await.unwrap_or(Next::TimeUp)
    }

    /// What `work` gives; None once the time is over, or once the request leaves a silent server for another one.
    async fn wait<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
        let mut work = pin!(work);
        loop {
            let done = self.limit.bound(work.as_mut()).await;
            if done.is_some() || self.limit.left_ms() == 0 || self.choose_ahead() {
                return done;
            }
            self.limit.wait_out();
        }
    }

    /// The answer broke off after its head: the request, changed meanwhile where it is to go on behind what has
    /// come, is sent again if it may be.
    pub(crate) async fn send_again(&mut self, cut: Source<N>, time_up: bool) -> Result<Reply<N>, Refusal> {
        let Source { body, flight, ticket } = cut;
        drop(body);
        self.note_ran(&ticket.server, if time_up { Trace::Silent } else { Trace::MayHaveRun });
        if !time_up && self.may_resend() {
            if let Some(reply) = self.ask(ticket, flight, Over::New).await? {
                return Ok(reply);
            }
        } else {
            flight.finish(if time_up { Outcome::Silent } else { Outcome::Failed });
            self.may_go_on()?;
        }
        self.send().await
    }

    /// The answer broke off and nothing can be done about it.
    pub(crate) fn give_up_on(cut: Source<N>, time_up: bool) {
        cut.flight.finish(if time_up { Outcome::Silent } else { Outcome::Failed });
    }

    /// Asks one server; None where the request goes to another one.
    async fn ask(
        &mut self,
        ticket: Ticket,
        flight: Flight<N>,
        mut over: Over,
    ) -> Result<Option<Reply<N>>, Refusal> {
        loop {
            match self.attempt(&ticket, over).await {
                Ok(answered) => return self.take(answered, ticket, flight),
                Err(fault) => {
                    story::fault(&self.asked, &ticket, fault);
                    self.note_fault(&ticket.server, fault);
                    if !(matches!(fault, Fault::Broken | Fault::Spoilt) && self.may_resend()) {
                        flight.finish(outcome(fault));
                        self.may_go_on()?;
                        return Ok(None);
                    }
                    over = Over::New;
                }
            }
        }
    }

    /// Whether the request may be sent to one more server, after a send that came to nothing.
    fn may_go_on(&self) -> Result<(), Refusal> {
        let may_repeat = self.route.idempotent() && !self.ran_enough();
        if self.ran.is_empty() && self.trace == Trace::None || may_repeat {
            Ok(())
        } else {
            Err(self.give_up())
        }
    }

    /// Whether the request may still go to another server after one more that was silent.
    fn may_leave(&self) -> bool {
        self.route.idempotent() && self.ran.len() + 1 < self.route.retries as usize
    }

    /// A server is at work on the stream: pauses up to a multiple of their aim are waited out.
    pub(crate) fn heard_event(&mut self) {
        self.limit.heard(PATIENCE_AIMS * self.route.gap_aim_ms.unwrap_or(self.route.target_ms));
    }

    /// Whether the request is sent to the same server again: it may be sent to no further one, and can be
    /// repeated. Should the server turn out to be gone, it no longer counts.
    fn may_resend(&mut self) -> bool {
        let wanted = self.route.idempotent() && self.ran_enough();
        let may = wanted && self.resends < MOST_RESENDS && self.limit.left_ms() > 0;
        self.resends += u32::from(may);
        may
    }

    /// Whether as many servers may have run it as the route allows.
    fn ran_enough(&self) -> bool {
        self.ran.len() >= self.route.retries.max(1) as usize
    }

    /// The answer where no server's can be had.
    fn give_up(&self) -> Refusal {
        match self.trace {
            Trace::None => Refusal::Later { retry_after_ms: NO_SERVER_RETRY_MS },
            Trace::MayHaveRun => Refusal::MayHaveRun,
            Trace::Silent => Refusal::TimeUp,
        }
    }

    fn next_server(&mut self) -> Result<Chosen<N>, Refusal> {
        if self.limit.left_ms() == 0 || self.sends >= MOST_SENDS {
            return Err(self.give_up());
        }
        if let Some(ahead) = self.ahead.take() {
            return Ok(self.note_sent(ahead.ticket, ahead.flight));
        }
        match self.choose() {
            Choice::Send(ticket) => {
                let flight = self.flight(&ticket);
                Ok(self.note_sent(ticket, flight))
            }
            Choice::Refuse { retry_after_ms } if self.trace == Trace::None => {
                Err(Refusal::Later { retry_after_ms })
            }
            Choice::Refuse { .. } | Choice::NoServer => Err(self.give_up()),
        }
    }

    fn flight(&self, ticket: &Ticket) -> Flight<N> {
        Flight::new(&self.front.node, &self.front.clock, ticket.key, self.limit.until_ms())
    }

    fn note_sent(&mut self, ticket: Ticket, flight: Flight<N>) -> Chosen<N> {
        self.sends += 1;
        if !self.tried.contains(&ticket.server.id) {
            self.tried.push(ticket.server.id.clone());
        }
        Chosen { ticket, flight }
    }

    /// Chooses a server to go to from one that is silent; false where there is none, so that the silent one is
    /// waited for.
    fn choose_ahead(&mut self) -> bool {
        let backend = self.backend.clone();
        if let Choice::Send(ticket) = self.choose() {
            let flight = self.flight(&ticket);
            if !self.tried.contains(&ticket.server.id) {
                self.ahead = Some(Chosen { ticket, flight });
                return true;
            }
            flight.finish(Outcome::Abandoned);
        }
        self.backend = backend;
        false
    }

    /// The choice among the servers of the service that was drawn; where it has none left, of another one that
    /// the route allows.
    fn choose(&mut self) -> Choice {
        let choice = self.choose_of(&self.backend);
        if !matches!(choice, Choice::NoServer) {
            return choice;
        }
        let others =
            self.route.backends.iter().filter(|other| other.weight > 0 && other.backend != self.backend);
        let chosen = others.map(|other| (&other.backend, self.choose_of(&other.backend)));
        match chosen.into_iter().find(|(_, choice)| !matches!(choice, Choice::NoServer)) {
            Some((backend, choice)) => {
                self.backend = backend.clone();
                choice
            }
            None => Choice::NoServer,
        }
    }

    fn choose_of(&self, backend: &str) -> Choice {
        let choice = self.front.node.choose(&Ask {
            backend,
            program: text(&self.asked.program),
            session: text(&self.asked.session),
            prefix: &self.asked.prefix,
            prompt_tokens: self.asked.prompt_tokens,
            most_tokens: self.asked.most_tokens,
            idempotent: self.route.idempotent(),
            priority: self.route.priority,
            time_left_ms: self.limit.left_ms(),
            target_ms: self.route.target_ms,
            tried: &self.tried,
        });
        story::choice(&self.asked, backend, &choice);
        choice
    }

    /// Sends the request to one server and waits for the head of its answer.
    async fn attempt(&mut self, ticket: &Ticket, over: Over) -> Result<Answered, Fault> {
        self.limit.wait_out();
        let idempotent = self.route.idempotent();
        let kept = || self.front.servers.kept(&ticket.server, idempotent, &self.front.clock);
        if let Some(link) = (over == Over::KeptOrNew).then(kept).flatten() {
            story::sent(&self.asked, ticket, story::Over::Kept);
            match self.exchange(link, ticket).await {
                // The connection ended as it was used again: the server is as well reached over a new one.
                Err(Fault::Unsent) => {}
                Err(Fault::Broken) if idempotent => self.note_ran(&ticket.server, Trace::MayHaveRun),
                result => return result,
            }
        }
        let front = self.front.clone();
        let connected = self.limit.bound(front.servers.connect(&ticket.server, self.route.target_ms)).await;
        let link = connected.unwrap_or(Err(Fault::Unsent))?;
        story::sent(&self.asked, ticket, story::Over::New);
        self.exchange(link, ticket).await
    }

    async fn exchange(&mut self, mut link: Link, ticket: &Ticket) -> Result<Answered, Fault> {
        let head = self.head(ticket);
        if self.may_leave() {
            self.limit.expect_within(PATIENCE_AIMS * self.route.target_ms);
        }
        let exchange = link.exchange(head, self.message.pieces.clone());
        let (head, incoming) = match self.wait(exchange).await {
            Some(answered) => answered?.into_parts(),
            None if link.sent_whole() => return Err(Fault::Silent),
            None => return Err(Fault::Unsent),
        };
        let verdict = judge(&head, &self.message.method, &self.asked.id);
        story::judged(&self.asked, ticket, head.status, verdict);
        if matches!(verdict, Verdict::Spoilt | Verdict::EmptyPromise) {
            return Err(Fault::Spoilt);
        }
        Ok(Answered { link, head, incoming, verdict })
    }

    fn head(&self, ticket: &Ticket) -> Request<()> {
        let mut head = Request::new(());
        *head.method_mut() = self.message.method.clone();
        *head.uri_mut() = self.message.uri.clone();
        let mut headers = self.message.headers.clone();
        headers.insert(hop::DEADLINE, hop::number(self.limit.left_ms().max(1)));
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
    fn take(
        &mut self,
        answered: Answered,
        ticket: Ticket,
        flight: Flight<N>,
    ) -> Result<Option<Reply<N>>, Refusal> {
        let Answered { link, head, incoming, verdict } = answered;
        let terms = KeepTerms::read(&head.headers);
        let mut body = ReplyBody { incoming, link: Some(link), terms };
        match verdict {
            Verdict::Shed => {
                flight.finish(Outcome::Shed);
                body.give_back_if_over(&self.front);
            }
            Verdict::Moved => {
                flight.finish(Outcome::Moved);
                self.note_gone(&ticket.server);
            }
            Verdict::Failure if self.note_failure(&ticket.server) => {
                flight.finish(Outcome::Failed);
                body.give_back_if_over(&self.front);
            }
            _ => {
                self.note_ran(&ticket.server, self.trace);
                return Ok(Some(Reply { head, source: Source { body, flight, ticket } }));
            }
        }
        self.may_go_on()?;
        Ok(None)
    }

    /// Notes a failure of the server's own; whether another server may be asked instead of passing it on.
    fn note_failure(&mut self, server: &Server) -> bool {
        let trace = self.trace;
        self.note_ran(server, Trace::MayHaveRun);
        let may_go_on = self.may_go_on().is_ok();
        if !may_go_on {
            self.trace = trace;
        }
        may_go_on
    }

    fn note_fault(&mut self, server: &Server, fault: Fault) {
        match fault {
            Fault::Unreachable => self.note_gone(server),
            Fault::NoConnectionLeft | Fault::TurnedAway | Fault::Unsent => {}
            Fault::Broken | Fault::Spoilt => self.note_ran(server, Trace::MayHaveRun),
            Fault::Silent => self.note_ran(server, Trace::Silent),
        }
    }

    fn note_ran(&mut self, server: &Server, trace: Trace) {
        if !self.ran.contains(&server.id) {
            self.ran.push(server.id.clone());
        }
        self.trace = trace;
    }

    /// The server has crashed, if it ever ran the request: it no longer counts among those that were sent to.
    fn note_gone(&mut self, server: &Server) {
        self.ran.retain(|id| *id != server.id);
    }
}

/// What a fault says of its server.
fn outcome(fault: Fault) -> Outcome {
    match fault {
        Fault::Unreachable => Outcome::Unreachable,
        // The server is not to blame.
        Fault::NoConnectionLeft => Outcome::Abandoned,
        Fault::TurnedAway => Outcome::Shed,
        Fault::Unsent | Fault::Broken | Fault::Spoilt => Outcome::Failed,
        Fault::Silent => Outcome::Silent,
    }
}
