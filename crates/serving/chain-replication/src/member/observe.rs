//! Plans the desired view from this member's observations of itself and of the others.

use super::Member;
use crate::identity::MemberId;
use crate::limits::MAX_COMMITS_BEHIND;
use crate::reconfiguration::{plan, JoinRequest, MemberStatus, Observations, Plan};
use crate::timing::{CATCH_UP_TIMEOUT, REPLACE_TIMEOUT};
use crate::view::{View, ViewNumber};

impl Member {
    /// The members and chain that the next view should have.
    pub(super) fn plan(&mut self) -> Option<Plan> {
        let view = self.view()?.clone();
        let indices = 0..view.members.len();
        let mut statuses: Vec<MemberStatus> =
            indices.map(|index| self.status_of(&view, index)).collect();
        self.update_eligibility(&view, &mut statuses);
        let alive = self
            .joiners
            .iter()
            .filter(|joiner| joiner.is_alive(self.now));
        let join_requests: Vec<JoinRequest> =
            alive.map(|joiner| joiner.request(self.now)).collect();
        plan(&Observations {
            view: &view,
            statuses: &statuses,
            join_requests: &join_requests,
        })
    }

    fn status_of(&self, view: &View, index: usize) -> MemberStatus {
        let id = &view.members[index].id;
        let unreachable = !self.is_reachable(view, index);
        let silent_for = self.failure_detector.silent_for(id, self.now);
        let others = 0..view.members.len();
        MemberStatus {
            connected: others
                .map(|other| self.are_connected(view, index, other))
                .collect(),
            ineligible: self.is_ineligible(view, id),
            readmissible: false,
            suspected_by: self.count_suspecting(view, index),
            unreachable,
            reported: *id == self.me.id
                || self.failure_detector.last_ping(id, view.number).is_some(),
            replaceable: unreachable && silent_for >= REPLACE_TIMEOUT,
            leaving: self.is_leaving(id),
            synced: self.is_known_synced(view, id),
        }
    }

    fn is_leaving(&self, id: &MemberId) -> bool {
        if *id == self.me.id {
            self.leaving
        } else {
            self.failure_detector.is_leaving(id)
        }
    }

    /// Whether the member has reported that its log is complete as of this view.
    fn is_known_synced(&self, view: &View, id: &MemberId) -> bool {
        if *id == self.me.id {
            self.has_caught_up()
        } else {
            let ping = self.failure_detector.last_ping(id, view.number);
            ping.is_some_and(|ping| ping.synced)
        }
    }

    /// Whether the member at index `one` has reported a connection with the member at index `other`; `None` if `one` is
    /// not alive or has sent no ping in this view.
    fn reported_connection(&self, view: &View, one: usize, other: usize) -> Option<bool> {
        let id = &view.members[one].id;
        let ping = self.failure_detector.last_ping(id, view.number);
        let ping = ping.filter(|_| self.failure_detector.is_alive(id, self.now));
        ping.map(|ping| ping.is_connected_with(other))
    }

    /// Whether two members are presumed connected in both directions: neither of them has reported otherwise.
    fn are_connected(&self, view: &View, one: usize, other: usize) -> bool {
        let (first, second) = (&view.members[one].id, &view.members[other].id);
        if one == other {
            true
        } else if *first == self.me.id {
            self.failure_detector.is_connected(second, self.now)
        } else if *second == self.me.id {
            self.failure_detector.is_connected(first, self.now)
        } else {
            let reports_disconnected =
                |from, to| self.reported_connection(view, from, to) == Some(false);
            !reports_disconnected(one, other) && !reports_disconnected(other, one)
        }
    }

    /// Number of other members that report no connection with the member at `index`; this member counts if it suspects
    /// that member.
    fn count_suspecting(&self, view: &View, index: usize) -> usize {
        let suspects = |other: &usize| {
            if view.members[*other].id == self.me.id {
                !self
                    .failure_detector
                    .is_alive(&view.members[index].id, self.now)
            } else {
                self.reported_connection(view, *other, index) == Some(false)
            }
        };
        let others = (0..view.members.len()).filter(|other| *other != index);
        others.filter(suspects).count()
    }

    /// Whether this member, or a member from which it receives pings, is connected with the member at `index`.
    fn is_reachable(&self, view: &View, index: usize) -> bool {
        let id = &view.members[index].id;
        let mut others = (0..view.members.len()).filter(|other| *other != index);
        *id == self.me.id
            || self.failure_detector.is_alive(id, self.now)
            || others.any(|other| self.reported_connection(view, other, index) == Some(true))
    }

    fn is_ineligible(&self, view: &View, id: &MemberId) -> bool {
        let is_lagging = self.is_lagging(view, id);
        if *id == self.me.id {
            return self.leaving || self.is_disk_stalled() || is_lagging;
        }
        self.reports_ineligible(id) || is_lagging
    }

    pub(super) fn reports_ineligible(&self, id: &MemberId) -> bool {
        let ping = self.failure_detector.last_ping(id, self.view_number());
        ping.is_some_and(|ping| ping.disk_stalled || ping.leaving)
    }

    /// Whether `id` holds up the chain: [`CATCH_UP_TIMEOUT`] has passed since the view was installed, and `id` is the first
    /// member of the chain that has not caught up with its predecessor.
    fn is_lagging(&self, view: &View, id: &MemberId) -> bool {
        let has_caught_up = |id: &&MemberId| {
            if **id == self.me.id {
                self.has_caught_up()
            } else {
                let ping = self.failure_detector.last_ping(id, view.number);
                ping.is_none_or(|ping| ping.synced)
            }
        };
        let is_late = self.now >= self.installed_at + CATCH_UP_TIMEOUT;
        is_late && view.chain.iter().find(|id| !has_caught_up(id)) == Some(id)
    }

    /// Records which members out of the chain are eligible now, and marks the members that have been eligible for long
    /// enough as readmissible.
    fn update_eligibility(&mut self, view: &View, statuses: &mut [MemberStatus]) {
        let in_chain: Vec<usize> = view
            .chain
            .iter()
            .filter_map(|id| view.member_index(id))
            .collect();
        for index in (0..view.members.len()).filter(|index| !in_chain.contains(index)) {
            let is_connected =
                |other: &usize| statuses[*other].unreachable || statuses[index].connected[*other];
            let status = &statuses[index];
            let is_admissible =
                !status.ineligible && !status.unreachable && in_chain.iter().all(is_connected);
            let id = &view.members[index].id;
            let eligible = is_admissible && self.has_nearly_all_commits(id, view.number);
            statuses[index].readmissible = self
                .failure_detector
                .update_eligibility(id, eligible, self.now);
        }
    }

    /// Whether a member lacks few enough commits to be readmitted; otherwise the chain would wait long for it to catch up.
    fn has_nearly_all_commits(&self, id: &MemberId, view: ViewNumber) -> bool {
        let ping = self.failure_detector.last_ping(id, view);
        ping.is_some_and(|ping| ping.commit_index + MAX_COMMITS_BEHIND >= self.commit_index)
    }
}
