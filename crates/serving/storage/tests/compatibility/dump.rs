//! Text dumps of database tables.

use dunespur_test_fixtures::hex;
use redb::{Database, Key, ReadableTable, TableDefinition, Value};
use std::fmt::Write as _;

/// Longer values are dumped as their first bytes, length and checksum.
const MAX_SHOWN_BYTES: usize = 400;

/// Dumps a table, one line for each row.
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
        .expect("the rows")
    {
        let (key, value) = row.expect("a row");
        let (key, value) = show(key.value(), value.value());
        writeln!(text, "  {key}: {value}").expect("a text grows");
    }
    text
}

/// Formats a value in hexadecimal.
pub fn format_value(bytes: &[u8]) -> String {
    if bytes.len() <= MAX_SHOWN_BYTES {
        return hex(bytes);
    }
    let beginning = hex(&bytes[..MAX_SHOWN_BYTES]);
    let checksum = crc32fast::hash(bytes);
    format!("{beginning}... {} bytes, crc32 {checksum:08x}", bytes.len())
}
