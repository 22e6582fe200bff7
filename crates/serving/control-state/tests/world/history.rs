//! What the operators observed, and a check that configuration requests and reads are linearizable.
//!
//! Every request has a unique body, and generations only rise. So there is one candidate for the sequence of
//! configurations, and a history is linearizable if and only if
//!
//! * each configuration that is observed was requested before, builds on the one before it, and none is skipped
//!   between a request and what it builds on;
//! * no accepted request is rejected, and none that was rejected is accepted but by a call made since;
//! * what is seen never goes back: from one call's end to another's begin.

use super::callers::Answer;
use super::violation::Violation;
use dunespur_chain_replication::Millis;
use dunespur_control_state::ConfigurationRequest;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(usize);

/// What a call was about.
#[derive(Clone, Copy, Debug)]
pub enum CallKind {
    Configure(RequestId),
    Read,
}

struct IssuedRequest {
    request: ConfigurationRequest,
    generation: u64,
    valid: bool,
    /// When it was first sent.
    since: Option<Millis>,
}

struct Call {
    kind: CallKind,
    since: Millis,
    end: Option<(Millis, Answer)>,
}

#[derive(Default)]
pub struct History {
    issued: Vec<IssuedRequest>,
    calls: Vec<Call>,
    /// When the first operator knew of this generation or a later one, as it rose.
    acknowledged: Vec<(u64, Millis)>,
    /// The oldest state that was shown to a follower: how long before another had been acknowledged.
    pub max_staleness: Millis,
}

/// The size of a history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub calls: u64,
    pub accepted: u64,
    pub rejected: u64,
    pub reads: u64,
    pub indefinite: u64,
    pub snapshots: u64,
    /// Retirements that began, and requests for one that were rejected.
    pub emptied: u64,
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

    pub fn end(&mut self, entry: usize, now: Millis, answer: Answer) {
        if let (CallKind::Configure(id), Answer::Accepted) = (self.calls[entry].kind, &answer) {
            let generation = self.issued[id.0].generation;
            if self
                .acknowledged
                .last()
                .is_none_or(|(newest, _)| *newest < generation)
            {
                self.acknowledged.push((generation, now));
            }
        }
        self.calls[entry].end = Some((now, answer));
    }

    /// When a generation beyond this one was first acknowledged.
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
                Some((_, Answer::Accepted)) => tally.accepted += 1,
                Some((_, Answer::Current { .. } | Answer::Invalid)) => tally.rejected += 1,
                Some((_, Answer::Configuration(_))) => tally.reads += 1,
                _ => tally.indefinite += 1,
            }
        }
        tally
    }
}

/// What was seen at one time.
struct Sight {
    since: Millis,
    until: Millis,
    /// The state was at this generation at some time in between, or is known to have been at it by the end.
    generation: u64,
    /// Whether it was at just this generation.
    exact: bool,
}

/// Judges a history.
pub struct Judge<'a> {
    history: &'a History,
    /// Requests that are known to have been accepted, by their generation.
    accepted: BTreeMap<u64, RequestId>,
    sights: Vec<Sight>,
}

/// Returns the first violation of linearizability, if there is one.
pub fn check(history: &History) -> Result<(), Violation> {
    let mut judge = Judge {
        history,
        accepted: BTreeMap::new(),
        sights: Vec::new(),
    };
    judge.gather()?;
    judge.check_sequence()?;
    judge.check_rejections()?;
    judge.check_times()
}

