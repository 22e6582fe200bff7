//! The receiver's check: whoever carries out an effect of a duty refuses a token older than one it has seen.
//! One number for each slot; the slots are fixed, so it can't grow. It must never go back.

use crate::Slot;

#[derive(Clone, Debug, Default)]
pub struct Fence {
    seen: Vec<u64>,
    pub refused: u64,
}

impl Fence {
    pub fn new(slots: u32) -> Self {
        Fence { seen: vec![0; slots as usize], refused: 0 }
    }

    /// Whether an effect under this token may be carried out. A slot that is not there is refused.
    pub fn accept(&mut self, slot: Slot, token: u64) -> bool {
        match self.seen.get_mut(slot as usize) {
            Some(seen) if token > 0 && token >= *seen => {
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
