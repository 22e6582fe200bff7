//! A model server: requests run in batches, prompts are read in pieces between the tokens of others, memory holds
//! running requests and kept parts of prompts.

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

/// How a model server works.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    pub speeds: Speeds,
    /// Requests that wait beyond those in the batch.
    pub queue: usize,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Tokens in one event.
    pub chunk_tokens: u64,
    /// Real time for a millisecond of the server's own; 0 for as fast as asked.
    pub time_scale: f64,
    /// Ids of events: the first one, and from one to the next.
    pub first_event: u64,
    pub event_stride: u64,
    /// Its models, by name.
    pub models: Vec<String>,
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

/// A model server that runs; it ends when this is dropped.
#[derive(Debug)]
pub struct EngineServer {
    pub handle: Arc<ServerHandle>,
    /// Held by the test: each step of the batch waits here, one token for each request that runs.
    pub gate: Gate,
    work: Arc<EngineWork>,
    steps: JoinHandle<()>,
    _listener_task: ListenerTask,
}

impl EngineServer {
    /// Starts on `listener`, whose address `identity` names.
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

    /// Tokens of prompts that were read, kept ones not counted.
    pub fn prompt_tokens_prefilled(&self) -> u64 {
        self.work.prompt_tokens_prefilled()
    }

    /// Tokens of all prompts that were let in, kept ones counted as well.
    pub fn prompt_tokens_admitted(&self) -> u64 {
        self.work.prompt_tokens_admitted()
    }

    /// Requests that run, and those that wait.
    pub fn load(&self) -> Load {
        self.work.load()
    }
}

impl Drop for EngineServer {
    fn drop(&mut self) {
        self.steps.abort();
    }
}

/// How many requests a server has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    pub running: usize,
    pub queued: usize,
    pub memory_used: u64,
    pub memory_total: u64,
}