impl Judge<'_> {
    fn gather(&mut self) -> Result<(), Violation> {
        for call in &self.history.calls {
            let Some((until, answer)) = &call.end else {
                continue;
            };
            let sight = |generation, exact| Sight {
                since: call.since,
                until: *until,
                generation,
                exact,
            };
            match (call.kind, answer) {
                (CallKind::Configure(id), Answer::Accepted) => {
                    self.record_accepted(id)?;
                    self.sights
                        .push(sight(self.history.generation_of(id), false));
                }
                (CallKind::Configure(_), Answer::Current { generation }) => {
                    self.sights.push(sight(*generation, true))
                }
                (CallKind::Configure(id), Answer::Invalid) => self
                    .sights
                    .push(sight(self.history.issued[id.0].request.base, true)),
                (CallKind::Read, Answer::Configuration(None)) => self.sights.push(sight(0, true)),
                (CallKind::Read, Answer::Configuration(Some((generation, json)))) => {
                    self.record_accepted(self.requested_by(*generation, json)?)?;
                    self.sights.push(sight(*generation, true));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// The request with this content.
    fn requested_by(&self, generation: u64, json: &str) -> Result<RequestId, Violation> {
        let of = |issued: &IssuedRequest| {
            issued.generation == generation
                && issued.request.body == json.as_bytes()
                && issued.valid
        };
        let position = self.history.issued.iter().position(of);
        position.map(RequestId).ok_or_else(|| {
            Violation::new(format!(
                "nobody requested what was read as {generation}: {json}"
            ))
        })
    }

    fn record_accepted(&mut self, id: RequestId) -> Result<(), Violation> {
        let issued = &self.history.issued[id.0];
        let other = *self.accepted.entry(issued.generation).or_insert(id);
        if other != id {
            return Err(Violation::new(format!(
                "two requests were accepted as {}: {other:?} and {id:?}",
                issued.generation
            )));
        }
        if !issued.valid {
            return Err(Violation::new(format!("the invalid {id:?} was accepted")));
        }
        Ok(())
    }

    fn check_rejections(&self) -> Result<(), Violation> {
        for call in &self.history.calls {
            let (CallKind::Configure(id), Some((until, answer))) = (call.kind, &call.end) else {
                continue;
            };
            let issued = &self.history.issued[id.0];
            let rejected = matches!(answer, Answer::Current { .. } | Answer::Invalid);
            if rejected && self.accepted.get(&issued.generation) == Some(&id) {
                self.check_accepted_by_another_call(id, *until, answer)?;
            }
            if *answer == Answer::Invalid && issued.valid {
                return Err(Violation::new(format!(
                    "the valid {id:?} was rejected as invalid at {until}"
                )));
            }
            if *answer
                == (Answer::Current {
                    generation: issued.request.base,
                })
            {
                return Err(Violation::new(format!(
                    "{id:?} was rejected at {until} as what it builds on is current"
                )));
            }
        }
        Ok(())
    }

    /// A request that came too early may be accepted by a call made after its rejection, and by none made before.
    fn check_accepted_by_another_call(
        &self,
        id: RequestId,
        rejected_at: Millis,
        answer: &Answer,
    ) -> Result<(), Violation> {
        let base = self.history.issued[id.0].request.base;
        let early = matches!(answer, Answer::Current { generation } if *generation < base);
        let is_of = |call: &&Call| matches!(call.kind, CallKind::Configure(other) if other == id);
        let mut calls = self.history.calls.iter().filter(is_of);
        if early && calls.any(|call| call.since > rejected_at) {
            return Ok(());
        }
        Err(Violation::new(format!(
            "{id:?} was accepted, and rejected at {rejected_at}: {answer:?}"
        )))
    }

    /// An accepted request builds on the configuration just before.
    fn check_sequence(&self) -> Result<(), Violation> {
        let mut before = 0;
        for (generation, id) in &self.accepted {
            let base = self.history.issued[id.0].request.base;
            if base < before {
                return Err(Violation::new(format!(
                    "{id:?} was accepted as {generation} on {base}, and {before} was as well"
                )));
            }
            before = *generation;
        }
        for sight in &self.sights {
            let next = self.accepted.range(sight.generation + 1..).next();
            let left_out =
                next.filter(|(_, id)| self.history.issued[id.0].request.base < sight.generation);
            if let Some((generation, id)) = left_out {
                return Err(Violation::new(format!(
                    "{id:?} was accepted as {generation} past {}",
                    sight.generation
                )));
            }
        }
        Ok(())
    }

    fn check_times(&self) -> Result<(), Violation> {
        let mut ends: Vec<(Millis, u64)> = self
            .sights
            .iter()
            .map(|sight| (sight.until, sight.generation))
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
        for sight in self.sights.iter().filter(|sight| sight.exact) {
            let seen = seen_before(sight.since);
            if seen > sight.generation {
                let Sight {
                    since,
                    until,
                    generation,
                    ..
                } = sight;
                return Err(Violation::new(format!(
                    "{generation} was current between {since} and {until}, after {seen}"
                )));
            }
        }
        for sight in &self.sights {
            self.check_not_early(sight)?;
        }
        for id in self.accepted.values() {
            let issued = &self.history.issued[id.0];
            let seen = issued.since.map_or(0, seen_before);
            if seen > issued.request.base {
                return Err(Violation::new(format!(
                    "{id:?} on {} was accepted after {seen}",
                    issued.request.base
                )));
            }
        }
        Ok(())
    }

    /// What is observed was requested before.
    fn check_not_early(&self, sight: &Sight) -> Result<(), Violation> {
        let made = |issued: &&IssuedRequest| issued.generation == sight.generation && issued.valid;
        let first = self
            .history
            .issued
            .iter()
            .filter(made)
            .filter_map(|issued| issued.since)
            .min();
        let early = sight.generation > 0 && first.is_none_or(|first| first > sight.until);
        if early {
            return Err(Violation::new(format!(
                "{} was seen at {} and requested at {first:?}",
                sight.generation, sight.until
            )));
        }
        Ok(())
    }
}
