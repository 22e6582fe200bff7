//! Which view there should be next, from who hears whom and who is fit. Free of state: every member that sees the
//! same comes to the same plan.

use crate::identity::{majority_of, MemberId, Peer, View};
use crate::timing::{FEWEST_MEMBERS, MOST_MEMBERS};

/// What is seen of one member of the view.
#[derive(Clone, Debug)]
pub struct Standing {
    /// Whom it is connected with both ways, by the members' order.
    pub connected: Vec<bool>,
    /// It should be put out of the chain, if enough others are left: it leaves, its disk stalls, or it lags.
    pub unfit: bool,
    /// It is out of the chain and has been well for long enough to be taken back.
    pub may_return: bool,
    /// How many members say that they have lost it, the planning one included.
    pub accusers: usize,
    /// Nobody that the planning member hears, nor itself, hears it.
    pub silent: bool,
    /// It has told in this view that it is there.
    pub present: bool,
    /// It has been silent for so long that a newcomer may take its place.
    pub replaceable: bool,
    /// It has said that its process is about to end.
    pub leaving: bool,
    /// Its log holds all that it must in this view.
    pub synced: bool,
}

/// A member that asks to be added.
#[derive(Clone, Debug)]
pub struct Applicant {
    pub peer: Peer,
    /// It has asked for so long that a member which it is to replace would be silent by now.
    pub patient: bool,
}

/// What a plan is made from.
pub struct Situation<'a> {
    pub view: &'a View,
    /// By the members' order.
    pub standings: &'a [Standing],
    pub applicants: &'a [Applicant],
}

/// The members and the chain that there should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    pub members: Vec<Peer>,
    pub chain: Vec<MemberId>,
}

impl Plan {
    pub fn is_in_force(&self, view: &View) -> bool {
        self.members == view.members && self.chain == view.chain
    }
}

/// The plan, or none while too few members are fit to make up a chain.
pub fn plan(situation: &Situation) -> Option<Plan> {
    let (members, newcomer) = plan_members(situation);
    let least = majority_of(members.len());
    let in_place = |index: &usize| members.contains(&situation.view.members[*index]);

    let present: Vec<usize> = situation
        .chain_indices()
        .into_iter()
        .filter(in_place)
        .collect();
    let reachable = situation.without_disconnected(present);
    let mut chain: Vec<usize> = reachable
        .iter()
        .copied()
        .filter(|index| !situation.standings[*index].unfit)
        .collect();
    situation.take_back(&mut chain, in_place, |standing| standing.may_return);

    if chain.len() < least {
        situation.take_back(&mut chain, in_place, |standing| !standing.silent);
    }
    // A newcomer follows the commits first, out of the chain, unless the chain can't do without it.
    let newcomer = newcomer.filter(|_| chain.len() < least);
    let newcomers = usize::from(newcomer.is_some());
    if chain.len() + newcomers < least {
        // Rather a chain with unfit members than none.
        let returned: Vec<usize> = chain
            .into_iter()
            .filter(|index| !reachable.contains(index))
            .collect();
        chain = reachable;
        chain.extend(returned);
    }
    let id_of = |index: &usize| situation.view.members[*index].id.clone();
    let chain: Vec<MemberId> = chain
        .iter()
        .map(id_of)
        .chain(newcomer.map(|peer| peer.id))
        .collect();
    (chain.len() >= least).then_some(Plan { members, chain })
}

/// The members that there should be, and which of them is new. One newcomer at a time.
fn plan_members(situation: &Situation) -> (Vec<Peer>, Option<Peer>) {
    let mut members = situation.view.members.clone();
    for applicant in situation.applicants {
        let newcomer = applicant.peer.clone();
        match place_for(situation, applicant) {
            Place::None => continue,
            Place::Of(index) => members[index] = newcomer.clone(),
            Place::New => members.push(newcomer.clone()),
        }
        return (members, Some(newcomer));
    }
    if let Some(index) = superfluous(situation) {
        members.remove(index);
    }
    (members, None)
}

/// Where a newcomer goes.
enum Place {
    /// It has none for now.
    None,
    /// It takes that member's.
    Of(usize),
    New,
}

