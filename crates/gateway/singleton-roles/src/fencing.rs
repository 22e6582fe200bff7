//! The receiver's fencing check: a process that carries out effects of a role refuses any token older than the
//! greatest one it has seen for the slot. It keeps one number for each of the fixed slots.
//!
//! That number must never decrease, not even across a restart: a new check refuses all tokens until it knows
//! the tokens that the log had granted after the start. (Kleppmann, "How to do distributed locking", 2016.)

use crate::Slot;

/// The greatest token seen for each slot.
#[derive(Clone, Debug, Default)]
pub struct FencingCheck {
    highest: Vec<u64>,
    initialized: bool,
    /// Number of effects that were refused.
    pub rejected: u64,
}

impl FencingCheck {
    /// Creates a check that knows no tokens yet and refuses all of them.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        FencingCheck {
            highest: vec![0; slots as usize],
            initialized: false,
            rejected: 0,
        }
    }

    /// Creates a check from tokens that survived a restart, or for a receiver that never accepted any.
    #[must_use]
    pub fn restored(highest: Vec<u64>) -> Self {
        FencingCheck {
            highest,
            initialized: true,
            rejected: 0,
        }
    }

    /// Sets the tokens that the log has granted so far, by slot; from now on newer tokens are accepted.
    pub fn initialize(&mut self, tokens: &[u64]) {
        let pairs = self.highest.iter_mut().zip(tokens);
        pairs.for_each(|(highest, token)| *highest = (*highest).max(*token));
        self.initialized = true;
    }

    /// Whether an effect under this token may be carried out. Unknown slots are refused.
    pub fn accept(&mut self, slot: Slot, token: u64) -> bool {
        match self.highest.get_mut(slot as usize) {
            Some(highest) if self.initialized && token > 0 && token >= *highest => {
                *highest = token;
                true
            }
            _ => {
                self.rejected += 1;
                false
            }
        }
    }

    /// The greatest token seen for a slot.
    #[must_use]
    pub fn highest(&self, slot: Slot) -> u64 {
        self.highest.get(slot as usize).copied().unwrap_or(0)
    }
}
