//! What the tests of the control state share: operations with what doesn't matter filled in.
#![allow(dead_code)]

use dunespur_control_state::{
    Change, ConfigurationRequest, ConfigurationRequestKind, ControlState, NodeKind, NodeReport,
    Operation, Outcome, ServerReport, ServerState,
};
use std::net::SocketAddr;

/// An address of the port `port`.
pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// A report of a server, ready, at the address of its own port.
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

/// The same, draining.
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

/// A complete configuration without routes.
pub fn replace(base: u64, generation: u64) -> ConfigurationRequest {
    replace_with(
        base,
        &format!(r#"{{"generation":{generation},"routes":[],"services":[]}}"#),
    )
}

/// A complete configuration.
pub fn replace_with(base: u64, body: &str) -> ConfigurationRequest {
    ConfigurationRequest {
        kind: ConfigurationRequestKind::Replace,
        base,
        body: body.as_bytes().to_vec(),
        fencing_token: 0,
    }
}

/// Named items changed.
pub fn patch(base: u64, body: &str) -> ConfigurationRequest {
    ConfigurationRequest {
        kind: ConfigurationRequestKind::Patch,
        base,
        body: body.as_bytes().to_vec(),
        fencing_token: 0,
    }
}

/// The operator's request to retire a store, with a fencing token.
pub fn retire(name: &str, tolerated_losses: u32, fencing_token: u64) -> Operation {
    Operation::RetireStart {
        node: name.to_owned(),
        tolerated_losses,
        fencing_token,
    }
}

/// A state under test, with all the changes that its subscribers received.
#[derive(Default)]
pub struct Trial {
    pub state: ControlState,
    pub notifications: Vec<Change>,
}

impl Trial {
    /// Applies an operation: what it came to.
    pub fn apply(&mut self, operation: &Operation) -> Outcome {
        self.state.apply(operation, &mut self.notifications)
    }

    /// The outcome of an operator's configuration request.
    pub fn request(&mut self, request: &ConfigurationRequest) -> Outcome {
        self.apply(&Operation::Configure(request.clone()))
    }

    /// The outcome of an operator's request to retire a store, made now.
    pub fn retire(&mut self, name: &str, tolerated_losses: u32) -> Outcome {
        match self.apply(&retire(name, tolerated_losses, 0)) {
            Outcome::Fenced { fencing_token } => {
                self.apply(&retire(name, tolerated_losses, fencing_token))
            }
            outcome => outcome,
        }
    }

    /// The changes that subscribers receive after a server's report.
    pub fn server(&mut self, report: ServerReport) -> Vec<Change> {
        self.changes(&Operation::Server(report))
    }

    /// The changes that subscribers receive after a node's report.
    pub fn node(&mut self, report: NodeReport) -> Vec<Change> {
        self.changes(&Operation::Node(report))
    }

    /// The changes that subscribers receive after an operation without an outcome of its own.
    pub fn changes(&mut self, operation: &Operation) -> Vec<Change> {
        let before = self.notifications.len();
        assert_eq!(self.apply(operation), Outcome::Done);
        self.notifications[before..].to_vec()
    }

    /// The ids of the servers that are there.
    pub fn ids(&self) -> Vec<&str> {
        self.state
            .servers()
            .map(|server| server.id.as_str())
            .collect()
    }
}
