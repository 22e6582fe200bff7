//! The members that are up, and detection of duplicate names.

use crate::member::Member;
use crate::output::{DuplicateName, Output};
use crate::runtime::MemberChanges;
use std::collections::BTreeMap;

/// The members that are up, without this process.
#[derive(Default)]
pub struct Peers {
    up: BTreeMap<PeerKey, Peer>,
    /// Names that two running processes use.
    duplicates: BTreeMap<String, DuplicateName>,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct PeerKey {
    name: String,
    instance: u64,
}

struct Peer {
    member: Member,
    /// Time at which the member was first reported as up.
    up_since: f64,
}

impl PeerKey {
    fn of(member: &Member) -> PeerKey {
        PeerKey {
            name: member.name.clone(),
            instance: member.instance,
        }
    }
}

impl Peers {
    /// Applies the changes that the library reports, and outputs members that are newly up or down.
    pub fn apply(&mut self, changes: MemberChanges, now: f64, outputs: &mut Vec<Output>) {
        for member in changes.down {
            if let Some(peer) = self.up.remove(&PeerKey::of(&member)) {
                outputs.push(Output::Down(peer.member));
            }
        }
        for member in changes.up {
            let key = PeerKey::of(&member);
            match self.up.get_mut(&key) {
                Some(peer) => peer.member = member,
                None => {
                    outputs.push(Output::Up(member.clone()));
                    self.up.insert(
                        key,
                        Peer {
                            member,
                            up_since: now,
                        },
                    );
                }
            }
        }
    }

    /// Number of members that are up.
    pub fn count(&self) -> usize {
        self.up.len()
    }

    /// The members that are up. Of several instances of a name, only the latest is included.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.up
            .values()
            .map(|peer| &peer.member)
            .filter(|member| self.is_latest(member))
    }

    fn is_latest(&self, member: &Member) -> bool {
        self.instances(&member.name)
            .all(|peer| peer.member.precedence <= member.precedence)
    }

    /// The latest instance of a name, if one is up.
    pub fn find(&self, name: &str) -> Option<&Member> {
        self.instances(name)
            .map(|peer| &peer.member)
            .max_by_key(|member| member.precedence)
    }

    fn instances(&self, name: &str) -> impl Iterator<Item = &Peer> {
        let key = |instance| PeerKey {
            name: name.to_owned(),
            instance,
        };
        self.up.range(key(0)..=key(u64::MAX)).map(|(_, peer)| peer)
    }

    /// Whether two running processes use this name.
    pub fn is_duplicate(&self, name: &str) -> bool {
        self.duplicates.contains_key(name)
    }

    /// Finds names that two running processes use, and outputs each once until the duplicate ends. Instances are only
    /// compared once they have been up for `min_uptime`, as a failed instance counts as up for a shorter time. `own` is
    /// this process, which is always compared.
    pub fn find_duplicates(
        &mut self,
        own: &Member,
        min_uptime: f64,
        now: f64,
        outputs: &mut Vec<Output>,
    ) {
        let mut found = BTreeMap::new();
        let mut previous: Option<&Peer> = None;
        for peer in self.up.values() {
            let is_confirmed = |peer: &Peer| now > peer.up_since + min_uptime;
            let member = &peer.member;
            if member.name == own.name && member.instance != own.instance && is_confirmed(peer) {
                found.insert(own.name.clone(), duplicate(own, member));
            }
            if let Some(previous) = previous.filter(|other| other.member.name == member.name) {
                if is_confirmed(peer) && is_confirmed(previous) {
                    found.insert(member.name.clone(), duplicate(&previous.member, member));
                }
            }
            previous = Some(peer);
        }
        for (name, duplicate) in &found {
            if !self.duplicates.contains_key(name) {
                outputs.push(Output::DuplicateName(duplicate.clone()));
            }
        }
        self.duplicates = found;
    }
}

fn duplicate(first: &Member, second: &Member) -> DuplicateName {
    DuplicateName {
        name: first.name.clone(),
        first_instance: first.instance,
        second_instance: second.instance,
    }
}
