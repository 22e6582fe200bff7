//! The servers of one service and what they share.

use crate::estimate::Pace;
use crate::line_fit::FadingMean;
use crate::member::Member;
use crate::sharing::Sharing;
use crate::types::{Ask, Millis, Server};

/// Prior: time of a plain answer against its objective.
const PRIOR_TARGET_SHARE: f64 = 0.3;
/// How fast that mean follows.
const TARGET_SHARE_GAIN: f64 = 0.05;
/// How fast the gateway's share of the traffic follows.
const TRAFFIC_SHARE_GAIN: f64 = 1.0 / 64.0;

/// One service.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) members: Vec<Member>,
    /// Zones in which the service has servers.
    zones: usize,
    pub(crate) pace: Pace,
    pub(crate) sharing: Sharing,
    /// Time of a plain answer against its objective.
    pub(crate) target_share: FadingMean,
    /// This gateway's share of the requests in flight: only so much of an engine's memory holds what it sent.
    pub(crate) traffic_share: FadingMean,
}

impl Pool {
    pub(crate) fn new() -> Self {
        Self {
            members: Vec::new(),
            zones: 0,
            pace: Pace::new(),
            sharing: Sharing::default(),
            target_share: FadingMean::new(PRIOR_TARGET_SHARE, TARGET_SHARE_GAIN),
            traffic_share: FadingMean::new(1.0, TRAFFIC_SHARE_GAIN),
        }
    }

    /// Takes the whole list of the service's servers; `numbers` names those that are new.
    pub(crate) fn set_servers(
        &mut self,
        servers: Vec<Server>,
        zone: &str,
        numbers: &mut u64,
        now: Millis,
    ) {
        let mut before = std::mem::take(&mut self.members);
        for server in servers {
            let known = before
                .iter()
                .position(|member| member.server.id == server.id);
            let member = match known {
                Some(index) => {
                    let mut member = before.swap_remove(index);
                    member.update(server, zone, now);
                    member
                }
                None => {
                    *numbers += 1;
                    Member::new(*numbers, server, zone, now)
                }
            };
            self.members.push(member);
        }
        let mut zones: Vec<&str> = self
            .members
            .iter()
            .map(|member| &*member.server.zone)
            .collect();
        zones.sort_unstable();
        zones.dedup();
        self.zones = zones.len();
    }

    /// Zones in which the service has servers.
    pub(crate) fn zones(&self) -> usize {
        self.zones
    }

    pub(crate) fn member_mut(&mut self, number: u64) -> Option<&mut Member> {
        self.members
            .iter_mut()
            .find(|member| member.number == number)
    }

    /// The mean slowness, against which one member's is judged.
    pub(crate) fn mean_slowness(&self, now: Millis) -> f64 {
        let sum: f64 = self
            .members
            .iter()
            .map(|member| member.learnt_slowness(now))
            .sum();
        sum / self.members.len().max(1) as f64
    }

    /// Servers that this request may be sent to: those not avoided, or else the least bad ones.
    pub(crate) fn candidates(&self, ask: &Ask, now: Millis) -> Vec<usize> {
        let usable = self.indices(|member| member.is_usable());
        let in_use = self.in_use(usable.clone(), now);
        let untried = without_tried(self, in_use, ask);
        if !untried.is_empty() {
            return untried;
        }
        let left = without_tried(self, usable, ask);
        let least_bad = left
            .into_iter()
            .min_by_key(|index| self.members[*index].health.avoided_for(now));
        least_bad.into_iter().collect()
    }

    /// Whether every place of every server is taken, as far as known.
    pub(crate) fn is_full(&self, now: Millis) -> bool {
        self.members
            .iter()
            .filter(|member| member.is_usable())
            .all(|member| member.is_full(now))
    }

    /// Notes how much of the traffic is this gateway's own.
    pub(crate) fn observe_traffic_share(&mut self, now: Millis) {
        let own: u32 = self
            .members
            .iter()
            .map(|member| member.load.own_in_flight())
            .sum();
        let others: f64 = self
            .members
            .iter()
            .map(|member| member.load.others_usual_in_flight(now))
            .sum();
        let own = f64::from(own) + 1.0;
        self.traffic_share.observe(own / (own + others));
    }

    /// At least half of the servers stay in use: what fails everywhere is not the servers' fault, and the few
    /// that are left could not bear the load.
    fn in_use(&self, usable: Vec<usize>, now: Millis) -> Vec<usize> {
        let fewest = usable.len().div_ceil(2);
        let (mut avoided, mut in_use): (Vec<usize>, Vec<usize>) = usable
            .into_iter()
            .partition(|index| self.members[*index].health.is_avoided(now));
        if in_use.len() >= fewest {
            return in_use;
        }
        avoided.sort_by_key(|index| self.members[*index].health.avoided_for(now));
        let missing = fewest - in_use.len();
        in_use.extend(avoided.into_iter().take(missing));
        in_use.sort_unstable();
        in_use
    }

    fn indices(&self, wanted: impl Fn(&Member) -> bool) -> Vec<usize> {
        let members = self.members.iter().enumerate();
        members
            .filter(|(_, member)| wanted(member))
            .map(|(index, _)| index)
            .collect()
    }
}

fn without_tried(pool: &Pool, mut indices: Vec<usize>, ask: &Ask) -> Vec<usize> {
    indices.retain(|index| !ask.tried.contains(&pool.members[*index].server.id));
    indices
}
