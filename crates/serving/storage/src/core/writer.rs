//! Applies a core member's writes to the tables of its database.

use super::tables::{
    encode, put, SnapshotHeader, ENTRIES, KEY_ACCEPTED, KEY_DECIDED, KEY_PROMISED, KEY_SNAPSHOT,
    KEY_SYNCED_VIEW, SNAPSHOT_CHUNKS, VALUES,
};
use crate::error::Result;
use dunespur_chain_replication::{Entry, Snapshot, Write};
use redb::{ReadableTable, Table, WriteTransaction};

/// Size of a snapshot chunk. The library stores each value in contiguous space, so that one large value would make the
/// file grow to many times its size. It rounds that space up to a power of two: a chunk with the library's overhead
/// fills 16 KiB, while a chunk of 16 KiB would take 32 KiB.
const CHUNK_BYTES: usize = (16 << 10) - 128;
/// Entries covered by the snapshot that a commit removes for each entry that it adds. Removing all of them in one
/// commit made the file grow to ten times its contents, as pages become free only after the commit.
const REMOVED_PER_ENTRY: usize = 4;
/// Entries covered by the snapshot that every commit removes, even if it adds none.
const REMOVED_PER_WRITE: usize = 8;

/// Applies the writes to the tables, as [`DurableState::apply`](dunespur_chain_replication::DurableState::apply) does
/// in memory. Returns the index of the last entry that the snapshot covers.
pub fn apply(transaction: &WriteTransaction, writes: &[Write], snapshot_index: u64) -> Result<u64> {
    let mut values = transaction.open_table(VALUES)?;
    let mut entries = transaction.open_table(ENTRIES)?;
    let mut snapshot_index = snapshot_index;
    let mut added = 0;
    for write in writes {
        match write {
            Write::Promise { proposal_number } => put(&mut values, KEY_PROMISED, proposal_number)?,
            Write::Accept { accepted } => put(&mut values, KEY_ACCEPTED, accepted)?,
            Write::InstallView { decided } => {
                put(&mut values, KEY_DECIDED, decided)?;
                values.remove(KEY_PROMISED)?;
                values.remove(KEY_ACCEPTED)?;
            }
            Write::Synced { view } => put(&mut values, KEY_SYNCED_VIEW, view)?,
            Write::Entry { entry } => {
                insert_entry(&mut entries, entry)?;
                added += 1;
            }
            Write::Truncate { index } => entries.retain_in(index + 1.., |_, _| false)?,
            Write::Snapshot { snapshot } => {
                let mut chunks = transaction.open_table(SNAPSHOT_CHUNKS)?;
                write_snapshot(&mut values, &mut chunks, snapshot)?;
                snapshot_index = snapshot.position.index;
            }
        }
    }
    let max_removed = REMOVED_PER_WRITE + REMOVED_PER_ENTRY * added;
    remove_covered(&mut entries, snapshot_index, max_removed)?;
    Ok(snapshot_index)
}

fn insert_entry(entries: &mut Table<u64, &[u8]>, entry: &Entry) -> Result<()> {
    let bytes = encode(entry, || format!("log entry {}", entry.index()))?;
    entries.insert(entry.index(), bytes.as_slice())?;
    Ok(())
}

fn write_snapshot(
    values: &mut Table<&str, &[u8]>,
    chunks: &mut Table<u32, &[u8]>,
    snapshot: &Snapshot,
) -> Result<()> {
    let mut count = 0;
    for chunk in snapshot.bytes.bytes().chunks(CHUNK_BYTES) {
        chunks.insert(count, chunk)?;
        count += 1;
    }
    chunks.retain_in(count.., |_, _| false)?;
    let header = SnapshotHeader {
        position: snapshot.position,
        chunks: count,
    };
    put(values, KEY_SNAPSHOT, &header)
}

/// Removes at most `max_removed` of the oldest entries that the snapshot covers.
fn remove_covered(
    entries: &mut Table<u64, &[u8]>,
    snapshot_index: u64,
    max_removed: usize,
) -> Result<()> {
    for _ in 0..max_removed {
        let covered = entries
            .first()?
            .is_some_and(|(index, _)| index.value() <= snapshot_index);
        if !covered {
            return Ok(());
        }
        entries.pop_first()?;
    }
    Ok(())
}
