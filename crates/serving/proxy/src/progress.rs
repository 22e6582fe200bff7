//! How far a request has gone out. No I/O.

use crate::disposition::Sent;

/// The bytes that end a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// How far the present request of a connection has gone out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    any_written: bool,
    /// Bytes of [`HEAD_END`] that the last ones written agree with; all of them once the head is out.
    head_end_matched: usize,
    body_taken: bool,
    whole: bool,
}

impl Progress {
    /// Of a request of which nothing has gone out.
    pub(crate) fn of_request(body_bytes: u64) -> Progress {
        Progress {
            any_written: false,
            head_end_matched: 0,
            body_taken: body_bytes == 0,
            whole: false,
        }
    }

    /// These bytes were written to the socket.
    pub(crate) fn note_written(&mut self, written: &[u8]) {
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

    /// The last piece of the body was taken, to be written.
    pub(crate) fn note_body_taken(&mut self) {
        self.body_taken = true;
    }

    /// All that was taken has been written.
    pub(crate) fn note_flushed(&mut self) {
        self.whole |= self.any_written && self.body_taken;
    }

    pub(crate) fn sent(self) -> Sent {
        if self.whole {
            Sent::Whole
        } else if self.is_head_written() {
            Sent::PartOfBody
        } else if self.any_written {
            Sent::PartOfHead
        } else {
            Sent::Nothing
        }
    }

    fn is_head_written(self) -> bool {
        self.head_end_matched == HEAD_END.len()
    }
}

#[cfg(test)]
mod tests;
