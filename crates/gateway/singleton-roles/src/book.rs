//! What the log says: who is in, who holds which slot, under which token. The same commands give the same
//! book everywhere. A token is the number of the log's entry that granted it, so it grows with every grant.

use crate::{Name, Settings, Slot};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The voters' group as it was formed: disk and name of each.
pub type Group = Vec<(u64, Name)>;

/// One limiter's stay, from entering to lapse. Its id is the number of the entry that let it in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Session {
    pub name: Name,
    pub run: u64,
    pub zone: String,
    pub machine: String,
    /// Another run of the same name came after it: it is not renewed any more.
    pub replaced: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    Enter {
        name: Name,
        run: u64,
        zone: String,
        machine: String,
    },
    /// Its lease is over, or it left and holds nothing.
    Expire {
        session: u64,
    },
    /// Its holder stopped.
    Free {
        slot: Slot,
        token: u64,
    },
    /// To this session, if the slot is free and stands where the granter saw it.
    Grant {
        slot: Slot,
        token: u64,
        session: u64,
    },
    /// Two living processes have this name.
    Double {
        name: Name,
    },
    Single {
        name: Name,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Held {
    pub token: u64,
    /// 0 when it is free.
    pub session: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Book {
    pub voters: BTreeMap<u64, Name>,
    pub sessions: BTreeMap<u64, Session>,
    pub slots: Vec<Held>,
    pub doubled: BTreeSet<Name>,
    /// The last entry that changed what a session holds.
    pub versions: BTreeMap<u64, u64>,
}

impl Book {
    pub fn new(settings: &Settings, group: &Group) -> Self {
        let voters = group.iter().cloned().collect();
        Book {
            voters,
            slots: vec![Held::default(); settings.slots() as usize],
            ..Default::default()
        }
    }

    /// The session of this run, unless it was replaced.
    pub fn session(&self, name: &str, run: u64) -> Option<u64> {
        let mut of = self
            .sessions
            .iter()
            .filter(|(_, s)| s.name == name && s.run == run && !s.replaced);
        of.next().map(|(id, _)| *id)
    }

    pub fn held_by(&self, session: u64) -> Vec<(Slot, u64)> {
        let slots = self
            .slots
            .iter()
            .enumerate()
            .filter(|(_, h)| h.session == session);
        slots.map(|(slot, h)| (slot as Slot, h.token)).collect()
    }

    /// Takes the entry with this number; says whose list it changed.
    pub fn apply(&mut self, index: u64, command: &Command) -> Option<u64> {
        match command {
            Command::Enter {
                name,
                run,
                zone,
                machine,
            } => {
                if self.doubled.contains(name) || self.session(name, *run).is_some() {
                    return None;
                }
                self.sessions
                    .values_mut()
                    .filter(|s| s.name == *name)
                    .for_each(|s| s.replaced = true);
                let (name, zone, machine) = (name.clone(), zone.clone(), machine.clone());
                // Several may enter in one entry; ids stay apart and grow.
                let id = self
                    .sessions
                    .keys()
                    .next_back()
                    .map_or(index, |last| index.max(last + 1));
                self.sessions.insert(
                    id,
                    Session {
                        name,
                        run: *run,
                        zone,
                        machine,
                        replaced: false,
                    },
                );
                self.versions.insert(id, index);
                Some(id)
            }
            Command::Expire { session } => {
                self.sessions.remove(session)?;
                self.versions.remove(session);
                self.slots
                    .iter_mut()
                    .filter(|h| h.session == *session)
                    .for_each(|h| h.session = 0);
                None
            }
            Command::Free { slot, token } => {
                let held = self
                    .slots
                    .get_mut(*slot as usize)
                    .filter(|h| h.token == *token && h.session > 0)?;
                let session = std::mem::take(&mut held.session);
                self.versions.insert(session, index);
                Some(session)
            }
            Command::Grant {
                slot,
                token,
                session,
            } => {
                self.sessions.get(session).filter(|s| !s.replaced)?;
                let held = self.slots.get_mut(*slot as usize);
                let held = held.filter(|h| h.token == *token && h.session == 0)?;
                *held = Held {
                    token: index,
                    session: *session,
                };
                self.versions.insert(*session, index);
                Some(*session)
            }
            Command::Double { name } => {
                self.doubled.insert(name.clone());
                self.sessions
                    .values_mut()
                    .filter(|s| s.name == *name)
                    .for_each(|s| s.replaced = true);
                None
            }
            Command::Single { name } => {
                self.doubled.remove(name);
                None
            }
        }
    }
}
