//! Encodings of fixtures: hexadecimal text, and a run-length encoding for files with many equal blocks.

/// Length of the blocks that packing compares.
const BLOCK_BYTES: usize = 512;
/// Length of the repeat count in front of each block.
const COUNT_BYTES: usize = 4;

/// Encodes bytes as hexadecimal text.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal text.
///
/// # Panics
/// Panics if the text is not hexadecimal.
pub(crate) fn from_hex(text: &str) -> Vec<u8> {
    let pairs = text.trim().as_bytes().chunks(2);
    pairs
        .map(|pair| std::str::from_utf8(pair).expect("the fixture is not ASCII text"))
        .map(|pair| u8::from_str_radix(pair, 16).expect("the fixture is not hexadecimal"))
        .collect()
}

/// Packs a file: each run of equal blocks becomes its length, a little-endian `u32`, and one copy of the block.
#[must_use]
pub fn pack(file: &[u8]) -> Vec<u8> {
    let blocks: Vec<&[u8]> = file.chunks(BLOCK_BYTES).collect();
    let runs = blocks.chunk_by(|block, next| block == next);
    runs.flat_map(|run| [&(run.len() as u32).to_le_bytes()[..], run[0]].concat())
        .collect()
}

/// Unpacks a file that [`pack`] packed.
///
/// # Panics
/// Panics if a run is too short to hold its repeat count.
#[must_use]
pub fn unpack(packed: &[u8]) -> Vec<u8> {
    let mut file = Vec::new();
    for run in packed.chunks(COUNT_BYTES + BLOCK_BYTES) {
        let (count, block) = run
            .split_first_chunk::<COUNT_BYTES>()
            .expect("a run of the packed file is too short for its repeat count");
        file.extend(block.repeat(u32::from_le_bytes(*count) as usize));
    }
    file
}
