//! The memory that bodies under way may take together.

use crate::refusal::Refusal;
use std::cell::Cell;
use std::rc::Rc;

/// When a client may come back for whose body there is no memory.
const NO_MEMORY_RETRY_MS: u64 = 300;

/// Bytes for the bodies of all requests. Guards against clients that each send a large one at once, or half of
/// one: together they would take more than the process may have.
pub(crate) struct Memory {
    most: usize,
    taken: Cell<usize>,
}

impl Memory {
    pub(crate) fn new(most: usize) -> Rc<Memory> {
        Rc::new(Memory {
            most,
            taken: Cell::new(0),
        })
    }

    pub(crate) fn taken(&self) -> usize {
        self.taken.get()
    }

    /// Room for nothing yet.
    pub(crate) fn room(self: &Rc<Self>) -> Room {
        Room {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

/// What one request takes, given back when it is dropped.
pub(crate) struct Room {
    memory: Rc<Memory>,
    bytes: usize,
}

impl Room {
    pub(crate) fn take(&mut self, bytes: usize) -> Result<(), Refusal> {
        let taken = self.memory.taken.get().saturating_add(bytes);
        if taken > self.memory.most {
            return Err(Refusal::Later {
                retry_after_ms: NO_MEMORY_RETRY_MS,
            });
        }
        self.memory.taken.set(taken);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.memory.taken.set(self.memory.taken.get() - self.bytes);
    }
}
