//! A storage backend whose file never lacks a length that the database relies on.
//!
//! The library writes its header, which says how long the file is, between two syncs and in no order with the change of
//! the length itself. A loss of power may keep the header and lose the growth; the library then refuses the file for
//! good, with all that was acknowledged in it.

use redb::StorageBackend;
use std::io::Result;

/// Makes each change of the file's length durable by itself: the header that follows can't outlive the length that it
/// names. The file's length changes seldom, as it doubles, so that a commit hardly ever pays for a second sync.
#[derive(Debug)]
pub struct DurableLength<B>(B);

impl<B: StorageBackend> DurableLength<B> {
    /// Changes of the length are made durable on this backend.
    pub fn new(backend: B) -> DurableLength<B> {
        DurableLength(backend)
    }
}

impl<B: StorageBackend> StorageBackend for DurableLength<B> {
    fn len(&self) -> Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, len: usize) -> Result<Vec<u8>> {
        self.0.read(offset, len)
    }

    fn set_len(&self, len: u64) -> Result<()> {
        // Before a file is shortened, the header that names the shorter length is durable.
        if len < self.0.len()? {
            self.0.sync_data(false)?;
        }
        self.0.set_len(len)?;
        self.0.sync_data(false)
    }

    fn sync_data(&self, eventual: bool) -> Result<()> {
        self.0.sync_data(eventual)
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        self.0.write(offset, data)
    }
}
