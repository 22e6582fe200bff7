//! Registration of a server with the gateways: announces by heartbeats that the server is ready, draining or leaving.
//! Each message is sent to one gateway after the other until one acknowledges it.

use crate::client::call::{call, Call, CallError, CallResponse};
use crate::record::Acknowledged;
use crate::server::{Identity, ServerHandle};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Time limit for an acknowledgement; a later one counts as a failure.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Size limit of an acknowledgement's body; a longer one counts as a failure.
const MAX_ACKNOWLEDGEMENT_BYTES: usize = 4 * 1024;
/// Pause before the next attempt after all gateways have failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Phase of the server that the next message announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Ready,
    Draining,
    Leaving,
    /// No further messages are sent.
    Silent,
}

/// Keeps one server registered until this is dropped.
#[derive(Debug)]
pub struct Registration {
    handle: Arc<ServerHandle>,
    shared: Arc<Shared>,
    heartbeat: HeartbeatSettings,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    controls: Mutex<Vec<SocketAddr>>,
    phase: watch::Sender<Phase>,
    /// The last phase that a gateway has acknowledged.
    acknowledged: watch::Sender<Option<Phase>>,
    /// Wakes the sender before its next interval.
    send_now: Notify,
}

/// Contents and interval of a server's heartbeats.
#[derive(Clone, Debug)]
pub struct HeartbeatSettings {
    /// Interval between two heartbeats.
    pub interval: Duration,
    /// Remaining warm-up time that each heartbeat states, in milliseconds.
    pub warm_up_left_ms: u64,
    /// Names of the server's models; empty for a plain server.
    pub models: Vec<String>,
}

impl Registration {
    /// Starts to send heartbeats of the server of `handle` to the gateways at `controls`.
    pub fn start(
        handle: Arc<ServerHandle>,
        controls: Vec<SocketAddr>,
        heartbeat: HeartbeatSettings,
    ) -> Registration {
        let shared = Arc::new(Shared {
            controls: Mutex::new(controls),
            phase: watch::Sender::new(Phase::Ready),
            acknowledged: watch::Sender::new(None),
            send_now: Notify::new(),
        });
        let sender = HeartbeatSender {
            handle: handle.clone(),
            shared: shared.clone(),
            heartbeat: heartbeat.clone(),
            seq: 0,
            next: 0,
            preferred: None,
        };
        Registration {
            handle,
            shared,
            heartbeat,
            task: tokio::spawn(sender.run()),
        }
    }

    /// Replaces the gateways' addresses.
    pub fn set_controls(&self, controls: Vec<SocketAddr>) {
        *self
            .shared
            .controls
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = controls;
    }

    /// Returns once a gateway has acknowledged the server as ready.
    pub async fn known(&self) {
        self.wait_for_acknowledgement(Phase::Ready).await;
    }

    /// Announces that the server is draining; returns once a gateway has acknowledged it.
    pub async fn drain(&self) {
        self.announce(Phase::Draining).await;
        self.handle.set_leaving();
    }

    /// Announces that the server is leaving; returns once a gateway has acknowledged it.
    pub async fn leave(&self) {
        self.announce(Phase::Leaving).await;
    }

    /// Sends one extra heartbeat with this sequence number and state to `control`; returns the status of the response, if
    /// one came.
    pub async fn send_out_of_order(
        &self,
        control: SocketAddr,
        seq: u64,
        draining: bool,
    ) -> Option<u16> {
        let phase = if draining {
            Phase::Draining
        } else {
            Phase::Ready
        };
        let body = heartbeat_body(&self.handle.identity, &self.heartbeat, phase, seq);
        let call = Call::post(
            format!("/api/instances/{}/heartbeat", self.handle.identity.instance),
            body,
        );
        call_with_timeout(control, &call)
            .await
            .ok()
            .map(|answer| answer.status)
    }

    /// Stops all heartbeats, as if the server had crashed.
    pub fn fall_silent(&self) {
        self.shared.phase.send_replace(Phase::Silent);
        self.task.abort();
    }

    async fn announce(&self, phase: Phase) {
        self.shared.phase.send_replace(phase);
        self.shared.send_now.notify_one();
        self.wait_for_acknowledgement(phase).await;
    }

