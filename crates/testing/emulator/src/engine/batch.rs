//! Continuous batching of a model server: a state machine without a clock. The caller begins a step, waits for the
//! step's duration, and finishes the step.

use super::memory::Memory;
use super::prompt::Prompt;
use std::collections::VecDeque;

/// Parameters from which the duration of a step is computed.
#[derive(Clone, Copy, Debug)]
pub struct StepParameters {
    /// Duration of a step without prefill, in microseconds.
    pub step_us: u64,
    /// Additional duration for each running request, in microseconds.
    pub per_running_us: u64,
    /// Prompt tokens prefilled in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub prefill_chunk_tokens: u64,
}

impl Default for StepParameters {
    fn default() -> Self {
        StepParameters {
            step_us: 5_470,
            per_running_us: 120,
            prefill_tokens_per_ms: 38.7,
            prefill_chunk_tokens: 512,
        }
    }
}

/// Identifies a request in the batch; each new request has a higher number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Error of [`Batch::enqueue`]: the queue is full, or the request could never fit the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EnqueueError;

/// A token that was generated for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GeneratedToken {
    /// The request that the token belongs to.
    pub ticket: Ticket,
    /// Tokens generated for the request so far, including this one.
    pub generated: u64,
    /// Whether the request ends with this token.
    pub last: bool,
}

/// A waiting or running request.
#[derive(Clone, Debug)]
struct Request {
    ticket: Ticket,
    prompt: Prompt,
    /// Tokens of the prompt that are still to be prefilled.
    to_prefill: u64,
    /// Tokens generated since the request was last admitted.
    generated_since_admission: u64,
    /// Tokens generated over all admissions.
    generated: u64,
}

/// Waiting and running requests and their memory.
#[derive(Debug)]
pub struct Batch {
    step_parameters: StepParameters,
    slots: usize,
    queue_capacity: usize,
    memory: Memory,
    waiting: VecDeque<Request>,
    running: Vec<Request>,
    last_ticket: u64,
    prompt_tokens_prefilled: u64,
    prompt_tokens_admitted: u64,
    preemptions: u64,
}

impl Batch {
    /// An empty batch of at most `slots` running requests, with a queue of at most `queue_capacity` more.
    #[must_use]
    pub fn new(
        step_parameters: StepParameters,
        slots: usize,
        queue_capacity: usize,
        memory: Memory,
    ) -> Batch {
        Batch {
            step_parameters,
            slots,
            queue_capacity,
            memory,
            waiting: VecDeque::new(),
            running: Vec::new(),
            last_ticket: 0,
            prompt_tokens_prefilled: 0,
            prompt_tokens_admitted: 0,
            preemptions: 0,
        }
    }

    /// Adds a request to the queue; the next step may admit it.
    ///
    /// # Errors
    ///
    /// [`EnqueueError`] where the queue is full or the prompt could never fit the memory.
    pub fn enqueue(&mut self, prompt: Prompt) -> Result<Ticket, EnqueueError> {
        let free_slots = self.slots.saturating_sub(self.running.len());
        let too_large = prompt.tokens() + prompt.max_tokens > self.memory.total();
        if too_large || self.waiting.len() >= self.queue_capacity + free_slots {
            return Err(EnqueueError);
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let request = Request {
            ticket,
            prompt,
            to_prefill: 0,
            generated_since_admission: 0,
            generated: 0,
        };
        self.insert_waiting(request);
        Ok(ticket)
    }

    /// Removes a request whose caller has disconnected or whose deadline has passed.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|request| request.ticket != ticket);
        if let Some(index) = self
            .running
            .iter()
            .position(|request| request.ticket == ticket)
        {
            let request = self.running.remove(index);
            self.release(&request);
        }
    }

