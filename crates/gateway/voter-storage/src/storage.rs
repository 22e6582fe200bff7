//! Opening a voter's file, loading its contents and writing batches.

use crate::error::{FileOwner, OpenError, VoterStorageError};
use crate::records::{
    check_or_set_owner, decode, encode, get, put, KEY_HARD_STATE, KEY_META, KEY_SNAPSHOT, LOG,
    VALUES,
};
use dunespur_singleton_roles::raft_types::Entry;
use dunespur_singleton_roles::records::{DiskState, WriteBatch};
use redb::{Database, Durability, ReadableTable, WriteTransaction};
use std::path::Path;

/// The open database file of a voter.
#[derive(Debug)]
pub struct VoterStorage {
    database: Database,
}

/// An opened file and its contents.
#[derive(Debug)]
pub struct OpenedVoter {
    /// The open file.
    pub storage: VoterStorage,
    /// State from which the voter continues; empty if the file is new.
    pub saved: DiskState,
}

impl VoterStorage {
    /// Opens or creates the file of the voter `name` in `fleet`.
    ///
    /// # Errors
    /// The file is in use or corrupt, belongs to another voter, has a newer format or can't be created.
    pub fn open(path: &Path, fleet: &str, name: &str) -> Result<OpenedVoter, OpenError> {
        let owner = FileOwner {
            fleet: fleet.to_owned(),
            name: name.to_owned(),
        };
        Self::open_owned(path, &owner).map_err(|cause| OpenError {
            path: path.to_owned(),
            cause,
        })
    }

    fn open_owned(path: &Path, owner: &FileOwner) -> Result<OpenedVoter, VoterStorageError> {
        let parent = path.parent();
        if let Some(folder) = parent.filter(|folder| !folder.as_os_str().is_empty()) {
            std::fs::create_dir_all(folder).map_err(VoterStorageError::Folder)?;
        }
        let database = Database::create(path)?;
        let transaction = database.begin_write()?;
        let saved = load(&transaction, owner)?;
        transaction.commit()?;
        Ok(OpenedVoter {
            storage: VoterStorage { database },
            saved,
        })
    }

    /// Writes one batch atomically and syncs it before returning.
    ///
    /// # Errors
    /// The commit failed: nothing of the batch was stored, or the outcome is unknown.
    pub fn write(&self, batch: &WriteBatch) -> Result<(), VoterStorageError> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(Durability::Immediate);
        apply(&transaction, batch)?;
        transaction.commit()?;
        Ok(())
    }
}

fn load(transaction: &WriteTransaction, owner: &FileOwner) -> Result<DiskState, VoterStorageError> {
    let mut values = transaction.open_table(VALUES)?;
    check_or_set_owner(&mut values, owner)?;
    Ok(DiskState {
        meta: get(&values, KEY_META, "the voter's metadata")?.unwrap_or_default(),
        hard_state: get(&values, KEY_HARD_STATE, "the term and vote")?.unwrap_or_default(),
        snapshot: get(&values, KEY_SNAPSHOT, "the snapshot")?.unwrap_or_default(),
        entries: load_entries(transaction)?,
    })
}

fn load_entries(transaction: &WriteTransaction) -> Result<Vec<Entry>, VoterStorageError> {
    let mut entries = Vec::new();
    for row in transaction.open_table(LOG)?.iter()? {
        let (index, bytes) = row?;
        let entry: Entry = decode(bytes.value(), "a log entry")?;
        if entry.index != index.value() {
            return Err(VoterStorageError::MisplacedEntry {
                recorded_index: entry.index,
                stored_index: index.value(),
            });
        }
        entries.push(entry);
    }
    Ok(entries)
}

/// Applies a batch to the tables, as [`DiskState::apply`] does in memory.
fn apply(transaction: &WriteTransaction, batch: &WriteBatch) -> Result<(), VoterStorageError> {
    let mut values = transaction.open_table(VALUES)?;
    let mut log = transaction.open_table(LOG)?;
    if batch.wipe {
        for key in [KEY_META, KEY_HARD_STATE, KEY_SNAPSHOT] {
            values.remove(key)?;
        }
        log.retain(|_, _| false)?;
    }
    if let Some(meta) = &batch.meta {
        put(&mut values, KEY_META, meta)?;
    }
    if let Some(hard_state) = &batch.hard_state {
        put(&mut values, KEY_HARD_STATE, hard_state)?;
    }
    if let Some(snapshot) = &batch.snapshot {
        put(&mut values, KEY_SNAPSHOT, snapshot)?;
        log.retain_in(..=snapshot.index, |_, _| false)?;
    }
    if let Some(first) = batch.entries.first() {
        log.retain_in(first.index.., |_, _| false)?;
    }
    for entry in &batch.entries {
        log.insert(entry.index, encode(entry)?.as_slice())?;
    }
    Ok(())
}
