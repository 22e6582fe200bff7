//! A database handle that reopens after an error, and synced write transactions.

use crate::bounded_file;
use crate::durable_length::DurableLength;
use crate::error::{Result, StorageError};
use crate::recovery::catch_library_panic;
use redb::{Builder, Database, DatabaseError, Durability, StorageBackend, WriteTransaction};
use std::cell::RefCell;
use std::fmt;
use std::path::Path;

/// Size of the library's page cache.
const CACHE_BYTES: usize = 1 << 20;

/// Opens the database, for the first time or again after an error.
type Opener = Box<dyn Fn() -> std::result::Result<Database, DatabaseError> + Send>;

/// A database that is reopened after an error. Without reopening, the library refuses all later writes and page reads,
/// even once the disk has space again.
pub struct ReopeningDatabase {
    opener: Opener,
    /// `None` after an error, until the database has been reopened.
    database: RefCell<Option<Database>>,
}

impl ReopeningDatabase {
    /// Wraps a database that was opened from the file at `path`.
    pub fn from_file(database: Database, path: &Path) -> ReopeningDatabase {
        let path = path.to_owned();
        ReopeningDatabase {
            opener: Box::new(move || bounded_file::open(&builder(), &path)),
            database: RefCell::new(Some(database)),
        }
    }

    /// Opens a database on a backend that is not a file. `backend` is called for the first opening and for each
    /// reopening after an error.
    pub fn open_backend<B: StorageBackend>(
        backend: impl Fn() -> B + Send + 'static,
    ) -> Result<ReopeningDatabase> {
        let opener: Opener =
            Box::new(move || builder().create_with_backend(DurableLength::new(backend())));
        let database = RefCell::new(Some(opener()?));
        Ok(ReopeningDatabase { opener, database })
    }

    /// Runs `work` on the database, which is reopened first if the previous call failed.
    pub fn with<T>(&self, work: impl FnOnce(&Database) -> Result<T>) -> Result<T> {
        catch_library_panic(|| {
            let mut open = self.database.borrow_mut();
            let database = match open.take() {
                Some(database) => database,
                None => (self.opener)().map_err(|error| StorageError::Reopen {
                    source: Box::new(error.into()),
                })?,
            };
            let result = work(&database)?;
            *open = Some(database);
            Ok(result)
        })
    }
}

impl fmt::Debug for ReopeningDatabase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ReopeningDatabase")
            .field("database", &self.database)
            .finish_non_exhaustive()
    }
}

/// The options with which every database is opened.
pub fn builder() -> Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

/// Begins a write transaction whose commit returns only after it has been synced to the disk.
pub fn begin_synced_write(database: &Database) -> Result<WriteTransaction> {
    let mut transaction = database.begin_write()?;
    transaction.set_durability(Durability::Immediate);
    Ok(transaction)
}
