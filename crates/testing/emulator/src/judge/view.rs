//! The record, ordered for the judge.

use crate::identity::RequestId;
use crate::record::{Acknowledgement, Answered, Fate, Record, Sighting, Try, TryOutcome};
use std::collections::HashMap;

pub(super) struct View {
    pub sightings: Vec<Sighting>,
    pub tries: Vec<Try>,
    pub acknowledgements: Vec<Acknowledgement>,
    sightings_by_request: HashMap<RequestId, Vec<usize>>,
    tries_by_request: HashMap<RequestId, usize>,
}

impl View {
    pub fn of(record: &Record) -> View {
        let sightings = record.sightings();
        let tries = record.tries();
        let mut sightings_by_request: HashMap<RequestId, Vec<usize>> = HashMap::new();
        for (index, sighting) in sightings.iter().enumerate() {
            if let Some(request) = sighting.request {
                sightings_by_request.entry(request).or_default().push(index);
            }
        }
        let tries_by_request = tries
            .iter()
            .enumerate()
            .map(|(index, attempt)| (attempt.request, index))
            .collect();
        View {
            sightings,
            tries,
            acknowledgements: record.acknowledgements(),
            sightings_by_request,
            tries_by_request,
        }
    }

    /// What servers saw of a try.
    pub fn sightings_of(&self, request: RequestId) -> impl Iterator<Item = &Sighting> {
        let indices = self
            .sightings_by_request
            .get(&request)
            .map(Vec::as_slice)
            .unwrap_or_default();
        indices.iter().map(|index| &self.sightings[*index])
    }

    /// Runs of a try.
    pub fn runs_of(&self, request: RequestId) -> impl Iterator<Item = &Sighting> {
        self.sightings_of(request)
            .filter(|sighting| sighting.fate == Fate::Run)
    }

    pub fn try_of(&self, request: RequestId) -> Option<&Try> {
        self.tries_by_request
            .get(&request)
            .map(|index| &self.tries[*index])
    }
}

impl Try {
    /// The whole answer, if one came.
    pub(super) fn answered(&self) -> Option<&Answered> {
        match &self.outcome {
            TryOutcome::Answered(answered) => Some(answered),
            _ => None,
        }
    }

    /// What came of an answer, whole or not.
    pub(super) fn heard(&self) -> Option<&Answered> {
        match &self.outcome {
            TryOutcome::Answered(answered) | TryOutcome::BrokenOff(answered) => Some(answered),
            _ => None,
        }
    }
}
