//! The memory limit for the bodies of all active requests together.

use crate::rejection::Rejection;
use std::cell::Cell;
use std::rc::Rc;

/// `Retry-After` of a request whose body does not fit into the memory.
const NO_MEMORY_RETRY_MS: u64 = 300;

/// Memory for the bodies of all requests. Protects against many clients that send large bodies at once, or parts of
/// them: together they would exceed the memory of the process.
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

    /// Returns a reservation of 0 bytes.
    pub(crate) fn empty_reservation(self: &Rc<Self>) -> MemoryReservation {
        MemoryReservation {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

/// The memory that one request has reserved. Dropping it releases the memory.
pub(crate) struct MemoryReservation {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves `bytes` more.
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
