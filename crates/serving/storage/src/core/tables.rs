//! Tables and records of a core member's database. Names and encodings are part of the stored format: changing one
//! requires a new [`FORMAT`].

use crate::database::begin_synced_write;
use crate::error::{Result, StorageError};
use crate::identity::random_disk_number;
use dunespur_chain_replication::Position;
use redb::{Database, ReadableTable, Table, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Version of the stored format. It increases when files of the earlier format can no longer be read.
pub const FORMAT: u64 = 2;

/// Single values by key, encoded in postcard.
pub const VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("values");
/// Chunks of the snapshot by number, from 0 up.
pub const SNAPSHOT_CHUNKS: TableDefinition<u32, &[u8]> = TableDefinition::new("snapshot_parts");
/// Log entries by index, encoded in postcard. Entries that the snapshot covers are removed gradually, so some may
/// remain.
pub const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");

pub const KEY_FORMAT: &str = "format";
pub const KEY_DISK: &str = "disk";
pub const KEY_DECIDED: &str = "decided";
pub const KEY_PROMISED: &str = "promised";
pub const KEY_ACCEPTED: &str = "accepted";
pub const KEY_SYNCED_VIEW: &str = "synced_view";
pub const KEY_SNAPSHOT: &str = "snapshot";

/// Position of the snapshot and number of its chunks.
#[derive(Serialize, Deserialize)]
pub struct SnapshotHeader {
    pub position: Position,
    pub chunks: u32,
}

/// Creates the tables of an empty database and draws its disk number.
pub fn create(database: &Database) -> Result<()> {
    let transaction = begin_synced_write(database)?;
    {
        let mut values = transaction.open_table(VALUES)?;
        put(&mut values, KEY_FORMAT, &FORMAT)?;
        put(&mut values, KEY_DISK, &random_disk_number())?;
        transaction.open_table(SNAPSHOT_CHUNKS)?;
        transaction.open_table(ENTRIES)?;
    }
    transaction.commit()?;
    Ok(())
}

/// Reads the value under `key`, if present.
pub fn get<T: DeserializeOwned>(
    values: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &str,
) -> Result<Option<T>> {
    let Some(stored) = values.get(key)? else {
        return Ok(None);
    };
    decode(stored.value(), || format!("value of {key}")).map(Some)
}

/// Writes the value under `key`.
pub fn put<T: Serialize>(values: &mut Table<&str, &[u8]>, key: &str, value: &T) -> Result<()> {
    let bytes = encode(value, || format!("value of {key}"))?;
    values.insert(key, bytes.as_slice())?;
    Ok(())
}

/// Decodes a record; `record` names it in errors.
pub fn decode<T: DeserializeOwned>(bytes: &[u8], record: impl Fn() -> String) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|source| StorageError::Decode {
        record: record(),
        source,
    })
}

/// Encodes a record; `record` names it in errors.
pub fn encode<T: Serialize>(value: &T, record: impl Fn() -> String) -> Result<Vec<u8>> {
    postcard::to_stdvec(value).map_err(|source| StorageError::Encode {
        record: record(),
        source,
    })
}
