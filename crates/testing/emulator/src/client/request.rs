//! What a client wants.

use crate::digest::Digest;
use crate::identity::RequestId;
use crate::record::ProgramAttempt;
use crate::wire::{name, Headers, RequestHead};
use bytes::Bytes;

/// What a request is, as its route says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    ReadOnly,
    Mutating,
    Streaming { resumable: bool },
}

impl Kind {
    /// Whether a try may run more than once, and the client may try again after any failure.
    pub fn idempotent(self) -> bool {
        matches!(self, Kind::ReadOnly | Kind::Streaming { resumable: true })
    }
}

/// The headers of a program's turn.
#[derive(Clone, Debug, Default)]
pub struct Turn {
    pub model: String,
    pub prompt_tokens: u64,
    pub max_tokens: u64,
    /// Value of the header that lists the parts of the prompt.
    pub prefix: String,
    pub chunk_tokens: u64,
    pub budget: Option<u64>,
    pub previous: Option<RequestId>,
}

/// A request that a client wants answered.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    pub host: String,
    pub method: &'static str,
    pub target: String,
    pub kind: Kind,
    pub body: Bytes,
    /// What a server is to get for the body; nothing where it is not compared.
    pub expected: Option<Digest>,
    pub deadline_ms: u64,
    /// Time within which the first event is wanted, and the longest pause between two.
    pub target_ms: u64,
    pub max_gap_ms: u64,
    /// Tries beyond the first.
    pub retries: u32,
    pub program: Option<String>,
    pub session: Option<String>,
    pub finish_ms: Option<u64>,
    pub turn: Option<Turn>,
    /// Further headers.
    pub headers: Headers,
}

impl RequestSpec {
    /// A request with no body on a plain route.
    pub fn get(host: &str, target: &str) -> RequestSpec {
        RequestSpec {
            host: host.to_owned(),
            method: "GET",
            target: target.to_owned(),
            kind: Kind::ReadOnly,
            body: Bytes::new(),
            expected: Some(Digest::of(b"")),
            deadline_ms: 5_000,
            target_ms: 200,
            max_gap_ms: 300,
            retries: 1,
            program: None,
            session: None,
            finish_ms: None,
            turn: None,
            headers: Headers::new(),
        }
    }

    /// A request with a body.
    pub fn post(host: &str, target: &str, kind: Kind, body: impl Into<Bytes>) -> RequestSpec {
        let body = body.into();
        let expected = Some(Digest::of(&body));
        RequestSpec {
            method: "POST",
            kind,
            body,
            expected,
            ..RequestSpec::get(host, target)
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

    pub(super) fn program_attempt(&self) -> Option<ProgramAttempt> {
        let program = self.program.clone()?;
        let turn = self.turn.clone().unwrap_or_default();
        Some(ProgramAttempt {
            program,
            budget: turn.budget,
            max_tokens: turn.max_tokens,
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
            format!("{},{}", self.prompt_tokens, self.max_tokens),
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
