//! Runs the steps of the batch for their computed duration and delivers the generated tokens to the requests.

use super::batch::{Batch, GeneratedToken, Ticket};
use super::memory::Memory;
use super::prompt::Prompt;
use super::settings::{EngineSettings, Load};
use crate::clock::Clock;
use crate::gate::Gate;
use crate::server::{ReceivedRequest, Reply, Work};
use crate::wire::{name, Event};
use serde_json::json;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, Instant};

/// Time limit of a request without a deadline.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(120);

/// State shared by the requests and the task that runs steps.
#[derive(Debug)]
pub(super) struct EngineWork {
    settings: EngineSettings,
    clock: Clock,
    gate: Gate,
    state: Mutex<State>,
    /// Wakes the task that runs steps when a request is added to the batch.
    enqueued: Notify,
}

#[derive(Debug)]
struct State {
    batch: Batch,
    token_senders: HashMap<Ticket, mpsc::UnboundedSender<GeneratedToken>>,
}

impl EngineWork {
    pub fn new(settings: EngineSettings, slots: usize, clock: Clock, gate: Gate) -> EngineWork {
        let memory = Memory::new(settings.memory_tokens);
        let batch = Batch::new(settings.step_parameters, slots, settings.queue, memory);
        let state = Mutex::new(State {
            batch,
            token_senders: HashMap::new(),
        });
        EngineWork {
            settings,
            clock,
            gate,
            state,
            enqueued: Notify::new(),
        }
    }

    pub fn prompt_tokens_prefilled(&self) -> u64 {
        self.lock().batch.prompt_tokens_prefilled()
    }

    pub fn prompt_tokens_admitted(&self) -> u64 {
        self.lock().batch.prompt_tokens_admitted()
    }

    pub fn load(&self) -> Load {
        let state = self.lock();
        Load {
            running: state.batch.running(),
            queued: state.batch.waiting(),
            memory_used: state.batch.memory().in_use(),
            memory_total: state.batch.memory().total(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request to the batch and returns the channel of its tokens; `None` where the server is full.
    fn enqueue(self: &Arc<Self>, prompt: Prompt) -> Option<BatchedRequest> {
        let (sender, tokens) = mpsc::unbounded_channel();
        let ticket = {
            let mut state = self.lock();
            let ticket = state.batch.enqueue(prompt).ok()?;
            state.token_senders.insert(ticket, sender);
            ticket
        };
        self.enqueued.notify_one();
        Some(BatchedRequest {
            work: self.clone(),
            ticket,
            tokens,
        })
    }

    fn finish_step(&self) {
        let mut state = self.lock();
        for token in state.batch.finish_step() {
            if let Some(sender) = state.token_senders.get(&token.ticket) {
                let _ = sender.send(token);
            }
            if token.last {
                state.token_senders.remove(&token.ticket);
            }
        }
    }
}

/// Runs steps until the task is aborted.
pub(super) async fn run_steps(work: Arc<EngineWork>) {
    loop {
        if work.load().running + work.load().queued == 0 {
            work.enqueued.notified().await;
            continue;
        }
        work.gate.pass().await;
        let step = work.lock().batch.begin_step();
        let Some(duration) = step else {
            yield_now().await;
            continue;
        };
        let waiting_time =
            Duration::from_micros((duration as f64 * work.settings.time_scale) as u64);
        if waiting_time.is_zero() {
            yield_now().await;
        } else {
            sleep(waiting_time).await;
        }
        work.finish_step();
    }
}

/// A request in the batch; dropping this cancels the request.
struct BatchedRequest {
    work: Arc<EngineWork>,
    ticket: Ticket,
    tokens: mpsc::UnboundedReceiver<GeneratedToken>,
}

impl Drop for BatchedRequest {
    fn drop(&mut self) {
        let mut state = self.work.lock();
        state.batch.cancel(self.ticket);
        state.token_senders.remove(&self.ticket);
    }
}

/// Implemented for `Arc`, as requests in the batch hold a reference to the `EngineWork`.
impl Work for Arc<EngineWork> {
    async fn work(&self, received: ReceivedRequest, reply: &mut Reply) {
        let limit = received
            .deadline_ms
            .map_or(DEFAULT_TIME_LIMIT, Duration::from_millis);
        let deadline = Instant::now() + limit;
        let Some(mut request) = self.enqueue(Prompt::read(&received.head.headers)) else {
            reply.reject(503).await;
            return;
        };
        let first = tokio::select! {
            first = request.tokens.recv() => first,
            () = sleep_until(deadline) => None,
        };
        let Some(first) = first else {
            reply.reject(503).await;
            return;
        };
        reply.mark_running();
        if !reply.begin_stream().await {
            return;
        }
        tokio::select! {
            () = self.stream(&received, first, &mut request, reply) => {}
            () = sleep_until(deadline) => {}
        }
    }

    fn report(&self) -> Option<String> {
        let load = self.load();
        let models: Vec<_> = self
            .settings
            .models
            .iter()
            .map(|name| json!({ "name": name, "generation": 1, "adapters": [] }))
            .collect();
        let report = json!({
            "phase": "both",
            "models": models,
            "utilization": false,
            "seq": 0,
            "queued": load.queued,
            "running": load.running,
            "kv_used": load.memory_used,
            "kv_total": load.memory_total,
            "sessions": 0,
        });
        Some(report.to_string())
    }
}

impl EngineWork {
    /// Sends an event whenever enough tokens are generated; the last event may hold fewer tokens. Events up to the
    /// request's `Last-Event-Id` are not sent.
    async fn stream(
        &self,
        received: &ReceivedRequest,
        first: GeneratedToken,
        request: &mut BatchedRequest,
        reply: &mut Reply,
    ) {
        let last_event_id = received.head.headers.number(name::LAST_EVENT_ID);
        let mut event_count = 0;
        let mut next = Some(first);
        while let Some(token) = next {
            let event_full = token.generated.is_multiple_of(self.settings.chunk_tokens);
            if event_full || token.last {
                let event = self.event(received, event_count);
                event_count += 1;
                let is_new = last_event_id.is_none_or(|last_event_id| event.id > last_event_id);
                if is_new && !reply.send_event(&event).await {
                    return;
                }
            }
            if token.last {
                reply.end_stream().await;
                return;
            }
            next = request.tokens.recv().await;
        }
    }

    /// An event whose data states the request, the index and the time, so that the events of two runs differ.
    fn event(&self, received: &ReceivedRequest, index: u64) -> Event {
        let id = self.settings.first_event + index * self.settings.event_stride;
        let data = format!("{} {index} {}", received.request, self.clock.now_us());
        Event { id, data }
    }
}
