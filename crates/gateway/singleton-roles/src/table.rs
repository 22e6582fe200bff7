//! What the log says: who is registered, and who holds which slot under which token. The same commands give
//! the same table everywhere. A token is the index of the log entry that granted it, so it grows with every
//! grant. The encoding goes by position and order: fields and variants keep theirs.

use crate::{Name, Settings, Slot};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One voter of a group as it was formed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupMember {
    /// Its disk: a vote belongs to a disk, not to a name.
    pub disk: u64,
    /// Its name.
    pub name: Name,
}

/// The voters' group as it was formed, in the order of their disks.
pub type Group = Vec<GroupMember>;

/// One limiter's registration, until its lease expires. Its id is the index of the entry that registered it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Session {
    /// The limiter's name.
    pub name: Name,
    /// Its run.
    pub run: u64,
    /// Its failure domain.
    pub zone: String,
    /// Its machine.
    pub machine: String,
    /// Another run of the same name came after it: it is not renewed any more.
    pub replaced: bool,
}

/// One change of the table, as it stands in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A limiter is registered.
    Register {
        /// Its name.
        name: Name,
        /// Its run.
        run: u64,
        /// Its failure domain.
        zone: String,
        /// Its machine.
        machine: String,
    },
    /// Its lease expired, or it left and holds nothing.
    Expire {
        /// The session.
        session: u64,
    },
    /// The owner stopped.
    Release {
        /// The slot.
        slot: Slot,
        /// The token under which it was held.
        token: u64,
    },
    /// To this session, if the slot is free and stands where the granter saw it.
    Grant {
        /// The slot.
        slot: Slot,
        /// The slot's last token as the granter saw it.
        token: u64,
        /// The session that gets it.
        session: u64,
    },
    /// Two living processes have this name.
    MarkDuplicate {
        /// The name.
        name: Name,
    },
    /// One living process has this name again.
    ClearDuplicate {
        /// The name.
        name: Name,
    },
}

/// Who holds a slot, and under which token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlotState {
    /// The last token that was granted; 0 when none was.
    pub token: u64,
    /// The owner's session; 0 when the slot is free.
    pub session: u64,
}

/// A slot that a limiter holds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The slot.
    pub slot: Slot,
    /// The token under which it is held.
    pub token: u64,
}

/// The replicated state: what all commands up to an index made of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoleTable {
    /// The voters by disk.
    pub voters: BTreeMap<u64, Name>,
    /// The registered limiters by session id.
    pub sessions: BTreeMap<u64, Session>,
    /// Every slot, by number.
    pub slots: Vec<SlotState>,
    /// Names that two living processes have.
    pub duplicates: BTreeSet<Name>,
    /// Of each session the last entry that changed what it holds.
    pub versions: BTreeMap<u64, u64>,
}

impl RoleTable {
    /// The table of a group that was just formed: all slots free.
    #[must_use]
    pub fn new(settings: &Settings, group: &Group) -> Self {
        let voters = group
            .iter()
            .map(|member| (member.disk, member.name.clone()));
        RoleTable {
            voters: voters.collect(),
            slots: vec![SlotState::default(); settings.slots() as usize],
            ..Default::default()
        }
    }

    /// The session of this run, unless it was replaced.
    #[must_use]
    pub fn session_of(&self, name: &str, run: u64) -> Option<u64> {
        let mut sessions = self.sessions.iter();
        let found = sessions.find(|(_, s)| s.name == name && s.run == run && !s.replaced);
        found.map(|(id, _)| *id)
    }

    /// The slots that a session holds.
    #[must_use]
    pub fn assignments_of(&self, session: u64) -> Vec<Assignment> {
        let slots = self.slots.iter().enumerate();
        slots
            .filter(|(_, state)| state.session == session)
            .map(|(slot, state)| Assignment {
                slot: slot as Slot,
                token: state.token,
            })
            .collect()
    }

    /// Applies the command of the entry with this index; returns the session whose assignments it changed.
    pub fn apply(&mut self, index: u64, command: &Command) -> Option<u64> {
        match command {
            Command::Register {
                name,
                run,
                zone,
                machine,
            } => {
                if self.duplicates.contains(name) || self.session_of(name, *run).is_some() {
                    return None;
                }
                let session = Session {
                    name: name.clone(),
                    run: *run,
                    zone: zone.clone(),
                    machine: machine.clone(),
                    replaced: false,
                };
                Some(self.register(index, session))
            }
            Command::Expire { session } => {
                self.sessions.remove(session)?;
                self.versions.remove(session);
                let owned = self.slots.iter_mut().filter(|s| s.session == *session);
                owned.for_each(|state| state.session = 0);
                None
            }
            Command::Release { slot, token } => {
                let state = self.slots.get_mut(*slot as usize);
                let state = state.filter(|s| s.token == *token && s.session > 0)?;
                let session = std::mem::take(&mut state.session);
                self.versions.insert(session, index);
                Some(session)
            }
            Command::Grant {
                slot,
                token,
                session,
            } => {
                self.sessions.get(session).filter(|s| !s.replaced)?;
                let state = self.slots.get_mut(*slot as usize);
                let state = state.filter(|s| s.token == *token && s.session == 0)?;
                *state = SlotState {
                    token: index,
                    session: *session,
                };
                self.versions.insert(*session, index);
                Some(*session)
            }
            Command::MarkDuplicate { name } => {
                self.duplicates.insert(name.clone());
                self.mark_replaced(name);
                None
            }
            Command::ClearDuplicate { name } => {
                self.duplicates.remove(name);
                None
            }
        }
    }

    fn register(&mut self, index: u64, session: Session) -> u64 {
        self.mark_replaced(&session.name);
        // Several may register in one entry; ids stay apart and grow.
        let last = self.sessions.keys().next_back();
        let id = last.map_or(index, |last| index.max(last + 1));
        self.sessions.insert(id, session);
        self.versions.insert(id, index);
        id
    }

    fn mark_replaced(&mut self, name: &str) {
        let sessions = self.sessions.values_mut();
        sessions
            .filter(|s| s.name == name)
            .for_each(|s| s.replaced = true);
    }
}
