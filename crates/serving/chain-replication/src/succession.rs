//! From a plan and the promises of a majority to the next view: which members hold all that was committed, and in which
//! order the chain goes on. Free of state.

use crate::agreed::DecidedView;
use crate::identity::{MemberId, View};
use crate::log::Position;
use crate::plan::Plan;

/// The log of a member that has promised: it takes no further part in the view that is to end.
#[derive(Clone, Copy, Debug)]
pub struct SealedLog<'a> {
    pub of: &'a MemberId,
    /// The newest view in which it held all that it must.
    pub synced_view: u64,
    pub last: Position,
}

impl SealedLog<'_> {
    /// How far it goes: greater ones hold all that lesser ones do, of those that are enough at all.
    fn extent(&self) -> (u64, Position) {
        (self.synced_view, self.last)
    }
}

/// The view after `decided` by the plan, headed by a member that holds all that was committed; none, while no member
/// that is to stay is known to.
pub fn view_after(decided: &DecidedView, plan: Plan, sealed: &[SealedLog]) -> Option<DecidedView> {
    let base = base_after(decided, sealed)?;
    let holders = sealed.iter().filter(|log| log.synced_view >= base);
    let chain = chain_after(&decided.view, &plan, holders)?;
    let view = View {
        number: decided.number() + 1,
        members: plan.members,
        chain,
    };
    view.is_sound().then_some(DecidedView { view, base })
}

/// The base of the view after `decided`, from the promises of a majority; none, if no member of the chain is among
/// them.
///
/// A commit in a view needs every member of its chain, synced in it. If one of them has promised without having synced,
/// nothing was committed in the view, nor ever will be: what was enough for it is enough for the next one. To ask for a
/// member that has synced in it all the same would make the head the only whole copy right after each change, and its
/// loss the end of the core.
fn base_after(decided: &DecidedView, sealed: &[SealedLog]) -> Option<u64> {
    let number = decided.number();
    let mut of_chain = sealed
        .iter()
        .filter(|log| decided.view.in_chain(log.of))
        .peekable();
    of_chain.peek()?;
    let all_synced = of_chain.all(|log| log.synced_view == number);
    Some(if all_synced { number } else { decided.base })
}

/// The planned chain, headed by members that hold enough. Survivors of the chain before keep their order.
fn chain_after<'a>(
    before: &View,
    plan: &Plan,
    holders: impl Iterator<Item = &'a SealedLog<'a>>,
) -> Option<Vec<MemberId>> {
    let stays = |log: &&SealedLog| plan.members.iter().any(|member| member.id == *log.of);
    let mut holders: Vec<&SealedLog> = holders.filter(stays).collect();
    // Those that go furthest first; of equals those further up the chain before.
    let place = |id: &MemberId| before.chain_index(id).unwrap_or(usize::MAX);
    holders.sort_by(|one, other| {
        other
            .extent()
            .cmp(&one.extent())
            .then(place(one.of).cmp(&place(other.of)))
    });
    let is_holder = |id: &MemberId| holders.iter().any(|other| other.of == id);
    let mut chain: Vec<MemberId> = Vec::new();
    if plan.chain.iter().any(is_holder) {
        let planned = holders
            .iter()
            .map(|other| other.of)
            .filter(|id| plan.chain.contains(id));
        chain.extend(planned.cloned());
    } else {
        chain.push(holders.first()?.of.clone());
    }
    let rest: Vec<MemberId> = plan
        .chain
        .iter()
        .filter(|id| !chain.contains(id))
        .cloned()
        .collect();
    chain.extend(rest);
    Some(chain)
}
