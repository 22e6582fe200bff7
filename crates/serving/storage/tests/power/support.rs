//! A disk in memory that can lose its power.

use redb::StorageBackend;
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard};

/// A small random source: the same for the same seed.
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

/// Whether the disk does what a sync requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Syncs {
    Honest,
    /// It says so and does nothing.
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
    /// What the process reads.
    seen: Vec<u8>,
    /// What a loss of power leaves for sure.
    durable: Vec<u8>,
    /// Changes since, in their order.
    unsynced: Vec<Change>,
    /// Handles of an earlier incarnation do nothing any more.
    incarnation: u64,
    /// Changes that it still accepts before the power is lost.
    changes_left: u64,
    syncs: Syncs,
    /// Writes that followed a change of the length with no sync between them.
    writes_on_unsynced_length: u64,
}

/// The disk; clones are the same one.
#[derive(Clone, Debug)]
pub struct Disk(Arc<Mutex<State>>);

/// One process's access to it.
#[derive(Clone, Debug)]
pub struct Handle {
    disk: Disk,
    incarnation: u64,
}

impl Disk {
    pub fn new(syncs: Syncs) -> Disk {
        let (seen, durable, unsynced) = (Vec::new(), Vec::new(), Vec::new());
        Disk(Arc::new(Mutex::new(State {
            seen,
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

    /// After so many changes more nothing reaches the disk.
    pub fn loses_power_after(&self, changes_left: u64) {
        self.state().changes_left = changes_left;
    }

    /// The power goes and comes back: all handles are dead, the file is what survived of it.
    pub fn lose_power(&self, random: &mut Random) {
        let mut state = self.state();
        let nothing_survives = random.below(4) == 0;
        let mut file = std::mem::take(&mut state.durable);
        for change in std::mem::take(&mut state.unsynced) {
            if !nothing_survives {
                apply_partly(&mut file, change, random);
            }
        }
        state.durable.clone_from(&file);
        state.seen = file;
        state.incarnation += 1;
        state.changes_left = u64::MAX;
    }

    /// Writes so far that could outlive a change of the length which came before them.
    pub fn writes_on_unsynced_length(&self) -> u64 {
        self.state().writes_on_unsynced_length
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no test panics within")
    }
}

/// A change is there, missing or torn at a sector.
fn apply_partly(file: &mut Vec<u8>, change: Change, random: &mut Random) {
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
            Change::Length(length) => state.seen.resize(*length, 0),
            Change::Bytes { offset, data } => {
                let unsynced = &mut state.unsynced.iter();
                if unsynced.any(|change| matches!(change, Change::Length(_))) {
                    state.writes_on_unsynced_length += 1;
                }
                write(&mut state.seen, *offset, data);
            }
        }
        state.unsynced.push(change);
        Ok(())
    }
}

impl StorageBackend for Handle {
    fn len(&self) -> Result<u64> {
        Ok(self.state()?.seen.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> Result<Vec<u8>> {
        let offset = offset as usize;
        let state = self.state()?;
        let bytes = state
            .seen
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
            state.durable = state.seen.clone();
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
