//! An in-memory disk that can be temporarily full.

use redb::StorageBackend;
use std::io::{self, Error, ErrorKind};
use std::sync::{Arc, Mutex};

/// An in-memory file. Clones share it, so that a test can open the same file several times.
#[derive(Clone, Debug, Default)]
pub struct Storage(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    bytes: Vec<u8>,
    /// Writes that succeed before the disk is full.
    writes_left: u64,
}

impl Default for State {
    fn default() -> State {
        State {
            bytes: Vec::new(),
            writes_left: u64::MAX,
        }
    }
}

impl Storage {
    /// Makes the disk full after `writes_left` further writes.
    pub fn full_after(&self, writes_left: u64) {
        self.state().writes_left = writes_left;
    }

    /// Ends the lack of space.
    pub fn has_space(&self) {
        self.full_after(u64::MAX);
    }

    /// Makes the disk full after `writes_left` further writes and repeats `write` until it succeeds. After five failed
    /// attempts the disk has space again, and the sixth must succeed.
    pub fn fills_and_recovers<E>(&self, writes_left: u64, write: impl Fn() -> Result<(), E>) {
        const ATTEMPTS_WHILE_FULL: usize = 5;
        self.full_after(writes_left);
        let refused = (0..ATTEMPTS_WHILE_FULL).all(|_| write().is_err());
        self.has_space();
        assert!(
            !refused || write().is_ok(),
            "the write fails although the disk has space again; it was full after {writes_left} writes"
        );
    }

    /// Length of the file in bytes.
    pub fn length(&self) -> usize {
        self.state().bytes.len()
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl State {
    fn use_one_write(&mut self) -> io::Result<()> {
        match self.writes_left.checked_sub(1) {
            Some(left) => {
                self.writes_left = left;
                Ok(())
            }
            None => Err(Error::from(ErrorKind::StorageFull)),
        }
    }
}

impl StorageBackend for Storage {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state().bytes.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let offset = offset as usize;
        let state = self.state();
        let bytes = state
            .bytes
            .get(offset..offset + len)
            .ok_or(Error::from(ErrorKind::UnexpectedEof))?;
        Ok(bytes.to_vec())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.state();
        if len as usize > state.bytes.len() {
            state.use_one_write()?;
        }
        state.bytes.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let offset = offset as usize;
        let mut state = self.state();
        state.use_one_write()?;
        state.bytes[offset..offset + data.len()].copy_from_slice(data);
        Ok(())
    }
}
