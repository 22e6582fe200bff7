//! A voter's disk on `redb`: one file, each write whole or not at all, fsync before it returns. It must never
//! be opened for another fleet, another name or a newer format, and never say that something is written when
//! the fsync failed. Calls block: they belong on a thread of their own.

use dunespur_singleton_roles::raft_types::{Entry, HardState, Snapshot};
use dunespur_singleton_roles::records::{DiskMeta, DiskState, WriteBatch};
use redb::{Database, Durability, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::path::Path;

const FORMAT: u32 = 1;
const HEAD: TableDefinition<&str, &[u8]> = TableDefinition::new("head");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

pub struct Store {
    db: Database,
}

fn text(e: impl std::fmt::Display) -> String {
    e.to_string()
}

fn decode<T: DeserializeOwned>(bytes: &[u8], what: &str) -> Result<T, String> {
    postcard::from_bytes(bytes)
        .map_err(|e| format!("{what} can't be read ({e}); move the file away"))
}

impl Store {
    /// Opens or makes the file; says what can't be used and what to do.
    pub fn open(path: &Path, fleet: &str, name: &str) -> Result<(Self, DiskState), String> {
        let fail = |e: String| format!("{}: {e}", path.display());
        if let Some(dir) = path.parent().filter(|d| !d.as_os_str().is_empty()) {
            std::fs::create_dir_all(dir).map_err(|e| fail(text(e)))?;
        }
        let db = Database::create(path).map_err(|e| fail(text(e)))?;
        let store = Store { db };
        let saved = store.load(fleet, name).map_err(fail)?;
        Ok((store, saved))
    }

    fn load(&self, fleet: &str, name: &str) -> Result<DiskState, String> {
        let write = self.db.begin_write().map_err(text)?;
        let mut saved = DiskState::default();
        {
            let mut head = write.open_table(HEAD).map_err(text)?;
            let log = write.open_table(LOG).map_err(text)?;
            let mine = postcard::to_stdvec(&(FORMAT, fleet, name)).map_err(text)?;
            let owner = head.get("owner").map_err(text)?.map(|v| v.value().to_vec());
            match owner {
                None => {
                    head.insert("owner", mine.as_slice()).map_err(text)?;
                }
                Some(bytes) => {
                    let (format, f, n): (u32, String, String) = decode(&bytes, "its owner")?;
                    if format > FORMAT {
                        return Err(format!(
                            "of format {format}, this program knows {FORMAT}; use the newer one"
                        ));
                    }
                    if (f.as_str(), n.as_str()) != (fleet, name) {
                        return Err(format!(
                            "is the store of {n} in fleet {f}, not of {name} in {fleet}"
                        ));
                    }
                }
            }
            let get = |key: &str| {
                head.get(key)
                    .map_err(text)
                    .map(|v| v.map(|v| v.value().to_vec()))
            };
            if let Some(bytes) = get("meta")? {
                saved.meta = decode::<DiskMeta>(&bytes, "its head")?;
            }
            if let Some(bytes) = get("hard")? {
                saved.hard_state = decode::<HardState>(&bytes, "its term and vote")?;
            }
            if let Some(bytes) = get("snap")? {
                saved.snapshot = decode::<Snapshot>(&bytes, "its snapshot")?;
            }
            for row in log.iter().map_err(text)? {
                let (index, bytes) = row.map_err(text)?;
                let entry: Entry = decode(bytes.value(), "an entry of its log")?;
                if entry.index != index.value() {
                    return Err(format!(
                        "entry {} stands at {}; move the file away",
                        entry.index,
                        index.value()
                    ));
                }
                saved.entries.push(entry);
            }
        }
        write.commit().map_err(text)?;
        Ok(saved)
    }

    /// Writes one batch; when it returns without an error it is on the disk.
    pub fn write(&self, batch: &WriteBatch) -> Result<(), String> {
        let mut write = self.db.begin_write().map_err(text)?;
        write.set_durability(Durability::Immediate);
        {
            let mut head = write.open_table(HEAD).map_err(text)?;
            let mut log = write.open_table(LOG).map_err(text)?;
            if batch.wipe {
                for key in ["meta", "hard", "snap"] {
                    head.remove(key).map_err(text)?;
                }
                log.retain(|_, _| false).map_err(text)?;
            }
            let mut put = |key: &str, value: Vec<u8>| {
                head.insert(key, value.as_slice()).map(|_| ()).map_err(text)
            };
            if let Some(meta) = &batch.meta {
                put("meta", bytes(meta)?)?;
            }
            if let Some(hard) = &batch.hard_state {
                put("hard", bytes(hard)?)?;
            }
            if let Some(snap) = &batch.snapshot {
                put("snap", bytes(snap)?)?;
                log.retain_in(..=snap.index, |_, _| false).map_err(text)?;
            }
            if let Some(first) = batch.entries.first() {
                log.retain_in(first.index.., |_, _| false).map_err(text)?;
            }
            for entry in &batch.entries {
                log.insert(entry.index, bytes(entry)?.as_slice())
                    .map_err(text)?;
            }
        }
        write.commit().map_err(text)
    }
}

fn bytes(value: &impl Serialize) -> Result<Vec<u8>, String> {
    postcard::to_stdvec(value).map_err(text)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn dir(name: &str) -> std::path::PathBuf {
        let dir =
            std::env::temp_dir().join(format!("dunespur-store-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        dir
    }

    fn entry(index: u64, term: u64) -> Entry {
        Entry {
            kind: 0,
            term,
            index,
            data: vec![index as u8; 9],
            context: vec![],
        }
    }

    /// What the file holds after any row of writes is what the plain form in memory holds.
    #[test]
    fn it_holds_what_the_plain_form_holds_over_restarts() {
        let dir = dir("holds");
        let path = dir.join("voter.redb");
        let mut plain = DiskState::default();
        let snap = Snapshot {
            index: 2,
            term: 1,
            ..Default::default()
        };
        let batches = [
            WriteBatch {
                number: 1,
                meta: Some(DiskMeta {
                    disk: 7,
                    starts: 1,
                    ..Default::default()
                }),
                ..Default::default()
            },
            WriteBatch {
                number: 2,
                entries: vec![entry(1, 1), entry(2, 1), entry(3, 1)],
                ..Default::default()
            },
            WriteBatch {
                number: 3,
                entries: vec![entry(3, 2)],
                hard_state: Some(HardState {
                    term: 2,
                    vote: 7,
                    commit: 1,
                }),
                ..Default::default()
            },
            WriteBatch {
                number: 4,
                snapshot: Some(snap),
                ..Default::default()
            },
            WriteBatch {
                number: 5,
                wipe: true,
                meta: Some(DiskMeta {
                    disk: 8,
                    ..Default::default()
                }),
                ..Default::default()
            },
        ];
        for batch in batches {
            let (store, saved) = Store::open(&path, "f", "n1").unwrap();
            assert_eq!(saved, plain);
            store.write(&batch).unwrap();
            plain.apply(&batch);
        }
        let (_, saved) = Store::open(&path, "f", "n1").unwrap();
        assert_eq!((saved.meta.disk, saved.entries.len()), (8, 0));
        std::fs::remove_dir_all(dir).unwrap();
    }

    #[test]
    fn it_refuses_another_owner_a_second_process_and_a_damaged_file() {
        let dir = dir("refuses");
        let path = dir.join("voter.redb");
        let (store, _) = Store::open(&path, "f", "n1").unwrap();
        assert!(Store::open(&path, "f", "n1").is_err(), "it is open already");
        drop(store);
        assert!(Store::open(&path, "g", "n1")
            .err()
            .unwrap()
            .contains("not of n1 in g"));
        assert!(Store::open(&path, "f", "n2")
            .err()
            .unwrap()
            .contains("not of n2 in f"));
        std::fs::write(&path, b"something else altogether, and longer than nothing").unwrap();
        assert!(Store::open(&path, "f", "n1").is_err());
        std::fs::remove_dir_all(dir).unwrap();
    }
}
