//! The part of a server that tests, heartbeats and connections share: identity, faults, limits and counters.

use super::fault::ServerFaults;
use super::identity::{Identity, TestContext};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Treatment of connections.
#[derive(Clone, Debug)]
pub struct ConnectionSettings {
    /// Path of the health check.
    pub health_path: String,
    /// Connections from all callers together; more are reset.
    pub max_connections: usize,
    /// Idle connections are closed after this time; `Keep-Alive` states it in whole seconds.
    pub idle: Duration,
}

impl Default for ConnectionSettings {
    fn default() -> Self {
        ConnectionSettings {
            health_path: "/healthz".to_owned(),
            max_connections: 220,
            idle: Duration::from_secs(30),
        }
    }
}

/// What tests, heartbeats and connections of a server share.
#[derive(Debug)]
pub struct ServerHandle {
    /// Who the server is.
    pub identity: Identity,
    /// Clock and record of the test.
    pub context: TestContext,
    /// Faults that the next requests meet.
    pub faults: ServerFaults,
    pub(super) settings: ConnectionSettings,
    leaving: AtomicBool,
    healthy: AtomicBool,
    open: AtomicUsize,
    accepted: AtomicU64,
    reset: AtomicU64,
    probes: AtomicU64,
    answers: AtomicU64,
}

impl ServerHandle {
    /// The handle of a healthy server without connections.
    #[must_use]
    pub fn new(
        identity: Identity,
        settings: ConnectionSettings,
        context: TestContext,
    ) -> ServerHandle {
        ServerHandle {
            identity,
            context,
            faults: ServerFaults::default(),
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

    /// From now on responses close their connection and the health check fails.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Whether the server is shutting down.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Sets what the health check answers.
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

    /// Takes a slot for one more connection; false where all are taken.
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

    /// A stamp that no other response has.
    pub(super) fn stamp(&self) -> String {
        let number = self.answers.fetch_add(1, Ordering::SeqCst);
        format!(
            "{}.{number:x}",
            self.identity.instance.trim_start_matches("i-")
        )
    }
}
