//! Making of a database file: what bears the right name is complete, whenever power is lost.

use crate::bounded_file;
use crate::database::builder;
use crate::error::{Result, StorageError};
use crate::recovery::sync_folder;
use redb::Database;
use std::fs;
use std::path::{Path, PathBuf};

/// Makes a file under another name, has it filled and closed, and gives it its name.
pub fn create(path: &Path, fill: impl FnOnce(&Database) -> Result<()>) -> Result<()> {
    let unfinished = unfinished_path(path);
    if unfinished.exists() {
        fs::remove_file(&unfinished).map_err(StorageError::file("removing", &unfinished))?;
    }
    let database = bounded_file::create(&builder(), &unfinished)?;
    fill(&database)?;
    drop(database);
    fs::rename(&unfinished, path).map_err(StorageError::file("renaming", &unfinished))?;
    sync_folder(path)
}

fn unfinished_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".unfinished");
    PathBuf::from(name)
}
