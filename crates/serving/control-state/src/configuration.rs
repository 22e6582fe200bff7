//! The operator's configuration and the processing of configuration requests.

use crate::{
    accepted_requests::{AcceptedRequests, PriorDecision},
    fenced_generations::{FencedGenerations, RejectionRecord},
    safeguards::{Safeguard, Safeguards},
    Change, ConfigurationRequest, ConfigurationRequestKind, Outcome,
};
use dunespur_configuration::{
    check_document_size, check_request_size, Document, Findings, MAX_DOCUMENT_BYTES,
};
use serde::{Deserialize, Serialize};

/// The current configuration and the records that make configuration requests idempotent.
///
/// Of two valid requests that build on the same generation, the first is accepted and the second gets a conflict. A
/// repeated request that was accepted before is acknowledged again, even if others were accepted since, because its
/// first acknowledgement may have been lost.
///
/// A rejected request can take effect later only if the caller sends it again after the rejection, not through a
/// duplicate still in flight. A request that builds on an earlier generation, or that is invalid on the current
/// generation, can never be accepted. A request that builds on a future generation is rejected, and that generation is
/// fenced: later requests on it are considered only with a fencing token.
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

    /// Applies a configuration request and returns whether it was accepted.
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
        if let Some(fencing_token) = self.required_token(request, safeguards) {
            return Outcome::Fenced { fencing_token };
        }
        match self.resulting_document(request) {
            Ok(document) => self.accept(request, document, changes),
            Err(findings) => Outcome::Invalid(findings),
        }
    }

    /// Checks the sizes of a request on the current generation and of the configuration that would result from it. A
    /// configuration that is over the limit already may become smaller.
    pub(crate) fn check_size(&self, request: &ConfigurationRequest) -> Result<(), Findings> {
        if request.base != self.generation() {
            return Ok(());
        }
        check_request_size(request.body.len())?;
        let current_bytes = self
            .current
            .as_ref()
            .map_or(0, |document| document.json().len());
        if current_bytes + request.body.len() <= MAX_DOCUMENT_BYTES {
            return Ok(());
        }
        match self.resulting_document(request) {
            Ok(document) if document.json().len() > current_bytes => {
                check_document_size(document.json().len())
            }
            Ok(_) | Err(_) => Ok(()),
        }
    }

    /// The change that sends the current configuration, if there is one, to subscribers.
    pub(crate) fn as_change(&self) -> Option<Change> {
        let document = self.current.as_ref()?;
        Some(Change::Configuration {
            generation: document.generation(),
            json: document.json().clone(),
        })
    }

    /// Discards the record of accepted requests. For tests that remove
    /// [`Safeguard::AcceptedRequestsInSnapshot`].
    pub(crate) fn discard_accepted_requests(&mut self) {
        self.accepted = AcceptedRequests::default();
    }

    fn generation(&self) -> u64 {
        self.current.as_ref().map_or(0, Document::generation)
    }

    /// Rejects a request that builds on a future generation, and fences that generation.
    fn reject_future(&mut self, base: u64) -> Outcome {
        match self.fenced.record_rejection(base) {
            RejectionRecord::Recorded => Outcome::GenerationConflict {
                current: self.generation(),
            },
            RejectionRecord::AtCapacity => Outcome::Undetermined,
        }
    }

    /// The fencing token with which the caller has to repeat the request; `None` if the generation is not fenced or the
    /// request has this token or a newer one.
    fn required_token(
        &self,
        request: &ConfigurationRequest,
        safeguards: Safeguards,
    ) -> Option<u64> {
        self.fenced
            .token(request.base)
            .filter(|_| safeguards.has(Safeguard::RejectionsFenced))
            .filter(|token| request.fencing_token < *token)
    }

    /// The configuration that results from applying a request to the current configuration.
    fn resulting_document(&self, request: &ConfigurationRequest) -> Result<Document, Findings> {
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
        changes.extend(self.as_change());
        Outcome::Accepted
    }
}
