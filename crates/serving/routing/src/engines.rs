//! The choice among model engines.
//!
//! A program has a home: of the engines that its subject falls to, the first in the order of its hash. Every
//! gateway finds the same home, so a program's context and a subject's shared parts gather on few engines.
//! The home is left where the estimate says that another engine is quicker by more than what is held is worth.

use crate::estimate::{EngineState, Estimate, Need};
use crate::member::Member;
use crate::pool::Pool;
use crate::rendezvous::{fraction, name_hash, weight};
use crate::sharing::Subject;
use crate::types::{Ask, Millis};

/// Engines that a zone must have for homes to stay within it.
const FEWEST_IN_ZONE: usize = 2;
/// A subject falls to this many times its share of the engines.
const SUBJECT_SPREAD: f64 = 1.0;
/// Share of a prompt that its home is presumed to hold from other gateways' sends.
const PRESUMED_SHARE: f64 = 0.95;
/// What the home counts for beyond that.
const HOME_MS: f64 = 8.0;
/// What another zone counts for: the way, and bytes that are priced.
const OTHER_ZONE_MS: f64 = 8.0;
/// Orders engines that are as good as equal, each gateway alike.
const TIE_MS: f64 = 1.0;

/// An engine for a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineChoice {
    pub(crate) index: usize,
    /// Prompt tokens that it must read.
    pub(crate) fresh_tokens: u64,
    /// Those and what waits there before them.
    pub(crate) tokens_ahead: f64,
    /// Memory that the request takes.
    pub(crate) footprint: u64,
    pub(crate) estimate: Estimate,
}

/// Who asks, as hashes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Caller {
    /// The program, or else the session; none if the request names neither.
    pub(crate) program: Option<u64>,
}

impl Caller {
    pub(crate) fn of(ask: &Ask) -> Self {
        Self {
            program: ask.program.or(ask.session).map(name_hash),
        }
    }
}

/// Chooses the engine with the least cost; `any` orders callers that have no name.
pub(crate) fn choose(
    pool: &mut Pool,
    ask: &Ask,
    candidates: &[usize],
    any: u64,
    now: Millis,
) -> Option<EngineChoice> {
    let caller = Caller::of(ask);
    let program = caller.program.unwrap_or(any);
    let subject = pool.sharing.observe(ask.prefix, program);
    let homes = Homes::find(pool, candidates, program, subject);
    let mut best: Option<EngineChoice> = None;
    for index in candidates {
        let choice = weigh(pool, ask, *index, &homes, now);
        if best.is_none_or(|best| choice.estimate.cost_ms < best.estimate.cost_ms) {
            best = Some(choice);
        }
    }
    best
}

/// Where a program and its subject belong.
#[derive(Debug)]
struct Homes {
    program: u64,
    home: Option<usize>,
    subject: Option<Subject>,
    /// The least weight with which an engine belongs to the subject.
    subject_threshold: u64,
}

impl Homes {
    fn find(pool: &Pool, candidates: &[usize], program: u64, subject: Option<Subject>) -> Self {
        let eligible = eligible(pool, candidates);
        let subject_threshold = subject.map_or(0, |subject| threshold(pool, &eligible, subject));
        let mut homes = Self {
            program,
            home: None,
            subject,
            subject_threshold,
        };
        homes.home = eligible
            .into_iter()
            .filter(|index| homes.is_for_subject(&pool.members[*index]))
            .max_by_key(|index| weight(pool.members[*index].name_hash, program));
        homes
    }

    fn is_for_subject(&self, member: &Member) -> bool {
        self.subject
            .is_none_or(|subject| weight(member.name_hash, subject.id) >= self.subject_threshold)
    }

    /// Memory that the request takes: its subject's parts are there for all its programs together.
    fn footprint(&self, ask: &Ask) -> f64 {
        let shared = self.subject.map_or(0.0, |subject| subject.tokens as f64);
        (f64::from(ask.prompt_tokens) - shared).max(0.0) + f64::from(ask.most_tokens)
    }

    /// Tokens of the prompt that the engine is presumed to hold though this gateway did not send them there.
    fn presumed(&self, member: &Member, index: usize, prompt_tokens: f64) -> f64 {
        if self.home == Some(index) {
            return PRESUMED_SHARE * prompt_tokens;
        }
        match self.subject {
            Some(subject) if self.is_for_subject(member) => PRESUMED_SHARE * subject.tokens as f64,
            _ => 0.0,
        }
    }
}

/// The engines among which homes are sought: those of the own zone, if it has its share of them.
fn eligible(pool: &Pool, candidates: &[usize]) -> Vec<usize> {
    let local: Vec<usize> = candidates
        .iter()
        .copied()
        .filter(|index| pool.members[*index].is_local)
        .collect();
    if local.len() >= FEWEST_IN_ZONE && 2 * local.len() * pool.zones() >= candidates.len() {
        return local;
    }
    candidates.to_vec()
}

/// The weight that an engine needs to belong to a subject.
fn threshold(pool: &Pool, eligible: &[usize], subject: Subject) -> u64 {
    let wanted = (SUBJECT_SPREAD * subject.popularity * eligible.len() as f64).ceil() as usize;
    let wanted = wanted.max(1);
    if wanted >= eligible.len() {
        return 0;
    }
    let mut weights: Vec<u64> = eligible
        .iter()
        .map(|index| weight(pool.members[*index].name_hash, subject.id))
        .collect();
    let (_, threshold, _) =
        weights.select_nth_unstable_by(wanted - 1, |left, right| right.cmp(left));
    *threshold
}

fn weigh(pool: &Pool, ask: &Ask, index: usize, homes: &Homes, now: Millis) -> EngineChoice {
    let member = &pool.members[index];
    let prompt_tokens = f64::from(ask.prompt_tokens);
    let known = (member.cache.held(ask.prefix) as f64).min(prompt_tokens);
    let held = known.max(homes.presumed(member, index, prompt_tokens));
    let fresh_tokens = prompt_tokens - held;
    let engine = engine_state(pool, member, now);
    let need = Need {
        fresh_tokens,
        answer_tokens: pool.pace.answer_tokens(ask.most_tokens),
        footprint: homes.footprint(ask),
    };
    let mut estimate = pool.pace.estimate(&engine, &need);
    estimate.cost_ms += TIE_MS * (1.0 - fraction(weight(member.name_hash, homes.program)));
    if homes.home != Some(index) {
        estimate.cost_ms += HOME_MS;
    }
    if !member.is_local {
        estimate.cost_ms += OTHER_ZONE_MS;
    }
    EngineChoice {
        index,
        fresh_tokens: fresh_tokens as u64,
        tokens_ahead: engine.waiting_tokens + fresh_tokens,
        footprint: need.footprint as u64,
        estimate,
    }
}

fn engine_state(pool: &Pool, member: &Member, now: Millis) -> EngineState {
    let others_memory = member.load.others_usual_in_flight(now) * pool.pace.footprint();
    EngineState {
        in_flight: member.load.usual_in_flight(now),
        places: member.places(now),
        waiting_tokens: member.load.usual_waiting_tokens(now),
        memory_tokens: member.load.own_memory_tokens() as f64 + others_memory,
        memory_capacity: memory_capacity(member) as f64,
        slowness: member.slowness(now),
        quiet_ms: member.load.quiet_ms(now) as f64,
    }
}

/// Tokens that fit into an engine's memory.
pub(crate) fn memory_capacity(member: &Member) -> u64 {
    member
        .server
        .engine
        .map_or(u64::MAX, |engine| engine.kv_capacity)
}
