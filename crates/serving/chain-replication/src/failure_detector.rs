//! The failure detector: from the messages and pings of the other members, it records which members this member receives
//! from, which members receive its pings, and which members report connections with each other.

use crate::identity::MemberId;
use crate::message::Ping;
use crate::timing::{
    Millis, ECHO_TIMEOUT, EVICTION_WINDOW, GRACE_PERIOD, MAX_READMISSION_DOUBLINGS, QUORUM_TIMEOUT,
    READMISSION_DELAY, SUSPECT_TIMEOUT, SUSPECT_TIMEOUT_AFTER_DISCONNECT,
};
use crate::view::{View, ViewNumber};

/// The observations about one other member.
#[derive(Clone, Debug)]
struct PeerState {
    id: MemberId,
    /// When a message from it last arrived; moved forward after our own suspension.
    last_received_at: Millis,
    /// When its connection was refused or reset; `None` once a message from it has arrived since.
    disconnected_at: Option<Millis>,
    /// When we sent the newest timestamp that it has echoed.
    echoed_sent_at: Option<Millis>,
    /// The peer's view when it echoed that timestamp.
    echoed_in_view: ViewNumber,
    /// The time until which it is presumed to receive our pings even without an echo.
    presumed_receiving_until: Millis,
    /// The newest timestamp received from it, to be echoed.
    timestamp: Option<u64>,
    last_ping: Option<Ping>,
    /// Number of recent evictions from the chain.
    evictions: u32,
    last_eviction_at: Millis,
    /// Since when it has been eligible for readmission to the chain.
    eligible_since: Option<Millis>,
}

impl PeerState {
    fn new(id: MemberId, now: Millis) -> PeerState {
        PeerState {
            id,
            last_received_at: now,
            disconnected_at: None,
            echoed_sent_at: None,
            echoed_in_view: 0,
            presumed_receiving_until: now + ECHO_TIMEOUT,
            timestamp: None,
            last_ping: None,
            evictions: 0,
            last_eviction_at: 0,
            eligible_since: None,
        }
    }

    /// When this peer becomes suspected, unless a message from it arrives before.
    fn suspected_at(&self) -> Millis {
        let by_timeout = self.last_received_at + SUSPECT_TIMEOUT;
        self.disconnected_at.map_or(by_timeout, |at| {
            by_timeout.min(at + SUSPECT_TIMEOUT_AFTER_DISCONNECT)
        })
    }

    fn is_alive(&self, now: Millis) -> bool {
        now < self.suspected_at()
    }

    fn has_echoed_recently(&self, now: Millis) -> bool {
        self.echoed_sent_at
            .is_some_and(|sent_at| now < sent_at + ECHO_TIMEOUT)
    }

    fn receives_pings(&self, now: Millis) -> bool {
        now < self.presumed_receiving_until || self.has_echoed_recently(now)
    }
}

/// Whether a ping reports a change that may affect the desired view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PingReport {
    Unchanged,
    Changed,
}

/// The observations about all other members of the view.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureDetector {
    peers: Vec<PeerState>,
}

impl FailureDetector {
    /// The failure detector at the start of a process, in the view found on disk.
    pub(crate) fn new(view: Option<&View>, me: &MemberId, now: Millis) -> FailureDetector {
        let mut detector = FailureDetector::default();
        if let Some(view) = view {
            detector.install_view(None, view, me, now);
        }
        detector
    }

    fn peer(&self, id: &MemberId) -> Option<&PeerState> {
        self.peers.iter().find(|peer| peer.id == *id)
    }

    fn peer_mut(&mut self, id: &MemberId) -> Option<&mut PeerState> {
        self.peers.iter_mut().find(|peer| peer.id == *id)
    }

    /// Keeps the observations about members of the new view, drops those about others, and counts evictions from the
    /// chain. A process that isn't a member exchanges no pings, so it keeps no observations.
    pub(crate) fn install_view(
        &mut self,
        previous: Option<&View>,
        view: &View,
        me: &MemberId,
        now: Millis,
    ) {
        self.peers
            .retain(|peer| view.has_member(&peer.id) && view.has_member(me));
        if !view.has_member(me) {
            return;
        }
        for member in view.members.iter().filter(|member| member.id != *me) {
            if self.peer(&member.id).is_none() {
                self.peers.push(PeerState::new(member.id.clone(), now));
            }
        }
        let Some(previous) = previous else { return };
        for peer in &mut self.peers {
            peer.eligible_since = None;
            if previous.in_chain(&peer.id) && !view.in_chain(&peer.id) {
                let recent = now.saturating_sub(peer.last_eviction_at) < EVICTION_WINDOW;
                peer.evictions = if recent { peer.evictions + 1 } else { 1 };
                peer.last_eviction_at = now;
            }
        }
    }

    /// Records the arrival of any message from a member.
    pub(crate) fn message_received(&mut self, id: &MemberId, now: Millis) {
        if let Some(peer) = self.peer_mut(id) {
            peer.last_received_at = now;
            peer.disconnected_at = None;
        }
    }

    /// Records a ping from a member; it echoes a timestamp that we sent at `echoed_sent_at`.
    pub(crate) fn ping_received(
        &mut self,
        id: &MemberId,
        ping: Ping,
        echoed_sent_at: Option<Millis>,
    ) -> PingReport {
        let Some(peer) = self.peer_mut(id) else {
            return PingReport::Unchanged;
        };
        let first_echo = peer.echoed_sent_at.is_none();
        peer.timestamp = Some(ping.timestamp);
        if echoed_sent_at >= peer.echoed_sent_at {
            peer.echoed_sent_at = echoed_sent_at;
            peer.echoed_in_view = ping.view;
        }
        let reports_same = peer
            .last_ping
            .as_ref()
            .is_some_and(|last| reports_same(last, &ping));
        peer.last_ping = Some(ping);
        if first_echo || !reports_same {
            PingReport::Changed
        } else {
            PingReport::Unchanged
        }
    }

