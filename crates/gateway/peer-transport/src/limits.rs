//! Limits of the transport.

/// Limits on connections, queues, frames and times, from the operators' settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of peers with a queue, and of accepted connections.
    pub peers: usize,
    /// Maximum number of frames in the queue of one peer.
    pub queued_frames: usize,
    /// Maximum size of a frame in bytes.
    pub frame_bytes: usize,
    /// Seconds within which a connection must be established.
    pub connect_timeout_s: f64,
    /// Seconds after which an idle connection is closed.
    pub idle_timeout_s: f64,
}
