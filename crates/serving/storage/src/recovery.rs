//! Recovery from unreadable files: a file is renamed, and the process starts with an empty disk.
//!
//! On some corrupt files the library panics instead of returning an error. `open_or_set_aside`, through which every
//! file is opened and verified, handles a panic like an error. This requires unwinding.

use crate::error::{Result, StorageError};
use std::any::Any;
use std::fs::{self, File, OpenOptions};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

#[cfg(panic = "abort")]
compile_error!(
    "the library's panics on corrupt files must be caught: build with panic = \"unwind\""
);

/// Size to which a file that was set aside is truncated: the disk may lack space for a second complete file.
pub const MAX_SET_ASIDE_BYTES: u64 = 4 << 20;
/// File name extension of a file that was set aside.
const SET_ASIDE_EXTENSION: &str = "unreadable";

/// Opens a file with `open`, which creates a missing file. If the contents are unreadable, sets the file aside and
/// calls `open` again. Errors that the contents don't cause (permissions, a full disk, a file that is open in another
/// process, an unknown format) are returned, and the file stays.
pub(crate) fn open_or_set_aside<T>(path: &Path, open: impl Fn() -> Result<T>) -> Result<T> {
    let reason = match catch_panic(&open) {
        Ok(Ok(opened)) => return Ok(opened),
        Ok(Err(error)) if !error.is_unreadable() => return Err(error),
        Ok(Err(error)) => error.with_causes(),
        Err(panic) => panic,
    };
    let set_aside_path = set_aside(path)?;
    log::error!(
        "{} is unreadable and is set aside as {}: {reason}. This machine starts with an empty disk and a new disk \
         identity",
        path.display(),
        set_aside_path.display()
    );
    open()
}

/// Size of the file that was set aside from `path`; 0 if there is none.
#[must_use]
pub fn set_aside_bytes(path: &Path) -> u64 {
    fs::metadata(set_aside_path(path)).map_or(0, |metadata| metadata.len())
}

/// Runs `work` and converts a panic of the library to an error. Otherwise a corrupt page that is found later would end
/// the thread, and its callers would never get a result.
pub(crate) fn catch_library_panic<T>(work: impl FnOnce() -> Result<T>) -> Result<T> {
    catch_panic(work).unwrap_or_else(|panic| Err(StorageError::Panicked { panic }))
}

/// Returns the result of `work`, or the message of its panic.
fn catch_panic<T>(work: impl FnOnce() -> T) -> std::result::Result<T, String> {
    catch_unwind(AssertUnwindSafe(work)).map_err(|panic| panic_message(panic.as_ref()))
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let message = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    message
        .or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "panic without a message".to_owned())
}

/// Renames a file so that it can be inspected, replacing any file that was set aside earlier, and truncates it to
/// [`MAX_SET_ASIDE_BYTES`].
fn set_aside(path: &Path) -> Result<PathBuf> {
    let new_path = set_aside_path(path);
    fs::rename(path, &new_path).map_err(StorageError::file("setting aside", path))?;
    sync_folder(path)?;
    truncate(&new_path).map_err(StorageError::file("truncating", &new_path))?;
    Ok(new_path)
}

fn truncate(path: &Path) -> std::io::Result<()> {
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

/// Syncs the folder of a file, so that a creation or renaming in it survives a power loss.
pub(crate) fn sync_folder(path: &Path) -> Result<()> {
    let parent = path.parent();
    let folder = parent
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(folder)
        .and_then(|folder| folder.sync_all())
        .map_err(StorageError::file("syncing", folder))
}
