//! The database of a core member: the log, the snapshot, views and votes of [`dunespur_chain_replication`].
//!
//! Once [`CoreDisk::write`] has returned, its writes are on the disk. If a power loss interrupts a call, either all of
//! its writes are on the disk or none.

mod reader;
mod tables;
mod writer;

use crate::database::{begin_synced_write, ReopeningDatabase};
use crate::error::{Result, StorageError};
use crate::identity::{DiskIdentity, OpenedDisk};
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
    /// Opens the file, or creates it with a new identity. An unreadable file is set aside and replaced by a new one:
    /// the new identity is another member, for which the earlier member's votes don't count.
    ///
    /// # Errors
    /// The file can't be created or opened, and its contents are not the cause. The file is left unchanged.
    pub fn open(path: &Path) -> Result<OpenedDisk<CoreDisk, DurableState>> {
        open_or_set_aside(path, || Self::open_file(path))
    }

    fn open_file(path: &Path) -> Result<OpenedDisk<CoreDisk, DurableState>> {
        let fresh = !path.exists();
        if fresh {
            new_file::create(path, tables::create)
                .map_err(StorageError::operation("creating", path))?;
        }
        let database = open_checked(path).map_err(StorageError::operation("opening", path))?;
        let database = ReopeningDatabase::from_file(database, path);
        Self::load(database, fresh).map_err(StorageError::operation("reading", path))
    }

    /// Opens a backend that is not a file; an empty one gets its tables and an identity. `backend` is called for the
    /// first opening and for each reopening after an error.
    ///
    /// # Errors
    /// The backend can't be opened or read.
    pub fn open_backend<B: StorageBackend>(
        backend: impl Fn() -> B + Send + 'static,
    ) -> Result<OpenedDisk<CoreDisk, DurableState>> {
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

    fn load(
        database: ReopeningDatabase,
        fresh: bool,
    ) -> Result<OpenedDisk<CoreDisk, DurableState>> {
        let (number, state) = database.with(|database| {
            let number = reader::disk_number(database)?;
            Ok((number, reader::durable_state(database)?))
        })?;
        let snapshot = state.snapshot.as_ref();
        let snapshot_index = snapshot.map_or(0, |snapshot| snapshot.position.index);
        Ok(OpenedDisk {
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

    /// Applies all writes in one atomic, synced commit.
    ///
    /// # Errors
    /// The commit failed: none of the writes was stored, or the outcome is unknown. The call may be repeated.
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
