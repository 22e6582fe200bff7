//! Counters of the transport.

use crate::frame::FrameError;

/// What was transferred, and what was dropped, by cause.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Statistics {
    /// Frames whose checksum did not fit.
    pub checksum: u64,
    /// Frames that could not be decoded.
    pub malformed: u64,
    /// Frames over the limit, in either direction.
    pub too_large: u64,
    /// Frames from another fleet.
    pub other_fleet: u64,
    /// Frames of a kind, or with a body, that this version does not know.
    pub unknown: u64,
    /// Frames dropped for a newer one, as the peer's queue was full.
    pub queue_full: u64,
    /// Frames and connections dropped, as there were too many peers.
    pub peers_full: u64,
    /// Datagrams dropped, as the process had too many frames to look at.
    pub inbox_full: u64,
    /// Frames that were sent or queued.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Frames that were received and accepted.
    pub received: u64,
}

impl Statistics {
    /// Counts a rejected frame; gives how many were rejected for the same cause.
    pub(crate) fn count_rejected(&mut self, error: FrameError) -> u64 {
        let count = match error {
            FrameError::Checksum => &mut self.checksum,
            FrameError::Malformed => &mut self.malformed,
            FrameError::TooLarge => &mut self.too_large,
            FrameError::OtherFleet => &mut self.other_fleet,
            FrameError::UnknownKind => &mut self.unknown,
        };
        *count += 1;
        *count
    }

    /// Counts a frame that is sent or queued.
    pub(crate) fn count_sent(&mut self, bytes: usize) {
        self.sent += 1;
        self.sent_bytes += bytes as u64;
    }

    /// All frames that were rejected.
    #[must_use]
    pub fn rejected(&self) -> u64 {
        self.checksum + self.malformed + self.too_large + self.other_fleet + self.unknown
    }

    /// All that was dropped for lack of capacity.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.queue_full + self.peers_full + self.inbox_full
    }
}
