//! One request on its way to the servers: which of them may get it, and what its sends came to.

use crate::asked::{text, Asked};
use crate::attempt::{Answered, AttemptError, Over};
use crate::disposition::{AnswerKind, EndedBy, Execution, Repeat};
use crate::flight::Flight;
use crate::front::Front;
use crate::limit::TimeLimit;
use crate::link::ConnectError;
use crate::memory::Room;
use crate::node::Node;
use crate::refusal::Refusal;
use crate::reply::{outcome_of_broken, Next, Reply, ReplyBody, Source};
use crate::run_record::RunRecord;
use crate::trace;
use bytes::Bytes;
use dunespur_configuration::{Route, Service, Table};
use dunespur_routing::{Ask, Choice, Outcome, Server, ServerId, Ticket};
use http::{HeaderMap, Method, Uri};
use smallvec::SmallVec;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;

/// Sends of one request, those that servers turned away included. Guards against a round without end when all
/// of them turn it away.
const MOST_SENDS: u32 = 8;
/// What can be repeated leaves a server that has been silent for so many times the aim of its route.
pub(crate) const PATIENCE_AIMS: u64 = 4;

/// What is sent, whichever server gets it.
pub(crate) struct Message {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) pieces: SmallVec<[Bytes; 1]>,
    /// What the pieces take of the memory for all.
    pub(crate) _room: Room,
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
    /// The server that the request goes to from one that is silent.
    ahead: Option<Chosen<N>>,
    sends: u32,
    pub(crate) record: RunRecord,
}

