//! The record of a test, indexed by request.

use crate::identity::RequestId;
use crate::record::{
    Acknowledgement, Answered, AttemptOutcome, AttemptRecord, Fate, Observation, Record,
};
use std::collections::HashMap;

/// Copy of a record's entries, with the observations and the attempt of each request.
pub(super) struct IndexedRecord {
    pub observations: Vec<Observation>,
    pub attempts: Vec<AttemptRecord>,
    pub acknowledgements: Vec<Acknowledgement>,
    observations_by_request: HashMap<RequestId, Vec<usize>>,
    attempts_by_request: HashMap<RequestId, usize>,
}

impl IndexedRecord {
    pub fn of(record: &Record) -> IndexedRecord {
        let observations = record.observations();
        let attempts = record.attempts();
        let mut observations_by_request: HashMap<RequestId, Vec<usize>> = HashMap::new();
        for (index, observation) in observations.iter().enumerate() {
            if let Some(request) = observation.request {
                observations_by_request
                    .entry(request)
                    .or_default()
                    .push(index);
            }
        }
        let attempts_by_request = attempts
            .iter()
            .enumerate()
            .map(|(index, attempt)| (attempt.request, index))
            .collect();
        IndexedRecord {
            observations,
            attempts,
            acknowledgements: record.acknowledgements(),
            observations_by_request,
            attempts_by_request,
        }
    }

    /// All observations of the attempt with this id.
    pub fn observations_of(&self, request: RequestId) -> impl Iterator<Item = &Observation> {
        let indices = self
            .observations_by_request
            .get(&request)
            .map(Vec::as_slice)
            .unwrap_or_default();
        indices.iter().map(|index| &self.observations[*index])
    }

    /// Observations of servers that ran the attempt with this id.
    pub fn runs_of(&self, request: RequestId) -> impl Iterator<Item = &Observation> {
        self.observations_of(request)
            .filter(|observation| observation.fate == Fate::Run)
    }

    /// The client's attempt with this id.
    pub fn attempt_of(&self, request: RequestId) -> Option<&AttemptRecord> {
        self.attempts_by_request
            .get(&request)
            .map(|index| &self.attempts[*index])
    }
}

impl AttemptRecord {
    /// The attempt's response, if it is complete.
    pub(super) fn answered(&self) -> Option<&Answered> {
        match &self.outcome {
            AttemptOutcome::Answered(answered) => Some(answered),
            _ => None,
        }
    }

    /// The attempt's response, complete or cut short.
    pub(super) fn received(&self) -> Option<&Answered> {
        match &self.outcome {
            AttemptOutcome::Answered(answered) | AttemptOutcome::BrokenOff(answered) => {
                Some(answered)
            }
            _ => None,
        }
    }
}
