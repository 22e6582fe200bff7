//! Tracks how much of a request has been written. Pure logic, without I/O.

use crate::classification::SendProgress;

/// The bytes that end a request head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Tracks how much of a connection's current request has been written.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendTracker {
    any_written: bool,
    /// How many bytes of [`HEAD_END`] the last written bytes match; its full length once the head is written.
    head_end_matched: usize,
    body_taken: bool,
    is_complete: bool,
}

impl SendTracker {
    /// Starts tracking a request with `body_bytes` of body, of which nothing has been written.
    pub(crate) fn new(body_bytes: u64) -> SendTracker {
        SendTracker {
            any_written: false,
            head_end_matched: 0,
            body_taken: body_bytes == 0,
            is_complete: false,
        }
    }

    /// Records bytes written to the socket.
    pub(crate) fn record_written(&mut self, written: &[u8]) {
        self.any_written |= !written.is_empty();
        for byte in written {
            if self.is_head_written() {
                return;
            }
            self.head_end_matched = match *byte {
                byte if byte == HEAD_END[self.head_end_matched] => self.head_end_matched + 1,
                b'\r' => 1,
                _ => 0,
            };
        }
    }

    /// Records that the HTTP library has taken the last chunk of the body.
    pub(crate) fn record_body_taken(&mut self) {
        self.body_taken = true;
    }

    /// Records that all bytes taken so far have been written.
    pub(crate) fn record_flushed(&mut self) {
        self.is_complete |= self.any_written && self.body_taken;
    }

    pub(crate) fn progress(self) -> SendProgress {
        if self.is_complete {
            SendProgress::Complete
        } else if self.is_head_written() {
            SendProgress::PartialBody
        } else if self.any_written {
            SendProgress::PartialHead
        } else {
            SendProgress::Nothing
        }
    }

    fn is_head_written(self) -> bool {
        self.head_end_matched == HEAD_END.len()
    }
}

#[cfg(test)]
mod tests;
