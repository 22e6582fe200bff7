//! Tables and records of a voter's file. Names and encodings are part of the stored format: changing one requires a new
//! [`FORMAT`].

use crate::error::{FileOwner, VoterStorageError};
use redb::{ReadableTable, Table, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Version of the stored format. It increases when older programs can no longer read the file.
pub const FORMAT: u32 = 1;

/// Single values by key, encoded in postcard.
pub const VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("head");
/// Log entries by index, encoded in postcard.
pub const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

pub const KEY_OWNER: &str = "owner";
pub const KEY_META: &str = "meta";
pub const KEY_HARD_STATE: &str = "hard";
pub const KEY_SNAPSHOT: &str = "snap";

/// The open table of single values.
pub type ValuesTable<'transaction> = Table<'transaction, &'static str, &'static [u8]>;

/// Checks that the file belongs to `expected` and has a known format. A new file is assigned to `expected`.
pub fn check_or_set_owner(
    values: &mut ValuesTable,
    expected: &FileOwner,
) -> Result<(), VoterStorageError> {
    let stored = get(values, KEY_OWNER, "the file's owner")?;
    let Some((format, fleet, name)): Option<(u32, String, String)> = stored else {
        return put(
            values,
            KEY_OWNER,
            &(FORMAT, &expected.fleet, &expected.name),
        );
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

/// Reads the value under `key`, if present. `record` names it in errors.
pub fn get<T: DeserializeOwned>(
    values: &ValuesTable,
    key: &str,
    record: &'static str,
) -> Result<Option<T>, VoterStorageError> {
    let Some(stored) = values.get(key)? else {
        return Ok(None);
    };
    decode(stored.value(), record).map(Some)
}

/// Writes the value under `key`.
pub fn put(
    values: &mut ValuesTable,
    key: &str,
    value: &impl Serialize,
) -> Result<(), VoterStorageError> {
    values.insert(key, encode(value)?.as_slice())?;
    Ok(())
}

/// Decodes a record. `record` names it in errors.
pub fn decode<T: DeserializeOwned>(
    bytes: &[u8],
    record: &'static str,
) -> Result<T, VoterStorageError> {
    postcard::from_bytes(bytes).map_err(|source| VoterStorageError::Decode { record, source })
}

/// Encodes a record.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, VoterStorageError> {
    postcard::to_stdvec(value).map_err(VoterStorageError::Encode)
}
