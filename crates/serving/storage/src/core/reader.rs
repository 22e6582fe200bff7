//! Loads the contents of a core member's database at the start.

use super::tables::{
    decode, get, SnapshotHeader, ENTRIES, FORMAT, KEY_ACCEPTED, KEY_DECIDED, KEY_DISK, KEY_FORMAT,
    KEY_PROMISED, KEY_SNAPSHOT, KEY_SYNCED_VIEW, SNAPSHOT_CHUNKS, VALUES,
};
use crate::error::{Result, StorageError};
use dunespur_chain_replication::{DurableState, Entry, Snapshot};
use redb::{Database, ReadTransaction};

/// Reads the disk number, after checking the file's format.
pub fn disk_number(database: &Database) -> Result<u64> {
    let values = database.begin_read()?.open_table(VALUES)?;
    let found: Option<u64> = get(&values, KEY_FORMAT)?;
    if found != Some(FORMAT) {
        return Err(StorageError::UnknownFormat {
            found,
            known: FORMAT,
        });
    }
    get(&values, KEY_DISK)?.ok_or_else(|| missing("disk number"))
}

/// Loads the state from which a member continues after a restart.
pub fn durable_state(database: &Database) -> Result<DurableState> {
    let transaction = database.begin_read()?;
    let values = transaction.open_table(VALUES)?;
    let header: Option<SnapshotHeader> = get(&values, KEY_SNAPSHOT)?;
    let snapshot = match header {
        Some(header) => Some(snapshot(&transaction, &header)?),
        None => None,
    };
    let first_index = snapshot
        .as_ref()
        .map_or(0, |snapshot| snapshot.position.index + 1);
    Ok(DurableState {
        decided: get(&values, KEY_DECIDED)?,
        promised: get(&values, KEY_PROMISED)?,
        accepted: get(&values, KEY_ACCEPTED)?,
        synced_view: get(&values, KEY_SYNCED_VIEW)?.unwrap_or_default(),
        snapshot,
        entries: entries(&transaction, first_index)?,
    })
}

fn snapshot(transaction: &ReadTransaction, header: &SnapshotHeader) -> Result<Snapshot> {
    let chunks = transaction.open_table(SNAPSHOT_CHUNKS)?;
    let mut bytes = Vec::new();
    for number in 0..header.chunks {
        let chunk = chunks
            .get(number)?
            .ok_or_else(|| missing(&format!("chunk {number} of the snapshot")))?;
        bytes.extend_from_slice(chunk.value());
    }
    Ok(Snapshot {
        position: header.position,
        bytes: bytes.into(),
    })
}

/// Reads the log entries from `first_index` on.
fn entries(transaction: &ReadTransaction, first_index: u64) -> Result<Vec<Entry>> {
    let mut entries = Vec::new();
    for row in transaction.open_table(ENTRIES)?.range(first_index..)? {
        let (index, entry) = row?;
        let record = || format!("log entry {}", index.value());
        entries.push(decode(entry.value(), record)?);
    }
    Ok(entries)
}

fn missing(record: &str) -> StorageError {
    StorageError::Missing {
        record: record.to_owned(),
    }
}
