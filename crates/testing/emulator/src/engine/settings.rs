//! Settings and load of a model server.

use super::batch::StepParameters;
use crate::server::ConnectionSettings;

/// Settings of a model server.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Parameters from which the duration of a step is computed.
    pub step_parameters: StepParameters,
    /// Number of requests that may wait for admission.
    pub queue: usize,
    /// Capacity of the KV memory in tokens.
    pub memory_tokens: u64,
    /// Tokens in one event.
    pub chunk_tokens: u64,
    /// Real milliseconds for each millisecond of a step's computed duration; 0 for no waiting.
    pub time_scale: f64,
    /// Id of a stream's first event.
    pub first_event: u64,
    /// Difference between the ids of two consecutive events.
    pub event_stride: u64,
    /// Names of the served models.
    pub models: Vec<String>,
    /// Limits and time-outs of connections, and the health check's path.
    pub connections: ConnectionSettings,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            step_parameters: StepParameters::default(),
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

/// Load of a model server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: usize,
    /// Number of requests that wait for admission.
    pub queued: usize,
    /// Tokens in use by running requests.
    pub memory_used: u64,
    /// Capacity in tokens.
    pub memory_total: u64,
}
