//! A server's answer on its way to the client, with the connection that it comes over.

use crate::disposition::{
    is_whole_at, AnswerKind, Attempt, ConnectionUse, EndedBy, Framing, Received, Sent,
};
use crate::flight::Flight;
use crate::front::Front;
use crate::guards::Guards;
use crate::link::Link;
use crate::node::Node;
use crate::servers::KeepTerms;
use bytes::Bytes;
use dunespur_routing::{Outcome, Ticket};
use http::response::Parts;
use hyper::body::Incoming;
use std::task::{Context, Poll, Waker};

/// An answer whose head has come.
pub(crate) struct Reply<N: Node> {
    pub(crate) head: Parts,
    pub(crate) source: Source<N>,
}

/// Where the rest of an answer comes from.
pub(crate) struct Source<N: Node> {
    pub(crate) body: ReplyBody,
    pub(crate) flight: Flight<N>,
    pub(crate) ticket: Ticket,
}

/// The rest of an answer.
pub(crate) struct ReplyBody {
    incoming: Incoming,
    kind: AnswerKind,
    framing: Framing,
    /// None once it was handed back.
    link: Option<Link>,
    terms: KeepTerms,
}

/// What came next of an answer's body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Next {
    Piece(Bytes),
    End,
    /// It broke off.
    Broken(EndedBy),
}

impl ReplyBody {
    pub(crate) fn new(
        incoming: Incoming,
        link: Link,
        kind: AnswerKind,
        framing: Framing,
        terms: KeepTerms,
    ) -> ReplyBody {
        ReplyBody {
            incoming,
            kind,
            framing,
            link: Some(link),
            terms,
        }
    }

    pub(crate) fn poll_next(&mut self, guards: Guards, cx: &mut Context) -> Poll<Next> {
        let Some(link) = &mut self.link else {
            return Poll::Ready(Next::End);
        };
        let next = std::task::ready!(link.poll_body(&mut self.incoming, cx));
        let ended_by = link.ended_by();
        let is_whole = match (self.framing, &next) {
            (_, Some(Ok(_))) => false,
            (Framing::Delimited, next) => next.is_none(),
            (Framing::UntilClose, None) => is_whole_at(ended_by, guards),
            (Framing::UntilClose, Some(Err(_))) => {
                ended_by == EndedBy::Reset && is_whole_at(ended_by, guards)
            }
        };
        Poll::Ready(match next {
            Some(Ok(bytes)) => Next::Piece(bytes),
            _ if is_whole => Next::End,
            _ if ended_by == EndedBy::Nobody => Next::Broken(EndedBy::Proxy),
            _ => Next::Broken(ended_by),
        })
    }

    /// The attempt whose answer came only in part.
    pub(crate) fn broken_off(&self, ended_by: EndedBy, passed_on: bool) -> Attempt {
        let Self { kind, framing, .. } = *self;
        Attempt {
            sent: self.sent(),
            received: Received::PartOfAnswer {
                kind,
                framing,
                passed_on,
            },
            ended_by,
        }
    }

    fn whole(&self) -> Attempt {
        let Self { kind, framing, .. } = *self;
        let received = Received::WholeAnswer { kind, framing };
        Attempt {
            sent: self.sent(),
            received,
            ended_by: EndedBy::Nobody,
        }
    }

    fn sent(&self) -> Sent {
        self.link.as_ref().map_or(Sent::Whole, Link::sent)
    }

    /// After the whole answer: hands the connection back, or ends it.
    pub(crate) fn give_back<N: Node>(&mut self, front: &Front<N>) {
        let connection = self.whole().disposition().connection;
        let Some(link) = self.link.take() else { return };
        if connection == ConnectionUse::Kept {
            front.servers.keep(link, &self.terms, &front.clock);
        }
    }

    /// Hands the connection back if nothing is left of the answer but what has come by now.
    pub(crate) fn give_back_if_over<N: Node>(&mut self, front: &Front<N>) {
        let mut cx = Context::from_waker(Waker::noop());
        loop {
            match self.poll_next(front.guards, &mut cx) {
                Poll::Ready(Next::Piece(_)) => continue,
                Poll::Ready(Next::End) => return self.give_back(front),
                _ => return,
            }
        }
    }
}

impl<N: Node> Source<N> {
    /// The answer broke off and nothing can be done about it.
    pub(crate) fn give_up(self, ended_by: EndedBy) {
        self.flight.finish(outcome_of_broken(ended_by));
    }
}

/// What an answer that was broken off says of its server.
pub(crate) fn outcome_of_broken(ended_by: EndedBy) -> Outcome {
    match ended_by {
        EndedBy::Timeout => Outcome::Silent,
        _ => Outcome::Failed,
    }
}
