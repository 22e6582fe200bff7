//! Tables and records of a voter's file. Names and encodings are those of stored data: they stay as they are, or
//! [`FORMAT`] changes.

use crate::error::{FileOwner, VoterStorageError};
use redb::{ReadableTable, Table, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Rises when older programs can't read the file any more.
pub const FORMAT: u32 = 1;

/// Single values, each in postcard under its own key.
pub const HEAD: TableDefinition<&str, &[u8]> = TableDefinition::new("head");
/// The log's entries by index, in postcard.
pub const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

pub const KEY_OWNER: &str = "owner";
pub const KEY_META: &str = "meta";
pub const KEY_HARD_STATE: &str = "hard";
pub const KEY_SNAPSHOT: &str = "snap";

pub type HeadTable<'transaction> = Table<'transaction, &'static str, &'static [u8]>;

/// Makes a new file that of `expected`; refuses one of somebody else or of a newer format.
pub fn check_owner(head: &mut HeadTable, expected: &FileOwner) -> Result<(), VoterStorageError> {
    let stored = get(head, KEY_OWNER, "its owner")?;
    let Some((format, fleet, name)): Option<(u32, String, String)> = stored else {
        return put(head, KEY_OWNER, &(FORMAT, &expected.fleet, &expected.name));
    };
    if format > FORMAT {
        return Err(VoterStorageError::NewerFormat {
            found: format,
            known: FORMAT,
        });
    }
    let found = FileOwner { fleet, name };
    if found != *expected {
        let expected = expected.clone();
        return Err(VoterStorageError::OtherOwner { found, expected });
    }
    Ok(())
}

/// Reads a single value, if it is there. `record` names it in errors.
pub fn get<T: DeserializeOwned>(
    head: &HeadTable,
    key: &str,
    record: &'static str,
) -> Result<Option<T>, VoterStorageError> {
    let Some(stored) = head.get(key)? else {
        return Ok(None);
    };
    decode(stored.value(), record).map(Some)
}

/// Writes a single value.
pub fn put(
    head: &mut HeadTable,
    key: &str,
    value: &impl Serialize,
) -> Result<(), VoterStorageError> {
    head.insert(key, encode(value)?.as_slice())?;
    Ok(())
}

/// Reads a record. `record` names it in errors.
pub fn decode<T: DeserializeOwned>(
    bytes: &[u8],
    record: &'static str,
) -> Result<T, VoterStorageError> {
    postcard::from_bytes(bytes).map_err(|source| VoterStorageError::Decode { record, source })
}

/// The bytes of a record.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, VoterStorageError> {
    postcard::to_stdvec(value).map_err(VoterStorageError::Encode)
}
