//! Updates of the server list from discovery.

use super::tuning::{HEALTHY_LATENCY, INITIAL_CONCURRENCY};
use super::Limiter;
use crate::types::{Action, Readiness, Server};

/// Maximum pause before a lost watch of the endpoints is renewed, in seconds, before jitter, which at most doubles it.
const MAX_WATCH_PAUSE: f64 = 0.5;

impl Limiter {
    /// Applies changed entries of the endpoint list. If the list is `complete`, servers without an entry are no longer
    /// live. Then places the head of the queue again, as it may have a server now.
    pub fn update_endpoints(&mut self, entries: &[Server], complete: bool, now: f64) {
        if complete {
            self.servers.is_live.fill(false);
        }
        for entry in entries {
            self.apply_entry(entry, now);
        }
        self.place_queue_head();
    }

    fn apply_entry(&mut self, entry: &Server, now: f64) {
        let index = entry.index;
        self.servers.grow_to(
            index,
            INITIAL_CONCURRENCY / f64::from(self.fleet_size),
            HEALTHY_LATENCY / 2.0,
        );
        if entry.started_at > self.servers.started_at[index] {
            self.reset_server(index, entry.started_at);
            // First sends are spread out: one from each of hundreds of limiters at once would overload the server.
            if now < entry.started_at + self.warm_up_time {
                let interval = self.slow_start(index, now).interval;
                let first = interval.max(self.latency_target);
                self.servers.paced_until[index] = now + first * self.rng.f64();
            }
        }
        let servers = &mut self.servers;
        servers.started_at[index] = entry.started_at;
        servers.is_live[index] = entry.readiness == Readiness::Live;
        servers.zone[index] = entry.zone;
        servers.cell[index] = entry.cell;
    }

    /// Resets a restarted server: it is warming up, and the figures of the old process do not apply to it.
    fn reset_server(&mut self, index: usize, started_at: f64) {
        let servers = &mut self.servers;
        servers.warming_since[index] = servers.warming_since[index].max(started_at);
        servers.concurrency[index] = INITIAL_CONCURRENCY / f64::from(self.fleet_size);
        servers.shrunk_at[index] = f64::NEG_INFINITY;
        servers.latency[index] = self.fleet_latency;
        servers.failures[index] = 0.0;
        servers.ejected_until[index] = 0.0;
        servers.ejection_time[index] = 0.0;
        servers.on_probation[index] = false;
    }

    /// Schedules the renewal of a lost watch of the endpoints, if endpoints are reported on request. The pause is the
    /// latency target, but at most `MAX_WATCH_PAUSE`, so that a long latency target does not delay the renewal;
    /// jitter is added.
    pub fn watch_lost(&mut self) {
        let pause = self.latency_target.min(MAX_WATCH_PAUSE) * (1.0 + self.rng.f64());
        let renewal = Action::ScheduleTick(pause);
        self.actions
            .extend(self.endpoints_on_request.then_some(renewal));
    }

    /// Renews the watch of the endpoints. The owner calls this once the pause of an [`Action::ScheduleTick`] has
    /// passed.
    pub fn tick(&mut self) {
        self.actions
            .extend(self.endpoints_on_request.then_some(Action::WatchEndpoints));
    }
}
