//! The batch of a model server: a state machine without clock. The owner asks for the next step, waits as long as
//! the step takes, and has it finished.

use super::memory::Memory;
use super::prompt::Prompt;
use std::collections::VecDeque;

/// How fast a server is. Times in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Speeds {
    /// A step with nothing to read.
    pub step_us: u64,
    /// More for each request that runs.
    pub per_running_us: u64,
    /// Prompt tokens read in a millisecond.
    pub read_per_ms: f64,
    /// The most prompt tokens read in one step.
    pub piece_tokens: u64,
}

impl Default for Speeds {
    fn default() -> Self {
        Speeds {
            step_us: 5_470,
            per_running_us: 120,
            read_per_ms: 38.7,
            piece_tokens: 512,
        }
    }
}

/// Names a request in the batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// The request can't be taken: as though the server were full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// What a step gave one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Produced {
    /// Whose tokens they are.
    pub ticket: Ticket,
    /// Tokens generated so far.
    pub generated: u64,
    /// Whether that was the last one.
    pub last: bool,
}

/// A request that waits or runs.
#[derive(Clone, Debug)]
struct Request {
    ticket: Ticket,
    prompt: Prompt,
    /// Tokens of the prompt still to be read.
    to_read: u64,
    /// Tokens generated since it was let in last.
    since_let_in: u64,
    /// Tokens generated in all.
    generated: u64,
}

/// Waiting and running requests with the memory that they share.
#[derive(Debug)]
pub struct Batch {
    speeds: Speeds,
    slots: usize,
    queue: usize,
    memory: Memory,
    waiting: VecDeque<Request>,
    running: Vec<Request>,
    tickets: u64,
    tokens_read: u64,
    tokens_asked: u64,
    preempted: u64,
}

impl Batch {
    /// An empty batch of so many slots and places to wait.
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
            tokens_read: 0,
            tokens_asked: 0,
            preempted: 0,
        }
    }

    /// A request comes in and waits for the next step.
    ///
    /// # Errors
    /// No place is left to wait.
    pub fn enqueue(&mut self, prompt: Prompt) -> Result<Ticket, Full> {
        let free = self.slots.saturating_sub(self.running.len());
        let too_large = prompt.tokens() + prompt.most > self.memory.total();
        if too_large || self.waiting.len() >= self.queue + free {
            return Err(Full);
        }
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let request = Request {
            ticket,
            prompt,
            to_read: 0,
            since_let_in: 0,
            generated: 0,
        };
        self.insert_waiting(request);
        Ok(ticket)
    }

    /// A request's caller has left, or its time is over.
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

    /// Begins a step: lets requests in and reads prompts. How long it takes, in microseconds; `None` when idle.
    pub fn begin_step(&mut self) -> Option<u64> {
        self.let_in();
        if self.running.is_empty() {
            return None;
        }
        let read = self.read_piece();
        let reading = (read as f64 * 1_000.0 / self.speeds.read_per_ms) as u64;
        Some(self.speeds.step_us + self.speeds.per_running_us * self.running.len() as u64 + reading)
    }

    /// Ends a step: each request whose prompt is read has one more token.
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

    /// Requests that have a slot.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait for one.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The KV cache.
    #[must_use]
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Tokens of prompts read so far.
    #[must_use]
    pub fn tokens_read(&self) -> u64 {
        self.tokens_read
    }

    /// Tokens of the prompts let in so far, also those that were kept.
    #[must_use]
    pub fn tokens_asked(&self) -> u64 {
        self.tokens_asked
    }

    /// Requests that had to give way so far.
    #[must_use]
    pub fn preempted(&self) -> u64 {
        self.preempted
    }

    /// The more urgent go first; those alike in the order of their coming.
    fn insert_waiting(&mut self, request: Request) {
        let key = |request: &Request| (request.prompt.priority, request.ticket);
        let place = self
            .waiting
            .iter()
            .position(|other| key(other) > key(&request));
        self.waiting
            .insert(place.unwrap_or(self.waiting.len()), request);
    }

    fn let_in(&mut self) {
        while let Some(request) = self.waiting.front() {
            let priority = request.prompt.priority;
            if self.running.len() >= self.slots && !self.preempt_below(priority) {
                return;
            }
            let Some(mut request) = self.waiting.pop_front() else {
                return;
            };
            match self.memory.take(&request.prompt.parts) {
                Some(found) => {
                    request.to_read = found.to_read + request.generated;
                    self.tokens_asked += found.kept + found.to_read;
                    request.since_let_in = 0;
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

    /// Has the newest of the least urgent give way, if it is less urgent than `priority`.
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
            self.memory.give_back_unread(&request.prompt.parts, read);
        } else {
            self.memory
                .give_back(&request.prompt.parts, request.since_let_in);
        }
    }

    fn read_piece(&mut self) -> u64 {
        let mut left = self.speeds.piece_tokens;
        for request in &mut self.running {
            let piece = request.to_read.min(left);
            request.to_read -= piece;
            left -= piece;
        }
        let read = self.speeds.piece_tokens - left;
        self.tokens_read += read;
        read
    }

    /// One more token for a request; nothing where it has had to give way.
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
            self.memory.give_back(&[], 1);
            return None;
        };
        let request = &mut self.running[index];
        request.since_let_in += 1;
        request.generated += 1;
        let produced = Produced {
            ticket,
            generated: request.generated,
            last: request.generated >= request.prompt.most,
        };
        if produced.last {
            let request = self.running.remove(index);
            self.release(&request);
        }
        Some(produced)
    }
}
