//! The turns of one store machine in one redb file: headers and bodies in tables of their own, so that a start
//! reads the headers only. One synced commit for many turns; blocking, the caller has a thread for it.

use std::cell::RefCell;
use std::collections::hash_map::RandomState;
use std::fmt;
use std::hash::{BuildHasher, Hasher};
use std::path::Path;

use crate::file;
use crate::recovery::{open_checked, open_or_set_aside, without_panic, UnknownFormat};
use anyhow::{bail, Context};
use bytes::Bytes;
use dunespur_turn_replication::node::{DiskOutcome, DiskWork};
use dunespur_turn_replication::turn::{size_of_turn, Turn, TurnHeader};
use redb::{
    Builder, Database, DatabaseError, Durability, ReadableTable, StorageBackend, TableDefinition,
    WriteTransaction,
};
use serde::{Deserialize, Serialize};

/// Layout of the tables; a file of another is refused.
const FORMAT_VERSION: u64 = 1;
/// Memory that redb may keep pages in.
const CACHE_BYTES: usize = 1 << 20;

/// What the file says of itself.
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const META_FORMAT: &str = "format";
const META_DISK: &str = "disk";
const META_WHOLE: &str = "whole";
/// Id to [`HeaderRow`], encoded.
const HEADERS: TableDefinition<&str, &[u8]> = TableDefinition::new("headers");
/// Id to input and output, one behind the other.
const BODIES: TableDefinition<&str, &[u8]> = TableDefinition::new("bodies");

/// Which life of its disk a store is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiskIdentity {
    /// Drawn when the file was made.
    pub disk: u64,
    /// It has not been called whole in this life, see [`TurnDisk::mark_whole`].
    pub fresh: bool,
}

/// A header as it is stored.
#[derive(Debug, Serialize, Deserialize)]
struct HeaderRow<'a> {
    previous: Option<&'a str>,
    program: &'a str,
    input_bytes: u64,
    output_bytes: u64,
    ended_at_ms: u64,
    retention_ms: u64,
}

/// Opens the file once more.
type Opener = Box<dyn Fn() -> Result<Database, DatabaseError> + Send>;

/// Turns on one disk.
pub struct TurnDisk {
    opener: Opener,
    /// None after an error, until the file could be opened again.
    database: RefCell<Option<Database>>,
}

impl fmt::Debug for TurnDisk {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("TurnDisk")
            .field("database", &self.database)
            .finish_non_exhaustive()
    }
}

impl TurnDisk {
    /// Opens the file, or makes it. One that can't be read is set aside: that is a new life of the disk, and the store
    /// fetches from others what it should hold.
    pub fn open(path: &Path) -> anyhow::Result<(Self, DiskIdentity, Vec<TurnHeader>)> {
        open_or_set_aside(path, || Self::open_file(path))
    }

    fn open_file(path: &Path) -> anyhow::Result<(Self, DiskIdentity, Vec<TurnHeader>)> {
        let owned = path.to_owned();
        let opener: Opener = Box::new(move || file::open(&builder(), &owned));
        let opened = if path.exists() {
            open_checked(builder, path)
        } else {
            builder().create(path).map_err(Into::into)
        };
        let database = opened.with_context(|| format!("open {}", path.display()))?;
        Self::start(database, opener)
    }

    /// Opens turns on other storage than a file; `backend` gives access to it, again after each error.
    pub fn open_backend<B: StorageBackend>(
        backend: impl Fn() -> B + Send + 'static,
    ) -> anyhow::Result<(Self, DiskIdentity, Vec<TurnHeader>)> {
        let opener: Opener = Box::new(move || builder().create_with_backend(backend()));
        let database = opener().context("open the backend")?;
        Self::start(database, opener)
    }

    fn start(
        database: Database,
        opener: Opener,
    ) -> anyhow::Result<(Self, DiskIdentity, Vec<TurnHeader>)> {
        let identity = identity(&database)?;
        let entries = entries(&database)?;
        let disk = Self {
            opener,
            database: RefCell::new(Some(database)),
        };
        Ok((disk, identity, entries))
    }

    /// Works on the file. After an error it is opened anew: the library takes no further write and reads no page
    /// otherwise, also when the disk has room again.
    fn with<T>(&self, work: impl FnOnce(&Database) -> anyhow::Result<T>) -> anyhow::Result<T> {
        without_panic(|| {
            let mut open = self.database.borrow_mut();
            let database = match open.take() {
                Some(database) => database,
                None => (self.opener)().context("open the turns again")?,
            };
            let done = work(&database)?;
            *open = Some(database);
            Ok(done)
        })
    }

    /// Writes turns in one synced commit.
    pub fn put(&self, turns: &[Turn]) -> anyhow::Result<()> {
        self.with(|database| {
            let write = begin_write(database)?;
            {
                let mut headers = write.open_table(HEADERS)?;
                let mut bodies = write.open_table(BODIES)?;
                for turn in turns {
                    headers.insert(turn.id.as_str(), encode(turn)?.as_slice())?;
                    let mut body =
                        bodies.insert_reserve(turn.id.as_str(), turn.body_bytes() as u32)?;
                    let (input, output) = body.as_mut().split_at_mut(turn.input.len());
                    input.copy_from_slice(&turn.input);
                    output.copy_from_slice(&turn.output);
                }
            }
            write.commit()?;
            Ok(())
        })
    }

    /// Reads one turn.
    pub fn get(&self, id: &str) -> anyhow::Result<Option<Turn>> {
        Ok(self.get_many(std::slice::from_ref(&id))?.pop())
    }