    /// Begins a step: admits requests and prefills prompts. Returns its duration in microseconds; `None` when idle.
    pub fn begin_step(&mut self) -> Option<u64> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let prefilled_tokens = self.prefill_chunk();
        let prefill_us =
            (prefilled_tokens as f64 * 1_000.0 / self.step_parameters.prefill_tokens_per_ms) as u64;
        Some(
            self.step_parameters.step_us
                + self.step_parameters.per_running_us * self.running.len() as u64
                + prefill_us,
        )
    }

    /// Ends a step: generates one token for each running request whose prompt is completely prefilled.
    pub fn finish_step(&mut self) -> Vec<GeneratedToken> {
        let tickets: Vec<Ticket> = self
            .running
            .iter()
            .filter(|request| request.to_prefill == 0)
            .map(|request| request.ticket)
            .collect();
        tickets
            .into_iter()
            .filter_map(|ticket| self.generate(ticket))
            .collect()
    }

    /// Number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of requests that wait for admission.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The memory that the requests share.
    #[must_use]
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Prompt tokens prefilled so far.
    #[must_use]
    pub fn prompt_tokens_prefilled(&self) -> u64 {
        self.prompt_tokens_prefilled
    }

    /// Tokens of all prompts admitted so far, cached ones included.
    #[must_use]
    pub fn prompt_tokens_admitted(&self) -> u64 {
        self.prompt_tokens_admitted
    }

    /// Number of preemptions so far.
    #[must_use]
    pub fn preemptions(&self) -> u64 {
        self.preemptions
    }

    /// Inserts a request into the queue, which is ordered by priority, then by arrival.
    fn insert_waiting(&mut self, request: Request) {
        let key = |request: &Request| (request.prompt.priority, request.ticket);
        let position = self
            .waiting
            .iter()
            .position(|other| key(other) > key(&request));
        self.waiting
            .insert(position.unwrap_or(self.waiting.len()), request);
    }

    fn admit(&mut self) {
        while let Some(request) = self.waiting.front() {
            let priority = request.prompt.priority;
            if self.running.len() >= self.slots && !self.preempt_below(priority) {
                return;
            }
            let Some(mut request) = self.waiting.pop_front() else {
                return;
            };
            match self.memory.reserve(&request.prompt.segments) {
                Some(prefix) => {
                    request.to_prefill = prefix.to_prefill + request.generated;
                    self.prompt_tokens_admitted += prefix.cached + prefix.to_prefill;
                    request.generated_since_admission = 0;
                    self.running.push(request);
                }
                None => {
                    self.waiting.push_front(request);
                    if !self.preempt_below(priority) {
                        return;
                    }
                }
            }
        }
    }

    /// Preempts the newest of the least urgent running requests, if it is less urgent than `priority`.
    fn preempt_below(&mut self, priority: u8) -> bool {
        match self.least_urgent() {
            Some(index) if self.running[index].prompt.priority > priority => {
                self.preempt(index);
                true
            }
            _ => false,
        }
    }

    fn least_urgent(&self) -> Option<usize> {
        let running = self.running.iter().enumerate();
        running
            .max_by_key(|(_, request)| (request.prompt.priority, request.ticket))
            .map(|(index, _)| index)
    }

    fn preempt(&mut self, index: usize) {
        let request = self.running.remove(index);
        self.release(&request);
        self.preemptions += 1;
        self.insert_waiting(request);
    }

    fn release(&mut self, request: &Request) {
        if request.to_prefill > 0 {
            let prefilled = request.prompt.tokens().saturating_sub(request.to_prefill);
            self.memory
                .release_partly_prefilled(&request.prompt.segments, prefilled);
        } else {
            self.memory
                .release(&request.prompt.segments, request.generated_since_admission);
        }
    }

    fn prefill_chunk(&mut self) -> u64 {
        let mut remaining = self.step_parameters.prefill_chunk_tokens;
        for request in &mut self.running {
            let chunk = request.to_prefill.min(remaining);
            request.to_prefill -= chunk;
            remaining -= chunk;
        }
        let prefilled = self.step_parameters.prefill_chunk_tokens - remaining;
        self.prompt_tokens_prefilled += prefilled;
        prefilled
    }

    /// Generates one more token for a request, preempting other requests where memory is short; `None` where the
    /// request itself is preempted.
    fn generate(&mut self, ticket: Ticket) -> Option<GeneratedToken> {
        while !self.memory.reserve_generated_token() {
            let index = self.least_urgent()?;
            let is_own = self.running[index].ticket == ticket;
            self.preempt(index);
            if is_own {
                return None;
            }
        }
        let Some(index) = self
            .running
            .iter()
            .position(|request| request.ticket == ticket)
        else {
            self.memory.release(&[], 1);
            return None;
        };
        let request = &mut self.running[index];
        request.generated_since_admission += 1;
        request.generated += 1;
        let token = GeneratedToken {
            ticket,
            generated: request.generated,
            last: request.generated >= request.prompt.max_tokens,
        };
        if token.last {
            let request = self.running.remove(index);
            self.release(&request);
        }
        Some(token)
    }
}