    /// Records that the connection to a member was refused or reset.
    pub(crate) fn disconnected(&mut self, id: &MemberId, now: Millis) {
        if let Some(peer) = self.peer_mut(id) {
            peer.disconnected_at.get_or_insert(now);
        }
    }

    pub(crate) fn is_disconnected(&self, id: &MemberId) -> bool {
        self.peer(id)
            .is_some_and(|peer| peer.disconnected_at.is_some())
    }

    /// After a suspension of our own process: a message missed meanwhile says nothing about its sender, so every member
    /// gets [`GRACE_PERIOD`] for a message to arrive.
    pub(crate) fn grant_grace_period(&mut self, now: Millis) {
        for peer in &mut self.peers {
            let earliest = (now + GRACE_PERIOD).saturating_sub(SUSPECT_TIMEOUT);
            peer.last_received_at = peer.last_received_at.max(earliest);
            peer.disconnected_at = None;
            peer.presumed_receiving_until = peer.presumed_receiving_until.max(now + GRACE_PERIOD);
            peer.eligible_since = None;
        }
    }

    /// Discards the recorded echoes, which are of no use after our clock went back.
    pub(crate) fn forget_echoes(&mut self) {
        for peer in &mut self.peers {
            peer.echoed_sent_at = None;
        }
    }

    /// Whether the member isn't suspected.
    pub(crate) fn is_alive(&self, id: &MemberId, now: Millis) -> bool {
        self.peer(id).is_some_and(|peer| peer.is_alive(now))
    }

    /// Whether the member is alive and presumed to receive our pings.
    pub(crate) fn is_connected(&self, id: &MemberId, now: Millis) -> bool {
        self.peer(id)
            .is_some_and(|peer| peer.is_alive(now) && peer.receives_pings(now))
    }

    /// Whether the member is alive, and a recent echo shows that it receives our pings.
    pub(crate) fn is_confirmed_connected(&self, id: &MemberId, now: Millis) -> bool {
        self.peer(id)
            .is_some_and(|peer| peer.is_alive(now) && peer.has_echoed_recently(now))
    }

    /// Whether the member, in this view, has echoed a timestamp that we sent within [`QUORUM_TIMEOUT`].
    pub(crate) fn has_replied_recently(
        &self,
        id: &MemberId,
        view: ViewNumber,
        now: Millis,
    ) -> bool {
        self.peer(id).is_some_and(|peer| {
            let has_recent_echo = peer
                .echoed_sent_at
                .is_some_and(|at| now <= at + QUORUM_TIMEOUT);
            has_recent_echo && peer.echoed_in_view == view
        })
    }

    /// Whether a message from the member arrived within [`QUORUM_TIMEOUT`] and its last ping was of this view: for tests
    /// that remove `Safeguard::QuorumBySendTime`.
    pub(crate) fn was_received_recently(
        &self,
        id: &MemberId,
        view: ViewNumber,
        now: Millis,
    ) -> bool {
        self.peer(id).is_some_and(|peer| {
            let same_view = peer
                .last_ping
                .as_ref()
                .is_some_and(|ping| ping.view == view);
            now <= peer.last_received_at + QUORUM_TIMEOUT && same_view
        })
    }

    /// The time since the last message from the member.
    pub(crate) fn silent_for(&self, id: &MemberId, now: Millis) -> Millis {
        self.peer(id)
            .map_or(0, |peer| now.saturating_sub(peer.last_received_at))
    }

    /// The member's newest ping, if the member was in this view when it sent it.
    pub(crate) fn last_ping(&self, id: &MemberId, view: ViewNumber) -> Option<&Ping> {
        self.peer(id)?
            .last_ping
            .as_ref()
            .filter(|ping| ping.view == view)
    }

    /// Whether the member has announced, in any view, that its process is about to end. A ping of its next process revokes
    /// this.
    pub(crate) fn is_leaving(&self, id: &MemberId) -> bool {
        self.peer(id)
            .and_then(|peer| peer.last_ping.as_ref())
            .is_some_and(|ping| ping.leaving)
    }

    /// The newest timestamp received from the member, to be echoed.
    pub(crate) fn timestamp(&self, id: &MemberId) -> Option<u64> {
        self.peer(id)?.timestamp
    }

    /// Records whether the member is eligible for readmission now, and returns whether it has been eligible for long
    /// enough.
    pub(crate) fn update_eligibility(
        &mut self,
        id: &MemberId,
        eligible: bool,
        now: Millis,
    ) -> bool {
        let Some(peer) = self.peer_mut(id) else {
            return false;
        };
        if !eligible {
            peer.eligible_since = None;
            return false;
        }
        let doublings = peer
            .evictions
            .saturating_sub(1)
            .min(MAX_READMISSION_DOUBLINGS);
        now >= *peer.eligible_since.get_or_insert(now) + (READMISSION_DELAY << doublings)
    }

    /// The next time after `now` at which a member becomes suspected.
    pub(crate) fn next_suspicion(&self, now: Millis) -> Option<Millis> {
        self.peers
            .iter()
            .map(PeerState::suspected_at)
            .filter(|at| *at > now)
            .min()
    }
}

/// Whether two pings agree in all fields that affect the desired view.
fn reports_same(one: &Ping, other: &Ping) -> bool {
    one.view == other.view
        && one.connected == other.connected
        && one.synced == other.synced
        && one.disk_stalled == other.disk_stalled
        && one.leaving == other.leaving
}
