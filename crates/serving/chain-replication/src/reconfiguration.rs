//! Plans the desired view from the connections and the eligibility of members. Planning has no state: members with equal
//! observations make equal plans.

use crate::identity::{MemberId, Peer};
use crate::limits::{MAX_MEMBERS, MIN_MEMBERS};
use crate::view::{majority_of, View};

/// The observations about one member of the view.
#[derive(Clone, Debug)]
pub struct MemberStatus {
    /// For each member, by index: whether it is presumed connected with this member in both directions.
    pub connected: Vec<bool>,
    /// It is leaving, its disk stalls, or its log lags: it should be out of the chain if enough other members are left.
    pub ineligible: bool,
    /// It is out of the chain and has been eligible for long enough to be readmitted.
    pub readmissible: bool,
    /// Number of other members that report no connection with it; the planning member counts if it suspects it.
    pub suspected_by: usize,
    /// Neither the planning member nor any member that it receives pings from is connected with it.
    pub unreachable: bool,
    /// The planning member has received a ping of this view from it; always true of the planning member itself.
    pub reported: bool,
    /// It has been unreachable for so long that a joiner may replace it.
    pub replaceable: bool,
    /// It has announced that its process is about to end.
    pub leaving: bool,
    /// Its log is complete as of this view.
    pub synced: bool,
}

/// A request to be added to the view.
#[derive(Clone, Debug)]
pub struct JoinRequest {
    /// The new member.
    pub joiner: Peer,
    /// It has sent requests for at least [`ADDITIONAL_JOINER_DELAY`](crate::timing::ADDITIONAL_JOINER_DELAY). If it were
    /// meant to replace a failed member, that member would be suspected by now, so it may be an additional member.
    pub may_be_additional: bool,
}

/// The input of [`plan`].
pub struct Observations<'a> {
    /// The view in force.
    pub view: &'a View,
    /// One status for each member, by member index.
    pub statuses: &'a [MemberStatus],
    /// Join requests in the order in which they are considered.
    pub join_requests: &'a [JoinRequest],
}

/// The members and the chain that the next view should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The members of the next view, which vote on the view that follows it.
    pub members: Vec<Peer>,
    /// The chain from head to tail.
    pub chain: Vec<MemberId>,
}

impl Plan {
    /// Whether the view already has the planned members and chain.
    #[must_use]
    pub fn is_in_force(&self, view: &View) -> bool {
        self.members == view.members && self.chain == view.chain
    }
}

/// Plans the members and the chain of the next view. Returns `None` if no chain of at least a majority of the planned
/// members is possible.
#[must_use]
pub fn plan(observations: &Observations) -> Option<Plan> {
    let MembershipChange { members, joiner } = plan_members(observations);
    let min_length = majority_of(members.len());
    let stays = |index: &usize| members.contains(&observations.view.members[*index]);

    let remaining: Vec<usize> = observations
        .chain_indices()
        .into_iter()
        .filter(stays)
        .collect();
    let connected = observations.without_disconnected(remaining);
    let is_eligible = |index: &usize| !observations.statuses[*index].ineligible;
    let mut chain: Vec<usize> = connected.iter().copied().filter(is_eligible).collect();
    observations.readmit(&mut chain, stays, |status| status.readmissible);

    if chain.len() < min_length {
        observations.readmit(&mut chain, stays, |status| !status.unreachable);
    }
    // A joiner is a learner at first, out of the chain, unless the chain would be too short without it.
    let joiner = joiner.filter(|_| chain.len() < min_length);
    if chain.len() + usize::from(joiner.is_some()) < min_length {
        // A chain with ineligible members is better than none.
        let readmitted: Vec<usize> = chain
            .into_iter()
            .filter(|index| !connected.contains(index))
            .collect();
        chain = connected;
        chain.extend(readmitted);
    }
    let id_of = |index: &usize| observations.view.members[*index].id.clone();
    let chain: Vec<MemberId> = chain
        .iter()
        .map(id_of)
        .chain(joiner.map(|joiner| joiner.id))
        .collect();
    (chain.len() >= min_length).then_some(Plan { members, chain })
}

/// The members that the next view should have, and the new one among them.
struct MembershipChange {
    members: Vec<Peer>,
    joiner: Option<Peer>,
}

/// Plans the members of the next view. At most one member is added, replaced or removed; a joiner takes precedence over a
/// removal.
fn plan_members(observations: &Observations) -> MembershipChange {
    let mut members = observations.view.members.clone();
    for request in observations.join_requests {
        let joiner = request.joiner.clone();
        match slot_for(observations, request) {
            JoinerSlot::None => continue,
            JoinerSlot::Replacing(index) => members[index] = joiner.clone(),
            JoinerSlot::Additional => members.push(joiner.clone()),
        }
        return MembershipChange {
            members,
            joiner: Some(joiner),
        };
    }
    if let Some(index) = removable_member(observations) {
        members.remove(index);
    }
    MembershipChange {
        members,
        joiner: None,
    }
}

