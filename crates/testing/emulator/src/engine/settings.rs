//! Settings and load of a model server.

use super::batch::Speeds;
use crate::server::ConnectionSettings;

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
