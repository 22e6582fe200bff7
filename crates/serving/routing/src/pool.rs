//! The endpoints of one service and what they have in common.

use crate::endpoint::Endpoint;
use crate::ewma::Ewma;
use crate::prefix_statistics::PrefixStatistics;
use crate::timing_model::TimingModel;
use crate::types::{Millis, RoutingRequest, Server};

/// Prior: time to a response of a server that is no engine, divided by the latency target.
const PRIOR_LATENCY_RATIO: f64 = 0.3;
/// How fast that mean follows.
const LATENCY_RATIO_GAIN: f64 = 0.05;
/// How fast the gateway's fraction of the traffic follows.
const TRAFFIC_FRACTION_GAIN: f64 = 1.0 / 64.0;

/// One service.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) endpoints: Vec<Endpoint>,
    /// Zones in which the service has servers.
    zones: usize,
    pub(crate) timing: TimingModel,
    pub(crate) prefix_statistics: PrefixStatistics,
    /// Time to a response of a server that is no engine, divided by the latency target.
    pub(crate) latency_ratio: Ewma,
    /// This gateway's fraction of the requests in flight: only so much of an engine's KV cache has what it dispatched.
    pub(crate) traffic_fraction: Ewma,
}

impl Pool {
    pub(crate) fn new() -> Self {
        Self {
            endpoints: Vec::new(),
            zones: 0,
            timing: TimingModel::new(),
            prefix_statistics: PrefixStatistics::default(),
            latency_ratio: Ewma::new(PRIOR_LATENCY_RATIO, LATENCY_RATIO_GAIN),
            traffic_fraction: Ewma::new(1.0, TRAFFIC_FRACTION_GAIN),
        }
    }

    /// Replaces all servers of the service. `last_number` is the last number given to an endpoint; each
    /// new one gets the next.
    pub(crate) fn set_servers(
        &mut self,
        servers: Vec<Server>,
        zone: &str,
        last_number: &mut u64,
        now: Millis,
    ) {
        let mut before = std::mem::take(&mut self.endpoints);
        for server in servers {
            let known = before
                .iter()
                .position(|endpoint| endpoint.server.id == server.id);
            let endpoint = match known {
                Some(index) => {
                    let mut endpoint = before.swap_remove(index);
                    endpoint.update(server, zone, now);
                    endpoint
                }
                None => {
                    *last_number += 1;
                    Endpoint::new(*last_number, server, zone, now)
                }
            };
            self.endpoints.push(endpoint);
        }
        let mut zones: Vec<&str> = self
            .endpoints
            .iter()
            .map(|endpoint| &*endpoint.server.zone)
            .collect();
        zones.sort_unstable();
        zones.dedup();
        self.zones = zones.len();
    }

    /// Zones in which the service has servers.
    pub(crate) fn zones(&self) -> usize {
        self.zones
    }

    /// The endpoint of that number, unless it has departed.
    pub(crate) fn endpoint_mut(&mut self, number: u64) -> Option<&mut Endpoint> {
        self.endpoints
            .iter_mut()
            .find(|endpoint| endpoint.number == number)
    }

    /// The mean slowness, against which one endpoint's is judged.
    pub(crate) fn mean_slowness(&self, now: Millis) -> f64 {
        let sum: f64 = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.learned_slowness(now))
            .sum();
        sum / self.endpoints.len().max(1) as f64
    }

    /// Indexes of the endpoints that this request may be dispatched to: those not ejected, or else the least bad one.
    pub(crate) fn candidates(&self, request: &RoutingRequest, now: Millis) -> Vec<usize> {
        let usable = self.usable();
        let in_rotation = self.in_rotation(usable.clone(), now);
        let untried = self.without_tried(in_rotation, request);
        if !untried.is_empty() {
            return untried;
        }
        let remaining = self.without_tried(usable, request);
        let least_bad = remaining
            .into_iter()
            .min_by_key(|index| self.endpoints[*index].outliers.remaining_ejection_ms(now));
        least_bad.into_iter().collect()
    }

    /// Whether every slot of every usable endpoint is taken, as far as known.
    pub(crate) fn is_full(&self, now: Millis) -> bool {
        self.endpoints
            .iter()
            .filter(|endpoint| endpoint.is_usable())
            .all(|endpoint| endpoint.is_full(now))
    }

    /// Observes how much of the traffic is this gateway's own.
    pub(crate) fn observe_traffic_fraction(&mut self, now: Millis) {
        let loads = || self.endpoints.iter().map(|endpoint| &endpoint.load);
        let own: u32 = loads().map(|load| load.own_in_flight()).sum();
        let peers: f64 = loads().map(|load| load.peers_smoothed_in_flight(now)).sum();
        let own = f64::from(own) + 1.0;
        self.traffic_fraction.observe(own / (own + peers));
    }

    /// At least half of the endpoints stay in rotation: what fails everywhere is not the servers' fault, and the few
    /// that are left could not bear the load.
    fn in_rotation(&self, usable: Vec<usize>, now: Millis) -> Vec<usize> {
        let minimum = usable.len().div_ceil(2);
        let (mut ejected, mut in_rotation): (Vec<usize>, Vec<usize>) = usable
            .into_iter()
            .partition(|index| self.endpoints[*index].outliers.is_ejected(now));
        if in_rotation.len() >= minimum {
            return in_rotation;
        }
        ejected.sort_by_key(|index| self.endpoints[*index].outliers.remaining_ejection_ms(now));
        let missing = minimum - in_rotation.len();
        in_rotation.extend(ejected.into_iter().take(missing));
        in_rotation.sort_unstable();
        in_rotation
    }

    fn usable(&self) -> Vec<usize> {
        let endpoints = self.endpoints.iter().enumerate();
        endpoints
            .filter(|(_, endpoint)| endpoint.is_usable())
            .map(|(index, _)| index)
            .collect()
    }

    fn without_tried(&self, mut indexes: Vec<usize>, request: &RoutingRequest) -> Vec<usize> {
        indexes.retain(|index| !request.tried.contains(&self.endpoints[*index].server.id));
        indexes
    }
}
