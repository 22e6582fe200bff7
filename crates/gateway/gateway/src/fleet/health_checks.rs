//! Health checks of servers that limiters complained about, run by the owner of the server's slot.

use crate::event_loop::EventLoop;
use crate::fleet::event::FleetEvent;
use crate::fleet::work::Work;
use crate::fleet::FleetMember;
use crate::state_machine::Event;
use dunespur_peer_transport::Kind;
use dunespur_response_head::validate;
use dunespur_singleton_roles::health_check;
use dunespur_singleton_roles::health_check::Observation;
use dunespur_singleton_roles::Slot;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use xxhash_rust::xxh3::xxh3_64;

/// Timeout of a health check for connecting, and again for the response.
pub(super) const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Checks a server with a request that is no invocation: any response with a valid head shows that it is alive.
pub(super) async fn check_health(server: SocketAddr) -> Observation {
    let Ok(Ok(stream)) =
        tokio::time::timeout(HEALTH_CHECK_TIMEOUT, TcpStream::connect(server)).await
    else {
        return Observation::Refused;
    };
    let exchange = async {
        let io = hyper_util::rt::TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
        let request = hyper::Request::get("/").header("host", server.to_string());
        let request = request
            .body(http_body_util::Empty::<bytes::Bytes>::new())
            .ok()?;
        let response = sender.send_request(request);
        tokio::pin!(response);
        let response = tokio::select! {
            response = &mut response => response,
            // A connection that closes after the response has delivered it by then.
            _ = connection => response.await,
        };
        Some(response.ok()?.into_parts().0)
    };
    match tokio::time::timeout(HEALTH_CHECK_TIMEOUT, exchange).await {
        Ok(Some(head)) if validate(&head).is_ok() => Observation::Answered,
        _ => Observation::Silent,
    }
}

impl FleetMember {
    pub(super) fn health_check_slot(&self, server: &str) -> Option<Slot> {
        FleetMember::shard_of(self.health_check_slots, xxh3_64(server.as_bytes()))
    }

    /// Handles a complaint of a limiter about a server, as the owner of the server's slot.
    pub(super) fn receive_complaint(&mut self, from: &str, server: String, now: f64) {
        let Some(slot) = self.health_check_slot(&server) else {
            return;
        };
        let Ok(address) = server.parse::<SocketAddr>() else {
            return;
        };
        let listed = self
            .endpoints_by_id
            .values()
            .any(|endpoint| endpoint["host_port"] == server.as_str());
        // Complaints about servers that are not in the list are ignored.
        if !listed || self.role_client.token(slot, now).is_none() {
            return;
        }
        if self
            .health_checker
            .receive_complaint(from, &server, now, &self.config.probe)
        {
            let events = self.events.clone();
            tokio::task::spawn_local(async move {
                let observation = check_health(address).await;
                let _ = events.send(FleetEvent::HealthCheckEnded {
                    server,
                    observation,
                });
            });
        }
    }

    /// Handles the end of a health check: sends the result to all live members if this process still owns the slot.
    pub(super) fn finish_check(
        &mut self,
        event_loop: &Rc<EventLoop>,
        server: String,
        observation: Observation,
        now: f64,
    ) {
        let Some(slot) = self.health_check_slot(&server) else {
            return;
        };
        let Some(token) = self.role_client.token(slot, now) else {
            return;
        };
        self.role_client.record_progress(slot, now);
        self.apply_observation(event_loop, &server, observation, 0.0, now);
        let work = Work::Probe(health_check::Message::Observed {
            slot,
            token,
            server,
            observation,
            age: 0.0,
        });
        let body = postcard::to_stdvec(&work).unwrap_or_default();
        let addresses: Vec<_> = self
            .membership
            .alive()
            .map(|member| member.address)
            .collect();
        addresses.into_iter().for_each(|address| {
            self.transport
                .send_datagram(address, Kind::Work, body.clone())
        });
    }

    /// Passes the result of a health check to the limiter, unless this process's own experience with the server
    /// contradicts it.
    pub(super) fn apply_observation(
        &mut self,
        event_loop: &Rc<EventLoop>,
        server: &str,
        observation: Observation,
        age: f64,
        now: f64,
    ) {
        let verdict = self.server_experience.evaluate(
            server,
            observation,
            age,
            fastrand::f64(),
            now,
            &self.config.probe,
        );
        if let (Some(verdict), Ok(address)) = (verdict, server.parse()) {
            let (bad, pause) = match verdict {
                health_check::HealthDecision::Unhealthy(pause) => (true, pause),
                health_check::HealthDecision::Healthy(pause) => (false, pause),
            };
            event_loop.handle(Event::FleetVerdict {
                address,
                bad,
                pause,
            });
        }
        self.observations += 1;
        ::log::info!("fleet: health check of {server}: {observation:?}");
        let description = format!("probe {observation:?} {server}");
        self.write_history(json!({"line": "counted", "t": now, "what": description, "value": 1.0}));
    }
}

#[cfg(test)]
mod tests;