/// The place of a joiner among the members.
enum JoinerSlot {
    /// The joiner can't be added for now.
    None,
    /// The joiner replaces the member at this index.
    Replacing(usize),
    /// The joiner is an additional member.
    Additional,
}

fn slot_for(observations: &Observations, request: &JoinRequest) -> JoinerSlot {
    let joiner = &request.joiner;
    let members = &observations.view.members;
    let statuses = observations.statuses;
    if observations.view.has_member(&joiner.id) {
        return JoinerSlot::None;
    }
    if let Some(index) = members
        .iter()
        .position(|member| member.id.node == joiner.id.node)
    {
        // The node already has a member, with another disk. A delayed join request for the node's former disk must not
        // replace that member while it is reachable.
        return if statuses[index].unreachable {
            JoinerSlot::Replacing(index)
        } else {
            JoinerSlot::None
        };
    }
    if let Some(index) = statuses.iter().position(|status| status.replaceable) {
        return JoinerSlot::Replacing(index);
    }
    if let Some(index) = removable_leaver(observations, members.len()) {
        return JoinerSlot::Replacing(index);
    }
    // While a member is unreachable, no member is added: the unreachable one may return soon or be replaced by this joiner,
    // and the larger view would not tolerate the loss of another member.
    let all_present = statuses
        .iter()
        .all(|status| status.reported && !status.unreachable);
    if all_present && request.may_be_additional && members.len() < MAX_MEMBERS {
        JoinerSlot::Additional
    } else {
        JoinerSlot::None
    }
}

/// The member to remove from an even number of members: one that has been unreachable for long or is leaving. An even
/// number of members tolerates no more losses than the odd number below it: four tolerate one, as three do. If the fourth
/// is lost and stays a member, no further loss is tolerated; if it is removed, one is. A removed member that comes back
/// joins anew.
fn removable_member(observations: &Observations) -> Option<usize> {
    let count = observations.view.members.len();
    if count <= MIN_MEMBERS || !count.is_multiple_of(2) {
        return None;
    }
    let unreachable_for_long = observations
        .statuses
        .iter()
        .position(|status| status.replaceable);
    unreachable_for_long.or_else(|| removable_leaver(observations, count - 1))
}

/// A leaving member that may be removed or replaced at once, after which there are `members_after` members. Its process may
/// still be draining, but will certainly end, and until the member is removed it has a vote. The other members must have
/// every commit without it: a majority of `members_after` must be synced in this view, so that every later majority
/// contains a member with all commits.
fn removable_leaver(observations: &Observations, members_after: usize) -> Option<usize> {
    let statuses = observations.statuses;
    let is_complete =
        |status: &&MemberStatus| status.synced && !status.unreachable && !status.ineligible;
    let complete_without = |leaver: usize| {
        let others = statuses
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != leaver);
        others.map(|(_, status)| status).filter(is_complete).count()
    };
    (0..statuses.len()).find(|index| {
        statuses[*index].leaving && complete_without(*index) >= majority_of(members_after)
    })
}

impl Observations<'_> {
    fn chain_indices(&self) -> Vec<usize> {
        self.view
            .chain
            .iter()
            .filter_map(|id| self.view.member_index(id))
            .collect()
    }

    fn are_connected(&self, one: usize, other: usize) -> bool {
        one == other || self.statuses[one].connected[other]
    }

    /// Removes members until all that are left are connected with each other. Among the members that lack a connection
    /// within the chain, it removes the one that lacks the most connections to all members; among equals the one that more
    /// members report as lost, and then the one nearer to the tail.
    fn without_disconnected(&self, mut indices: Vec<usize>) -> Vec<usize> {
        let missing_connections = |one: usize| {
            (0..self.statuses.len())
                .filter(|other| !self.are_connected(one, *other))
                .count()
        };
        loop {
            let is_disconnected =
                |one: usize| indices.iter().any(|other| !self.are_connected(one, *other));
            let disconnected = (0..indices.len()).filter(|at| is_disconnected(indices[*at]));
            let worst = disconnected.max_by_key(|at| {
                let index = indices[*at];
                (
                    missing_connections(index),
                    self.statuses[index].suspected_by,
                    *at,
                )
            });
            match worst {
                Some(worst) => indices.remove(worst),
                None => return indices,
            };
        }
    }

    /// Appends to the planned `chain` each member that is in neither this chain nor that of the view, remains a member
    /// (`stays`), is eligible, satisfies `is_wanted`, and is connected with all members of the planned chain.
    fn readmit(
        &self,
        chain: &mut Vec<usize>,
        stays: impl Fn(&usize) -> bool,
        is_wanted: impl Fn(&MemberStatus) -> bool,
    ) {
        for (index, status) in self.statuses.iter().enumerate() {
            let was_in_chain = self.view.in_chain(&self.view.members[index].id);
            let is_out = !chain.contains(&index) && !was_in_chain;
            let is_connected = chain.iter().all(|other| self.are_connected(index, *other));
            if is_out && stays(&index) && !status.ineligible && is_wanted(status) && is_connected {
                chain.push(index);
            }
        }
    }
}
