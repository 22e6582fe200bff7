//! The open file: what it holds at the start, and batches of writes.

use crate::error::{FileOwner, OpenError, VoterStorageError};
use crate::records::{
    check_owner, decode, encode, get, put, HEAD, KEY_HARD_STATE, KEY_META, KEY_SNAPSHOT, LOG,
};
use dunespur_singleton_roles::raft_types::Entry;
use dunespur_singleton_roles::records::{DiskState, WriteBatch};
use redb::{Database, Durability, ReadableTable, WriteTransaction};
use std::path::Path;

/// A voter's open file.
#[derive(Debug)]
pub struct VoterStorage {
    database: Database,
}

/// A file that was opened, and what was found in it.
#[derive(Debug)]
pub struct OpenedVoter {
    /// For writing.
    pub storage: VoterStorage,
    /// What the voter continues from; empty if the file is new.
    pub saved: DiskState,
}

impl VoterStorage {
    /// Opens or makes the file of the voter `name` of `fleet`.
    ///
    /// # Errors
    /// The file is in use, damaged, of another owner or of a newer format, or can't be made.
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

    /// Writes one batch; when it returns without an error, the batch is synced.
    ///
    /// # Errors
    /// Nothing of the batch is on the disk, or it is not known to be.
    pub fn write(&self, batch: &WriteBatch) -> Result<(), VoterStorageError> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(Durability::Immediate);
        apply(&transaction, batch)?;
        transaction.commit()?;
        Ok(())
    }
}

fn load(transaction: &WriteTransaction, owner: &FileOwner) -> Result<DiskState, VoterStorageError> {
    let mut head = transaction.open_table(HEAD)?;
    check_owner(&mut head, owner)?;
    Ok(DiskState {
        meta: get(&head, KEY_META, "its head")?.unwrap_or_default(),
        hard_state: get(&head, KEY_HARD_STATE, "its term and vote")?.unwrap_or_default(),
        snapshot: get(&head, KEY_SNAPSHOT, "its snapshot")?.unwrap_or_default(),
        entries: load_entries(transaction)?,
    })
}

fn load_entries(transaction: &WriteTransaction) -> Result<Vec<Entry>, VoterStorageError> {
    let mut entries = Vec::new();
    for row in transaction.open_table(LOG)?.iter()? {
        let (index, bytes) = row?;
        let entry: Entry = decode(bytes.value(), "an entry of its log")?;
        if entry.index != index.value() {
            return Err(VoterStorageError::MisplacedEntry {
                entry: entry.index,
                index: index.value(),
            });
        }
        entries.push(entry);
    }
    Ok(entries)
}

/// Does to the tables what [`DiskState::apply`] does in memory.
fn apply(transaction: &WriteTransaction, batch: &WriteBatch) -> Result<(), VoterStorageError> {
    let mut head = transaction.open_table(HEAD)?;
    let mut log = transaction.open_table(LOG)?;
    if batch.wipe {
        for key in [KEY_META, KEY_HARD_STATE, KEY_SNAPSHOT] {
            head.remove(key)?;
        }
        log.retain(|_, _| false)?;
    }
    if let Some(meta) = &batch.meta {
        put(&mut head, KEY_META, meta)?;
    }
    if let Some(hard_state) = &batch.hard_state {
        put(&mut head, KEY_HARD_STATE, hard_state)?;
    }
    if let Some(snapshot) = &batch.snapshot {
        put(&mut head, KEY_SNAPSHOT, snapshot)?;
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
