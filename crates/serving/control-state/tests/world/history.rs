//! The history of operators' calls, and a check that configuration requests and reads are linearizable.
//!
//! Every request has a unique body and generations only increase, so there is one possible order of configurations. A
//! history is linearizable if and only if:
//! * each observed configuration was requested before and builds on the one before it, with none in between;
//! * no accepted request is rejected, and a rejected one is accepted only by a later call;
//! * a call never observes an older generation than a call that ended before it began.

use super::callers::CallAnswer;
use super::violation::Violation;
use dunespur_chain_replication::Millis;
use dunespur_control_state::ConfigurationRequest;
use std::collections::BTreeMap;

/// The index of a request among the issued requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(usize);

/// The kind of a recorded call.
#[derive(Clone, Copy, Debug)]
pub enum CallKind {
    Configure(RequestId),
    Read,
}

struct IssuedRequest {
    request: ConfigurationRequest,
    generation: u64,
    valid: bool,
    /// When the request was first sent.
    since: Option<Millis>,
}

struct Call {
    kind: CallKind,
    since: Millis,
    end: Option<(Millis, CallAnswer)>,
}

#[derive(Default)]
pub struct History {
    issued: Vec<IssuedRequest>,
    calls: Vec<Call>,
    /// Generations in increasing order, each with the time at which an operator first learned of its acceptance.
    acknowledged: Vec<(u64, Millis)>,
    /// The longest time for which a follower was shown a generation after a newer one had been acknowledged.
    pub max_staleness: Millis,
}

/// Counts of the calls and events of a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub calls: u64,
    pub accepted: u64,
    pub rejected: u64,
    pub reads: u64,
    pub indefinite: u64,
    pub snapshots: u64,
    /// Retirements that began.
    pub emptied: u64,
    /// Requests to retire a store that were rejected.
    pub rejected_retirements: u64,
    pub max_staleness: Millis,
}

impl Tally {
    pub fn add(&mut self, other: Tally) {
        self.calls += other.calls;
        self.accepted += other.accepted;
        self.rejected += other.rejected;
        self.reads += other.reads;
        self.indefinite += other.indefinite;
        self.snapshots += other.snapshots;
        self.emptied += other.emptied;
        self.rejected_retirements += other.rejected_retirements;
        self.max_staleness = self.max_staleness.max(other.max_staleness);
    }
}

impl History {
    pub fn requests(&self) -> usize {
        self.issued.len()
    }

    pub fn add_request(
        &mut self,
        request: ConfigurationRequest,
        generation: u64,
        valid: bool,
    ) -> RequestId {
        self.issued.push(IssuedRequest {
            request,
            generation,
            valid,
            since: None,
        });
        RequestId(self.issued.len() - 1)
    }

    pub fn request(&self, id: RequestId) -> ConfigurationRequest {
        self.issued[id.0].request.clone()
    }

    pub fn generation_of(&self, id: RequestId) -> u64 {
        self.issued[id.0].generation
    }

    pub fn begin(&mut self, kind: CallKind, now: Millis) -> usize {
        if let CallKind::Configure(id) = kind {
            self.issued[id.0].since.get_or_insert(now);
        }
        self.calls.push(Call {
            kind,
            since: now,
            end: None,
        });
        self.calls.len() - 1
    }

    pub fn end(&mut self, call: usize, now: Millis, answer: CallAnswer) {
        if let (CallKind::Configure(id), CallAnswer::Accepted) = (self.calls[call].kind, &answer) {
            let generation = self.issued[id.0].generation;
            if self
                .acknowledged
                .last()
                .is_none_or(|(newest, _)| *newest < generation)
            {
                self.acknowledged.push((generation, now));
            }
        }
        self.calls[call].end = Some((now, answer));
    }

    /// When a generation newer than this one was first acknowledged.
    pub fn acknowledged_beyond(&self, generation: u64) -> Option<Millis> {
        let first = self
            .acknowledged
            .partition_point(|(acknowledged, _)| *acknowledged <= generation);
        self.acknowledged.get(first).map(|(_, at)| *at)
    }

