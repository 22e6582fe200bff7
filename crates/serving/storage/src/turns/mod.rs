//! The turns of one store machine in one database: headers and bodies in tables of their own, so that a start reads
//! the headers only. One synced commit for many turns.

mod record;
mod tables;

use crate::database::{begin_synced_write, ReopeningDatabase};
use crate::error::{Result, StorageError};
use crate::identity::Opened;
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
    /// Opens the file, or makes it. One that can't be read is set aside: that is a new incarnation of the disk, and the
    /// store fetches from others what it should have.
    ///
    /// # Errors
    /// The file can't be made or opened, for a reason that says nothing of its contents; it stays as it is.
    pub fn open(path: &Path) -> Result<Opened<TurnDisk, Vec<TurnHeader>>> {
        open_or_set_aside(path, || Self::open_file(path))
    }

    fn open_file(path: &Path) -> Result<Opened<TurnDisk, Vec<TurnHeader>>> {
        if !path.exists() {
            let made = new_file::create(path, |database| tables::create(database).map(drop));
            made.map_err(StorageError::operation("making", path))?;
        }
        let database = open_checked(path).map_err(StorageError::operation("opening", path))?;
        Self::load(ReopeningDatabase::of_file(database, path))
            .map_err(StorageError::operation("reading", path))
    }

    /// Opens another backend than a file; `backend` gives access to it, again after each error.
    ///
    /// # Errors
    /// The backend can't be opened or read.
    pub fn open_backend<B: StorageBackend>(
        backend: impl Fn() -> B + Send + 'static,
    ) -> Result<Opened<TurnDisk, Vec<TurnHeader>>> {
        Self::load(ReopeningDatabase::open_backend(backend)?)
    }

    fn load(database: ReopeningDatabase) -> Result<Opened<TurnDisk, Vec<TurnHeader>>> {
        let (identity, headers) = database.with(|database| {
            let identity = tables::identity(database)?;
            Ok((identity, tables::headers(database)?))
        })?;
        Ok(Opened {
            disk: TurnDisk { database },
            identity,
            contents: headers,
        })
    }

    /// Writes turns in one synced commit.
    ///
    /// # Errors
    /// None of them is on the disk, or they are not known to be.
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

    /// Reads one turn.
    ///
    /// # Errors
    /// The database can't be read.
    pub fn get(&self, id: &str) -> Result<Option<Turn>> {
        Ok(self.get_many(std::slice::from_ref(&id))?.pop())
    }

    /// Reads turns in the order of the ids; those that are not there are left out.
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
    /// None of them is deleted, or they are not known to be.
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

    /// Records, synced, that everything that should be on this disk is there.
    ///
    /// # Errors
    /// It is not recorded, or not known to be.
    pub fn mark_complete(&self) -> Result<()> {
        self.database.with(|database| {
            let transaction = begin_synced_write(database)?;
            transaction.open_table(META)?.insert(META_COMPLETE, 1)?;
            transaction.commit()?;
            Ok(())
        })
    }

    /// Performs a job of the store's state machine.
    ///
    /// # Errors
    /// Those of the method that the job stands for.
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
