//! A database that is opened again after an error, and writes that are synced.

use crate::bounded_file;
use crate::durable_length::DurableLength;
use crate::error::{Result, StorageError};
use crate::recovery::without_panic;
use redb::{Builder, Database, DatabaseError, Durability, StorageBackend, WriteTransaction};
use std::cell::RefCell;
use std::fmt;
use std::path::Path;

/// Memory in which the library keeps pages.
const CACHE_BYTES: usize = 1 << 20;

/// Opens the same database once more.
type Opener = Box<dyn Fn() -> std::result::Result<Database, DatabaseError> + Send>;

/// A database that is opened anew after an error: the library takes no further write and reads no page otherwise, also
/// when the disk has space again.
pub struct ReopeningDatabase {
    opener: Opener,
    /// None after an error, until the database could be opened again.
    database: RefCell<Option<Database>>,
}

impl ReopeningDatabase {
    /// A database that was opened from a file.
    pub fn of_file(database: Database, path: &Path) -> ReopeningDatabase {
        let path = path.to_owned();
        ReopeningDatabase {
            opener: Box::new(move || bounded_file::open(&builder(), &path)),
            database: RefCell::new(Some(database)),
        }
    }

    /// Opens a database on another backend than a file. `backend` gives access to it, again after each error.
    pub fn open_backend<B: StorageBackend>(
        backend: impl Fn() -> B + Send + 'static,
    ) -> Result<ReopeningDatabase> {
        let opener: Opener =
            Box::new(move || builder().create_with_backend(DurableLength::new(backend())));
        let database = RefCell::new(Some(opener()?));
        Ok(ReopeningDatabase { opener, database })
    }

    /// Works on the database.
    pub fn with<T>(&self, work: impl FnOnce(&Database) -> Result<T>) -> Result<T> {
        without_panic(|| {
            let mut open = self.database.borrow_mut();
            let database = match open.take() {
                Some(database) => database,
                None => (self.opener)().map_err(|error| StorageError::Reopen {
                    source: Box::new(error.into()),
                })?,
            };
            let done = work(&database)?;
            *open = Some(database);
            Ok(done)
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

/// How databases are opened.
pub fn builder() -> Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

/// A transaction whose commit returns once it is synced.
pub fn begin_synced_write(database: &Database) -> Result<WriteTransaction> {
    let mut transaction = database.begin_write()?;
    transaction.set_durability(Durability::Immediate);
    Ok(transaction)
}
