//! The disk of a core member: the log, the snapshot, views and votes of [`dunespur_chain_replication`], in one redb file.
//!
//! All calls block; the caller has a thread for them. What [`CoreDisk::write`] has returned from is on the disk,
//! whole; of a call that was cut off by a loss of power, all or nothing is there.

use crate::file;
use crate::recovery::{open_checked, open_or_set_aside, sync_folder, without_panic, UnknownFormat};
use anyhow::{bail, Context, Result};
use dunespur_chain_replication::{DurableState, Entry, Position, Snapshot, Write};
use redb::{
    Builder, Database, DatabaseError, Durability, ReadableTable, StorageBackend, Table,
    TableDefinition, WriteTransaction,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::fs;
use std::hash::{BuildHasher, Hasher};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// Changes whenever older files can't be read any more.
const FORMAT: u64 = 2;
const CACHE_BYTES: usize = 1 << 20;
/// Bytes of one part of the snapshot. The library looks for contiguous room for each value: one large value makes the
/// file grow to many times its size. It rounds the room up to a power of two: a part and what the library keeps with
/// it fill 16 KiB, one of 16 KiB would take 32.
const PART_BYTES: usize = (16 << 10) - 128;
/// Entries that are removed with one write, for each that it adds, once the snapshot holds them; and with any write.
/// All removed at once made the file grow to ten times what it holds, as pages are free again only after the commit.
const REMOVED_PER_ENTRY: usize = 4;
const REMOVED_PER_WRITE: usize = 8;

/// Single values, each in postcard under its own key.
const VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("values");
/// The bytes of the snapshot in parts, numbered from 0.
const SNAPSHOT_PARTS: TableDefinition<u32, &[u8]> = TableDefinition::new("snapshot_parts");
/// The log's entries by index, in postcard. Some that the snapshot holds already may still be there.
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");

const KEY_FORMAT: &str = "format";
const KEY_DISK: &str = "disk";
const KEY_DECIDED: &str = "decided";
const KEY_PROMISED: &str = "promised";
const KEY_ACCEPTED: &str = "accepted";
const KEY_SYNCED_VIEW: &str = "synced_view";
const KEY_SNAPSHOT: &str = "snapshot";

/// Which life of the disk this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiskIdentity {
    /// Drawn at random when the file was made.
    pub disk: u64,
    /// The file was made just now.
    pub fresh: bool,
}

/// What is kept of a snapshot beside its parts.
#[derive(Serialize, Deserialize)]
struct SnapshotHead {
    position: Position,
    parts: u32,
}

/// Opens the file once more.
type Opener = Box<dyn Fn() -> Result<Database, DatabaseError> + Send>;

/// The open file of a core member.
pub struct CoreDisk {
    opener: Opener,
    /// None after an error, until the file could be opened again.
    database: RefCell<Option<Database>>,
    /// The newest snapshot holds the entries up to here.
    snapshot_index: Cell<u64>,
}

impl CoreDisk {
    /// Opens the file, or makes it with a new identity if there is none. One that can't be read is set aside, and
    /// counts as none: the member that wrote it is no more, and its votes don't count.
    pub fn open(path: &Path) -> Result<(CoreDisk, DiskIdentity, DurableState)> {
        open_or_set_aside(path, || Self::open_file(path))
    }

    fn open_file(path: &Path) -> Result<(CoreDisk, DiskIdentity, DurableState)> {
        let fresh = !path.exists();
        if fresh {
            create(path).with_context(|| format!("making {}", path.display()))?;
        }
        let owned = path.to_owned();
        let opener: Opener = Box::new(move || file::open(&builder(), &owned));
        let database =
            open_checked(builder, path).with_context(|| format!("opening {}", path.display()))?;
        Self::start(database, opener, fresh).with_context(|| format!("reading {}", path.display()))
    }

