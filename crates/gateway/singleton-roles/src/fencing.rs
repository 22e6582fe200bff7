//! The receiver's fencing check: whoever carries out an effect of a role refuses a token older than one it
//! has seen. One number for each slot; the slots are fixed, so it can't grow. It must never go back, not by a
//! restart either: a new one takes nothing until it knows what the log granted up to a moment after its
//! start. (Kleppmann, "How to do distributed locking", 2016.)

use crate::Slot;

/// The greatest token seen for each slot.
#[derive(Clone, Debug, Default)]
pub struct FencingCheck {
    highest: Vec<u64>,
    initialized: bool,
    /// How many effects were refused.
    pub rejected: u64,
}

impl FencingCheck {
    /// One that knows no tokens yet and refuses all.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        FencingCheck {
            highest: vec![0; slots as usize],
            initialized: false,
            rejected: 0,
        }
    }

    /// One whose tokens outlive a restart, or whose receiver never took any.
    #[must_use]
    pub fn restored(highest: Vec<u64>) -> Self {
        FencingCheck {
            highest,
            initialized: true,
            rejected: 0,
        }
    }

    /// Takes what the log granted up to now, by slot.
    pub fn initialize(&mut self, tokens: &[u64]) {
        let pairs = self.highest.iter_mut().zip(tokens);
        pairs.for_each(|(highest, token)| *highest = (*highest).max(*token));
        self.initialized = true;
    }

    /// Whether an effect under this token may be carried out. A slot that is not there is refused.
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
