//! The disk of a core member: the log, the snapshot, views and votes of [`dunespur_chain_replication`], in one database.
//!
//! What [`CoreDisk::write`] has returned from is on the disk; of a call that a loss of power interrupted, either all or
//! nothing is there.

mod reader;
mod tables;
mod writer;

use crate::database::{begin_synced_write, ReopeningDatabase};
use crate::error::{Result, StorageError};
use crate::identity::{DiskIdentity, Opened};
use crate::integrity::open_checked;
use crate::new_file;
use crate::recovery::open_or_set_aside;
use dunespur_chain_replication::{DurableState, Write};
use redb::StorageBackend;
use std::cell::Cell;
use std::path::Path;

/// The open database of a core member.
#[derive(Debug)]
pub struct CoreDisk {
    database: ReopeningDatabase,
    /// Index of the last entry that the newest snapshot covers.
    snapshot_index: Cell<u64>,
}

impl CoreDisk {
    /// Opens the file, or makes it with a new identity if there is none. One that can't be read is set aside, and
    /// counts as none: the member that wrote it is no more, and its votes don't count.
    ///
    /// # Errors
    /// The file can't be made or opened, for a reason that says nothing of its contents; it stays as it is.
    pub fn open(path: &Path) -> Result<Opened<CoreDisk, DurableState>> {
        open_or_set_aside(path, || Self::open_file(path))
    }

    fn open_file(path: &Path) -> Result<Opened<CoreDisk, DurableState>> {
        let fresh = !path.exists();
        if fresh {
            new_file::create(path, tables::create)
                .map_err(StorageError::operation("making", path))?;
        }
        let database = open_checked(path).map_err(StorageError::operation("opening", path))?;
        let database = ReopeningDatabase::of_file(database, path);
        Self::load(database, fresh).map_err(StorageError::operation("reading", path))
    }

    /// Opens another backend than a file; an empty one is given an identity. `backend` gives access to it, again after
    /// each error.
    ///
    /// # Errors
    /// The backend can't be opened or read.
    pub fn open_backend<B: StorageBackend>(
        backend: impl Fn() -> B + Send + 'static,
    ) -> Result<Opened<CoreDisk, DurableState>> {
        let database = ReopeningDatabase::open_backend(backend)?;
        let fresh = database.with(|database| {
            let empty = database.begin_read()?.list_tables()?.next().is_none();
            if empty {
                tables::create(database)?;
            }
            Ok(empty)
        })?;
        Self::load(database, fresh)
    }

    fn load(database: ReopeningDatabase, fresh: bool) -> Result<Opened<CoreDisk, DurableState>> {
        let (number, state) = database.with(|database| {
            let number = reader::disk_number(database)?;
            Ok((number, reader::durable_state(database)?))
        })?;
        let snapshot = state.snapshot.as_ref();
        let snapshot_index = snapshot.map_or(0, |snapshot| snapshot.position.index);
        Ok(Opened {
            disk: CoreDisk {
                database,
                snapshot_index: Cell::new(snapshot_index),
            },
            identity: DiskIdentity {
                disk: number,
                fresh,
            },
            contents: state,
        })
    }

    /// Brings all writes to the disk with one sync, all or none of them.
    ///
    /// # Errors
    /// Nothing of it is on the disk, or it is not known to be. The same call may be made again.
    pub fn write(&self, writes: &[Write]) -> Result<()> {
        self.database.with(|database| {
            let transaction = begin_synced_write(database)?;
            let snapshot_index = writer::apply(&transaction, writes, self.snapshot_index.get())?;
            transaction.commit()?;
            self.snapshot_index.set(snapshot_index);
            Ok(())
        })
    }
}