    /// Opens other storage than a file; an empty one is given an identity. `backend` gives access to it, again after
    /// each error.
    pub fn open_backend<B: StorageBackend>(
        backend: impl Fn() -> B + Send + 'static,
    ) -> Result<(CoreDisk, DiskIdentity, DurableState)> {
        let opener: Opener = Box::new(move || builder().create_with_backend(backend()));
        let database = opener().context("opening the backend")?;
        let fresh = database.begin_read()?.list_tables()?.next().is_none();
        if fresh {
            make_tables(&database)?;
        }
        Self::start(database, opener, fresh)
    }

    fn start(
        database: Database,
        opener: Opener,
        fresh: bool,
    ) -> Result<(CoreDisk, DiskIdentity, DurableState)> {
        let (identity, saved) = read(&database, fresh)?;
        let snapshot_index = saved
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.position.index);
        let disk = CoreDisk {
            opener,
            database: RefCell::new(Some(database)),
            snapshot_index: Cell::new(snapshot_index),
        };
        Ok((disk, identity, saved))
    }

    /// Brings all writes to the disk with one sync, all or none of them. After an error the file is opened anew: the
    /// library takes no further write otherwise, also when the disk has room again.
    pub fn write(&self, writes: &[Write]) -> Result<()> {
        without_panic(|| {
            let mut open = self.database.borrow_mut();
            let database = match open.take() {
                Some(database) => database,
                None => (self.opener)().context("opening the core's file again")?,
            };
            self.commit(&database, writes)?;
            *open = Some(database);
            Ok(())
        })
    }

    fn commit(&self, database: &Database, writes: &[Write]) -> Result<()> {
        let mut transaction = database.begin_write()?;
        transaction.set_durability(Durability::Immediate);
        let snapshot_index = apply(&transaction, writes, self.snapshot_index.get())?;
        transaction.commit()?;
        self.snapshot_index.set(snapshot_index);
        Ok(())
    }
}

fn read(database: &Database, fresh: bool) -> Result<(DiskIdentity, DurableState)> {
    let transaction = database.begin_read()?;
    let values = transaction.open_table(VALUES)?;
    let found: Option<u64> = value(&values, KEY_FORMAT)?;
    if found != Some(FORMAT) {
        bail!(UnknownFormat {
            found,
            known: FORMAT
        });
    }
    let disk = value(&values, KEY_DISK)?.context("no identity")?;
    let head: Option<SnapshotHead> = value(&values, KEY_SNAPSHOT)?;
    let snapshot = match head {
        Some(head) => Some(read_snapshot(
            &transaction.open_table(SNAPSHOT_PARTS)?,
            &head,
        )?),
        None => None,
    };
    let first = snapshot
        .as_ref()
        .map_or(0, |snapshot| snapshot.position.index + 1);
    let mut entries: Vec<Entry> = Vec::new();
    for row in transaction.open_table(ENTRIES)?.range(first..)? {
        entries.push(postcard::from_bytes(row?.1.value())?);
    }
    let saved = DurableState {
        decided: value(&values, KEY_DECIDED)?,
        promised: value(&values, KEY_PROMISED)?,
        accepted: value(&values, KEY_ACCEPTED)?,
        synced_view: value(&values, KEY_SYNCED_VIEW)?.unwrap_or_default(),
        snapshot,
        entries,
    };
    Ok((DiskIdentity { disk, fresh }, saved))
}

fn read_snapshot(
    parts: &impl ReadableTable<u32, &'static [u8]>,
    head: &SnapshotHead,
) -> Result<Snapshot> {
    let mut bytes = Vec::new();
    for number in 0..head.parts {
        let part = parts
            .get(number)?
            .with_context(|| format!("no part {number} of the snapshot"))?;
        bytes.extend_from_slice(part.value());
    }
    Ok(Snapshot {
        position: head.position,
        bytes: bytes.into(),
    })
}

fn builder() -> Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

/// Makes the file under another name first: what bears the right name is whole, whenever power is lost.
fn create(path: &Path) -> Result<()> {
    let unfinished = unfinished_path(path);
    if unfinished.exists() {
        fs::remove_file(&unfinished)?;
    }
    let database = builder().create(&unfinished)?;
    make_tables(&database)?;
    drop(database);
    fs::rename(&unfinished, path)?;
    sync_folder(path)
}

