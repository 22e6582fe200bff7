//! Connects the batch with requests: delivers tokens to their requests and lets steps take their time.

use super::batch::{Batch, Produced, Ticket};
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
const MAX_WORK: Duration = Duration::from_secs(120);

/// State shared by the requests and the task that runs steps.
#[derive(Debug)]
pub(super) struct EngineWork {
    settings: EngineSettings,
    clock: Clock,
    gate: Gate,
    state: Mutex<State>,
    arrived: Notify,
}

#[derive(Debug)]
struct State {
    batch: Batch,
    listeners: HashMap<Ticket, mpsc::UnboundedSender<Produced>>,
}

impl EngineWork {
    pub fn new(settings: EngineSettings, slots: usize, clock: Clock, gate: Gate) -> EngineWork {
        let memory = Memory::new(settings.memory_tokens);
        let batch = Batch::new(settings.speeds, slots, settings.queue, memory);
        let state = Mutex::new(State {
            batch,
            listeners: HashMap::new(),
        });
        EngineWork {
            settings,
            clock,
            gate,
            state,
            arrived: Notify::new(),
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

    /// Adds a request to the batch; its tokens come through the channel. `None` where the server is full.
    fn enter(self: &Arc<Self>, prompt: Prompt) -> Option<Entered> {
        let (sender, tokens) = mpsc::unbounded_channel();
        let ticket = {
            let mut state = self.lock();
            let ticket = state.batch.enqueue(prompt).ok()?;
            state.listeners.insert(ticket, sender);
            ticket
        };
        self.arrived.notify_one();
        Some(Entered {
            work: self.clone(),
            ticket,
            tokens,
        })
    }

    fn finish_step(&self) {
        let mut state = self.lock();
        for produced in state.batch.finish_step() {
            if let Some(listener) = state.listeners.get(&produced.ticket) {
                let _ = listener.send(produced);
            }
            if produced.last {
                state.listeners.remove(&produced.ticket);
            }
        }
    }
}

/// Runs steps until the task is aborted.
pub(super) async fn run_steps(work: Arc<EngineWork>) {
    loop {
        if work.load().running + work.load().queued == 0 {
            work.arrived.notified().await;
            continue;
        }
        work.gate.pass().await;
        let step = work.lock().batch.begin_step();
        let Some(duration) = step else {
            yield_now().await;
            continue;
        };
        let scaled = Duration::from_micros((duration as f64 * work.settings.time_scale) as u64);
        if scaled.is_zero() {
            yield_now().await;
        } else {
            sleep(scaled).await;
        }
        work.finish_step();
    }
}

/// A request in the batch; dropping this cancels it.
struct Entered {
    work: Arc<EngineWork>,
    ticket: Ticket,
    tokens: mpsc::UnboundedReceiver<Produced>,
}

impl Drop for Entered {
    fn drop(&mut self) {
        let mut state = self.work.lock();
        state.batch.cancel(self.ticket);
        state.listeners.remove(&self.ticket);
    }
}

/// Implemented for `Arc`, as admitted requests keep a reference to the work.
impl Work for Arc<EngineWork> {
    async fn work(&self, arrived: ReceivedRequest, reply: &mut Reply) {
        let limit = arrived.deadline_ms.map_or(MAX_WORK, Duration::from_millis);
        let deadline = Instant::now() + limit;
        let Some(mut entered) = self.enter(Prompt::read(&arrived.head.headers)) else {
            reply.reject(503).await;
            return;
        };
        let first = tokio::select! {
            first = entered.tokens.recv() => first,
            () = sleep_until(deadline) => None,
        };
        let Some(first) = first else {
            reply.reject(503).await;
            return;
        };
        reply.run();
        if !reply.begin_stream().await {
            return;
        }
        tokio::select! {
            () = self.stream(&arrived, first, &mut entered, reply) => {}
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
    /// Sends events as their tokens are generated; the last one may have fewer tokens.
    async fn stream(
        &self,
        arrived: &ReceivedRequest,
        first: Produced,
        entered: &mut Entered,
        reply: &mut Reply,
    ) {
        let after = arrived.head.headers.number(name::LAST_EVENT_ID);
        let mut events = 0;
        let mut next = Some(first);
        while let Some(produced) = next {
            let full = produced
                .generated
                .is_multiple_of(self.settings.chunk_tokens);
            if full || produced.last {
                let event = self.event(arrived, events);
                events += 1;
                let is_new = after.is_none_or(|after| event.id > after);
                if is_new && !reply.event(&event).await {
                    return;
                }
            }
            if produced.last {
                reply.end_stream().await;
                return;
            }
            next = entered.tokens.recv().await;
        }
    }

    /// The data states request, index and time, so that events of two runs differ.
    fn event(&self, arrived: &ReceivedRequest, index: u64) -> Event {
        let id = self.settings.first_event + index * self.settings.event_stride;
        let data = format!("{} {index} {}", arrived.request, self.clock.now_us());
        Event { id, data }
    }
}
