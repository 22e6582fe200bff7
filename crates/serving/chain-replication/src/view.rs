//! Views: the members that vote on the next view, and the chain along which entries are replicated.

use crate::identity::{MemberId, Peer};
use serde::{Deserialize, Serialize};

/// Views are numbered from 1 in the order in which they are decided; 0 stands for none.
pub type ViewNumber = u64;

/// The members that vote on the next view, and the chain in the order in which entries pass it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// One above the number of the view before.
    pub number: ViewNumber,
    /// The members, which vote on the next view.
    pub members: Vec<Peer>,
    /// The chain from head to tail; a subset of `members`.
    pub chain: Vec<MemberId>,
}

/// The least number that is more than half of `count`.
#[must_use]
pub fn majority_of(count: usize) -> usize {
    count / 2 + 1
}

impl View {
    /// How many members have to agree on the next view. A chain is never shorter than this.
    #[must_use]
    pub fn majority(&self) -> usize {
        majority_of(self.members.len())
    }

    /// The member's index in `members`.
    #[must_use]
    pub fn member_index(&self, id: &MemberId) -> Option<usize> {
        self.members.iter().position(|member| member.id == *id)
    }

    /// The member of this identity, with its address.
    #[must_use]
    pub fn member(&self, id: &MemberId) -> Option<&Peer> {
        self.members.iter().find(|member| member.id == *id)
    }

    /// Whether `id` is a member, so that it votes on the next view.
    #[must_use]
    pub fn has_member(&self, id: &MemberId) -> bool {
        self.member(id).is_some()
    }

    /// The member's index in the chain, from the head; `None` if it is out of the chain.
    #[must_use]
    pub fn chain_index(&self, id: &MemberId) -> Option<usize> {
        self.chain.iter().position(|other| other == id)
    }

    /// Whether `id` is in the chain.
    #[must_use]
    pub fn in_chain(&self, id: &MemberId) -> bool {
        self.chain_index(id).is_some()
    }

    /// The member at which writes enter.
    #[must_use]
    pub fn head(&self) -> Option<&MemberId> {
        self.chain.first()
    }

    /// Whether writes enter at this member.
    #[must_use]
    pub fn is_head(&self, id: &MemberId) -> bool {
        self.head() == Some(id)
    }

    /// The last member of the chain: an entry is committed once the tail has synced it.
    #[must_use]
    pub fn tail(&self) -> Option<&MemberId> {
        self.chain.last()
    }

    /// Whether `id` is the tail.
    #[must_use]
    pub fn is_tail(&self, id: &MemberId) -> bool {
        self.tail() == Some(id)
    }

    /// The member before `id` in the chain.
    #[must_use]
    pub fn predecessor(&self, id: &MemberId) -> Option<&MemberId> {
        let index = self.chain_index(id)?;
        self.chain.get(index.checked_sub(1)?)
    }

    /// The member after `id` in the chain.
    #[must_use]
    pub fn successor(&self, id: &MemberId) -> Option<&MemberId> {
        let index = self.chain_index(id)?;
        self.chain.get(index + 1)
    }

    /// Whether the view is valid: members and chain have no duplicates, and the chain consists of members and is not shorter
    /// than a majority of them.
    #[must_use]
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
