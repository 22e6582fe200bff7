//! Opening of a file that may be damaged.

use crate::bounded_file;
use crate::database::{begin_synced_write, builder};
use crate::error::Result;
use redb::{Database, TableDefinition};
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;

/// An empty table: something to commit.
const CHECKED: TableDefinition<(), ()> = TableDefinition::new("checked");

/// Opens an existing file and checks all that is in it. The library does so by itself only after an end of the process
/// without closing, and falls back to the commit before then, as after a loss of power within a commit. A file that
/// was closed has no commit under way: what doesn't fit there is damage. Some damage shows only with the first commit,
/// so there is one.
pub fn open_checked(path: &Path) -> Result<Database> {
    let repaired = Rc::new(Cell::new(false));
    let on_repair = repaired.clone();
    let mut observing_builder = builder();
    observing_builder.set_repair_callback(move |_| on_repair.set(true));
    let mut database = bounded_file::open(&observing_builder, path)?;
    if !repaired.get() && !database.check_integrity()? {
        let reason = "checksums don't fit".to_owned();
        return Err(redb::StorageError::Corrupted(reason).into());
    }
    match commit_nothing(&database) {
        Ok(()) => Ok(database),
        Err(error) if error.is_unreadable() => Err(error),
        Err(error) => {
            log::warn!("{} takes no write: {}", path.display(), error.with_causes());
            drop(database);
            Ok(bounded_file::open(&builder(), path)?)
        }
    }
}

fn commit_nothing(database: &Database) -> Result<()> {
    let transaction = begin_synced_write(database)?;
    transaction.open_table(CHECKED)?.insert((), ())?;
    transaction.commit()?;
    Ok(())
}
