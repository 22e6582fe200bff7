//! What a member knows of the others from their pings: whom it hears, who hears it, and who hears whom.

use crate::identity::{MemberId, View};
use crate::message::Ping;
use crate::timing::{
    Millis, CURRENT_WITHIN, DOUBT_ROUND, ECHO_LASTS, EVICTIONS_FORGOTTEN_AFTER, RETURN_AFTER,
    RETURN_DOUBLINGS, SUSPECT_AFTER, SUSPECT_AFTER_DISCONNECT,
};

/// What is known of one other member.
#[derive(Clone, Debug)]
struct PeerState {
    id: MemberId,
    /// When it was last heard, or was given the benefit of the doubt.
    heard_at: Millis,
    /// Its connection was refused or reset then, and it hasn't been heard since.
    disconnected_at: Option<Millis>,
    /// The newest of our stamps that it has echoed, and the view that it was in then.
    echoed: Option<Millis>,
    echoed_in_view: u64,
    /// Until then it is taken to hear us.
    trusted_until: Millis,
    /// Its newest stamp.
    stamp: Option<u64>,
    ping: Option<Ping>,
    evictions: u32,
    last_eviction: Millis,
    /// Since when it could have been taken back into the chain.
    well_since: Option<Millis>,
}

impl PeerState {
    fn new(id: MemberId, now: Millis) -> PeerState {
        PeerState {
            id,
            heard_at: now,
            disconnected_at: None,
            echoed: None,
            echoed_in_view: 0,
            trusted_until: now + ECHO_LASTS,
            stamp: None,
            ping: None,
            evictions: 0,
            last_eviction: 0,
            well_since: None,
        }
    }

    /// When it becomes suspected, unless it is heard before.
    fn suspected_at(&self) -> Millis {
        let silent = self.heard_at + SUSPECT_AFTER;
        self.disconnected_at
            .map_or(silent, |at| silent.min(at + SUSPECT_AFTER_DISCONNECT))
    }

    fn is_heard(&self, now: Millis) -> bool {
        now < self.suspected_at()
    }

    fn hears_us(&self, now: Millis) -> bool {
        now < self.trusted_until || self.echoed.is_some_and(|stamp| now < stamp + ECHO_LASTS)
    }
}

/// All other members of the view.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    states: Vec<PeerState>,
}

impl Peers {
    fn state(&self, id: &MemberId) -> Option<&PeerState> {
        self.states.iter().find(|state| state.id == *id)
    }

    fn state_mut(&mut self, id: &MemberId) -> Option<&mut PeerState> {
        self.states.iter_mut().find(|state| state.id == *id)
    }

    /// Keeps what is known of the view's members, forgets others, and notes who left the chain.
    /// One that isn't a member exchanges no pings, so it knows nothing.
    pub fn install(&mut self, before: Option<&View>, view: &View, me: &MemberId, now: Millis) {
        self.states
            .retain(|state| view.has_member(&state.id) && view.has_member(me));
        if !view.has_member(me) {
            return;
        }
        for member in view.members.iter().filter(|member| member.id != *me) {
            if self.state(&member.id).is_none() {
                self.states.push(PeerState::new(member.id.clone(), now));
            }
        }
        let Some(before) = before else { return };
        for state in &mut self.states {
            state.well_since = None;
            if before.in_chain(&state.id) && !view.in_chain(&state.id) {
                let recent = now.saturating_sub(state.last_eviction) < EVICTIONS_FORGOTTEN_AFTER;
                state.evictions = if recent { state.evictions + 1 } else { 1 };
                state.last_eviction = now;
            }
        }
    }

    /// Any message of it has come.
    pub fn heard(&mut self, id: &MemberId, now: Millis) {
        if let Some(state) = self.state_mut(id) {
            state.heard_at = now;
            state.disconnected_at = None;
        }
    }

    /// Says whether the ping tells anything that the one before didn't, as to who should be in the chain.
    pub fn pinged(&mut self, id: &MemberId, ping: Ping, echoed: Option<Millis>) -> bool {
        let Some(state) = self.state_mut(id) else {
            return false;
        };
        let first_echo = state.echoed.is_none();
        state.stamp = Some(ping.stamp);
        if echoed >= state.echoed {
            state.echoed = echoed;
            state.echoed_in_view = ping.view;
        }
        let news = first_echo
            || state
                .ping
                .as_ref()
                .is_none_or(|before| before.standing() != ping.standing());
        state.ping = Some(ping);
        news
    }

