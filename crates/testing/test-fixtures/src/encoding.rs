//! Bytes as text, and large files with many equal blocks as small ones.

/// Length of the blocks of a packed file.
const BLOCK_BYTES: usize = 512;
/// Bytes of the number in front of each block.
const COUNT_BYTES: usize = 4;

/// Bytes in hexadecimal.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes that a text has in hexadecimal.
///
/// # Panics
/// The text is something else.
pub(crate) fn from_hex(text: &str) -> Vec<u8> {
    let pairs = text.trim().as_bytes().chunks(2);
    pairs
        .map(|pair| std::str::from_utf8(pair).expect("a fixture is ASCII"))
        .map(|pair| u8::from_str_radix(pair, 16).expect("a fixture is hexadecimal"))
        .collect()
}

/// Each run of equal blocks as one of them behind their number, which is little-endian.
#[must_use]
pub fn pack(file: &[u8]) -> Vec<u8> {
    let blocks: Vec<&[u8]> = file.chunks(BLOCK_BYTES).collect();
    let runs = blocks.chunk_by(|one, next| one == next);
    runs.flat_map(|run| [&(run.len() as u32).to_le_bytes()[..], run[0]].concat())
        .collect()
}

/// The file that was packed.
///
/// # Panics
/// The bytes are no packed file.
#[must_use]
pub fn unpack(packed: &[u8]) -> Vec<u8> {
    let mut file = Vec::new();
    for run in packed.chunks(COUNT_BYTES + BLOCK_BYTES) {
        let (count, block) = run
            .split_first_chunk::<COUNT_BYTES>()
            .expect("each run has its number of blocks");
        file.extend(block.repeat(u32::from_le_bytes(*count) as usize));
    }
    file
}
