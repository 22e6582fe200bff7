//! Admits a request: looks up the stored turns that it continues, and reserves the tokens that it may generate.
//!
//! Runs after the body is read, so that a slow client reserves no tokens, and before an endpoint is chosen, so that a
//! turn waiting for admission occupies no endpoint. Tokens are reserved last: a turn that continues an unknown turn
//! uses no budget.

use crate::admitted_turn::AdmittedTurn;
use crate::body_memory::MemoryReservation;
use crate::deadline::RequestDeadline;
use crate::node::{AdmissionDecision, AdmissionRequest, CompletedTurn, History, Node};
use crate::parsed_request::{header_text, ParsedRequest};
use crate::pending_turn::PendingTurn;
use crate::rejection::Rejection;
use crate::shared::Shared;
use crate::trace;
use bytes::{Bytes, BytesMut};
use dunespur_configuration::{RequestKind, Route};
use smallvec::SmallVec;

/// `Retry-After` of a request that was not admitted: its deadline passed while it waited for its history or its
/// admission, or it resumes a persisted response by `Last-Event-Id`.
const NOT_ADMITTED_RETRY_MS: u64 = 300;

/// Returns the body for the endpoint: the stored turns that the request continues, then its own input.
pub(crate) async fn build_prompt<N: Node>(
    shared: &Shared<N>,
    route: &Route,
    parsed: &ParsedRequest,
    input: &Bytes,
    deadline: &mut RequestDeadline,
    memory: &mut MemoryReservation,
) -> Result<SmallVec<[Bytes; 1]>, Rejection> {
    let mut chunks = SmallVec::new();
    if route.persisted && parsed.last_event_id.is_some() {
        // The endpoint would send only the remaining events; they must not be stored as the complete output.
        return Err(Rejection::RetryLater {
            retry_after_ms: NOT_ADMITTED_RETRY_MS,
        });
    }
    let previous = header_text(parsed.previous.as_ref()).filter(|_| route.persisted);
    if let Some(previous) = previous {
        let program = header_text(parsed.program.as_ref()).unwrap_or_default();
        match deadline.limit(shared.node.history(program, previous)).await {
            Some(History::Found(found)) => {
                memory.grow(found.iter().map(Bytes::len).sum())?;
                chunks.extend(found);
            }
            Some(History::Unknown) => return Err(Rejection::UnknownTurn),
            Some(History::Unavailable { retry_after_ms }) => {
                return Err(Rejection::RetryLater { retry_after_ms });
            }
            None => {
                return Err(Rejection::RetryLater {
                    retry_after_ms: NOT_ADMITTED_RETRY_MS,
                })
            }
        }
    }
    chunks.push(input.clone());
    Ok(chunks)
}

/// Reserves the tokens that a turn may generate. Returns None for a request that is not a turn with a budget.
pub(crate) async fn admit<N: Node>(
    shared: &Shared<N>,
    route: &Route,
    parsed: &ParsedRequest,
    deadline: &mut RequestDeadline,
) -> Result<Option<AdmittedTurn<N>>, Rejection> {
    let (Some(budget), Some(program)) = (parsed.budget, header_text(parsed.program.as_ref()))
    else {
        return Ok(None);
    };
    if route.kind != RequestKind::Streaming {
        return Ok(None);
    }
    let turn = AdmissionRequest {
        program,
        budget,
        max_tokens: parsed.max_turn_tokens(),
    };
    match deadline.limit(shared.node.admit(turn)).await {
        Some(AdmissionDecision::Admitted(key)) => {
            trace::admitted(parsed, key.0);
            Ok(Some(AdmittedTurn::new(&shared.node, key)))
        }
        Some(AdmissionDecision::BudgetSpent) => Err(Rejection::BudgetSpent),
        Some(AdmissionDecision::RetryLater { retry_after_ms }) => {
            Err(Rejection::RetryLater { retry_after_ms })
        }
        None => Err(Rejection::RetryLater {
            retry_after_ms: NOT_ADMITTED_RETRY_MS,
        }),
    }
}

/// Returns the turn to be stored once its response is complete; None if its route does not persist turns.
pub(crate) fn pending_turn<N: Node>(
    shared: &Shared<N>,
    route: &Route,
    parsed: &ParsedRequest,
    input: Bytes,
) -> Option<PendingTurn> {
    let turn = CompletedTurn {
        id: parsed.id.to_str().ok()?.to_owned(),
        previous: header_text(parsed.previous.as_ref()).map(str::to_owned),
        program: header_text(parsed.program.as_ref())
            .unwrap_or_default()
            .to_owned(),
        input,
        output: Bytes::new(),
        retention_ms: route.retention_ms,
    };
    let is_persisted = route.persisted && route.kind == RequestKind::Streaming;
    let memory = shared.body_memory.empty_reservation();
    is_persisted.then(|| PendingTurn {
        turn,
        memory,
        output: BytesMut::new(),
    })
}
