//! The memory that the bodies of all requests under way may use together.

use crate::rejection::Rejection;
use std::cell::Cell;
use std::rc::Rc;

/// When a client may retry for whose body there is no memory.
const NO_MEMORY_RETRY_MS: u64 = 300;

/// Bytes for the bodies of all requests. Protects against clients that each send a large one at once, or half of one:
/// together they would use more than the process may have.
pub(crate) struct BodyMemory {
    limit_bytes: usize,
    reserved_bytes: Cell<usize>,
}

impl BodyMemory {
    pub(crate) fn new(limit_bytes: usize) -> Rc<BodyMemory> {
        Rc::new(BodyMemory {
            limit_bytes,
            reserved_bytes: Cell::new(0),
        })
    }

    pub(crate) fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.get()
    }

    /// A reservation of nothing yet.
    pub(crate) fn empty_reservation(self: &Rc<Self>) -> MemoryReservation {
        MemoryReservation {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

/// What one request has reserved, released when it is dropped.
pub(crate) struct MemoryReservation {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves so many bytes more.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), Rejection> {
        let reserved_bytes = self.memory.reserved_bytes.get().saturating_add(bytes);
        if reserved_bytes > self.memory.limit_bytes {
            return Err(Rejection::RetryLater {
                retry_after_ms: NO_MEMORY_RETRY_MS,
            });
        }
        self.memory.reserved_bytes.set(reserved_bytes);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let reserved_bytes = &self.memory.reserved_bytes;
        reserved_bytes.set(reserved_bytes.get() - self.bytes);
    }
}