    async fn wait_for_acknowledgement(&self, phase: Phase) {
        let mut acknowledged = self.shared.acknowledged.subscribe();
        let _ = acknowledged
            .wait_for(|acknowledged_phase| *acknowledged_phase == Some(phase))
            .await;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends the messages of one registration.
struct HeartbeatSender {
    handle: Arc<ServerHandle>,
    shared: Arc<Shared>,
    heartbeat: HeartbeatSettings,
    /// Sequence number of the next message.
    seq: u64,
    /// Index of the gateway to call next.
    next: usize,
    /// The gateway that an earlier acknowledgement named as the address for heartbeats.
    preferred: Option<SocketAddr>,
}

impl HeartbeatSender {
    async fn run(mut self) {
        loop {
            let phase = *self.shared.phase.borrow();
            if phase == Phase::Silent {
                return;
            }
            if !self.send(phase).await {
                sleep(RETRY_INTERVAL).await;
                continue;
            }
            self.shared.acknowledged.send_replace(Some(phase));
            if phase == Phase::Leaving {
                return;
            }
            tokio::select! {
                () = sleep(self.heartbeat.interval) => {}
                () = self.shared.send_now.notified() => {}
            }
        }
    }

    /// Sends the message to one gateway after the other until one acknowledges it; false where all have failed.
    async fn send(&mut self, phase: Phase) -> bool {
        let requested_ms = self.handle.context.clock.now_ms();
        if let Some(preferred) = self.preferred {
            if self.send_to(preferred, phase, requested_ms).await {
                return true;
            }
            self.preferred = None;
        }
        let controls = self
            .shared
            .controls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for offset in 0..controls.len() {
            let address = controls[(self.next + offset) % controls.len()];
            if self.send_to(address, phase, requested_ms).await {
                self.next += offset;
                return true;
            }
        }
        false
    }

    async fn send_to(&mut self, address: SocketAddr, phase: Phase, requested_ms: u64) -> bool {
        let id = &self.handle.identity.instance;
        let call = match phase {
            Phase::Leaving => Call::post(format!("/api/instances/{id}/leave"), String::from("{}")),
            _ => Call::post(
                format!("/api/instances/{id}/heartbeat"),
                heartbeat_body(&self.handle.identity, &self.heartbeat, phase, self.seq),
            ),
        };
        self.seq += 1;
        let Ok(answer) = call_with_timeout(address, &call).await else {
            return false;
        };
        if !(200..300).contains(&answer.status) || answer.body.len() > MAX_ACKNOWLEDGEMENT_BYTES {
            return false;
        }
        self.preferred = preferred_gateway(&answer.body).or(self.preferred);
        self.record_acknowledgement(phase, requested_ms);
        true
    }

    fn record_acknowledgement(&self, phase: Phase, requested_ms: u64) {
        let instance = self.handle.identity.instance.clone();
        let event = match phase {
            Phase::Draining => Acknowledged::Draining { instance },
            Phase::Leaving => Acknowledged::Left { instance },
            Phase::Ready | Phase::Silent => return,
        };
        let context = &self.handle.context;
        context
            .record
            .acknowledged(context.clock.now_ms(), requested_ms, event);
    }
}

fn heartbeat_body(
    identity: &Identity,
    heartbeat: &HeartbeatSettings,
    phase: Phase,
    seq: u64,
) -> String {
    let state = if phase == Phase::Draining {
        "draining"
    } else {
        "ready"
    };
    let mut body = json!({
        "backend": identity.backend,
        "address": identity.address.to_string(),
        "zone": identity.zone,
        "generation": identity.generation,
        "slots": identity.slots,
        "state": state,
        "cold_left_ms": heartbeat.warm_up_left_ms,
        "seq": seq,
    });
    if !heartbeat.models.is_empty() {
        let model = |name: &String| json!({ "name": name, "generation": 1, "adapters": [] });
        body["phase"] = json!("both");
        body["models"] = json!(heartbeat.models.iter().map(model).collect::<Vec<_>>());
    }
    body.to_string()
}

async fn call_with_timeout(address: SocketAddr, message: &Call) -> Result<CallResponse, CallError> {
    call(address, message, ACKNOWLEDGEMENT_TIMEOUT).await
}

/// The gateway that an acknowledgement names as the address for heartbeats, if it names one.
fn preferred_gateway(body: &[u8]) -> Option<SocketAddr> {
    let answer: serde_json::Value = serde_json::from_slice(body).ok()?;
    answer.get("beat_addr")?.as_str()?.parse().ok()
}
