//! A model server: requests run in batches, prompts are read in pieces between the tokens of others, memory holds
//! running requests and kept parts of prompts.

mod batch;
mod memory;
mod prompt;
mod work;

pub use batch::{Batch, Produced, Speeds, Ticket};
pub use memory::Memory;
pub use prompt::{Part, Prompt};

use crate::gate::Gate;
use crate::server::{Door, DoorSettings, Identity, Listening, Surroundings};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use work::{run_steps, EngineWork};

/// How a model server works.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// How fast it computes.
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
    /// How far the ids of two events lie apart.
    pub event_stride: u64,
    /// Its models, by name.
    pub models: Vec<String>,
    /// How it meets the network.
    pub door: DoorSettings,
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
            door: DoorSettings::default(),
        }
    }
}

/// A model server that runs; it ends when this is dropped.
#[derive(Debug)]
pub struct EngineServer {
    /// Its connections, health and faults.
    pub door: Arc<Door>,
    /// Held by the test: each step of the batch waits here, one token for each request that runs.
    pub gate: Gate,
    work: Arc<EngineWork>,
    steps: JoinHandle<()>,
    _listening: Listening,
}

impl EngineServer {
    /// Starts on `listener`, whose address `identity` names.
    pub fn start(
        listener: TcpListener,
        identity: Identity,
        settings: EngineSettings,
        surroundings: Surroundings,
    ) -> EngineServer {
        let gate = Gate::default();
        let door_settings = settings.door.clone();
        let clock = surroundings.clock;
        let work = Arc::new(EngineWork::new(
            settings,
            identity.slots as usize,
            clock,
            gate.clone(),
        ));
        let door = Arc::new(Door::new(identity, door_settings, surroundings));
        let steps = tokio::spawn(run_steps(work.clone()));
        let listening = Listening::start(listener, door.clone(), Arc::new(work.clone()));
        EngineServer {
            door,
            gate,
            work,
            steps,
            _listening: listening,
        }
    }

    /// Tokens of prompts that were read, kept ones not counted.
    #[must_use]
    pub fn tokens_read(&self) -> u64 {
        self.work.tokens_read()
    }

    /// Tokens of all prompts that were let in, kept ones counted as well.
    #[must_use]
    pub fn tokens_asked(&self) -> u64 {
        self.work.tokens_asked()
    }

    /// Requests that run, and those that wait.
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

/// How many requests a server has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests in the batch.
    pub running: usize,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Tokens in the KV cache.
    pub memory_used: u64,
    /// Tokens that the KV cache holds.
    pub memory_total: u64,
}
