//! A model server: continuous batching with chunked prefill, and a memory that caches prompt segments and holds
//! the tokens of running requests.

mod batch;
mod memory;
mod prompt;
mod work;

pub use batch::{Batch, Produced, Speeds, Ticket};
pub use memory::Memory;
pub use prompt::{Prompt, PromptSegment};

use crate::gate::Gate;
use crate::server::{ConnectionSettings, Identity, ListenerTask, ServerHandle, TestContext};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use work::{run_steps, EngineWork};

/// Settings of a model server.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Duration of steps.
    pub speeds: Speeds,
    /// Capacity of the queue.
    pub queue: usize,
    /// Capacity of its memory in tokens.
    pub memory_tokens: u64,
    /// Tokens in one event.
    pub chunk_tokens: u64,
    /// Real time for a millisecond of the model; 0 for no waiting.
    pub time_scale: f64,
    /// Id of a stream's first event.
    pub first_event: u64,
    /// Difference between the ids of two events in a row.
    pub event_stride: u64,
    /// Names of its models.
    pub models: Vec<String>,
    /// Treatment of connections.
    pub connections: ConnectionSettings,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            speeds: Speeds::default(),
            queue: 4,
            memory_tokens: 232_000,
            chunk_tokens: 3,
            time_scale: 0.0,
            first_event: 0,
            event_stride: 1,
            models: vec!["m".to_owned()],
            connections: ConnectionSettings::default(),
        }
    }
}

/// A running model server; dropping this stops it.
#[derive(Debug)]
pub struct EngineServer {
    /// The server's identity, faults and counters.
    pub handle: Arc<ServerHandle>,
    /// Each step of the batch waits here; a step is one token for each running request.
    pub gate: Gate,
    work: Arc<EngineWork>,
    steps: JoinHandle<()>,
    _listener_task: ListenerTask,
}

impl EngineServer {
    /// Starts on `listener`, whose address is that of `identity`.
    pub fn start(
        listener: TcpListener,
        identity: Identity,
        settings: EngineSettings,
        context: TestContext,
    ) -> EngineServer {
        let gate = Gate::default();
        let connection_settings = settings.connections.clone();
        let clock = context.clock;
        let work = Arc::new(EngineWork::new(
            settings,
            identity.slots as usize,
            clock,
            gate.clone(),
        ));
        let handle = Arc::new(ServerHandle::new(identity, connection_settings, context));
        let steps = tokio::spawn(run_steps(work.clone()));
        let listener_task = ListenerTask::start(listener, handle.clone(), Arc::new(work.clone()));
        EngineServer {
            handle,
            gate,
            work,
            steps,
            _listener_task: listener_task,
        }
    }

    /// Prompt tokens prefilled, cached ones not counted.
    #[must_use]
    pub fn prompt_tokens_prefilled(&self) -> u64 {
        self.work.prompt_tokens_prefilled()
    }

    /// Tokens of all prompts admitted, cached ones counted as well.
    #[must_use]
    pub fn prompt_tokens_admitted(&self) -> u64 {
        self.work.prompt_tokens_admitted()
    }

    /// The present load.
    #[must_use]
    pub fn load(&self) -> Load {
        self.work.load()
    }
}

impl Drop for EngineServer {
    fn drop(&mut self) {
        self.steps.abort();
    }
}

/// Load of a model server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests in the batch.
    pub running: usize,
    /// Requests that wait for admission.
    pub queued: usize,
    /// Tokens in use by running requests.
    pub memory_used: u64,
    /// Capacity in tokens.
    pub memory_total: u64,
}