    pub fn tally(&self) -> Tally {
        let mut tally = Tally {
            max_staleness: self.max_staleness,
            ..Tally::default()
        };
        for call in &self.calls {
            tally.calls += 1;
            match &call.end {
                Some((_, CallAnswer::Accepted)) => tally.accepted += 1,
                Some((_, CallAnswer::Current { .. } | CallAnswer::Invalid)) => tally.rejected += 1,
                Some((_, CallAnswer::Configuration(_))) => tally.reads += 1,
                _ => tally.indefinite += 1,
            }
        }
        tally
    }
}

/// A generation that a call observed.
struct Observation {
    since: Millis,
    until: Millis,
    /// If exact, the generation that was current at some time between `since` and `until`; else a generation that had
    /// been reached by `until`.
    generation: u64,
    /// Whether exactly this generation was current.
    exact: bool,
}

/// The state of a linearizability check.
pub struct LinearizabilityCheck<'a> {
    history: &'a History,
    /// Requests that are known to have been accepted, by their generation.
    accepted: BTreeMap<u64, RequestId>,
    observations: Vec<Observation>,
}

/// Returns the first violation of linearizability, if there is one.
pub fn check(history: &History) -> Result<(), Violation> {
    let mut linearizability = LinearizabilityCheck {
        history,
        accepted: BTreeMap::new(),
        observations: Vec::new(),
    };
    linearizability.collect_observations()?;
    linearizability.check_sequence()?;
    linearizability.check_rejections()?;
    linearizability.check_times()
}

