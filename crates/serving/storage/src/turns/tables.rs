//! Tables of a turn store's database. Names are those of stored data: they stay as they are, or [`FORMAT`] changes.

use super::record;
use crate::database::begin_synced_write;
use crate::error::{Result, StorageError};
use crate::identity::{random_disk_number, DiskIdentity};
use dunespur_turn_replication::turn::TurnHeader;
use redb::{Database, ReadableTable, TableDefinition, TableError};

/// Layout of the tables; a file of another is refused.
const FORMAT: u64 = 1;

/// What the file says of itself.
pub const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const META_FORMAT: &str = "format";
const META_DISK: &str = "disk";
/// There once the disk was marked complete.
pub const META_COMPLETE: &str = "whole";
/// Id to [`record::HeaderRecord`], encoded.
pub const HEADERS: TableDefinition<&str, &[u8]> = TableDefinition::new("headers");
/// Id to input and output, one behind the other.
pub const BODIES: TableDefinition<&str, &[u8]> = TableDefinition::new("bodies");

/// Reads which disk it is; a new one is given its tables and its number.
pub fn identity(database: &Database) -> Result<DiskIdentity> {
    match stored_identity(database)? {
        Some(identity) => Ok(identity),
        None => create(database),
    }
}

/// Gives a new file its tables and its identity.
pub fn create(database: &Database) -> Result<DiskIdentity> {
    let disk = random_disk_number();
    let transaction = begin_synced_write(database)?;
    transaction.open_table(HEADERS)?;
    transaction.open_table(BODIES)?;
    {
        let mut meta = transaction.open_table(META)?;
        meta.insert(META_FORMAT, FORMAT)?;
        meta.insert(META_DISK, disk)?;
    }
    transaction.commit()?;
    Ok(DiskIdentity { disk, fresh: true })
}

fn stored_identity(database: &Database) -> Result<Option<DiskIdentity>> {
    let meta = match database.begin_read()?.open_table(META) {
        Ok(meta) => meta,
        Err(TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let number =
        |key: &str| -> Result<Option<u64>> { Ok(meta.get(key)?.map(|value| value.value())) };
    match number(META_FORMAT)? {
        Some(FORMAT) => {}
        found => {
            return Err(StorageError::UnknownFormat {
                found,
                known: FORMAT,
            })
        }
    }
    let disk = number(META_DISK)?.ok_or_else(|| StorageError::Missing {
        record: "identity in the file of turns".to_owned(),
    })?;
    let fresh = number(META_COMPLETE)?.is_none();
    Ok(Some(DiskIdentity { disk, fresh }))
}

/// Reads the headers of all turns.
pub fn headers(database: &Database) -> Result<Vec<TurnHeader>> {
    let headers = database.begin_read()?.open_table(HEADERS)?;
    let mut entries = Vec::new();
    for row in headers.iter()? {
        let (id, header) = row?;
        let header = record::decode_header(header.value())?;
        entries.push(record::turn_header(id.value(), &header));
    }
    Ok(entries)
}
