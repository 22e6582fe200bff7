//! What a client wants.

use crate::digest::Digest;
use crate::identity::RequestId;
use crate::record::ProgramTry;
use crate::wire::{name, Headers, RequestHead};
use bytes::Bytes;

/// What a request is, as its route says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Changes nothing: it may run any number of times.
    ReadOnly,
    /// Changes something: it may run once.
    Mutating,
    /// A turn of a program, answered by events.
    Streaming {
        /// The client may take the answer up again after a break.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a try may run more than once, and the client may try again after any failure.
    #[must_use]
    pub fn repeatable(self) -> bool {
        matches!(self, Kind::ReadOnly | Kind::Streaming { resumable: true })
    }
}

/// The headers of a program's turn.
#[derive(Clone, Debug, Default)]
pub struct Turn {
    /// The model that is to answer.
    pub model: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The most tokens that may be generated.
    pub most: u64,
    /// Value of the header that lists the parts of the prompt.
    pub prefix: String,
    /// Tokens in one event.
    pub chunk_tokens: u64,
    /// The program's token budget.
    pub budget: Option<u64>,
    /// The turn that this one goes on from.
    pub previous: Option<RequestId>,
}

/// A request that a client wants answered.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The host that is asked.
    pub host: String,
    /// The method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// What the route of the target allows.
    pub kind: Kind,
    /// The body; may be empty.
    pub body: Bytes,
    /// What a server is to get for the body; nothing where it is not compared.
    pub expected: Option<Digest>,
    /// The client waits for the answer so long, in milliseconds.
    pub deadline_ms: u64,
    /// Time within which the first event is wanted, and the longest pause between two.
    pub target_ms: u64,
    /// The longest pause between two events that serves the client, in milliseconds.
    pub pause_ms: u64,
    /// Tries beyond the first.
    pub retries: u32,
    /// The program that it belongs to.
    pub program: Option<String>,
    /// The session within the program.
    pub session: Option<String>,
    /// Time left until the program should end, in milliseconds.
    pub finish_ms: Option<u64>,
    /// What a turn of a program says beside.
    pub turn: Option<Turn>,
    /// Further headers.
    pub headers: Headers,
}

impl Ask {
    /// A request with no body on a plain route.
    #[must_use]
    pub fn get(host: &str, target: &str) -> Ask {
        Ask {
            host: host.to_owned(),
            method: "GET",
            target: target.to_owned(),
            kind: Kind::ReadOnly,
            body: Bytes::new(),
            expected: Some(Digest::of(b"")),
            deadline_ms: 5_000,
            target_ms: 200,
            pause_ms: 300,
            retries: 1,
            program: None,
            session: None,
            finish_ms: None,
            turn: None,
            headers: Headers::new(),
        }
    }

    /// A request with a body.
    pub fn post(host: &str, target: &str, kind: Kind, body: impl Into<Bytes>) -> Ask {
        let body = body.into();
        let expected = Some(Digest::of(&body));
        Ask {
            method: "POST",
            kind,
            body,
            expected,
            ..Ask::get(host, target)
        }
    }

    pub(super) fn head(&self, request: RequestId, left_ms: u64) -> RequestHead {
        let mut headers = Headers::new()
            .with(name::HOST, self.host.clone())
            .with(name::REQUEST_ID, request.to_string())
            .with(name::DEADLINE, left_ms.to_string());
        let optional = [
            (name::PROGRAM, self.program.clone()),
            (name::SESSION, self.session.clone()),
            (name::FINISH, self.finish_ms.map(|left| left.to_string())),
        ];
        for (name, value) in optional {
            if let Some(value) = value {
                headers.push(name, value);
            }
        }
        if let Some(turn) = &self.turn {
            turn.push_headers(&mut headers);
        }
        headers.0.extend(self.headers.0.iter().cloned());
        RequestHead {
            method: self.method.to_owned(),
            target: self.target.clone(),
            headers,
        }
    }

    pub(super) fn program_try(&self) -> Option<ProgramTry> {
        let program = self.program.clone()?;
        let turn = self.turn.clone().unwrap_or_default();
        Some(ProgramTry {
            program,
            budget: turn.budget,
            most: turn.most,
            chunk_tokens: turn.chunk_tokens,
            previous: turn.previous,
        })
    }
}

impl Turn {
    fn push_headers(&self, headers: &mut Headers) {
        headers.push(name::MODEL, self.model.clone());
        headers.push(
            name::TOKEN_COUNT,
            format!("{},{}", self.prompt_tokens, self.most),
        );
        headers.push(name::PROMPT_PREFIX, self.prefix.clone());
        if let Some(budget) = self.budget {
            headers.push(name::BUDGET, budget.to_string());
        }
        if let Some(previous) = self.previous {
            headers.push(name::PREVIOUS, previous.to_string());
        }
    }
}