    /// The connection to it was refused or reset.
    pub fn disconnected(&mut self, id: &MemberId, now: Millis) {
        if let Some(state) = self.state_mut(id) {
            state.disconnected_at.get_or_insert(now);
        }
    }

    pub fn is_disconnected(&self, id: &MemberId) -> bool {
        self.state(id)
            .is_some_and(|state| state.disconnected_at.is_some())
    }

    /// We stood still ourselves: what wasn't heard meanwhile says nothing. Everyone gets a round to be heard.
    pub fn doubt_ourselves(&mut self, now: Millis) {
        for state in &mut self.states {
            state.heard_at = state
                .heard_at
                .max((now + DOUBT_ROUND).saturating_sub(SUSPECT_AFTER));
            state.disconnected_at = None;
            state.trusted_until = state.trusted_until.max(now + DOUBT_ROUND);
            state.well_since = None;
        }
    }

    pub fn is_heard(&self, id: &MemberId, now: Millis) -> bool {
        self.state(id).is_some_and(|state| state.is_heard(now))
    }

    /// Heard, and taken to hear us.
    pub fn is_connected(&self, id: &MemberId, now: Millis) -> bool {
        self.state(id)
            .is_some_and(|state| state.is_heard(now) && state.hears_us(now))
    }

    /// Heard, and shown to hear us.
    pub fn is_proven(&self, id: &MemberId, now: Millis) -> bool {
        let echoed = |state: &PeerState| state.echoed.is_some_and(|stamp| now < stamp + ECHO_LASTS);
        self.state(id)
            .is_some_and(|state| state.is_heard(now) && echoed(state))
    }

    /// Has answered lately, in view `number`.
    pub fn is_current(&self, id: &MemberId, number: u64, now: Millis) -> bool {
        let echoed = |state: &PeerState| {
            state
                .echoed
                .is_some_and(|stamp| now <= stamp + CURRENT_WITHIN)
        };
        self.state(id)
            .is_some_and(|state| echoed(state) && state.echoed_in_view == number)
    }

    /// Was heard lately, in view `number`; for the guard that is against this.
    pub fn is_heard_lately(&self, id: &MemberId, number: u64, now: Millis) -> bool {
        let same_view =
            |state: &PeerState| state.ping.as_ref().is_some_and(|ping| ping.view == number);
        self.state(id)
            .is_some_and(|state| now <= state.heard_at + CURRENT_WITHIN && same_view(state))
    }

    /// Our clock went back: what was echoed says nothing any more.
    pub fn forget_echoes(&mut self) {
        for state in &mut self.states {
            state.echoed = None;
        }
    }

    pub fn silent_for(&self, id: &MemberId, now: Millis) -> Millis {
        self.state(id)
            .map_or(0, |state| now.saturating_sub(state.heard_at))
    }

    /// Its newest ping, if it was in view `number`.
    pub fn ping(&self, id: &MemberId, number: u64) -> Option<&Ping> {
        self.state(id)?
            .ping
            .as_ref()
            .filter(|ping| ping.view == number)
    }

    /// Whether it has said that its process is about to end, in whichever view. One that comes back takes it back.
    pub fn is_leaving(&self, id: &MemberId) -> bool {
        self.state(id)
            .and_then(|state| state.ping.as_ref())
            .is_some_and(|ping| ping.leaving)
    }

    /// Its newest stamp, to be echoed.
    pub fn stamp(&self, id: &MemberId) -> Option<u64> {
        self.state(id)?.stamp
    }

    /// Notes whether it could be taken back into the chain, and says whether it has been so for long enough.
    pub fn may_return(&mut self, id: &MemberId, well: bool, now: Millis) -> bool {
        let Some(state) = self.state_mut(id) else {
            return false;
        };
        if !well {
            state.well_since = None;
            return false;
        }
        let doublings = state.evictions.saturating_sub(1).min(RETURN_DOUBLINGS);
        now >= *state.well_since.get_or_insert(now) + (RETURN_AFTER << doublings)
    }

    /// The next time after `now` at which another becomes suspected.
    pub fn next_suspicion(&self, now: Millis) -> Option<Millis> {
        self.states
            .iter()
            .map(PeerState::suspected_at)
            .filter(|at| *at > now)
            .min()
    }
}
