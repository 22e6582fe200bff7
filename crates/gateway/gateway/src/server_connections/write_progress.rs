//! How much of an attempt has been written, which tells whether the server can have run it.

/// How much of the current attempt has been written.
#[derive(Clone, Copy, Default)]
pub(super) struct WriteProgress {
    /// The last four bytes of the head written so far.
    last_four: u32,
    head_complete: bool,
    /// Bytes of the body that have not been written.
    body_left: usize,
}

impl WriteProgress {
    /// Nothing written of an attempt with a body of this length.
    pub(super) fn of_attempt(body_len: usize) -> WriteProgress {
        WriteProgress {
            body_left: body_len,
            ..WriteProgress::default()
        }
    }

    /// Records bytes written to the socket.
    pub(super) fn record(&mut self, bytes: &[u8]) {
        let mut bytes = bytes.iter();
        while !self.head_complete {
            let Some(&byte) = bytes.next() else { return };
            self.last_four = self.last_four << 8 | u32::from(byte);
            self.head_complete = self.last_four == u32::from_be_bytes(*b"\r\n\r\n");
        }
        self.body_left = self.body_left.saturating_sub(bytes.len());
    }

    /// Whether any byte has been written.
    pub(super) fn has_begun(self) -> bool {
        self.head_complete || self.last_four != 0
    }

    /// Whether the last byte has been written.
    pub(super) fn is_complete(self) -> bool {
        self.head_complete && self.body_left == 0
    }
}

#[cfg(test)]
mod tests;
