//! Test helpers: reports and requests with default values for fields that do not matter, and a test harness.
#![allow(dead_code)]

use dunespur_control_state::{
    Change, ConfigurationRequest, ConfigurationRequestKind, ControlState, NodeKind, NodeReport,
    Operation, Outcome, ServerReport, ServerState,
};
use std::net::SocketAddr;

/// The test address with this port.
pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// A report of a ready server.
pub fn server(id: &str, port: u16, sequence: u64) -> ServerReport {
    ServerReport {
        id: id.to_owned(),
        backend: "pool".to_owned(),
        address: address(port),
        zone: "north".to_owned(),
        generation: "v1".to_owned(),
        slots: 6,
        state: ServerState::Ready,
        sequence,
    }
}

/// A report of a draining server.
pub fn draining(id: &str, port: u16, sequence: u64) -> ServerReport {
    ServerReport {
        state: ServerState::Draining,
        ..server(id, port, sequence)
    }
}

/// A report of a gateway.
pub fn gateway(name: &str, incarnation: u64) -> NodeReport {
    NodeReport {
        name: name.to_owned(),
        kind: NodeKind::Gateway,
        zone: "north".to_owned(),
        address: address(7_000),
        incarnation,
        disk: 0,
        complete: false,
    }
}

/// A report of a store on its first disk.
pub fn store(name: &str, incarnation: u64) -> NodeReport {
    NodeReport {
        kind: NodeKind::Store,
        disk: 1,
        complete: true,
        ..gateway(name, incarnation)
    }
}

/// A request that replaces the configuration by one without routes and services.
pub fn replace(base: u64, generation: u64) -> ConfigurationRequest {
    replace_with(
        base,
        &format!(r#"{{"generation":{generation},"routes":[],"services":[]}}"#),
    )
}

/// A request that replaces the configuration by `body`.
pub fn replace_with(base: u64, body: &str) -> ConfigurationRequest {
    ConfigurationRequest {
        kind: ConfigurationRequestKind::Replace,
        base,
        body: body.as_bytes().to_vec(),
        fencing_token: 0,
    }
}

/// A request that patches the configuration with `body`.
pub fn patch(base: u64, body: &str) -> ConfigurationRequest {
    ConfigurationRequest {
        kind: ConfigurationRequestKind::Patch,
        base,
        body: body.as_bytes().to_vec(),
        fencing_token: 0,
    }
}

/// A request to retire a store, with a fencing token.
pub fn retire(name: &str, tolerated_losses: u32, fencing_token: u64) -> Operation {
    Operation::RetireStart {
        node: name.to_owned(),
        tolerated_losses,
        fencing_token,
    }
}

/// A control state under test, with all changes that its subscribers received.
#[derive(Default)]
pub struct Harness {
    pub state: ControlState,
    pub notifications: Vec<Change>,
}

impl Harness {
    /// Applies an operation and returns its outcome.
    pub fn apply(&mut self, operation: &Operation) -> Outcome {
        self.state.apply(operation, &mut self.notifications)
    }

    /// Applies a configuration request and returns its outcome.
    pub fn request(&mut self, request: &ConfigurationRequest) -> Outcome {
        self.apply(&Operation::Configure(request.clone()))
    }

    /// Applies a request to retire a store, repeating it with the fencing token if needed, and returns its outcome.
    pub fn retire(&mut self, name: &str, tolerated_losses: u32) -> Outcome {
        match self.apply(&retire(name, tolerated_losses, 0)) {
            Outcome::Fenced { fencing_token } => {
                self.apply(&retire(name, tolerated_losses, fencing_token))
            }
            outcome => outcome,
        }
    }

    /// Applies a server's report and returns the changes for subscribers.
    pub fn server(&mut self, report: ServerReport) -> Vec<Change> {
        self.changes(&Operation::Server(report))
    }

    /// Applies a node's report and returns the changes for subscribers.
    pub fn node(&mut self, report: NodeReport) -> Vec<Change> {
        self.changes(&Operation::Node(report))
    }

    /// Applies an operation whose outcome is `Done` and returns the changes for subscribers.
    pub fn changes(&mut self, operation: &Operation) -> Vec<Change> {
        let before = self.notifications.len();
        assert_eq!(self.apply(operation), Outcome::Done);
        self.notifications[before..].to_vec()
    }

    /// The ids of the present servers.
    pub fn ids(&self) -> Vec<&str> {
        self.state
            .servers()
            .map(|server| server.id.as_str())
            .collect()
    }
}
