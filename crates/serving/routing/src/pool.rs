//! The endpoints of one service, with the statistics that they share.

use crate::endpoint::Endpoint;
use crate::ewma::Ewma;
use crate::prefix_statistics::PrefixStatistics;
use crate::timing_model::TimingModel;
use crate::types::{Millis, RoutingRequest, Server, ServerId};

/// Prior: response time of a server without an engine, divided by the latency target.
const PRIOR_LATENCY_RATIO: f64 = 0.3;
/// EWMA gain of the latency ratio.
const LATENCY_RATIO_GAIN: f64 = 0.05;
/// EWMA gain of this gateway's fraction of the traffic.
const TRAFFIC_FRACTION_GAIN: f64 = 1.0 / 64.0;

/// The endpoints of one service.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) endpoints: Vec<Endpoint>,
    /// Number of zones in which the service has servers.
    zone_count: usize,
    pub(crate) timing: TimingModel,
    pub(crate) prefix_statistics: PrefixStatistics,
    /// Response time of a server without an engine, divided by the latency target.
    pub(crate) latency_ratio: Ewma,
    /// This gateway's fraction of all requests in flight. Its prompts are presumed to fill the same fraction of each
    /// engine's KV cache.
    pub(crate) traffic_fraction: Ewma,
}

impl Pool {
    pub(crate) fn new() -> Self {
        Self {
            endpoints: Vec::new(),
            zone_count: 0,
            timing: TimingModel::new(),
            prefix_statistics: PrefixStatistics::default(),
            latency_ratio: Ewma::new(PRIOR_LATENCY_RATIO, LATENCY_RATIO_GAIN),
            traffic_fraction: Ewma::new(1.0, TRAFFIC_FRACTION_GAIN),
        }
    }

    /// Replaces the servers of the service, as seen from a gateway in `zone`. `last_number` is the last number that was
    /// assigned to an endpoint; each new endpoint gets the next one.
    pub(crate) fn set_servers(
        &mut self,
        servers: Vec<Server>,
        zone: &str,
        last_number: &mut u64,
        now: Millis,
    ) {
        let mut previous = std::mem::take(&mut self.endpoints);
        for server in servers {
            let known = previous
                .iter()
                .position(|endpoint| endpoint.server.id == server.id);
            let endpoint = match known {
                Some(index) => {
                    let mut endpoint = previous.swap_remove(index);
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
        self.zone_count = zones.len();
    }

    /// Number of zones in which the service has servers.
    pub(crate) fn zone_count(&self) -> usize {
        self.zone_count
    }

    /// The endpoint with this number, unless its server is no longer listed.
    pub(crate) fn endpoint_mut(&mut self, number: u64) -> Option<&mut Endpoint> {
        self.endpoints
            .iter_mut()
            .find(|endpoint| endpoint.number == number)
    }

    /// The endpoint of this server, unless the server is no longer listed.
    pub(crate) fn endpoint_of(&self, server: &ServerId) -> Option<&Endpoint> {
        self.endpoints
            .iter()
            .find(|endpoint| endpoint.server.id == *server)
    }

    /// Mean learned slowness of all endpoints, to which an endpoint's own slowness is compared.
    pub(crate) fn mean_slowness(&self, now: Millis) -> f64 {
        let sum: f64 = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.learned_slowness(now))
            .sum();
        sum / self.endpoints.len().max(1) as f64
    }

    /// Indexes of the endpoints to which this request may be dispatched: the untried ones in rotation, or if there are
    /// none, the untried one whose ejection ends first.
    pub(crate) fn candidates(&self, request: &RoutingRequest, now: Millis) -> Vec<usize> {
        let usable = self.usable();
        let in_rotation = self.in_rotation(usable.clone(), now);
        let untried = self.without_tried(in_rotation, request);
        if !untried.is_empty() {
            return untried;
        }
        let remaining = self.without_tried(usable, request);
        let first_to_return = remaining
            .into_iter()
            .min_by_key(|index| self.endpoints[*index].outliers.remaining_ejection_ms(now));
        first_to_return.into_iter().collect()
    }

    /// Whether every slot of every usable endpoint is taken, by this gateway's load and the last reports of its peers.
    pub(crate) fn is_full(&self, now: Millis) -> bool {
        self.endpoints
            .iter()
            .filter(|endpoint| endpoint.is_usable())
            .all(|endpoint| endpoint.is_full(now))
    }

    /// Updates this gateway's fraction of the traffic from the current loads.
    pub(crate) fn observe_traffic_fraction(&mut self, now: Millis) {
        let loads = || self.endpoints.iter().map(|endpoint| &endpoint.load);
        let own: u32 = loads().map(|load| load.own_in_flight()).sum();
        let peers: f64 = loads().map(|load| load.peers_smoothed_in_flight(now)).sum();
        let own = f64::from(own) + 1.0;
        self.traffic_fraction.observe(own / (own + peers));
    }

    /// The endpoints that are not ejected, and as many ejected ones as it takes to keep half of the usable endpoints in
    /// rotation. A failure everywhere is not the servers' fault, and too few remaining servers would be overloaded.
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

    /// Indexes of the usable endpoints.
    fn usable(&self) -> Vec<usize> {
        let endpoints = self.endpoints.iter().enumerate();
        endpoints
            .filter(|(_, endpoint)| endpoint.is_usable())
            .map(|(index, _)| index)
            .collect()
    }

    /// Removes the endpoints at which the request was attempted before.
    fn without_tried(&self, mut indexes: Vec<usize>, request: &RoutingRequest) -> Vec<usize> {
        indexes.retain(|index| !request.tried.contains(&self.endpoints[*index].server.id));
        indexes
    }
}
