//! The replicated state machine: registered limiters, and the owner and token of each slot. Applying the same
//! commands gives the same table on every voter. A token is the index of the log entry that granted the slot,
//! so it grows with every grant. The encoding is positional, so the order of fields and variants must not
//! change.

use crate::{Name, Settings, Slot};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// An original member of a voter group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupMember {
    /// Identity of the voter's disk; a vote belongs to a disk, not to a name.
    pub disk: u64,
    /// The voter's name.
    pub name: Name,
}

/// The original members of a voter group, ordered by disk.
pub type Group = Vec<GroupMember>;

/// A limiter's registration, which lasts until its lease expires. The table keeps it under a session id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Session {
    /// The limiter's name.
    pub name: Name,
    /// The limiter's run.
    pub run: u64,
    /// The limiter's failure domain.
    pub zone: String,
    /// The machine that the limiter runs on.
    pub machine: String,
    /// The name was registered by another run later, or is a duplicate; the session is not renewed any more.
    pub replaced: bool,
}

/// A change of the table, as stored in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Registers a limiter.
    Register {
        /// The limiter's name.
        name: Name,
        /// The limiter's run.
        run: u64,
        /// The limiter's failure domain.
        zone: String,
        /// The machine that the limiter runs on.
        machine: String,
    },
    /// Removes a session whose lease expired or whose limiter left, and frees its slots.
    Expire {
        /// The session to remove.
        session: u64,
    },
    /// Frees a slot whose owner released it.
    Release {
        /// The released slot.
        slot: Slot,
        /// The token under which it was held.
        token: u64,
    },
    /// Grants a slot to a session, if the slot is free and unchanged since the granter read it.
    Grant {
        /// The granted slot.
        slot: Slot,
        /// The slot's last token when the granter read it.
        token: u64,
        /// The session that gets the slot.
        session: u64,
    },
    /// Marks a name that two running processes use.
    MarkDuplicate {
        /// The duplicate name.
        name: Name,
    },
    /// Clears the mark of a name that only one running process uses again.
    ClearDuplicate {
        /// The name that is unique again.
        name: Name,
    },
}

/// The owner of a slot and the slot's last token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlotState {
    /// The last token that was granted for the slot, or 0.
    pub token: u64,
    /// The owner's session id; 0 while the slot is free.
    pub session: u64,
}

/// A slot that a limiter holds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The held slot.
    pub slot: Slot,
    /// The token under which the slot is held.
    pub token: u64,
}

/// The replicated state after all commands up to an index of the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoleTable {
    /// Names of the voters, by disk.
    pub voters: BTreeMap<u64, Name>,
    /// The registered limiters, by session id.
    pub sessions: BTreeMap<u64, Session>,
    /// The state of every slot, by slot number.
    pub slots: Vec<SlotState>,
    /// Names that two running processes use.
    pub duplicates: BTreeSet<Name>,
    /// For each session id, the index of the last entry that changed the session's assignments.
    pub versions: BTreeMap<u64, u64>,
}

impl RoleTable {
    /// The table of a newly formed group; all slots are free.
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

    /// The session id of this run, unless the session was replaced.
    #[must_use]
    pub fn session_of(&self, name: &str, run: u64) -> Option<u64> {
        let mut sessions = self.sessions.iter();
        let found = sessions.find(|(_, s)| s.name == name && s.run == run && !s.replaced);
        found.map(|(id, _)| *id)
    }

    /// The slots assigned to a session.
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

    /// Applies a command of the entry at `index`; returns the session whose assignments the command changed, if
    /// that session still exists.
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
        // The id is the entry's index, or greater if several limiters register in one entry: ids are unique and
        // grow.
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