fn place_for(situation: &Situation, applicant: &Applicant) -> Place {
    let newcomer = &applicant.peer;
    let members = &situation.view.members;
    if situation.view.has_member(&newcomer.id) {
        return Place::None;
    }
    if let Some(index) = members
        .iter()
        .position(|member| member.id.node == newcomer.id.node)
    {
        // Against a late message of the disk before: a member that is heard isn't put out by its own name.
        let gone = situation.standings[index].silent;
        return if gone { Place::Of(index) } else { Place::None };
    }
    if let Some(index) = situation
        .standings
        .iter()
        .position(|standing| standing.replaceable)
    {
        return Place::Of(index);
    }
    if let Some(index) = dispensable_leaver(situation, members.len()) {
        return Place::Of(index);
    }
    // A member that isn't heard will be back soon, or the newcomer takes its place: with the newcomer as one more, the
    // loss of another would be one too many.
    let all_here = situation
        .standings
        .iter()
        .all(|standing| standing.present && !standing.silent);
    if all_here && applicant.patient && members.len() < MOST_MEMBERS {
        Place::New
    } else {
        Place::None
    }
}

/// A member that isn't needed, as it leaves or has been gone for long: an even number of members bears no more losses
/// than the odd one below it, and with one of them gone it bears less. Should the member come back, it is a newcomer.
fn superfluous(situation: &Situation) -> Option<usize> {
    let count = situation.view.members.len();
    let may_shrink = count > FEWEST_MEMBERS && count.is_multiple_of(2);
    let gone = || {
        situation
            .standings
            .iter()
            .position(|standing| standing.replaceable)
    };
    may_shrink
        .then(|| gone().or_else(|| dispensable_leaver(situation, count - 1)))
        .flatten()
}

/// A member that leaves and may go at once, to leave a view of `members_after` members. It need not have ended: a slow
/// drain would keep it a voter whose loss is certain. The others have to hold all that was committed without it: with
/// so many of them synced in this view, every majority that decides the next one has one of them.
fn dispensable_leaver(situation: &Situation, members_after: usize) -> Option<usize> {
    let standings = situation.standings;
    let holds = |standing: &&Standing| standing.synced && !standing.silent && !standing.unfit;
    let holders = |leaver: usize| {
        let others = standings
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != leaver);
        others.map(|(_, standing)| standing).filter(holds).count()
    };
    (0..standings.len())
        .find(|index| standings[*index].leaving && holders(*index) >= majority_of(members_after))
}

impl Situation<'_> {
    fn chain_indices(&self) -> Vec<usize> {
        self.view
            .chain
            .iter()
            .filter_map(|id| self.view.member_index(id))
            .collect()
    }

    fn connected(&self, one: usize, other: usize) -> bool {
        one == other || self.standings[one].connected[other]
    }

    /// Takes members out until all that are left are connected with each other. Of those that lack a connection
    /// within the chain, the one goes that lacks the most to all members; of equals the one that more say they have
    /// lost, and then the one further down.
    fn without_disconnected(&self, mut indices: Vec<usize>) -> Vec<usize> {
        let lacking = |one: usize| {
            (0..self.standings.len())
                .filter(|other| !self.connected(one, *other))
                .count()
        };
        loop {
            let cut_off = |one: usize| indices.iter().any(|other| !self.connected(one, *other));
            let cut_off: Vec<usize> = (0..indices.len())
                .filter(|place| cut_off(indices[*place]))
                .collect();
            let badness = |place: &usize| {
                let index = indices[*place];
                (lacking(index), self.standings[index].accusers, *place)
            };
            match cut_off.into_iter().max_by_key(badness) {
                Some(worst) => indices.remove(worst),
                None => return indices,
            };
        }
    }

    /// Puts at the end those members out of the chain that are fit, wanted, and connected with all in it.
    fn take_back(
        &self,
        chain: &mut Vec<usize>,
        in_place: impl Fn(&usize) -> bool,
        wanted: impl Fn(&Standing) -> bool,
    ) {
        for index in 0..self.standings.len() {
            let standing = &self.standings[index];
            let out = !chain.contains(&index) && !self.view.in_chain(&self.view.members[index].id);
            let connected = chain.iter().all(|other| self.connected(index, *other));
            if out && in_place(&index) && !standing.unfit && wanted(standing) && connected {
                chain.push(index);
            }
        }
    }
}
