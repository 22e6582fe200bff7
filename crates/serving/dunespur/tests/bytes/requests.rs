//! One value of each kind of request, with `Execute` for each kind of operation.

use super::values::{address, lease_renewals, loads, member, peer, server_report, turn, view};
use dunespur::messages::{Request, WatchRequest};
use dunespur_budget::{CounterChange, CounterRequest, LimiterId};
use dunespur_chain_replication::{Message, Origin};
use dunespur_control_state::{
    ConfigurationRequest, ConfigurationRequestKind, NodeKind, NodeReport, Operation,
};
use dunespur_load_distribution::{KnownVersion, LoadTable, Report, Reporter};
use dunespur_turn_replication::message::StoreRequest;

/// All requests with the names of their recorded lines.
pub fn all() -> Vec<(&'static str, Request)> {
    let mut requests = vec![
        (
            "chain",
            Request::Chain {
                from: member(1),
                message: submission(),
            },
        ),
        ("hello", Request::QueryView),
        ("candidate", Request::Candidate { peer: peer(2) }),
    ];
    requests.extend(
        operations()
            .into_iter()
            .map(|(name, operation)| (name, Request::Execute(operation))),
    );
    requests.extend(reads());
    requests
}

fn reads() -> Vec<(&'static str, Request)> {
    vec![
        ("read configuration", Request::ReadConfiguration),
        (
            "read retirement",
            Request::ReadRetirement {
                node: "store-4".to_owned(),
            },
        ),
        (
            "watch",
            Request::Watch(WatchRequest {
                after: Some(41),
                view: 42,
                renewals: lease_renewals(),
            }),
        ),
        (
            "watch from the start",
            Request::Watch(WatchRequest::default()),
        ),
        ("heard", Request::LeaseRenewals(lease_renewals())),
        (
            "store",
            Request::Store(StoreRequest::Put {
                turn: turn(),
                hint: Some("store-9".to_owned()),
            }),
        ),
        ("announce", Request::Announce(view(43))),
        (
            "status",
            Request::Status {
                program: Some("program-5".to_owned()),
            },
        ),
        ("home", Request::LoadReport(load_report())),
    ]
}

fn operations() -> Vec<(&'static str, Operation)> {
    let lease = lease_request();
    let return_request = CounterRequest {
        change: CounterChange::Return { units: 19 },
        ..lease.clone()
    };
    vec![
        (
            "execute configure",
            Operation::Configure(configuration_request()),
        ),
        ("execute server", Operation::Server(server_report())),
        (
            "execute server left",
            Operation::ServerLeft {
                id: "server-3".to_owned(),
            },
        ),
        (
            "execute server expired",
            Operation::ServerExpired {
                id: "server-3".to_owned(),
                last_sequence: 31,
            },
        ),
        ("execute node", Operation::Node(node_report())),
        (
            "execute node gone",
            Operation::NodeExpired {
                name: "front-7".to_owned(),
                incarnation: 32,
            },
        ),
        (
            "execute retire start",
            Operation::RetireStart {
                node: "store-4".to_owned(),
                tolerated_losses: 2,
                fencing_token: 33,
            },
        ),
        (
            "execute retire done",
            Operation::RetireDone {
                node: "store-4".to_owned(),
                incarnation: 34,
                epoch: 35,
            },
        ),
        ("execute budget lease", Operation::Budget(lease)),
        ("execute budget return", Operation::Budget(return_request)),
    ]
}

fn node_report() -> NodeReport {
    NodeReport {
        name: "store-4".to_owned(),
        kind: NodeKind::Store,
        zone: "zone-b".to_owned(),
        address: address(4, 7101),
        incarnation: 1_764_680_000_789,
        disk: 0x0102_0304_0506_0708,
        complete: true,
    }
}

fn configuration_request() -> ConfigurationRequest {
    ConfigurationRequest {
        kind: ConfigurationRequestKind::Patch,
        base: 11,
        body: br#"{"generation":12}"#.to_vec(),
        fencing_token: 13,
    }
}

fn lease_request() -> CounterRequest {
    CounterRequest {
        program: "program-5".to_owned(),
        budget: 1_000,
        limiter: LimiterId {
            node: "front-7".to_owned(),
            incarnation: 1_764_680_000_123,
        },
        sequence: 14,
        used: 15,
        change: CounterChange::Lease {
            needed: 16,
            wanted: 170,
            returned: 18,
        },
        at_ms: 1_764_680_000_999,
    }
}

fn submission() -> Message {
    Message::Submit {
        view: 21,
        origin: Origin {
            incarnation: 0x8877_6655_4433_2211,
            ticket: 22,
        },
        payload: vec![1, 2, 250].into(),
    }
}

fn load_report() -> Report {
    Report {
        service: "models".into(),
        reporter: Reporter::Aggregator {
            zone: "zone-a".into(),
            gateway: "front-7".into(),
        },
        incarnation: 23,
        version: 24,
        table: Some(LoadTable {
            version: 24,
            loads: loads(),
        }),
        known: KnownVersion {
            incarnation: 25,
            version: 26,
        },
    }
}
