//! A disk in memory that is full for a while.

use redb::StorageBackend;
use std::io::{self, Error, ErrorKind};
use std::sync::{Arc, Mutex};

/// The storage behind the backends that a test gives away: each opening of the same file gets one.
#[derive(Clone, Debug, Default)]
pub struct Storage(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    bytes: Vec<u8>,
    /// Writes that it accepts before it is full.
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
    /// From now on it accepts so many writes more.
    pub fn full_after(&self, writes_left: u64) {
        self.state().writes_left = writes_left;
    }

    /// It has space again.
    pub fn has_space(&self) {
        self.full_after(u64::MAX);
    }

    /// It is full after so many writes more. A write that it refuses then is repeated; it has space again before the
    /// sixth, which has to succeed.
    pub fn fills_and_recovers<E>(&self, writes_left: u64, write: impl Fn() -> Result<(), E>) {
        const ATTEMPTS_WHILE_FULL: usize = 5;
        self.full_after(writes_left);
        let refused = (0..ATTEMPTS_WHILE_FULL).all(|_| write().is_err());
        self.has_space();
        assert!(
            !refused || write().is_ok(),
            "refused with space again, after {writes_left} writes"
        );
    }

    /// Length of the file.
    pub fn length(&self) -> usize {
        self.state().bytes.len()
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().expect("no test panics within")
    }
}

impl State {
    fn take_one(&mut self) -> io::Result<()> {
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
            state.take_one()?;
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
        state.take_one()?;
        state.bytes[offset..offset + data.len()].copy_from_slice(data);
        Ok(())
    }
}
