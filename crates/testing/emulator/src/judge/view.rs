//! The record, ordered for the judge.

use crate::identity::RequestId;
use crate::record::{
    Acknowledgement, Answered, AttemptOutcome, AttemptRecord, Fate, Observation, Record,
};
use std::collections::HashMap;

pub(super) struct View {
    pub observations: Vec<Observation>,
    pub attempts: Vec<AttemptRecord>,
    pub acknowledgements: Vec<Acknowledgement>,
    observations_by_request: HashMap<RequestId, Vec<usize>>,
    attempts_by_request: HashMap<RequestId, usize>,
}

impl View {
    pub fn of(record: &Record) -> View {
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
        View {
            observations,
            attempts,
            acknowledgements: record.acknowledgements(),
            observations_by_request,
            attempts_by_request,
        }
    }

    /// Observations of an attempt.
    pub fn observations_of(&self, request: RequestId) -> impl Iterator<Item = &Observation> {
        let indices = self
            .observations_by_request
            .get(&request)
            .map(Vec::as_slice)
            .unwrap_or_default();
        indices.iter().map(|index| &self.observations[*index])
    }

    /// Runs of an attempt.
    pub fn runs_of(&self, request: RequestId) -> impl Iterator<Item = &Observation> {
        self.observations_of(request)
            .filter(|observation| observation.fate == Fate::Run)
    }

    pub fn attempt_of(&self, request: RequestId) -> Option<&AttemptRecord> {
        self.attempts_by_request
            .get(&request)
            .map(|index| &self.attempts[*index])
    }
}

impl AttemptRecord {
    /// The complete response, if one came.
    pub(super) fn answered(&self) -> Option<&Answered> {
        match &self.outcome {
            AttemptOutcome::Answered(answered) => Some(answered),
            _ => None,
        }
    }

    /// The response, complete or not.
    pub(super) fn received(&self) -> Option<&Answered> {
        match &self.outcome {
            AttemptOutcome::Answered(answered) | AttemptOutcome::BrokenOff(answered) => {
                Some(answered)
            }
            _ => None,
        }
    }
}
