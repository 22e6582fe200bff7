//! A storage backend that syncs each change of the file's length before later writes depend on it.
//!
//! Between two syncs, the library changes the file's length and writes a header that records the new length, without
//! ordering the two. A power loss may keep the header and lose the growth; the library then permanently refuses the
//! file, with all acknowledged data in it.

use redb::StorageBackend;
use std::io::Result;

/// Syncs each change of the file's length separately, so that a header can't survive a power loss without the length
/// that it records. The file grows by doubling, so few commits pay for the additional sync.
#[derive(Debug)]
pub struct DurableLength<B>(B);

impl<B: StorageBackend> DurableLength<B> {
    /// Wraps `backend`.
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
        // The header that records the shorter length must be durable before the file is truncated.
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
