//! Writes of a core member as changes of its tables.

use super::tables::{
    encode, put, SnapshotHeader, ENTRIES, KEY_ACCEPTED, KEY_DECIDED, KEY_PROMISED, KEY_SNAPSHOT,
    KEY_SYNCED_VIEW, SNAPSHOT_CHUNKS, VALUES,
};
use crate::error::Result;
use dunespur_chain_replication::{Entry, Snapshot, Write};
use redb::{ReadableTable, Table, WriteTransaction};

/// Bytes of one chunk of the snapshot. The library looks for contiguous space for each value: one large value makes the
/// file grow to many times its size. It rounds the space up to a power of two: a chunk and what the library stores with
/// it fill 16 KiB, one of 16 KiB would take 32.
const CHUNK_BYTES: usize = (16 << 10) - 128;
/// Entries that are removed with one write, for each that it adds, once the snapshot covers them.
/// All removed at once made the file grow to ten times its contents, as pages are free again only after the commit.
const REMOVED_PER_ENTRY: usize = 4;
/// Entries that are removed with any write.
const REMOVED_PER_WRITE: usize = 8;

/// Does to the tables what [`DurableState::apply`](dunespur_chain_replication::DurableState::apply) does in memory;
/// gives the index of the last entry that the snapshot covers.
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
    let bytes = encode(entry, || format!("entry {}", entry.index()))?;
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

/// Removes the oldest entries that the snapshot covers, `max_removed` at most.
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
