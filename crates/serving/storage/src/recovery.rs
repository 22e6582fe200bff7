//! Files that can't be read: they are set aside, so that the process starts as if its disk were empty.
//!
//! The library panics on some broken files, where it gives an error on others. Everything that is done with a file
//! before it is known to be sound passes through [`open_or_set_aside`], which takes both for the same. That rests on
//! unwinding.

use std::any::Any;
use std::cell::Cell;
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use crate::file;
use anyhow::{bail, Context};
use redb::{
    Builder, CommitError, Database, DatabaseError, Durability, StorageError, TableDefinition,
    TableError, TransactionError,
};

#[cfg(panic = "abort")]
compile_error!("panics of the library on broken files are caught: build with panic = \"unwind\"");

/// Bytes that are kept of a file that was set aside. Against a disk whose bound a second whole file would break.
pub const MOST_ASIDE_BYTES: u64 = 4 << 20;
/// A table that says nothing: what a commit is made with.
const CHECKED: TableDefinition<(), ()> = TableDefinition::new("checked");
/// The name of a file that was set aside ends so.
const ASIDE_EXTENSION: &str = "unreadable";

/// A file of a layout that this program doesn't know. It may be whole: another version of the program reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownFormat {
    pub found: Option<u64>,
    pub known: u64,
}

impl fmt::Display for UnknownFormat {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "format {:?} is not {}, the one that this program knows",
            self.found, self.known
        )
    }
}

impl std::error::Error for UnknownFormat {}

/// Opens a file with `open`, and once more after it was set aside if its contents can't be read. `open` makes the
/// file if there is none. Errors that say nothing of the contents (rights, a full disk, another process that has the
/// file open, another format) are given back, and the file stays.
pub fn open_or_set_aside<T>(
    path: &Path,
    open: impl Fn() -> anyhow::Result<T>,
) -> anyhow::Result<T> {
    let reason = match caught(&open) {
        Ok(Ok(opened)) => return Ok(opened),
        Ok(Err(error)) if !is_unreadable(&error) => return Err(error),
        Ok(Err(error)) => format!("{error:#}"),
        Err(panic) => panic,
    };
    let aside = set_aside(path)?;
    log::error!(
        "{} can't be read and is set aside as {}: {reason}. This machine starts with an empty disk, under another \
         identity",
        path.display(),
        aside.display()
    );
    open()
}

/// Bytes that a file that was set aside takes beside the one at `path`.
pub fn aside_bytes(path: &Path) -> u64 {
    fs::metadata(aside_path(path)).map_or(0, |metadata| metadata.len())
}

/// Works on the file; a panic of the library becomes an error. Against a thread that ends with the first page that
/// turns out to be broken later on, and leaves whoever waits for it without an answer.
pub fn without_panic<T>(work: impl FnOnce() -> anyhow::Result<T>) -> anyhow::Result<T> {
    match caught(work) {
        Ok(done) => done,
        Err(panic) => bail!("the file is broken: {panic}"),
    }
}

fn caught<T>(work: impl FnOnce() -> T) -> Result<T, String> {
    catch_unwind(AssertUnwindSafe(work)).map_err(|panic| text_of(panic.as_ref()))
}

fn text_of(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| text.to_string());
    text.or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "a panic".to_owned())
}

/// Opens an existing file and checks all that is in it. The library does so by itself only after an end of the process
/// without closing, and falls back to the commit before then, as after a loss of power within a commit. A file that
/// was closed has no commit under way: what doesn't fit there is damage. Some damage shows only with the first commit,
/// so there is one.
pub fn open_checked(builder: impl Fn() -> Builder, path: &Path) -> anyhow::Result<Database> {
    let repaired = Rc::new(Cell::new(false));
    let noticed = repaired.clone();
    let mut noticing = builder();
    noticing.set_repair_callback(move |_| noticed.set(true));
    let mut database = file::open(&noticing, path)?;
    if !repaired.get() && !database.check_integrity()? {
        bail!(StorageError::Corrupted("checksums don't fit".to_owned()));
    }
    match commit_nothing(&database) {
        Ok(()) => Ok(database),
        Err(error) if is_unreadable(&error) => Err(error),
        Err(error) => {
            log::warn!("{} takes no write: {error:#}", path.display());
            drop(database);
            Ok(file::open(&builder(), path)?)
        }
    }
}

fn commit_nothing(database: &Database) -> anyhow::Result<()> {
    let mut write = database.begin_write()?;
    write.set_durability(Durability::Immediate);
    write.open_table(CHECKED)?.insert((), ())?;
    write.commit()?;
    Ok(())
}

/// Whether an error says that the contents can't be read.
fn is_unreadable(error: &anyhow::Error) -> bool {
    if error.chain().any(|cause| cause.is::<UnknownFormat>()) {
        return false;
    }
    if let Some(error) = error
        .chain()
        .find_map(|cause| cause.downcast_ref::<DatabaseError>())
    {
        let other = matches!(
            error,
            DatabaseError::DatabaseAlreadyOpen | DatabaseError::UpgradeRequired(_)
        );
        if other {
            return false;
        }
    }
    match error.chain().find_map(|cause| io_error(cause)) {
        Some(error) => matches!(
            error.kind(),
            ErrorKind::InvalidData | ErrorKind::UnexpectedEof
        ),
        None => true,
    }
}

/// The library's errors don't give their causes.
fn io_error<'a>(cause: &'a (dyn std::error::Error + 'static)) -> Option<&'a io::Error> {
    let storage = cause.downcast_ref::<StorageError>().or_else(|| {
        if let Some(DatabaseError::Storage(error)) = cause.downcast_ref() {
            return Some(error);
        }
        if let Some(TableError::Storage(error)) = cause.downcast_ref() {
            return Some(error);
        }
        if let Some(TransactionError::Storage(error)) = cause.downcast_ref() {
            return Some(error);
        }
        match cause.downcast_ref() {
            Some(CommitError::Storage(error)) => Some(error),
            _ => None,
        }
    });
    match storage {
        Some(StorageError::Io(error)) => Some(error),
        _ => cause.downcast_ref(),
    }
}

/// Moves a file out of the way, in the place of an earlier one, for whoever wants to look at it; of a large one only
/// the beginning is kept.
fn set_aside(path: &Path) -> anyhow::Result<PathBuf> {
    let aside = aside_path(path);
    fs::rename(path, &aside)
        .with_context(|| format!("setting unreadable {} aside", path.display()))?;
    sync_folder(path)?;
    let file = OpenOptions::new().write(true).open(&aside)?;
    if file.metadata()?.len() > MOST_ASIDE_BYTES {
        file.set_len(MOST_ASIDE_BYTES)?;
        file.sync_all()?;
    }
    Ok(aside)
}

fn aside_path(path: &Path) -> PathBuf {
    path.with_extension(ASIDE_EXTENSION)
}

/// Against a loss of power after which a new name is gone, or an old one is back.
pub fn sync_folder(path: &Path) -> anyhow::Result<()> {
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let synced = File::open(folder).and_then(|folder| folder.sync_all());
    synced.with_context(|| format!("syncing {}", folder.display()))
}
