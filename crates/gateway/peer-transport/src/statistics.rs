//! Counters of sent, received, rejected and dropped frames.

use crate::frame::FrameError;

/// Counts of transferred frames, and of rejected and dropped frames by cause.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Statistics {
    /// Frames whose checksum did not match.
    pub checksum: u64,
    /// Frames whose envelope could not be decoded.
    pub malformed: u64,
    /// Sent or received frames over the size limit.
    pub too_large: u64,
    /// Frames from another fleet.
    pub other_fleet: u64,
    /// Frames of an unknown kind or with an undecodable body.
    pub unknown: u64,
    /// Oldest frames that were dropped from the full queue of a peer to make room for new ones.
    pub queue_full: u64,
    /// Frames dropped and connections refused because the limit of peers was reached.
    pub peers_full: u64,
    /// Datagrams dropped because the inbox of the process was full.
    pub inbox_full: u64,
    /// Frames that were sent as datagrams or queued for a connection.
    pub sent: u64,
    /// Size of these frames in bytes.
    pub sent_bytes: u64,
    /// Frames that were received and accepted.
    pub received: u64,
}

impl Statistics {
    /// Counts a rejected frame and returns the number of frames rejected for the same cause.
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

    /// Counts a frame of `bytes` that is sent or queued.
    pub(crate) fn count_sent(&mut self, bytes: usize) {
        self.sent += 1;
        self.sent_bytes += bytes as u64;
    }

    /// Number of rejected frames of all causes.
    #[must_use]
    pub fn rejected(&self) -> u64 {
        self.checksum + self.malformed + self.too_large + self.other_fleet + self.unknown
    }

    /// Number of frames dropped and connections refused for lack of capacity.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.queue_full + self.peers_full + self.inbox_full
    }
}
