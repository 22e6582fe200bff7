//! What a server checks before it lets a request in.

use super::{Identity, Surroundings, Troubles};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// How a server treats connections.
#[derive(Clone, Debug)]
pub struct DoorSettings {
    /// Path that answers whether it is healthy.
    pub health_path: String,
    /// Connections from all callers together; more are reset.
    pub max_connections: usize,
    /// Idle connections are closed after that time, which `Keep-Alive` tells in whole seconds.
    pub idle: Duration,
}

impl Default for DoorSettings {
    fn default() -> Self {
        DoorSettings {
            health_path: "/healthz".to_owned(),
            max_connections: 220,
            idle: Duration::from_secs(30),
        }
    }
}

/// The part of a server that test, heartbeats and connections share.
#[derive(Debug)]
pub struct Door {
    /// Whose door it is.
    pub identity: Identity,
    /// Clock and record.
    pub surroundings: Surroundings,
    /// Faults that the next requests meet.
    pub troubles: Troubles,
    pub(super) settings: DoorSettings,
    leaving: AtomicBool,
    healthy: AtomicBool,
    open: AtomicUsize,
    accepted: AtomicU64,
    reset: AtomicU64,
    probes: AtomicU64,
    answers: AtomicU64,
}

impl Door {
    /// A door that is healthy and open.
    #[must_use]
    pub fn new(identity: Identity, settings: DoorSettings, surroundings: Surroundings) -> Door {
        Door {
            identity,
            surroundings,
            troubles: Troubles::default(),
            settings,
            leaving: AtomicBool::new(false),
            healthy: AtomicBool::new(true),
            open: AtomicUsize::new(0),
            accepted: AtomicU64::new(0),
            reset: AtomicU64::new(0),
            probes: AtomicU64::new(0),
            answers: AtomicU64::new(0),
        }
    }

    /// From now on answers end their connection and the server calls itself unhealthy.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Whether it closes its connections.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// What health checks hear from now on.
    pub fn set_healthy(&self, healthy: bool) {
        self.healthy.store(healthy, Ordering::SeqCst);
    }

    pub(super) fn healthy(&self) -> bool {
        self.healthy.load(Ordering::SeqCst) && !self.leaving()
    }

    /// Connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Connections reset because there were too many.
    pub fn reset(&self) -> u64 {
        self.reset.load(Ordering::SeqCst)
    }

    /// Health checks and reports answered so far.
    pub fn probes(&self) -> u64 {
        self.probes.load(Ordering::SeqCst)
    }

    pub(super) fn probed(&self) {
        self.probes.fetch_add(1, Ordering::SeqCst);
    }

    /// A place for one more connection.
    pub(super) fn enter(&self) -> bool {
        let before = self.open.fetch_add(1, Ordering::SeqCst);
        if before >= self.settings.max_connections {
            self.left();
            self.reset.fetch_add(1, Ordering::SeqCst);
            return false;
        }
        self.accepted.fetch_add(1, Ordering::SeqCst);
        true
    }

    pub(super) fn left(&self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }

    /// A stamp that no other answer has.
    pub(super) fn stamp(&self) -> String {
        let number = self.answers.fetch_add(1, Ordering::SeqCst);
        format!(
            "{}.{number:x}",
            self.identity.instance.trim_start_matches("i-")
        )
    }
}
