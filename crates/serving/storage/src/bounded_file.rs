//! A storage backend for database files that refuses reads beyond the end of the file.

use crate::durable_length::DurableLength;
use redb::backends::FileBackend;
use redb::{Builder, Database, DatabaseError, StorageBackend};
use std::fs::{File, OpenOptions};
use std::io::{Error, ErrorKind, Result};
use std::path::Path;

/// A file backend that rejects reads beyond the end of the file. The library allocates the buffer before it reads, so a
/// corrupt length in the file could request more memory than is available, and the allocator would abort the process
/// without unwinding.
#[derive(Debug)]
struct BoundedFile(FileBackend);

impl StorageBackend for BoundedFile {
    fn len(&self) -> Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, len: usize) -> Result<Vec<u8>> {
        let end = offset.checked_add(len as u64);
        if end.is_none_or(|end| self.0.len().is_ok_and(|file_length| end > file_length)) {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        self.0.read(offset, len)
    }

    fn set_len(&self, len: u64) -> Result<()> {
        self.0.set_len(len)
    }

    fn sync_data(&self, eventual: bool) -> Result<()> {
        self.0.sync_data(eventual)
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        self.0.write(offset, data)
    }
}

/// Opens an existing database file. An empty file is an error.
pub fn open(builder: &Builder, path: &Path) -> std::result::Result<Database, DatabaseError> {
    let file = OpenOptions::new().read(true).write(true).open(path)?;
    if file.metadata()?.len() == 0 {
        return Err(Error::from(ErrorKind::InvalidData).into());
    }
    builder.create_with_backend(backend(file)?)
}

/// Creates an empty database. The file must not exist yet.
pub fn create(builder: &Builder, path: &Path) -> std::result::Result<Database, DatabaseError> {
    let mut options = OpenOptions::new();
    let file = options.read(true).write(true).create_new(true).open(path)?;
    builder.create_with_backend(backend(file)?)
}

fn backend(file: File) -> std::result::Result<DurableLength<BoundedFile>, DatabaseError> {
    Ok(DurableLength::new(BoundedFile(FileBackend::new(file)?)))
}
