//! Opening of a database file with an integrity check.

use crate::bounded_file;
use crate::database::{begin_synced_write, builder};
use crate::error::Result;
use redb::{Database, TableDefinition};
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;

/// A table for the test commit.
const TEST_COMMITS: TableDefinition<(), ()> = TableDefinition::new("checked");

/// Opens an existing file and verifies all its checksums. The library verifies them by itself only if the file was not
/// closed, and then falls back to the last valid commit, as a power loss may have interrupted the newest one. In a
/// closed file no commit was in progress, so a wrong checksum is corruption. Some corruption shows only at the first
/// commit, so a test commit is made.
pub fn open_checked(path: &Path) -> Result<Database> {
    let repaired = Rc::new(Cell::new(false));
    let on_repair = repaired.clone();
    let mut observing_builder = builder();
    observing_builder.set_repair_callback(move |_| on_repair.set(true));
    let mut database = bounded_file::open(&observing_builder, path)?;
    if !repaired.get() && !database.check_integrity()? {
        let reason = "checksum mismatch".to_owned();
        return Err(redb::StorageError::Corrupted(reason).into());
    }
    match make_test_commit(&database) {
        Ok(()) => Ok(database),
        Err(error) if error.is_unreadable() => Err(error),
        Err(error) => {
            log::warn!(
                "{} was opened but can't be written at present: {}",
                path.display(),
                error.with_causes()
            );
            drop(database);
            Ok(bounded_file::open(&builder(), path)?)
        }
    }
}

fn make_test_commit(database: &Database) -> Result<()> {
    let transaction = begin_synced_write(database)?;
    transaction.open_table(TEST_COMMITS)?.insert((), ())?;
    transaction.commit()?;
    Ok(())
}
