//! A simple model of an engine: requests run in a batch, prompts are prefilled in chunks between decode steps, prompt
//! segments are cached while memory suffices, and otherwise the newest request is preempted.

use std::collections::{BTreeMap, HashMap, VecDeque};

use dunespur_routing::PromptSegment;

/// The parameters of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineModel {
    /// Maximum number of running requests.
    pub slots: usize,
    /// Maximum number of waiting requests beyond the slots.
    pub queue: usize,
    /// Capacity of the KV cache in tokens.
    pub kv_capacity: u64,
    /// Duration of a step without prefill.
    pub step_ms: f64,
    /// Increase of a step's duration per running request.
    pub step_per_request_ms: f64,
    pub prefill_tokens_per_ms: f64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub prefill_budget: u64,
    /// Tokens generated before the first event.
    pub chunk_tokens: u32,
    /// Factor on the duration of each step; above 1 for a slow engine.
    pub slowness: f64,
}

/// A request at an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Number of the turn.
    pub number: usize,
    /// Ticket key of the attempt.
    pub key: u64,
    pub prefix: Vec<PromptSegment>,
    pub prompt_tokens: u64,
    pub output_tokens: u32,
    pub priority: u8,
}

/// An event of a job at the end of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The first event of the job with this number and key.
    FirstEvent(usize, u64),
    /// The completion of the job with this number and key.
    Finished(usize, u64),
}

/// A job that occupies a slot.
#[derive(Debug)]
struct Running {
    job: Job,
    /// Prompt tokens still to be prefilled.
    unprefilled: u64,
    /// Tokens generated so far.
    generated: u32,
    /// Whether the first event has been reported.
    first_reported: bool,
    /// Position in the order of starts; greater for newer jobs.
    started: u64,
}

/// A modelled engine with its waiting and running jobs.
#[derive(Debug)]
pub struct Engine {
    model: EngineModel,
    waiting: VecDeque<Job>,
    running: Vec<Running>,
    /// Length and last use of each cached segment, by its id.
    cached: HashMap<u64, (u32, u64)>,
    /// Ids of the cached segments by last use.
    by_use: BTreeMap<u64, u64>,
    cached_tokens: u64,
    /// Counter that orders starts of jobs and uses of segments.
    last_use: u64,
    pub prefilled_tokens: u64,
    pub preempted: u64,
}

impl Engine {
    pub fn new(model: EngineModel) -> Self {
        Self {
            model,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cached: HashMap::new(),
            by_use: BTreeMap::new(),
            cached_tokens: 0,
            last_use: 0,
            prefilled_tokens: 0,
            preempted: 0,
        }
    }

    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Queues a job; returns false if the engine is full.
    pub fn try_enqueue(&mut self, job: Job) -> bool {
        let full = self.running.len() + self.waiting.len() >= self.model.slots + self.model.queue;
        if full || job.prompt_tokens + u64::from(job.output_tokens) > self.model.kv_capacity {
            return false;
        }
        self.waiting.push_back(job);
        true
    }

    /// Runs one step, adds the events at its end to `events`, and returns its duration in milliseconds.
    pub fn step(&mut self, events: &mut Vec<Event>) -> f64 {
        self.admit();
        let mut budget = self.model.prefill_budget;
        let mut prefilled_now = 0;
        for request in &mut self.running {
            let prefilled = request.unprefilled.min(budget);
            request.unprefilled -= prefilled;
            budget -= prefilled;
            prefilled_now += prefilled;
        }
        self.prefilled_tokens += prefilled_now;
        let chunk = self.model.chunk_tokens;
        for request in &mut self.running {
            if request.unprefilled > 0 {
                continue;
            }
            request.generated += 1;
            let is_first = request.generated >= chunk.min(request.job.output_tokens);
            if is_first && !request.first_reported {
                request.first_reported = true;
                events.push(Event::FirstEvent(request.job.number, request.job.key));
            }
            if request.generated >= request.job.output_tokens {
                events.push(Event::Finished(request.job.number, request.job.key));
            }
        }
        let batch = self.running.len() as f64;
        self.running
            .retain(|request| request.generated < request.job.output_tokens);
        self.evict();
        let step_ms = self.model.step_ms
            + self.model.step_per_request_ms * batch
            + prefilled_now as f64 / self.model.prefill_tokens_per_ms;
        step_ms * self.model.slowness
    }

    /// Starts waiting jobs, the most urgent first, while slots and memory suffice.
    fn admit(&mut self) {
        while self.running.len() < self.model.slots {
            let most_urgent = self
                .waiting
                .iter()
                .enumerate()
                .min_by_key(|(index, job)| (job.priority, *index));
            let Some((index, _)) = most_urgent else {
                return;
            };
            let needed_tokens =
                self.waiting[index].prompt_tokens + u64::from(self.waiting[index].output_tokens);
            if !self.running.is_empty()
                && self.running_tokens() + needed_tokens > self.model.kv_capacity
            {
                return;
            }
            let Some(job) = self.waiting.remove(index) else {
                return;
            };
            let unprefilled = job.prompt_tokens - self.cached_tokens_of(&job.prefix);
            self.cache_prefix(&job.prefix);
            self.last_use += 1;
            let started = self.last_use;
            self.running.push(Running {
                job,
                unprefilled,
                generated: 0,
                first_reported: false,
                started,
            });
            self.evict();
        }
    }

    fn running_tokens(&self) -> u64 {
        self.running
            .iter()
            .map(|request| request.job.prompt_tokens + u64::from(request.generated))
            .sum()
    }

    fn cached_tokens_of(&self, prefix: &[PromptSegment]) -> u64 {
        let mut total = 0;
        for segment in prefix {
            let cached = self
                .cached
                .get(&segment.id)
                .map_or(0, |(tokens, _)| *tokens)
                .min(segment.tokens);
            total += u64::from(cached);
            if cached < segment.tokens {
                break;
            }
        }
        total
    }

    fn cache_prefix(&mut self, prefix: &[PromptSegment]) {
        for segment in prefix.iter().rev() {
            self.last_use += 1;
            if let Some((tokens, used)) = self
                .cached
                .insert(segment.id, (segment.tokens, self.last_use))
            {
                self.cached_tokens -= u64::from(tokens);
                self.by_use.remove(&used);
            }
            self.cached_tokens += u64::from(segment.tokens);
            self.by_use.insert(self.last_use, segment.id);
        }
    }

    /// While memory is exceeded, preempts the newest of the least urgent requests, and evicts the least recently used
    /// segments.
    fn evict(&mut self) {
        while self.running_tokens() > self.model.kv_capacity && self.running.len() > 1 {
            let newest = self
                .running
                .iter()
                .enumerate()
                .max_by_key(|(_, request)| (request.job.priority, request.started))
                .map(|(index, _)| index);
            let Some(index) = newest else {
                return;
            };
            let request = self.running.swap_remove(index);
            self.preempted += 1;
            self.waiting.push_front(request.job);
        }
        while self.cached_tokens > self.model.kv_capacity {
            let Some((_, id)) = self.by_use.pop_first() else {
                return;
            };
            if let Some((tokens, _)) = self.cached.remove(&id) {
                self.cached_tokens -= u64::from(tokens);
            }
        }
    }
}
