//! A model server: continuous batching with chunked prefill, and a memory that caches prompt segments and holds
//! the tokens of running requests.

mod batch;
mod memory;
mod prompt;
mod settings;
mod work;

pub use batch::{Batch, EnqueueError, GeneratedToken, StepParameters, Ticket};
pub use memory::{Memory, PrefixLookup};
pub use prompt::{Prompt, PromptSegment};
pub use settings::{EngineSettings, Load};

use crate::gate::Gate;
use crate::server::{Identity, ListenerTask, ServerHandle, TestContext};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use work::{run_steps, EngineWork};

/// A running model server; dropping this stops it.
#[derive(Debug)]
pub struct EngineServer {
    /// The server's identity, faults and counters.
    pub handle: Arc<ServerHandle>,
    /// Each step of the batch waits at this gate; a step generates one token for each running request.
    pub gate: Gate,
    work: Arc<EngineWork>,
    steps: JoinHandle<()>,
    _listener_task: ListenerTask,
}

impl EngineServer {
    /// Starts a model server on `listener`, whose address must be that of `identity`.
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

    /// Prompt tokens prefilled so far, without those found in the cache.
    #[must_use]
    pub fn prompt_tokens_prefilled(&self) -> u64 {
        self.work.prompt_tokens_prefilled()
    }

    /// Tokens of all prompts admitted so far, including those found in the cache.
    #[must_use]
    pub fn prompt_tokens_admitted(&self) -> u64 {
        self.work.prompt_tokens_admitted()
    }

    /// The current load.
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
