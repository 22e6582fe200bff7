//! An in-memory disk that simulates power losses.

use redb::StorageBackend;
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard};

/// A pseudo-random number generator with a fixed seed.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }
}

/// Whether the disk performs syncs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Syncs {
    Honest,
    /// The disk reports success without syncing.
    Ignored,
}

/// A change of the file since the last sync.
#[derive(Clone, Debug)]
enum Change {
    Length(usize),
    Bytes { offset: usize, data: Vec<u8> },
}

#[derive(Debug)]
struct State {
    /// The file as the process reads it.
    current: Vec<u8>,
    /// The file as of the last sync, which a power loss can't change.
    durable: Vec<u8>,
    /// Changes since the last sync, in order.
    unsynced: Vec<Change>,
    /// Number of power losses. Handles of an earlier incarnation fail.
    incarnation: u64,
    /// Changes that succeed before the power is lost.
    changes_left: u64,
    syncs: Syncs,
    /// Writes after a change of the file's length without a sync in between.
    writes_on_unsynced_length: u64,
}

/// The disk. Clones share its contents.
#[derive(Clone, Debug)]
pub struct Disk(Arc<Mutex<State>>);

/// The access of one process to the disk.
#[derive(Clone, Debug)]
pub struct Handle {
    disk: Disk,
    incarnation: u64,
}

impl Disk {
    pub fn new(syncs: Syncs) -> Disk {
        let (current, durable, unsynced) = (Vec::new(), Vec::new(), Vec::new());
        Disk(Arc::new(Mutex::new(State {
            current,
            durable,
            unsynced,
            incarnation: 0,
            changes_left: u64::MAX,
            syncs,
            writes_on_unsynced_length: 0,
        })))
    }

    pub fn handle(&self) -> Handle {
        Handle {
            disk: self.clone(),
            incarnation: self.state().incarnation,
        }
    }

    /// Makes all changes fail after `changes_left` further ones.
    pub fn lose_power_after(&self, changes_left: u64) {
        self.state().changes_left = changes_left;
    }

    /// Simulates a power loss and a restart: all handles fail, and the file keeps a random part of the unsynced
    /// changes.
    pub fn lose_power(&self, random: &mut Random) {
        let mut state = self.state();
        let nothing_survives = random.below(4) == 0;
        let mut file = std::mem::take(&mut state.durable);
        for change in std::mem::take(&mut state.unsynced) {
            if !nothing_survives {
                apply_randomly(&mut file, change, random);
            }
        }
        state.durable.clone_from(&file);
        state.current = file;
        state.incarnation += 1;
        state.changes_left = u64::MAX;
    }

    /// Number of writes that could survive a power loss without the change of the file's length before them.
    pub fn writes_on_unsynced_length(&self) -> u64 {
        self.state().writes_on_unsynced_length
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

/// Applies a change fully, not at all, or only some of its sectors.
fn apply_randomly(file: &mut Vec<u8>, change: Change, random: &mut Random) {
    const SECTOR: usize = 512;
    match (change, random.below(3)) {
        (_, 0) => {}
        (Change::Length(length), _) => file.resize(length, 0),
        (Change::Bytes { offset, data }, 1) => write(file, offset, &data),
        (Change::Bytes { offset, data }, _) => {
            for (number, sector) in data.chunks(SECTOR).enumerate() {
                if random.below(2) == 0 {
                    write(file, offset + number * SECTOR, sector);
                }
            }
        }
    }
}

fn write(file: &mut Vec<u8>, offset: usize, data: &[u8]) {
    let end = offset + data.len();
    if file.len() < end {
        file.resize(end, 0);
    }
    file[offset..end].copy_from_slice(data);
}

impl Handle {
    fn state(&self) -> Result<MutexGuard<'_, State>> {
        let state = self.disk.state();
        if state.incarnation != self.incarnation {
            return Err(Error::from(ErrorKind::BrokenPipe));
        }
        Ok(state)
    }

    fn change(&self, change: Change) -> Result<()> {
        let mut state = self.state()?;
        state.changes_left = state
            .changes_left
            .checked_sub(1)
            .ok_or(Error::from(ErrorKind::BrokenPipe))?;
        match &change {
            Change::Length(length) => state.current.resize(*length, 0),
            Change::Bytes { offset, data } => {
                let unsynced = &mut state.unsynced.iter();
                if unsynced.any(|change| matches!(change, Change::Length(_))) {
                    state.writes_on_unsynced_length += 1;
                }
                write(&mut state.current, *offset, data);
            }
        }
        state.unsynced.push(change);
        Ok(())
    }
}

impl StorageBackend for Handle {
    fn len(&self) -> Result<u64> {
        Ok(self.state()?.current.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> Result<Vec<u8>> {
        let offset = offset as usize;
        let state = self.state()?;
        let bytes = state
            .current
            .get(offset..offset + len)
            .ok_or(Error::from(ErrorKind::UnexpectedEof))?;
        Ok(bytes.to_vec())
    }

    fn set_len(&self, len: u64) -> Result<()> {
        self.change(Change::Length(len as usize))
    }

    fn sync_data(&self, _eventual: bool) -> Result<()> {
        let mut state = self.state()?;
        state.changes_left = state
            .changes_left
            .checked_sub(1)
            .ok_or(Error::from(ErrorKind::BrokenPipe))?;
        if state.syncs == Syncs::Honest {
            state.durable = state.current.clone();
            state.unsynced.clear();
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        self.change(Change::Bytes {
            offset: offset as usize,
            data: data.to_vec(),
        })
    }
}
