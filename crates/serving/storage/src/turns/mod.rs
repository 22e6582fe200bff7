//! The database of a turn store. Headers and bodies are in separate tables, so that a start reads only the headers.
//! Many turns share one synced commit.

mod record;
mod tables;

use crate::database::{begin_synced_write, ReopeningDatabase};
use crate::error::{Result, StorageError};
use crate::identity::OpenedDisk;
use crate::integrity::open_checked;
use crate::new_file;
use crate::recovery::open_or_set_aside;
use dunespur_turn_replication::node::{DiskOutcome, DiskWork};
use dunespur_turn_replication::turn::{Turn, TurnHeader};
use redb::StorageBackend;
use std::path::Path;
use tables::{BODIES, HEADERS, META, META_COMPLETE};

/// The open database of a turn store.
#[derive(Debug)]
pub struct TurnDisk {
    database: ReopeningDatabase,
}

impl TurnDisk {
    /// Opens the file, or creates it. An unreadable file is set aside: the disk gets a new identity, and the store
    /// fetches its turns from other stores.
    ///
    /// # Errors
    /// The file can't be created or opened, and its contents are not the cause. The file is left unchanged.
    pub fn open(path: &Path) -> Result<OpenedDisk<TurnDisk, Vec<TurnHeader>>> {
        open_or_set_aside(path, || Self::open_file(path))
    }

    fn open_file(path: &Path) -> Result<OpenedDisk<TurnDisk, Vec<TurnHeader>>> {
        if !path.exists() {
            let created = new_file::create(path, |database| tables::create(database).map(drop));
            created.map_err(StorageError::operation("creating", path))?;
        }
        let database = open_checked(path).map_err(StorageError::operation("opening", path))?;
        Self::load(ReopeningDatabase::from_file(database, path))
            .map_err(StorageError::operation("reading", path))
    }

    /// Opens a backend that is not a file. `backend` is called for the first opening and for each reopening after an
    /// error.
    ///
    /// # Errors
    /// The backend can't be opened or read.
    pub fn open_backend<B: StorageBackend>(
        backend: impl Fn() -> B + Send + 'static,
    ) -> Result<OpenedDisk<TurnDisk, Vec<TurnHeader>>> {
        Self::load(ReopeningDatabase::open_backend(backend)?)
    }

    fn load(database: ReopeningDatabase) -> Result<OpenedDisk<TurnDisk, Vec<TurnHeader>>> {
        let (identity, headers) = database.with(|database| {
            let identity = tables::load_or_create_identity(database)?;
            Ok((identity, tables::headers(database)?))
        })?;
        Ok(OpenedDisk {
            disk: TurnDisk { database },
            identity,
            contents: headers,
        })
    }

    /// Writes turns in one synced commit.
    ///
    /// # Errors
    /// The commit failed: none of the turns was stored, or the outcome is unknown.
    pub fn put(&self, turns: &[Turn]) -> Result<()> {
        self.database.with(|database| {
            let transaction = begin_synced_write(database)?;
            {
                let mut headers = transaction.open_table(HEADERS)?;
                let mut bodies = transaction.open_table(BODIES)?;
                for turn in turns {
                    let header = record::encode_header(turn)?;
                    headers.insert(turn.id.as_str(), header.as_slice())?;
                    let length = turn.body_bytes() as u32;
                    let mut body = bodies.insert_reserve(turn.id.as_str(), length)?;
                    let (input, output) = body.as_mut().split_at_mut(turn.input.len());
                    input.copy_from_slice(&turn.input);
                    output.copy_from_slice(&turn.output);
                }
            }
            transaction.commit()?;
            Ok(())
        })
    }

    /// Reads the turn with the given id, if it is stored.
    ///
    /// # Errors
    /// The database can't be read.
    pub fn get(&self, id: &str) -> Result<Option<Turn>> {
        Ok(self.get_many(std::slice::from_ref(&id))?.pop())
    }

    /// Reads turns in the order of `ids`. Ids without a stored turn are skipped.
    ///
    /// # Errors
    /// The database can't be read.
    pub fn get_many(&self, ids: &[impl AsRef<str>]) -> Result<Vec<Turn>> {
        self.database.with(|database| {
            let transaction = database.begin_read()?;
            let headers = transaction.open_table(HEADERS)?;
            let bodies = transaction.open_table(BODIES)?;
            let mut turns = Vec::with_capacity(ids.len());
            for id in ids.iter().map(AsRef::as_ref) {
                let (Some(header), Some(body)) = (headers.get(id)?, bodies.get(id)?) else {
                    continue;
                };
                let header = record::decode_header(header.value())?;
                turns.push(record::turn(id, &header, body.value())?);
            }
            Ok(turns)
        })
    }

    /// Deletes turns in one synced commit.
    ///
    /// # Errors
    /// The commit failed: none of the turns was deleted, or the outcome is unknown.
    pub fn remove(&self, ids: &[impl AsRef<str>]) -> Result<()> {
        self.database.with(|database| {
            let transaction = begin_synced_write(database)?;
            {
                let mut headers = transaction.open_table(HEADERS)?;
                let mut bodies = transaction.open_table(BODIES)?;
                for id in ids.iter().map(AsRef::as_ref) {
                    headers.remove(id)?;
                    bodies.remove(id)?;
                }
            }
            transaction.commit()?;
            Ok(())
        })
    }

    /// Records in a synced commit that this disk holds all the turns that it should hold.
    ///
    /// # Errors
    /// The commit failed: the mark was not recorded, or the outcome is unknown.
    pub fn mark_complete(&self) -> Result<()> {
        self.database.with(|database| {
            let transaction = begin_synced_write(database)?;
            transaction.open_table(META)?.insert(META_COMPLETE, 1)?;
            transaction.commit()?;
            Ok(())
        })
    }

    /// Performs disk work that the store's state machine requests.
    ///
    /// # Errors
    /// Those of [`put`](Self::put), [`get_many`](Self::get_many), [`remove`](Self::remove) or
    /// [`mark_complete`](Self::mark_complete).
    pub fn perform(&self, work: &DiskWork) -> Result<DiskOutcome> {
        match work {
            DiskWork::Put(turns) => self.put(turns)?,
            DiskWork::Get(ids) => return Ok(DiskOutcome::Turns(self.get_many(ids)?)),
            DiskWork::Remove(ids) => self.remove(ids)?,
            DiskWork::MarkComplete => self.mark_complete()?,
        }
        Ok(DiskOutcome::Done)
    }
}
