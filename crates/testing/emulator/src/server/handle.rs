//! State of a server that tests, heartbeats and connections share: identity, faults, limits and counters.

use super::fault::ServerFaults;
use super::identity::{Identity, TestContext};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Limits and time-outs of connections, and the health check's path.
#[derive(Clone, Debug)]
pub struct ConnectionSettings {
    /// Path of the health check.
    pub health_path: String,
    /// Maximum number of open connections from all callers together; further ones are reset.
    pub max_connections: usize,
    /// Time after which an idle connection is closed; the `Keep-Alive` header states it in whole seconds.
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

/// State of a server that tests, heartbeats and connections share.
#[derive(Debug)]
pub struct ServerHandle {
    /// Identity of the server.
    pub identity: Identity,
    /// Clock and record that the test's servers share.
    pub context: TestContext,
    /// Faults to be injected into the next requests.
    pub faults: ServerFaults,
    pub(super) settings: ConnectionSettings,
    leaving: AtomicBool,
    healthy: AtomicBool,
    open_connections: AtomicUsize,
    accepted: AtomicU64,
    reset: AtomicU64,
    probes: AtomicU64,
    /// Number of stamps given to responses.
    stamps: AtomicU64,
}

impl ServerHandle {
    /// The handle of a server that is healthy and has no connections.
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
            open_connections: AtomicUsize::new(0),
            accepted: AtomicU64::new(0),
            reset: AtomicU64::new(0),
            probes: AtomicU64::new(0),
            stamps: AtomicU64::new(0),
        }
    }

    /// Starts the server's shutdown: responses close their connection and the health check fails.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Whether the server is shutting down.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Sets whether the health check succeeds.
    pub fn set_healthy(&self, healthy: bool) {
        self.healthy.store(healthy, Ordering::SeqCst);
    }

    pub(super) fn healthy(&self) -> bool {
        self.healthy.load(Ordering::SeqCst) && !self.leaving()
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Number of connections reset so far because the limit was reached.
    pub fn reset(&self) -> u64 {
        self.reset.load(Ordering::SeqCst)
    }

    /// Number of health checks and reports answered so far.
    pub fn probes(&self) -> u64 {
        self.probes.load(Ordering::SeqCst)
    }

    pub(super) fn count_probe(&self) {
        self.probes.fetch_add(1, Ordering::SeqCst);
    }

    /// Acquires the slot of a new connection; false where the limit of connections is reached.
    pub(super) fn acquire_connection_slot(&self) -> bool {
        let open = self.open_connections.fetch_add(1, Ordering::SeqCst);
        if open >= self.settings.max_connections {
            self.release_connection_slot();
            self.reset.fetch_add(1, Ordering::SeqCst);
            return false;
        }
        self.accepted.fetch_add(1, Ordering::SeqCst);
        true
    }

    /// Releases the slot of a connection that has ended.
    pub(super) fn release_connection_slot(&self) {
        self.open_connections.fetch_sub(1, Ordering::SeqCst);
    }

    /// A new stamp, different from those of all other responses.
    pub(super) fn next_stamp(&self) -> String {
        let number = self.stamps.fetch_add(1, Ordering::SeqCst);
        format!(
            "{}.{number:x}",
            self.identity.instance.trim_start_matches("i-")
        )
    }
}
