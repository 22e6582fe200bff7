//! Tables of a turn store's database. The names are part of the stored format: changing one requires a new [`FORMAT`].

use super::record;
use crate::database::begin_synced_write;
use crate::error::{Result, StorageError};
use crate::identity::{random_disk_number, DiskIdentity};
use dunespur_turn_replication::turn::TurnHeader;
use redb::{Database, ReadableTable, TableDefinition, TableError};

/// Version of the table layout. A file with another version is refused.
const FORMAT: u64 = 1;

/// Format, disk number and completeness of the file.
pub const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const META_FORMAT: &str = "format";
const META_DISK: &str = "disk";
/// Present once the disk was marked complete.
pub const META_COMPLETE: &str = "whole";
/// Turn id to the encoded [`record::HeaderRecord`].
pub const HEADERS: TableDefinition<&str, &[u8]> = TableDefinition::new("headers");
/// Turn id to the input followed by the output.
pub const BODIES: TableDefinition<&str, &[u8]> = TableDefinition::new("bodies");

/// Reads the identity of the disk. An empty database first gets its tables and a disk number.
pub fn load_or_create_identity(database: &Database) -> Result<DiskIdentity> {
    match stored_identity(database)? {
        Some(identity) => Ok(identity),
        None => create(database),
    }
}

/// Creates the tables of an empty database and draws its disk number.
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
        record: "disk number".to_owned(),
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
