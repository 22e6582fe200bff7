//! Continuous batching of a model server: a state machine without a clock. The owner begins a step, waits as long as
//! it takes, and finishes it.

use super::memory::Memory;
use super::prompt::Prompt;
use std::collections::VecDeque;

/// Durations of the parts of a step.
#[derive(Clone, Copy, Debug)]
pub struct Speeds {
    /// Duration of a step without prefill, in microseconds.
    pub step_us: u64,
    /// Additional duration for each running request, in microseconds.
    pub per_running_us: u64,
    /// Prompt tokens prefilled in a millisecond.
    pub read_per_ms: f64,
    /// Most prompt tokens prefilled in one step.
    pub prefill_chunk_tokens: u64,
}

impl Default for Speeds {
    fn default() -> Self {
        Speeds {
            step_us: 5_470,
            per_running_us: 120,
            read_per_ms: 38.7,
            prefill_chunk_tokens: 512,
        }
    }
}

/// Identifies a request in the batch; rises with each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// The queue is full, or the request could never fit the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// One more token for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Produced {
    /// The request.
    pub ticket: Ticket,
    /// Tokens generated so far.
    pub generated: u64,
    /// Whether the request has ended with it.
    pub last: bool,
}

/// A waiting or running request.
#[derive(Clone, Debug)]
struct Request {
    ticket: Ticket,
    prompt: Prompt,
    /// Tokens of the prompt that are still to be prefilled.
    to_read: u64,
    /// Tokens generated since its last admission.
    since_admission: u64,
    /// Tokens generated in all.
    generated: u64,
}

/// Waiting and running requests and their memory.
#[derive(Debug)]
pub struct Batch {
    speeds: Speeds,
    slots: usize,
    queue: usize,
    memory: Memory,
    waiting: VecDeque<Request>,
    running: Vec<Request>,
    tickets: u64,
    prompt_tokens_prefilled: u64,
    prompt_tokens_admitted: u64,
    preempted: u64,
}

impl Batch {
    /// An empty batch of at most `slots` requests, with a queue of `queue` more.
    #[must_use]
    pub fn new(speeds: Speeds, slots: usize, queue: usize, memory: Memory) -> Batch {
        Batch {
            speeds,
            slots,
            queue,
            memory,
            waiting: VecDeque::new(),
            running: Vec::new(),
            tickets: 0,
            prompt_tokens_prefilled: 0,
            prompt_tokens_admitted: 0,
            preempted: 0,
        }
    }

    /// Adds a request to the queue; the next step may admit it.
    ///
    /// # Errors
    ///
    /// [`Full`] where the queue is full or the prompt could never fit the memory.
    pub fn enqueue(&mut self, prompt: Prompt) -> Result<Ticket, Full> {
        let free = self.slots.saturating_sub(self.running.len());
        let too_large = prompt.tokens() + prompt.max_tokens > self.memory.total();
        if too_large || self.waiting.len() >= self.queue + free {
            return Err(Full);
        }
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let request = Request {
            ticket,
            prompt,
            to_read: 0,
            since_admission: 0,
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
        let read = self.prefill_chunk();
        let reading = (read as f64 * 1_000.0 / self.speeds.read_per_ms) as u64;
        Some(self.speeds.step_us + self.speeds.per_running_us * self.running.len() as u64 + reading)
    }

    /// Ends a step: each request whose prompt is prefilled has one more token.
    pub fn finish_step(&mut self) -> Vec<Produced> {
        let tickets: Vec<Ticket> = self
            .running
            .iter()
            .filter(|request| request.to_read == 0)
            .map(|request| request.ticket)
            .collect();
        tickets
            .into_iter()
            .filter_map(|ticket| self.generate(ticket))
            .collect()
    }

    /// Requests in the batch.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait for admission.
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

    /// Preemptions so far.
    #[must_use]
    pub fn preempted(&self) -> u64 {
        self.preempted
    }

    /// Orders the queue by priority, then by arrival.
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
            match self.memory.take(&request.prompt.segments) {
                Some(found) => {
                    request.to_read = found.to_read + request.generated;
                    self.prompt_tokens_admitted += found.cached + found.to_read;
                    request.since_admission = 0;
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

    /// Preempts the newest of the least urgent requests, if it is less urgent than `priority`.
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
        let keys = self.running.iter().enumerate();
        keys.max_by_key(|(_, request)| (request.prompt.priority, request.ticket))
            .map(|(index, _)| index)
    }

    fn preempt(&mut self, index: usize) {
        let request = self.running.remove(index);
        self.release(&request);
        self.preempted += 1;
        self.insert_waiting(request);
    }

    fn release(&mut self, request: &Request) {
        if request.to_read > 0 {
            let read = request.prompt.tokens().saturating_sub(request.to_read);
            self.memory
                .release_partly_prefilled(&request.prompt.segments, read);
        } else {
            self.memory
                .release(&request.prompt.segments, request.since_admission);
        }
    }

    fn prefill_chunk(&mut self) -> u64 {
        let mut left = self.speeds.prefill_chunk_tokens;
        for request in &mut self.running {
            let chunk = request.to_read.min(left);
            request.to_read -= chunk;
            left -= chunk;
        }
        let read = self.speeds.prefill_chunk_tokens - left;
        self.prompt_tokens_prefilled += read;
        read
    }

    /// Generates one more token for a request; `None` where it had to be preempted.
    fn generate(&mut self, ticket: Ticket) -> Option<Produced> {
        while !self.memory.grow() {
            let index = self.least_urgent()?;
            let own = self.running[index].ticket == ticket;
            self.preempt(index);
            if own {
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
        request.since_admission += 1;
        request.generated += 1;
        let produced = Produced {
            ticket,
            generated: request.generated,
            last: request.generated >= request.prompt.max_tokens,
        };
        if produced.last {
            let request = self.running.remove(index);
            self.release(&request);
        }
        Some(produced)
    }
}
