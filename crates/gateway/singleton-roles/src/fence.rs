//! The receiver's check: whoever carries out an effect of a duty refuses a token older than one it has seen.
//! One number for each slot; the slots are fixed, so it can't grow. It must never go back, not by a restart
//! either: a new one takes nothing until it was told what the log granted up to a moment after its start.

use crate::Slot;

#[derive(Clone, Debug, Default)]
pub struct Fence {
    seen: Vec<u64>,
    primed: bool,
    pub refused: u64,
}

impl Fence {
    pub fn new(slots: u32) -> Self {
        Fence {
            seen: vec![0; slots as usize],
            primed: false,
            refused: 0,
        }
    }

    /// One whose tokens outlive a restart, or whose receiver never took any.
    pub fn kept(seen: Vec<u64>) -> Self {
        Fence {
            seen,
            primed: true,
            refused: 0,
        }
    }

    /// What the log granted up to now.
    pub fn prime(&mut self, tokens: &[u64]) {
        self.seen
            .iter_mut()
            .zip(tokens)
            .for_each(|(seen, token)| *seen = (*seen).max(*token));
        self.primed = true;
    }

    /// Whether an effect under this token may be carried out. A slot that is not there is refused.
    pub fn accept(&mut self, slot: Slot, token: u64) -> bool {
        match self.seen.get_mut(slot as usize) {
            Some(seen) if self.primed && token > 0 && token >= *seen => {
                *seen = token;
                true
            }
            _ => {
                self.refused += 1;
                false
            }
        }
    }

    /// The greatest token seen for a slot.
    pub fn seen(&self, slot: Slot) -> u64 {
        self.seen.get(slot as usize).copied().unwrap_or(0)
    }
}
