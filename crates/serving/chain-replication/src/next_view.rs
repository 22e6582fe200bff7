//! Derives the next view from a plan and the promises of a majority: which members have every commit, and the order of
//! the chain. The derivation has no state.

use crate::agreement::DecidedView;
use crate::identity::MemberId;
use crate::log::Position;
use crate::reconfiguration::Plan;
use crate::view::{View, ViewNumber};

/// The log of a member that has promised, and so no longer participates in the present view.
#[derive(Clone, Copy, Debug)]
pub struct SealedLog<'a> {
    /// The member that reported the log.
    pub member: &'a MemberId,
    /// The newest view as of which the log was complete.
    pub synced_view: ViewNumber,
    /// The end of the log.
    pub last: Position,
}

impl SealedLog<'_> {
    /// The key by which complete logs are compared: a log with a greater extent includes every log with a lesser extent.
    fn extent(&self) -> (ViewNumber, Position) {
        (self.synced_view, self.last)
    }
}

/// The view after `decided` by the plan, headed by a member that has every commit. `None` if no planned member is known to
/// have every commit.
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

/// The base of the view after `decided`, from the promises of a majority; `None` if no member of the chain has promised.
///
/// A commit in a view requires that every member of its chain is synced in the view. If a member of the chain has promised
/// without being synced, nothing was or ever will be committed in the view, so its base also holds for the next view. If a
/// member synced in the view were required even then, the head would be the only complete replica right after each view
/// change, and its loss would stop the core for good.
fn base_after(decided: &DecidedView, sealed: &[SealedLog]) -> Option<ViewNumber> {
    let number = decided.number();
    let mut chain_logs = sealed
        .iter()
        .filter(|log| decided.view.in_chain(log.member))
        .peekable();
    chain_logs.peek()?;
    let all_synced = chain_logs.all(|log| log.synced_view == number);
    Some(if all_synced { number } else { decided.base })
}

/// The planned chain, with the members whose logs are complete first, by decreasing extent; members of equal extent keep
/// their order in the previous chain. If no planned member of the chain has a complete log, another member that has one
/// becomes the head.
fn chain_after<'a>(
    previous: &View,
    plan: &Plan,
    complete: impl Iterator<Item = &'a SealedLog<'a>>,
) -> Option<Vec<MemberId>> {
    let stays = |log: &&SealedLog| plan.members.iter().any(|member| member.id == *log.member);
    let mut complete: Vec<&SealedLog> = complete.filter(stays).collect();
    // Greatest extent first; among equals, the member that was nearer to the head.
    let previous_rank = |log: &SealedLog| previous.chain_index(log.member).unwrap_or(usize::MAX);
    complete.sort_by(|one, other| {
        let by_extent = other.extent().cmp(&one.extent());
        by_extent.then(previous_rank(one).cmp(&previous_rank(other)))
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
    let remaining: Vec<MemberId> = plan
        .chain
        .iter()
        .filter(|id| !chain.contains(id))
        .cloned()
        .collect();
    chain.extend(remaining);
    Some(chain)
}
