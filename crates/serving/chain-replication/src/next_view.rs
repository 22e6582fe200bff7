//! From a plan and the promises of a majority to the next view: which members have all that was committed, and in which
//! order the chain goes on. Without state.

use crate::agreement::DecidedView;
use crate::identity::MemberId;
use crate::log::Position;
use crate::reconfiguration::Plan;
use crate::view::{View, ViewNumber};

/// The log of a member that has promised: it no longer participates in the view that is to end.
#[derive(Clone, Copy, Debug)]
pub struct SealedLog<'a> {
    /// Whose log it is.
    pub member: &'a MemberId,
    /// The newest view as of which it was complete.
    pub synced_view: ViewNumber,
    /// Its end.
    pub last: Position,
}

impl SealedLog<'_> {
    /// How far it goes: greater ones include all that lesser ones do, of those that are enough at all.
    fn extent(&self) -> (ViewNumber, Position) {
        (self.synced_view, self.last)
    }
}

/// The view after `decided` by the plan, headed by a member that has all that was committed; none, while no member that
/// stays is known to.
#[must_use]
pub fn view_after(decided: &DecidedView, plan: Plan, sealed: &[SealedLog]) -> Option<DecidedView> {
    let base = base_after(decided, sealed)?;
    let complete = sealed.iter().filter(|log| log.synced_view >= base);
    let chain = chain_after(&decided.view, &plan, complete)?;
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
/// nothing was committed in the view, nor ever will be: what was enough for it is enough for the next one. To require a
/// member that has synced in it all the same would make the head the only complete replica right after each change, and
/// its loss the end of the core.
fn base_after(decided: &DecidedView, sealed: &[SealedLog]) -> Option<ViewNumber> {
    let number = decided.number();
    let mut of_chain = sealed
        .iter()
        .filter(|log| decided.view.in_chain(log.member))
        .peekable();
    of_chain.peek()?;
    let all_synced = of_chain.all(|log| log.synced_view == number);
    Some(if all_synced { number } else { decided.base })
}

/// The planned chain, headed by members whose logs are complete. Survivors of the chain before keep their order.
fn chain_after<'a>(
    before: &View,
    plan: &Plan,
    complete: impl Iterator<Item = &'a SealedLog<'a>>,
) -> Option<Vec<MemberId>> {
    let stays = |log: &&SealedLog| plan.members.iter().any(|member| member.id == *log.member);
    let mut complete: Vec<&SealedLog> = complete.filter(stays).collect();
    // Those that extend furthest first; of equals those nearer to the head before.
    let rank_before = |log: &SealedLog| before.chain_index(log.member).unwrap_or(usize::MAX);
    complete.sort_by(|one, other| {
        let by_extent = other.extent().cmp(&one.extent());
        by_extent.then(rank_before(one).cmp(&rank_before(other)))
    });
    let is_complete = |id: &MemberId| complete.iter().any(|log| log.member == id);
    let mut chain: Vec<MemberId> = Vec::new();
    if plan.chain.iter().any(is_complete) {
        let planned = complete
            .iter()
            .map(|log| log.member)
            .filter(|id| plan.chain.contains(id));
        chain.extend(planned.cloned());
    } else {
        chain.push(complete.first()?.member.clone());
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
