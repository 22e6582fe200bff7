//! Who the members are, and what a view of them is.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A machine with one life of its disk. A machine whose disk was wiped is another member: it has forgotten its votes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    pub node: String,
    pub disk: u64,
}

/// A member and the address of its internal port.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    pub id: MemberId,
    pub address: SocketAddr,
}

/// Who votes on the next view, and the order in which writes pass.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    pub number: u64,
    /// The voters.
    pub members: Vec<Peer>,
    /// From head to tail; each is one of `members`.
    pub chain: Vec<MemberId>,
}

/// The least number that is more than half of `count`.
pub fn majority_of(count: usize) -> usize {
    count / 2 + 1
}

impl View {
    /// How many members decide on the next view. A chain is never shorter than this.
    pub fn majority(&self) -> usize {
        majority_of(self.members.len())
    }

    pub fn member_index(&self, id: &MemberId) -> Option<usize> {
        self.members.iter().position(|member| member.id == *id)
    }

    pub fn member(&self, id: &MemberId) -> Option<&Peer> {
        self.members.iter().find(|member| member.id == *id)
    }

    pub fn has_member(&self, id: &MemberId) -> bool {
        self.member(id).is_some()
    }

    pub fn chain_index(&self, id: &MemberId) -> Option<usize> {
        self.chain.iter().position(|other| other == id)
    }

    pub fn in_chain(&self, id: &MemberId) -> bool {
        self.chain_index(id).is_some()
    }

    pub fn head(&self) -> Option<&MemberId> {
        self.chain.first()
    }

    pub fn is_head(&self, id: &MemberId) -> bool {
        self.head() == Some(id)
    }

    pub fn is_tail(&self, id: &MemberId) -> bool {
        self.chain.last() == Some(id)
    }

    /// The member before `id` in the chain.
    pub fn predecessor(&self, id: &MemberId) -> Option<&MemberId> {
        let index = self.chain_index(id)?;
        self.chain.get(index.checked_sub(1)?)
    }

    /// The member after `id` in the chain.
    pub fn successor(&self, id: &MemberId) -> Option<&MemberId> {
        let index = self.chain_index(id)?;
        self.chain.get(index + 1)
    }

    /// Whether the view could be in force: members and chain without doubles, the chain within the members and not
    /// shorter than a majority of them.
    pub fn is_sound(&self) -> bool {
        let members_differ = (1..self.members.len()).all(|index| {
            !self.members[..index]
                .iter()
                .any(|member| member.id == self.members[index].id)
        });
        let chain_differs =
            (1..self.chain.len()).all(|index| !self.chain[..index].contains(&self.chain[index]));
        let chain_within = self.chain.iter().all(|id| self.has_member(id));
        let long_enough = !self.members.is_empty() && self.chain.len() >= self.majority();
        members_differ && chain_differs && chain_within && long_enough
    }
}