impl LinearizabilityCheck<'_> {
    fn collect_observations(&mut self) -> Result<(), Violation> {
        for call in &self.history.calls {
            let Some((until, answer)) = &call.end else {
                continue;
            };
            let observation = |generation, exact| Observation {
                since: call.since,
                until: *until,
                generation,
                exact,
            };
            match (call.kind, answer) {
                (CallKind::Configure(id), CallAnswer::Accepted) => {
                    self.record_accepted(id)?;
                    self.observations
                        .push(observation(self.history.generation_of(id), false));
                }
                (CallKind::Configure(_), CallAnswer::Current { generation }) => {
                    self.observations.push(observation(*generation, true))
                }
                (CallKind::Configure(id), CallAnswer::Invalid) => self
                    .observations
                    .push(observation(self.history.issued[id.0].request.base, true)),
                (CallKind::Read, CallAnswer::Configuration(None)) => {
                    self.observations.push(observation(0, true))
                }
                (CallKind::Read, CallAnswer::Configuration(Some((generation, json)))) => {
                    self.record_accepted(self.requested_by(*generation, json)?)?;
                    self.observations.push(observation(*generation, true));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// The request that asked for this configuration.
    fn requested_by(&self, generation: u64, json: &str) -> Result<RequestId, Violation> {
        let of = |issued: &IssuedRequest| {
            issued.generation == generation
                && issued.request.body == json.as_bytes()
                && issued.valid
        };
        let position = self.history.issued.iter().position(of);
        position.map(RequestId).ok_or_else(|| {
            Violation::new(format!(
                "the configuration read as generation {generation} was never requested: {json}"
            ))
        })
    }

    fn record_accepted(&mut self, id: RequestId) -> Result<(), Violation> {
        let issued = &self.history.issued[id.0];
        let other = *self.accepted.entry(issued.generation).or_insert(id);
        if other != id {
            return Err(Violation::new(format!(
                "two requests were accepted as generation {}: {other:?} and {id:?}",
                issued.generation
            )));
        }
        if !issued.valid {
            return Err(Violation::new(format!(
                "the invalid request {id:?} was accepted"
            )));
        }
        Ok(())
    }

    fn check_rejections(&self) -> Result<(), Violation> {
        for call in &self.history.calls {
            let (CallKind::Configure(id), Some((until, answer))) = (call.kind, &call.end) else {
                continue;
            };
            let issued = &self.history.issued[id.0];
            let rejected = matches!(answer, CallAnswer::Current { .. } | CallAnswer::Invalid);
            if rejected && self.accepted.get(&issued.generation) == Some(&id) {
                self.check_accepted_by_another_call(id, *until, answer)?;
            }
            if *answer == CallAnswer::Invalid && issued.valid {
                return Err(Violation::new(format!(
                    "the valid request {id:?} was rejected as invalid at {until} ms"
                )));
            }
            if *answer
                == (CallAnswer::Current {
                    generation: issued.request.base,
                })
            {
                return Err(Violation::new(format!(
                    "{id:?} was rejected at {until} ms although it builds on the current generation"
                )));
            }
        }
        Ok(())
    }

    /// Checks that a request that was rejected and accepted was rejected only because its base generation was in the
    /// future, and that a call was made for it after the rejection.
    fn check_accepted_by_another_call(
        &self,
        id: RequestId,
        rejected_at: Millis,
        answer: &CallAnswer,
    ) -> Result<(), Violation> {
        let base = self.history.issued[id.0].request.base;
        let early = matches!(answer, CallAnswer::Current { generation } if *generation < base);
        let is_of = |call: &&Call| matches!(call.kind, CallKind::Configure(other) if other == id);
        let mut calls = self.history.calls.iter().filter(is_of);
        if early && calls.any(|call| call.since > rejected_at) {
            return Ok(());
        }
        Err(Violation::new(format!(
            "{id:?} was accepted, and rejected at {rejected_at} ms: {answer:?}"
        )))
    }

    /// Checks that each accepted request builds on the configuration just before it.
    fn check_sequence(&self) -> Result<(), Violation> {
        let mut before = 0;
        for (generation, id) in &self.accepted {
            let base = self.history.issued[id.0].request.base;
            if base < before {
                return Err(Violation::new(format!(
                    "{id:?} was accepted as generation {generation} on base {base}, but generation {before} had been accepted after that base"
                )));
            }
            before = *generation;
        }
        for observation in &self.observations {
            let next = self.accepted.range(observation.generation + 1..).next();
            let skipping = next
                .filter(|(_, id)| self.history.issued[id.0].request.base < observation.generation);
            if let Some((generation, id)) = skipping {
                return Err(Violation::new(format!(
                    "{id:?} was accepted as generation {generation} on a base before the observed generation {}",
                    observation.generation
                )));
            }
        }
        Ok(())
    }

    /// Checks that no call observes an older generation than a call that ended before it began.
    fn check_times(&self) -> Result<(), Violation> {
        let mut ends: Vec<(Millis, u64)> = self
            .observations
            .iter()
            .map(|observation| (observation.until, observation.generation))
            .collect();
        ends.sort_unstable();
        let mut newest = 0;
        for end in &mut ends {
            newest = newest.max(end.1);
            end.1 = newest;
        }
        let seen_before = |at: Millis| {
            let position = ends.partition_point(|(until, _)| *until < at);
            position
                .checked_sub(1)
                .map_or(0, |position| ends[position].1)
        };
        for observation in self
            .observations
            .iter()
            .filter(|observation| observation.exact)
        {
            let seen = seen_before(observation.since);
            if seen > observation.generation {
                let Observation {
                    since,
                    until,
                    generation,
                    ..
                } = observation;
                return Err(Violation::new(format!(
                    "generation {generation} was current between {since} and {until} ms, after generation {seen} had been observed"
                )));
            }
        }
        for observation in &self.observations {
            self.check_requested_before(observation)?;
        }
        for id in self.accepted.values() {
            let issued = &self.history.issued[id.0];
            let seen = issued.since.map_or(0, seen_before);
            if seen > issued.request.base {
                return Err(Violation::new(format!(
                    "{id:?} on base {} was accepted after generation {seen} had been observed",
                    issued.request.base
                )));
            }
        }
        Ok(())
    }

    /// Checks that an observed generation was requested before the observation ended.
    fn check_requested_before(&self, observation: &Observation) -> Result<(), Violation> {
        let made =
            |issued: &&IssuedRequest| issued.generation == observation.generation && issued.valid;
        let first = self
            .history
            .issued
            .iter()
            .filter(made)
            .filter_map(|issued| issued.since)
            .min();
        let early =
            observation.generation > 0 && first.is_none_or(|first| first > observation.until);
        if early {
            return Err(Violation::new(format!(
                "generation {} was observed at {} ms but first requested at {first:?}",
                observation.generation, observation.until
            )));
        }
        Ok(())
    }
}
