//! How a server makes itself known: heartbeats, draining and leaving, told to whichever limiter acknowledges.

use crate::client::call::{call, Call, CallAnswer, CallError};
use crate::record::Acknowledged;
use crate::server::{Door, Identity};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// An acknowledgement that comes later is none.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(1);
/// One that is longer is none either.
const LONGEST_ACKNOWLEDGEMENT: usize = 4 * 1024;
/// Pause once all limiters have failed.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// What is told next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Ready,
    Draining,
    Leaving,
    Silent,
}

/// Registers one server for as long as it lives.
#[derive(Debug)]
pub struct Registration {
    door: Arc<Door>,
    shared: Arc<Shared>,
    beat: Beat,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    controls: Mutex<Vec<SocketAddr>>,
    phase: watch::Sender<Phase>,
    acknowledged: watch::Sender<Option<Phase>>,
    now: Notify,
}

/// How a server tells of itself.
#[derive(Clone, Debug)]
pub struct Beat {
    /// Time from one heartbeat to the next.
    pub pause: Duration,
    /// Time that it is slow from its start, told in each heartbeat.
    pub cold_left_ms: u64,
    /// Names of its models; none for a plain server.
    pub models: Vec<String>,
}

impl Registration {
    /// Begins to tell `controls` of the server behind `door`.
    pub fn start(door: Arc<Door>, controls: Vec<SocketAddr>, beat: Beat) -> Registration {
        let shared = Arc::new(Shared {
            controls: Mutex::new(controls),
            phase: watch::Sender::new(Phase::Ready),
            acknowledged: watch::Sender::new(None),
            now: Notify::new(),
        });
        let teller = Teller {
            door: door.clone(),
            shared: shared.clone(),
            beat: beat.clone(),
            seq: 0,
            next: 0,
            preferred: None,
        };
        Registration {
            door,
            shared,
            beat,
            task: tokio::spawn(teller.run()),
        }
    }

    /// The limiters to be called from now on.
    pub fn set_controls(&self, controls: Vec<SocketAddr>) {
        *self
            .shared
            .controls
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = controls;
    }

    /// Ends once the server is known as ready.
    pub async fn known(&self) {
        self.told(Phase::Ready).await;
    }

    /// Says that the server is draining; ends with the acknowledgement.
    pub async fn drain(&self) {
        self.enter(Phase::Draining).await;
        self.door.set_leaving();
    }

    /// Says that the server leaves; ends with the acknowledgement.
    pub async fn leave(&self) {
        self.enter(Phase::Leaving).await;
    }

    /// Sends one heartbeat with these values to `control`, beside those that are sent by themselves.
    pub async fn stray(&self, control: SocketAddr, seq: u64, draining: bool) -> Option<u16> {
        let phase = if draining {
            Phase::Draining
        } else {
            Phase::Ready
        };
        let body = body(&self.door.identity, &self.beat, phase, seq);
        let call = Call::post(
            format!("/api/instances/{}/heartbeat", self.door.identity.instance),
            body,
        );
        call_within(control, &call)
            .await
            .ok()
            .map(|answer| answer.status)
    }

    /// Says nothing any more, as a server that crashed.
    pub fn fall_silent(&self) {
        self.shared.phase.send_replace(Phase::Silent);
        self.task.abort();
    }

    async fn enter(&self, phase: Phase) {
        self.shared.phase.send_replace(phase);
        self.shared.now.notify_one();
        self.told(phase).await;
    }

    async fn told(&self, phase: Phase) {
        let mut acknowledged = self.shared.acknowledged.subscribe();
        let _ = acknowledged.wait_for(|told| *told == Some(phase)).await;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Teller {
    door: Arc<Door>,
    shared: Arc<Shared>,
    beat: Beat,
    seq: u64,
    /// Place in the list of limiters.
    next: usize,
    /// Where an earlier answer asked to be called.
    preferred: Option<SocketAddr>,
}

impl Teller {
    async fn run(mut self) {
        loop {
            let phase = *self.shared.phase.borrow();
            if phase == Phase::Silent {
                return;
            }
            if !self.tell(phase).await {
                sleep(ROUND_PAUSE).await;
                continue;
            }
            self.shared.acknowledged.send_replace(Some(phase));
            if phase == Phase::Leaving {
                return;
            }
            tokio::select! {
                () = sleep(self.beat.pause) => {}
                () = self.shared.now.notified() => {}
            }
        }
    }

    /// Calls one limiter after the other until one acknowledges; false when all have failed.
    async fn tell(&mut self, phase: Phase) -> bool {
        let asked_ms = self.door.surroundings.clock.now_ms();
        if let Some(preferred) = self.preferred {
            if self.tell_one(preferred, phase, asked_ms).await {
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
            if self.tell_one(address, phase, asked_ms).await {
                self.next += offset;
                return true;
            }
        }
        false
    }

    async fn tell_one(&mut self, address: SocketAddr, phase: Phase, asked_ms: u64) -> bool {
        let id = &self.door.identity.instance;
        let call = match phase {
            Phase::Leaving => Call::post(format!("/api/instances/{id}/leave"), String::from("{}")),
            _ => Call::post(
                format!("/api/instances/{id}/heartbeat"),
                body(&self.door.identity, &self.beat, phase, self.seq),
            ),
        };
        self.seq += 1;
        let Ok(answer) = call_within(address, &call).await else {
            return false;
        };
        if !(200..300).contains(&answer.status) || answer.body.len() > LONGEST_ACKNOWLEDGEMENT {
            return false;
        }
        self.preferred = preferred(&answer.body).or(self.preferred);
        self.note(phase, asked_ms);
        true
    }

    fn note(&self, phase: Phase, asked_ms: u64) {
        let instance = self.door.identity.instance.clone();
        let what = match phase {
            Phase::Draining => Acknowledged::Draining { instance },
            Phase::Leaving => Acknowledged::Left { instance },
            Phase::Ready | Phase::Silent => return,
        };
        let surroundings = &self.door.surroundings;
        surroundings
            .record
            .acknowledged(surroundings.clock.now_ms(), asked_ms, what);
    }
}

fn body(identity: &Identity, beat: &Beat, phase: Phase, seq: u64) -> String {
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
        "cold_left_ms": beat.cold_left_ms,
        "seq": seq,
    });
    if !beat.models.is_empty() {
        let model = |name: &String| json!({ "name": name, "generation": 1, "adapters": [] });
        body["phase"] = json!("both");
        body["models"] = json!(beat.models.iter().map(model).collect::<Vec<_>>());
    }
    body.to_string()
}

async fn call_within(address: SocketAddr, what: &Call) -> Result<CallAnswer, CallError> {
    call(address, what, ACKNOWLEDGED_WITHIN).await
}

fn preferred(body: &[u8]) -> Option<SocketAddr> {
    let answer: serde_json::Value = serde_json::from_slice(body).ok()?;
    answer.get("beat_addr")?.as_str()?.parse().ok()
}