    /// Reads turns in the order of the ids; those that are not there are left out.
    pub fn get_many(&self, ids: &[impl AsRef<str>]) -> anyhow::Result<Vec<Turn>> {
        self.with(|database| {
            let read = database.begin_read()?;
            let headers = read.open_table(HEADERS)?;
            let bodies = read.open_table(BODIES)?;
            let mut turns = Vec::with_capacity(ids.len());
            for id in ids.iter().map(AsRef::as_ref) {
                let (Some(header), Some(body)) = (headers.get(id)?, bodies.get(id)?) else {
                    continue;
                };
                turns.push(turn(id, &decode(header.value())?, body.value())?);
            }
            Ok(turns)
        })
    }

    /// Deletes turns in one commit.
    pub fn remove(&self, ids: &[impl AsRef<str>]) -> anyhow::Result<()> {
        self.with(|database| {
            let write = begin_write(database)?;
            {
                let mut headers = write.open_table(HEADERS)?;
                let mut bodies = write.open_table(BODIES)?;
                for id in ids.iter().map(AsRef::as_ref) {
                    headers.remove(id)?;
                    bodies.remove(id)?;
                }
            }
            write.commit()?;
            Ok(())
        })
    }

    /// Remembers, synced, that everything that should be on this disk is there.
    pub fn mark_whole(&self) -> anyhow::Result<()> {
        self.with(|database| {
            let write = begin_write(database)?;
            write.open_table(META)?.insert(META_WHOLE, 1)?;
            write.commit()?;
            Ok(())
        })
    }

    /// Does a piece of work of the store's state machine.
    pub fn perform(&self, work: &DiskWork) -> anyhow::Result<DiskOutcome> {
        match work {
            DiskWork::Put(turns) => self.put(turns)?,
            DiskWork::Get(ids) => return Ok(DiskOutcome::Turns(self.get_many(ids)?)),
            DiskWork::Remove(ids) => self.remove(ids)?,
            DiskWork::MarkComplete => self.mark_whole()?,
        }
        Ok(DiskOutcome::Done)
    }
}

/// Reads who the disk is; a new one is given its number.
fn identity(database: &Database) -> anyhow::Result<DiskIdentity> {
    if let Some(identity) = known_identity(database)? {
        return Ok(identity);
    }
    let disk = random_number();
    let write = begin_write(database)?;
    write.open_table(HEADERS)?;
    write.open_table(BODIES)?;
    {
        let mut meta = write.open_table(META)?;
        meta.insert(META_FORMAT, FORMAT_VERSION)?;
        meta.insert(META_DISK, disk)?;
    }
    write.commit()?;
    Ok(DiskIdentity { disk, fresh: true })
}

fn known_identity(database: &Database) -> anyhow::Result<Option<DiskIdentity>> {
    let read = database.begin_read()?;
    let meta = match read.open_table(META) {
        Ok(meta) => meta,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let number = |key: &str| -> anyhow::Result<Option<u64>> {
        Ok(meta.get(key)?.map(|value| value.value()))
    };
    match number(META_FORMAT)? {
        Some(FORMAT_VERSION) => {}
        found => bail!(UnknownFormat {
            found,
            known: FORMAT_VERSION
        }),
    }
    let disk = number(META_DISK)?.context("the file of turns names no disk")?;
    let fresh = number(META_WHOLE)?.is_none();
    Ok(Some(DiskIdentity { disk, fresh }))
}

fn entries(database: &Database) -> anyhow::Result<Vec<TurnHeader>> {
    let read = database.begin_read()?;
    let headers = read.open_table(HEADERS)?;
    let mut entries = Vec::new();
    for row in headers.iter()? {
        let (id, value) = row?;
        entries.push(index_entry(id.value(), &decode(value.value())?));
    }
    Ok(entries)
}

/// A write whose commit returns once it is synced.
fn begin_write(database: &Database) -> anyhow::Result<WriteTransaction> {
    let mut write = database.begin_write()?;
    write.set_durability(Durability::Immediate);
    Ok(write)
}

fn builder() -> Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

/// The standard library's hash keys are drawn from the system's randomness.
fn random_number() -> u64 {
    RandomState::new().build_hasher().finish()
}

fn encode(turn: &Turn) -> anyhow::Result<Vec<u8>> {
    let row = HeaderRow {
        previous: turn.previous.as_deref(),
        program: &turn.program,
        input_bytes: turn.input.len() as u64,
        output_bytes: turn.output.len() as u64,
        ended_at_ms: turn.ended_at_ms,
        retention_ms: turn.retention_ms,
    };
    postcard::to_stdvec(&row).context("encode a header")
}

fn decode(bytes: &[u8]) -> anyhow::Result<HeaderRow<'_>> {
    postcard::from_bytes(bytes).context("decode a header")
}

fn index_entry(id: &str, row: &HeaderRow<'_>) -> TurnHeader {
    TurnHeader {
        id: id.to_owned(),
        previous: row.previous.map(str::to_owned),
        program: row.program.to_owned(),
        ended_at_ms: row.ended_at_ms,
        retention_ms: row.retention_ms,
        size: size_of_turn(
            id,
            row.previous,
            row.program,
            row.input_bytes + row.output_bytes,
        ),
    }
}

fn turn(id: &str, row: &HeaderRow<'_>, body: &[u8]) -> anyhow::Result<Turn> {
    if body.len() as u64 != row.input_bytes + row.output_bytes {
        bail!(
            "turn {id} has {} bytes, its header says otherwise",
            body.len()
        );
    }
    let mut input = Bytes::copy_from_slice(body);
    let output = input.split_off(row.input_bytes as usize);
    Ok(Turn {
        id: id.to_owned(),
        previous: row.previous.map(str::to_owned),
        program: row.program.to_owned(),
        input,
        output,
        ended_at_ms: row.ended_at_ms,
        retention_ms: row.retention_ms,
    })
}
