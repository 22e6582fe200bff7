//! Requests that a client sends, with their limits and headers.

use crate::digest::Digest;
use crate::identity::RequestId;
use crate::record::ProgramAttempt;
use crate::wire::{name, Headers, RequestHead};
use bytes::Bytes;

/// Kind of a request, as its route defines it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Changes no state: may run any number of times.
    ReadOnly,
    /// Changes state: may run at most once.
    Mutating,
    /// A turn, answered by a stream of events.
    Streaming {
        /// Whether a client may resume the stream after its last event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request may run more than once, so that the client may retry after any failure.
    #[must_use]
    pub fn idempotent(self) -> bool {
        matches!(
            self,
            RequestKind::ReadOnly | RequestKind::Streaming { resumable: true }
        )
    }
}

/// What the headers of a program's turn state.
#[derive(Clone, Debug, Default)]
pub struct TurnHeaders {
    /// Name of the model.
    pub model: String,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens that the turn may generate.
    pub max_tokens: u64,
    /// Value of the header that lists the prompt's segments.
    pub prefix: String,
    /// Tokens in one event of the response.
    pub chunk_tokens: u64,
    /// Token budget of the program; `None` for tool calls.
    pub budget: Option<u64>,
    /// Id of the turn that this one continues, where the system stores turns.
    pub previous: Option<RequestId>,
}

/// A request that a client sends, with its limits.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Value of `Host`.
    pub host: String,
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Kind of the request's route; decides whether the client may retry.
    pub kind: RequestKind,
    /// Body as the client sends it.
    pub body: Bytes,
    /// Digest of the body that a server is to receive; `None` where it is not compared.
    pub expected: Option<Digest>,
    /// Time for all attempts together, in milliseconds.
    pub deadline_ms: u64,
    /// Latency target to the first event, in milliseconds.
    pub target_ms: u64,
    /// Longest gap wanted between two events, in milliseconds.
    pub max_gap_ms: u64,
    /// Maximum number of attempts after the first.
    pub retries: u32,
    /// Id of the agent program that sends the request, if any.
    pub program: Option<String>,
    /// Id of the program's session.
    pub session: Option<String>,
    /// Remaining time of the program, in milliseconds.
    pub finish_ms: Option<u64>,
    /// Headers of a turn; `None` for other requests.
    pub turn: Option<TurnHeaders>,
    /// Additional headers.
    pub headers: Headers,
}

impl RequestSpec {
    /// A GET request without a body, on a read-only route.
    #[must_use]
    pub fn get(host: &str, target: &str) -> RequestSpec {
        RequestSpec {
            host: host.to_owned(),
            method: "GET",
            target: target.to_owned(),
            kind: RequestKind::ReadOnly,
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

    /// A POST request with a body.
    pub fn post(
        host: &str,
        target: &str,
        kind: RequestKind,
        body: impl Into<Bytes>,
    ) -> RequestSpec {
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

    pub(super) fn head(&self, request: RequestId, remaining_ms: u64) -> RequestHead {
        let mut headers = Headers::new()
            .with(name::HOST, self.host.clone())
            .with(name::REQUEST_ID, request.to_string())
            .with(name::DEADLINE, remaining_ms.to_string());
        let optional = [
            (name::PROGRAM, self.program.clone()),
            (name::SESSION, self.session.clone()),
            (
                name::FINISH,
                self.finish_ms.map(|finish_ms| finish_ms.to_string()),
            ),
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

impl TurnHeaders {
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
