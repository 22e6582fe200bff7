//! Temporary folders, fixture files and dumps of tables.

use redb::{Database, Key, ReadableTable, TableDefinition, Value};
use std::fmt::Write as _;
use std::fs;
use std::path::{Path, PathBuf};

/// With this variable in the environment the fixtures are written instead of read (with `--test-threads=1`).
pub const WRITE_FIXTURES: &str = "WRITE_FIXTURES";
/// Length of the blocks by which a packed fixture has its file.
const BLOCK_BYTES: usize = 512;
/// Values that are longer are shown by their beginning, length and checksum.
const MAX_SHOWN_BYTES: usize = 400;

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// Compares a text with its fixture.
pub fn assert_is_fixture(name: &str, text: &str) {
    if std::env::var_os(WRITE_FIXTURES).is_some() {
        fs::write(fixture_path(name), text).expect("the fixture is written");
    }
    let expected = fs::read_to_string(fixture_path(name)).expect("the fixture is there");
    assert_eq!(text, expected, "stored bytes differ from those of {name}");
}

/// Keeps a file as a fixture, if fixtures are to be written.
pub fn keep_as_fixture(name: &str, file: &Path) {
    if std::env::var_os(WRITE_FIXTURES).is_some() {
        let bytes = fs::read(file).expect("the file is read");
        fs::write(fixture_path(name), packed(&bytes)).expect("the fixture is written");
    }
}

/// Unpacks a fixture into a file that can be opened.
pub fn copy_fixture(name: &str, to: &Path) {
    let packed = fs::read(fixture_path(name)).expect("the fixture is there");
    fs::write(to, unpacked(&packed)).expect("a copy of the fixture");
}

/// Each run of equal blocks as one of them behind their number, which is little-endian.
fn packed(file: &[u8]) -> Vec<u8> {
    let blocks: Vec<&[u8]> = file.chunks(BLOCK_BYTES).collect();
    let runs = blocks.chunk_by(|one, next| one == next);
    runs.flat_map(|run| [&(run.len() as u32).to_le_bytes()[..], run[0]].concat())
        .collect()
}

fn unpacked(packed: &[u8]) -> Vec<u8> {
    let mut file = Vec::new();
    for run in packed.chunks(4 + BLOCK_BYTES) {
        let (count, block) = run
            .split_first_chunk::<4>()
            .expect("a run's number of blocks");
        file.extend(block.repeat(u32::from_le_bytes(*count) as usize));
    }
    file
}

/// Rows of a table, a line each.
pub fn dump<K: Key + 'static, V: Value + 'static>(
    database: &Database,
    table: TableDefinition<K, V>,
    show: impl Fn(K::SelfType<'_>, V::SelfType<'_>) -> (String, String),
) -> String {
    let mut text = format!("{table}\n");
    let transaction = database.begin_read().expect("a transaction");
    for row in transaction
        .open_table(table)
        .expect("the table")
        .iter()
        .expect("its rows")
    {
        let (key, value) = row.expect("a row");
        let (key, value) = show(key.value(), value.value());
        writeln!(text, "  {key}: {value}").expect("a text grows");
    }
    text
}

/// Bytes in hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    let shown = &bytes[..bytes.len().min(MAX_SHOWN_BYTES)];
    let mut text: String = shown.iter().map(|byte| format!("{byte:02x}")).collect();
    if shown.len() < bytes.len() {
        write!(
            text,
            "... {} bytes, crc32 {:08x}",
            bytes.len(),
            crc32fast::hash(bytes)
        )
        .expect("a text grows");
    }
    text
}
