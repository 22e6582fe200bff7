//! Health checks of servers that someone complained of, by the owner of the server's slot.

use crate::fleet::event::FleetEvent;
use crate::fleet::work::Work;
use crate::fleet::Fleet;
use crate::hub::Hub;
use crate::reducer::Event;
use dunespur_peer_transport::Kind;
use dunespur_singleton_roles::health_check;
use dunespur_singleton_roles::health_check::Observation;
use dunespur_singleton_roles::Slot;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use xxhash_rust::xxh3::xxh3_64;

/// A probe waits this long for a connection, and again for any answer.
pub(super) const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Tries a server with a request that is no invocation: any response shows that it is alive.
pub(super) async fn check_health(at: SocketAddr) -> Observation {
    let Ok(Ok(stream)) = tokio::time::timeout(HEALTH_CHECK_TIMEOUT, TcpStream::connect(at)).await
    else {
        return Observation::Refused;
    };
    let answered = async {
        let io = hyper_util::rt::TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
        let request = hyper::Request::get("/").header("host", at.to_string());
        let request = request
            .body(http_body_util::Empty::<bytes::Bytes>::new())
            .ok()?;
        tokio::select! {
            answer = sender.send_request(request) => answer.ok().map(|_| ()),
            _ = connection => None,
        }
    };
    match tokio::time::timeout(HEALTH_CHECK_TIMEOUT, answered).await {
        Ok(Some(())) => Observation::Answered,
        _ => Observation::Silent,
    }
}

impl Fleet {
    pub(super) fn health_check_slot(&self, server: &str) -> Option<Slot> {
        Fleet::shard_of(self.health_check_slots, xxh3_64(server.as_bytes()))
    }

    /// As the role's owner: a limiter reported a server.
    pub(super) fn receive_complaint(&mut self, from: &str, server: String, now: f64) {
        let Some(slot) = self.health_check_slot(&server) else {
            return;
        };
        let Ok(address) = server.parse::<SocketAddr>() else {
            return;
        };
        let listed = self
            .discovered
            .values()
            .any(|m| m["host_port"] == server.as_str());
        // Evidence about a server that is not on the list is none.
        if !listed || self.client.token(slot, now).is_none() {
            return;
        }
        if self
            .health_checker
            .receive_complaint(from, &server, now, &self.plan.probe)
        {
            let tell = self.events.clone();
            tokio::task::spawn_local(async move {
                let observation = check_health(address).await;
                let _ = tell.send(FleetEvent::Probed {
                    server,
                    observation,
                });
            });
        }
    }

    /// As the owner: the check is over; its result goes to all members alive, if this one still owns the role.
    pub(super) fn finish_check(
        &mut self,
        hub: &Rc<Hub>,
        server: String,
        observation: Observation,
        now: f64,
    ) {
        let Some(slot) = self.health_check_slot(&server) else {
            return;
        };
        let Some(token) = self.client.token(slot, now) else {
            return;
        };
        self.client.record_progress(slot, now);
        self.apply_observation(hub, &server, observation, 0.0, now);
        let work = Work::Probe(health_check::Message::Observed {
            slot,
            token,
            server,
            observation,
            age: 0.0,
        });
        let body = postcard::to_stdvec(&work).unwrap_or_default();
        let to: Vec<_> = self.members.alive().map(|m| m.address).collect();
        to.into_iter()
            .for_each(|at| self.links.send_datagram(at, Kind::Work, body.clone()));
    }

    /// What a check saw goes to the limiter, as far as this process's own experience allows.
    pub(super) fn apply_observation(
        &mut self,
        hub: &Rc<Hub>,
        server: &str,
        observation: Observation,
        age: f64,
        now: f64,
    ) {
        let judged = self.experience.evaluate(
            server,
            observation,
            age,
            fastrand::f64(),
            now,
            &self.plan.probe,
        );
        if let (Some(judged), Ok(address)) = (judged, server.parse()) {
            let (bad, pause) = match judged {
                health_check::HealthDecision::Unhealthy(pause) => (true, pause),
                health_check::HealthDecision::Healthy(pause) => (false, pause),
            };
            hub.tell(Event::FleetVerdict {
                address,
                bad,
                pause,
            });
        }
        self.observations += 1;
        ::log::info!("fleet: a probe of {server}: {observation:?}");
        let what = format!("probe {observation:?} {server}");
        self.write_history(json!({"line": "counted", "t": now, "what": what, "value": 1.0}));
    }
}
