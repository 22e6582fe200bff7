//! The operator's configuration and the requests that made it.

use crate::{
    accepted_requests::{AcceptedRequests, PriorDecision},
    fenced_generations::{FencedGenerations, Recording},
    safeguards::{Safeguard, Safeguards},
    Change, ConfigurationRequest, ConfigurationRequestKind, Outcome,
};
use dunespur_configuration::{Document, Findings};
use serde::{Deserialize, Serialize};

/// The current configuration.
///
/// Of two requests on one generation the first wins, and the other conflicts. An accepted request is acknowledged
/// whenever it is repeated, also when others were accepted since: its first acknowledgement may be lost. A rejected
/// request is accepted later only by a call made since: requests on an earlier generation, or invalid on the current
/// one, can never be accepted anyhow, and those on a generation that is not reached yet are fenced.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Configuration {
    current: Option<Document>,
    accepted: AcceptedRequests,
    fenced: FencedGenerations,
}

impl Configuration {
    /// The current configuration, if there is one.
    pub(crate) fn current(&self) -> Option<&Document> {
        self.current.as_ref()
    }

    /// Applies a request, if it may be accepted.
    pub(crate) fn apply(
        &mut self,
        request: &ConfigurationRequest,
        safeguards: Safeguards,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        match self.accepted.prior_decision(request) {
            PriorDecision::Accepted => return Outcome::Accepted,
            PriorDecision::Unknown => return Outcome::Undetermined,
            PriorDecision::NotAccepted => {}
        }
        let current = self.generation();
        if request.base > current {
            return self.reject_future(request.base);
        }
        if request.base < current && safeguards.has(Safeguard::FirstWriterWins) {
            return Outcome::GenerationConflict { current };
        }
        if let Some(fencing_token) = self.missing_token(request, safeguards) {
            return Outcome::Fenced { fencing_token };
        }
        match self.result(request) {
            Ok(document) => self.accept(request, document, changes),
            Err(findings) => Outcome::Invalid(findings),
        }
    }

    /// The changes that a new subscriber needs.
    pub(crate) fn initial_changes(&self) -> Option<Change> {
        let document = self.current.as_ref()?;
        Some(Change::Configuration {
            generation: document.generation(),
            json: document.json().clone(),
        })
    }

    /// Removes the record of accepted requests: what [`Safeguard::AcceptedRequestsInSnapshot`] prevents.
    pub(crate) fn discard_accepted_requests(&mut self) {
        self.accepted = AcceptedRequests::default();
    }

    fn generation(&self) -> u64 {
        self.current.as_ref().map_or(0, Document::generation)
    }

    /// Rejects a request on a generation that is not reached yet.
    fn reject_future(&mut self, base: u64) -> Outcome {
        match self.fenced.record_rejection(base) {
            Recording::Recorded => Outcome::GenerationConflict {
                current: self.generation(),
            },
            Recording::AtCapacity => Outcome::Undetermined,
        }
    }

    /// The token that a request would have to carry and does not.
    fn missing_token(&self, request: &ConfigurationRequest, safeguards: Safeguards) -> Option<u64> {
        self.fenced
            .token(request.base)
            .filter(|_| safeguards.has(Safeguard::RejectionsFenced))
            .filter(|token| request.fencing_token < *token)
    }

    /// The configuration that a request on the current one makes.
    fn result(&self, request: &ConfigurationRequest) -> Result<Document, Findings> {
        let document = match (request.kind, &self.current) {
            (ConfigurationRequestKind::Replace, _) => Document::replace(&request.body)?,
            (ConfigurationRequestKind::Patch, Some(current)) => current.patch(&request.body)?,
            (ConfigurationRequestKind::Patch, None) => Document::empty().patch(&request.body)?,
        };
        if document.generation() <= self.generation() {
            let problem = format!("is not above the current one, {}", self.generation());
            return Err(Findings::one("generation", problem));
        }
        Ok(document)
    }

    fn accept(
        &mut self,
        request: &ConfigurationRequest,
        document: Document,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        self.accepted.record(request);
        self.fenced.discard_below(document.generation());
        self.current = Some(document);
        changes.extend(self.initial_changes());
        Outcome::Accepted
    }
}
