//! Files that can't be read: they are set aside, so that the process starts as if its disk were empty.
//!
//! The library panics on some broken files, where it gives an error on others. Everything that is done with a file
//! before it is known to be sound passes through `open_or_set_aside`, which takes both for the same. That rests on
//! unwinding.

use crate::error::{Result, StorageError};
use std::any::Any;
use std::fs::{self, File, OpenOptions};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

#[cfg(panic = "abort")]
compile_error!("panics of the library on broken files are caught: build with panic = \"unwind\"");

/// Bytes that remain of a file that was set aside. Against a disk that a second complete file would fill.
pub const MAX_SET_ASIDE_BYTES: u64 = 4 << 20;
/// Extension of a file that was set aside.
const SET_ASIDE_EXTENSION: &str = "unreadable";

/// Opens a file with `open`, and once more after it was set aside if its contents can't be read. `open` makes the
/// file if there is none. Errors that say nothing of the contents (rights, a full disk, another process that has the
/// file open, another format) are returned, and the file stays.
pub(crate) fn open_or_set_aside<T>(path: &Path, open: impl Fn() -> Result<T>) -> Result<T> {
    let reason = match catch_panic(&open) {
        Ok(Ok(opened)) => return Ok(opened),
        Ok(Err(error)) if !error.is_unreadable() => return Err(error),
        Ok(Err(error)) => error.with_causes(),
        Err(panic) => panic,
    };
    let set_aside_path = set_aside(path)?;
    log::error!(
        "{} can't be read and is set aside as {}: {reason}. This machine starts with an empty disk, under another \
         identity",
        path.display(),
        set_aside_path.display()
    );
    open()
}

/// Bytes that a file that was set aside takes beside the one at `path`.
#[must_use]
pub fn set_aside_bytes(path: &Path) -> u64 {
    fs::metadata(set_aside_path(path)).map_or(0, |metadata| metadata.len())
}

/// Works on a database; a panic of the library becomes an error. Against a thread that ends with the first page that
/// turns out to be broken later on, and leaves its callers without an answer.
pub(crate) fn without_panic<T>(work: impl FnOnce() -> Result<T>) -> Result<T> {
    catch_panic(work).unwrap_or_else(|panic| Err(StorageError::Panicked { panic }))
}

/// The result, or the text of a panic.
fn catch_panic<T>(work: impl FnOnce() -> T) -> std::result::Result<T, String> {
    catch_unwind(AssertUnwindSafe(work)).map_err(|panic| panic_text(panic.as_ref()))
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    text.or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "a panic".to_owned())
}

/// Renames a file, over one that was set aside earlier, for somebody to look at; of a large one only the beginning is
/// left.
fn set_aside(path: &Path) -> Result<PathBuf> {
    let aside = set_aside_path(path);
    fs::rename(path, &aside).map_err(StorageError::file("setting aside", path))?;
    sync_folder(path)?;
    shorten(&aside).map_err(StorageError::file("shortening", &aside))?;
    Ok(aside)
}

fn shorten(path: &Path) -> std::io::Result<()> {
    let file = OpenOptions::new().write(true).open(path)?;
    if file.metadata()?.len() > MAX_SET_ASIDE_BYTES {
        file.set_len(MAX_SET_ASIDE_BYTES)?;
        file.sync_all()?;
    }
    Ok(())
}

fn set_aside_path(path: &Path) -> PathBuf {
    path.with_extension(SET_ASIDE_EXTENSION)
}

/// Syncs the folder that a file is in. Against a loss of power after which a new name is lost, or an old one is back.
pub(crate) fn sync_folder(path: &Path) -> Result<()> {
    let parent = path.parent();
    let folder = parent
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(folder)
        .and_then(|folder| folder.sync_all())
        .map_err(StorageError::file("syncing", folder))
}
