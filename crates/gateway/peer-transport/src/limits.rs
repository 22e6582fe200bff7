//! Bounds of the transport.

/// Bounds, from the operators' file.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Peers with a connection from here, and also connections that are accepted.
    pub peers: usize,
    /// Frames that wait for one peer.
    pub queued_frames: usize,
    /// Bytes of the largest frame.
    pub frame_bytes: usize,
    /// Seconds that opening a connection may take.
    pub connect_timeout_s: f64,
    /// Seconds after which an idle connection is closed.
    pub idle_timeout_s: f64,
}
