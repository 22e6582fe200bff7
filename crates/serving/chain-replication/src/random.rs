//! A seeded random generator, for waits and for numbers that differ between runs of a process.

/// The `SplitMix64` generator (Steele, Lea and Flood, 2014).
#[derive(Clone, Debug)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random { state: seed }
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// A number below `bound`, which must be above 0.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}
