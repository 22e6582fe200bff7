//! Creation of a database file. A file under its final name is complete, even if power is lost during the creation.

use crate::bounded_file;
use crate::database::builder;
use crate::error::{Result, StorageError};
use crate::recovery::sync_folder;
use redb::Database;
use std::fs;
use std::path::{Path, PathBuf};

/// Creates the file under a temporary name, fills and closes it, and renames it to `path`.
pub fn create(path: &Path, fill: impl FnOnce(&Database) -> Result<()>) -> Result<()> {
    let temporary = temporary_path(path);
    if temporary.exists() {
        fs::remove_file(&temporary).map_err(StorageError::file("removing", &temporary))?;
    }
    let database = bounded_file::create(&builder(), &temporary)?;
    fill(&database)?;
    drop(database);
    fs::rename(&temporary, path).map_err(StorageError::file("renaming", &temporary))?;
    sync_folder(path)
}

fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".unfinished");
    PathBuf::from(name)
}