/// A server that the request counts as in flight at.
struct Chosen<N: Node> {
    ticket: Ticket,
    flight: Flight<N>,
    over: Over,
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
        let record = RunRecord::new(route.idempotent(), route.retries as usize, front.guards);
        Sending {
            front,
            route,
            asked,
            message,
            limit,
            table,
            backend,
            tried: SmallVec::new(),
            ahead: None,
            sends: 0,
            record,
        }
    }

    /// The service whose server was chosen last.
    pub(crate) fn service(&self) -> Option<&Rc<Service>> {
        self.table.service(&self.backend)
    }

    /// Sends the request until a server's answer has come that is to be passed on.
    pub(crate) async fn send(&mut self) -> Result<Reply<N>, Refusal> {
        loop {
            let Chosen {
                ticket,
                flight,
                over,
            } = self.next_server()?;
            if let Some(reply) = self.ask(ticket, flight, over).await? {
                return Ok(reply);
            }
        }
    }

    /// What comes next of an answer's body.
    pub(crate) async fn next(&mut self, body: &mut ReplyBody) -> Next {
        let guards = self.front.guards;
        let next = self.wait(poll_fn(|cx| body.poll_next(guards, cx))).await;
        next.unwrap_or(Next::Broken(EndedBy::Timeout))
    }

    /// What `work` gives; None once the time is over, or once the request leaves a silent server for another one.
    pub(crate) async fn wait<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
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
    /// been passed on, is sent again if it may be.
    pub(crate) async fn send_again(
        &mut self,
        cut: Source<N>,
        ended_by: EndedBy,
        passed_on: bool,
    ) -> Result<Reply<N>, Refusal> {
        let Source {
            body,
            flight,
            ticket,
        } = cut;
        let disposition = body.broken_off(ended_by, passed_on).disposition();
        drop(body);
        self.record.note(&ticket.server.id, disposition.execution);
        if self.may_resend(disposition.execution) {
            if let Some(reply) = self.ask(ticket, flight, Over::New).await? {
                return Ok(reply);
            }
        } else {
            flight.finish(outcome_of_broken(ended_by));
            self.check_may_go_on(disposition.repeat)?;
        }
        self.send().await
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
                Err(error) => {
                    trace::attempt_failed(&self.asked, &ticket, error);
                    self.note_error(&ticket.server, error);
                    if !self.may_resend(error.execution()) {
                        flight.finish(error.outcome());
                        self.check_may_go_on(error.repeat())?;
                        return Ok(None);
                    }
                    over = Over::New;
                }
            }
        }
    }

    fn note_error(&mut self, server: &Server, error: AttemptError) {
        if error == AttemptError::Connect(ConnectError::Unreachable) {
            self.record.note_gone(&server.id);
        }
        self.record.note(&server.id, error.execution());
    }

    /// Whether the request is sent to the same server again.
    fn may_resend(&mut self, execution: Execution) -> bool {
        execution == Execution::MayHaveRun && self.limit.left_ms() > 0 && self.record.may_resend()
    }

    /// Whether the request may be sent to one more server, after an attempt that came to nothing.
    fn check_may_go_on(&self, repeat: Repeat) -> Result<(), Refusal> {
        if self.record.may_go_on(repeat) {
            Ok(())
        } else {
            Err(self.record.refusal())
        }
    }

    /// A server is at work on the stream: pauses up to a multiple of their aim are waited out.
    pub(crate) fn heard_event(&mut self) {
        self.limit
            .heard(PATIENCE_AIMS * self.route.gap_aim_ms.unwrap_or(self.route.target_ms));
    }

    fn next_server(&mut self) -> Result<Chosen<N>, Refusal> {
        if !self.has_send_left() {
            return Err(self.record.refusal());
        }
        if let Some(ahead) = self.ahead.take() {
            return Ok(self.note_sent(ahead.ticket, ahead.flight));
        }
        match self.choose() {
            Choice::Send(ticket) => {
                let flight = self.flight(&ticket);
                Ok(self.note_sent(ticket, flight))
            }
            Choice::Refuse { retry_after_ms } if self.record.is_unrun() => {
                Err(Refusal::Later { retry_after_ms })
            }
            Choice::Refuse { .. } | Choice::NoServer => Err(self.record.refusal()),
        }
    }

    fn flight(&self, ticket: &Ticket) -> Flight<N> {
        Flight::new(
            &self.front.node,
            &self.front.clock,
            ticket.key,
            self.limit.until_ms(),
        )
    }

    fn note_sent(&mut self, ticket: Ticket, flight: Flight<N>) -> Chosen<N> {
        self.sends += 1;
        let over = if self.tried.contains(&ticket.server.id) {
            Over::New
        } else {
            Over::KeptOrNew
        };
        if over == Over::KeptOrNew {
            self.tried.push(ticket.server.id.clone());
        }
        Chosen {
            ticket,
            flight,
            over,
        }
    }

    /// Chooses a server to go to from one that is silent; false where there is none, so that the silent one is
    /// waited for.
    fn choose_ahead(&mut self) -> bool {
        let backend = self.backend.clone();
        if let Choice::Send(ticket) = self.choose() {
            let flight = self.flight(&ticket);
            if !self.tried.contains(&ticket.server.id) {
                self.ahead = Some(Chosen {
                    ticket,
                    flight,
                    over: Over::KeptOrNew,
                });
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
        let others = self
            .route
            .backends
            .iter()
            .filter(|other| other.weight > 0 && other.backend != self.backend);
        let chosen = others.map(|other| (&other.backend, self.choose_of(&other.backend)));
        match chosen
            .into_iter()
            .find(|(_, choice)| !matches!(choice, Choice::NoServer))
        {
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
        trace::choice(&self.asked, backend, &choice);
        choice
    }

    /// Decides about an answer; None where the request goes to another server.
    fn take(
        &mut self,
        answered: Answered,
        ticket: Ticket,
        flight: Flight<N>,
    ) -> Result<Option<Reply<N>>, Refusal> {
        let (kind, repeat) = (answered.kind, answered.repeat());
        let (head, mut body) = answered.split();
        match kind {
            AnswerKind::NotExecuted => {
                flight.finish(Outcome::Shed);
                body.give_back_if_over(&self.front);
            }
            AnswerKind::OtherInstance => {
                flight.finish(Outcome::Moved);
                self.record.note_gone(&ticket.server.id);
            }
            AnswerKind::Failure if self.asks_another(&ticket.server, repeat) => {
                flight.finish(Outcome::Failed);
                body.give_back_if_over(&self.front);
                self.record.note(&ticket.server.id, Execution::MayHaveRun);
            }
            _ => {
                self.record.note_run(&ticket.server.id);
                return Ok(Some(Reply {
                    head,
                    source: Source {
                        body,
                        flight,
                        ticket,
                    },
                }));
            }
        }
        self.check_may_go_on(repeat)?;
        Ok(None)
    }

    /// Whether another server is asked instead of passing a failure of this one on. It is chosen at once: where there
    /// is none, the client gets the failure.
    fn asks_another(&mut self, server: &Server, repeat: Repeat) -> bool {
        self.record.note_run(&server.id);
        self.record.may_go_on(repeat) && self.has_send_left() && self.choose_ahead()
    }

    /// Whether there is time for a further send, and the request was not sent too often.
    fn has_send_left(&self) -> bool {
        self.limit.left_ms() > 0 && self.sends < MOST_SENDS
    }
}