/// Gives a new file its tables and its identity.
fn make_tables(database: &Database) -> Result<()> {
    let mut transaction = database.begin_write()?;
    transaction.set_durability(Durability::Immediate);
    {
        let mut values = transaction.open_table(VALUES)?;
        put(&mut values, KEY_FORMAT, &FORMAT)?;
        put(&mut values, KEY_DISK, &random_disk())?;
        transaction.open_table(SNAPSHOT_PARTS)?;
        transaction.open_table(ENTRIES)?;
    }
    transaction.commit()?;
    Ok(())
}

fn unfinished_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".unfinished");
    PathBuf::from(name)
}

/// The library's hash keys come from the operating system's random source; the time is mixed in should that be poor.
fn random_disk() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    let time = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |time| time.as_nanos());
    hasher.write_u128(time);
    hasher.write_u32(std::process::id());
    hasher.finish()
}

fn value<T: DeserializeOwned>(
    values: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &str,
) -> Result<Option<T>> {
    let Some(found) = values.get(key)? else {
        return Ok(None);
    };
    let read = postcard::from_bytes(found.value());
    read.map(Some).with_context(|| format!("value of {key}"))
}

fn put<T: Serialize>(values: &mut Table<&str, &[u8]>, key: &str, value: &T) -> Result<()> {
    values.insert(key, postcard::to_stdvec(value)?.as_slice())?;
    Ok(())
}

/// Does to the tables what [`DurableState::apply`] does in memory; gives the index up to which the snapshot holds the entries.
fn apply(transaction: &WriteTransaction, writes: &[Write], snapshot_index: u64) -> Result<u64> {
    let mut values = transaction.open_table(VALUES)?;
    let mut entries = transaction.open_table(ENTRIES)?;
    let mut snapshot_index = snapshot_index;
    let mut added = 0;
    for write in writes {
        match write {
            Write::Promise { proposal_number } => put(&mut values, KEY_PROMISED, proposal_number)?,
            Write::Accept { accepted } => put(&mut values, KEY_ACCEPTED, accepted)?,
            Write::InstallView { decided } => {
                put(&mut values, KEY_DECIDED, decided)?;
                values.remove(KEY_PROMISED)?;
                values.remove(KEY_ACCEPTED)?;
            }
            Write::Synced { view } => put(&mut values, KEY_SYNCED_VIEW, view)?,
            Write::Entry { entry } => {
                entries.insert(entry.index(), postcard::to_stdvec(entry)?.as_slice())?;
                added += 1;
            }
            Write::Truncate { index } => entries.retain_in(index + 1.., |_, _| false)?,
            Write::Snapshot { snapshot } => {
                let mut parts = transaction.open_table(SNAPSHOT_PARTS)?;
                write_snapshot(&mut values, &mut parts, snapshot)?;
                snapshot_index = snapshot.position.index;
            }
        }
    }
    remove_held(
        &mut entries,
        snapshot_index,
        REMOVED_PER_WRITE + REMOVED_PER_ENTRY * added,
    )?;
    Ok(snapshot_index)
}

fn write_snapshot(
    values: &mut Table<&str, &[u8]>,
    parts: &mut Table<u32, &[u8]>,
    snapshot: &Snapshot,
) -> Result<()> {
    let mut count = 0;
    for part in snapshot.bytes.bytes().chunks(PART_BYTES) {
        parts.insert(count, part)?;
        count += 1;
    }
    parts.retain_in(count.., |_, _| false)?;
    put(
        values,
        KEY_SNAPSHOT,
        &SnapshotHead {
            position: snapshot.position,
            parts: count,
        },
    )
}

/// Removes the oldest entries that the snapshot holds, `most` at most.
fn remove_held(entries: &mut Table<u64, &[u8]>, snapshot_index: u64, most: usize) -> Result<()> {
    for _ in 0..most {
        let held = entries
            .first()?
            .is_some_and(|(index, _)| index.value() <= snapshot_index);
        if !held {
            return Ok(());
        }
        entries.pop_first()?;
    }
    Ok(())
}
