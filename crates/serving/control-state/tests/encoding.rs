//! Checks the encoding of operations, outcomes, changes and snapshots. Processes of different versions exchange and
//! store these bytes, which depend on the order of fields and variants. The files under `encoding/` hold the expected
//! bytes.

mod common;

use common::{draining, gateway, patch, replace, replace_with, retire, server, store};
use dunespur_budget::{CounterChange, CounterReply, CounterRequest, LimiterId};
use dunespur_configuration::{Finding, Findings};
use dunespur_control_state::{
    Change, ConfigurationRequest, ConfigurationRequestKind, ControlState, GatewayEntry, NodeKind,
    NodeReport, Operation, Outcome, RetirementOutcome, RetirementState, ServerReport, ServerState,
    StoreEntry,
};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::{Debug, Write};
use std::net::SocketAddr;

/// Checks that each value encodes to the bytes on its line of the fixture, and that those bytes decode to the value.
fn assert_encoded<T>(fixture: &str, cases: &[(&str, T)])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let mut encoded = String::new();
    for (name, value) in cases {
        let bytes = postcard::to_stdvec(value).expect("the value is encodable");
        writeln!(encoded, "{name} {}", to_hex(&bytes)).expect("writing to a string succeeds");
    }
    assert_eq!(encoded, fixture);
    for ((name, value), line) in cases.iter().zip(fixture.lines()) {
        let (_, hex) = line.split_once(' ').expect("a line has a name and bytes");
        let decoded: T =
            postcard::from_bytes(&from_hex(hex)).expect("the fixture's bytes are decodable");
        assert_eq!(decoded, *value, "{name}");
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |at| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

fn ipv6(port: u16) -> SocketAddr {
    SocketAddr::from(([0xfd00, 1, 2, 3, 4, 5, 6, 7], port))
}

fn server_report(state: ServerState) -> ServerReport {
    ServerReport {
        id: "id-1".to_owned(),
        backend: "backend-2".to_owned(),
        address: SocketAddr::from(([10, 1, 2, 3], 7_003)),
        zone: "zone-4".to_owned(),
        generation: "generation-5".to_owned(),
        slots: 6,
        state,
        sequence: 700,
    }
}

fn node_report(kind: NodeKind) -> NodeReport {
    NodeReport {
        name: "name-1".to_owned(),
        kind,
        zone: "zone-2".to_owned(),
        address: ipv6(7_003),
        incarnation: 400,
        disk: 5_000,
        complete: true,
    }
}

fn configuration_request(kind: ConfigurationRequestKind) -> ConfigurationRequest {
    ConfigurationRequest {
        kind,
        base: 11,
        body: b"body-12".to_vec(),
        fencing_token: 1_300,
    }
}

fn counter_request(change: CounterChange) -> CounterRequest {
    CounterRequest {
        program: "program-1".to_owned(),
        budget: 2_000,
        limiter: LimiterId {
            node: "node-3".to_owned(),
            incarnation: 400,
        },
        sequence: 5,
        used: 60,
        change,
        at_ms: 70_000,
    }
}

fn server_operations() -> Vec<(&'static str, Operation)> {
    let left = Operation::ServerLeft {
        id: "id-1".to_owned(),
    };
    let expired = Operation::ServerExpired {
        id: "id-1".to_owned(),
        last_sequence: 300,
    };
    vec![
        (
            "server-ready",
            Operation::Server(server_report(ServerState::Ready)),
        ),
        (
            "server-draining",
            Operation::Server(server_report(ServerState::Draining)),
        ),
        ("server-left", left),
        ("server-expired", expired),
    ]
}

fn node_operations() -> Vec<(&'static str, Operation)> {
    let expired = Operation::NodeExpired {
        name: "name-1".to_owned(),
        incarnation: 300,
    };
    let start = Operation::RetireStart {
        node: "node-1".to_owned(),
        tolerated_losses: 2,
        fencing_token: 300,
    };
    let done = Operation::RetireDone {
        node: "node-1".to_owned(),
        incarnation: 200,
        epoch: 3,
    };
    let gateway = Operation::Node(node_report(NodeKind::Gateway));
    let store = Operation::Node(node_report(NodeKind::Store));
    vec![
        ("node-gateway", gateway),
        ("node-store", store),
        ("node-expired", expired),
        ("retire-start", start),
        ("retire-done", done),
    ]
}

#[test]
fn operations_keep_their_bytes() {
    let replace = configuration_request(ConfigurationRequestKind::Replace);
    let patch = configuration_request(ConfigurationRequestKind::Patch);
    let lease = CounterChange::Lease {
        needed: 81,
        wanted: 182,
        returned: 83,
    };
    let returned = CounterChange::Return { units: 84 };
    let mut cases = vec![
        ("configure-replace", Operation::Configure(replace)),
        ("configure-patch", Operation::Configure(patch)),
    ];
    cases.extend(server_operations());
    cases.extend(node_operations());
    cases.push(("budget-lease", Operation::Budget(counter_request(lease))));
    cases.push((
        "budget-return",
        Operation::Budget(counter_request(returned)),
    ));
    assert_encoded(include_str!("encoding/operations.txt"), &cases);
}

#[test]
fn outcomes_keep_their_bytes() {
    let finding = Finding {
        location: "place-1".to_owned(),
        problem: "problem-2".to_owned(),
    };
    let cases = [
        ("accepted", Outcome::Accepted),
        ("current", Outcome::GenerationConflict { current: 300 }),
        ("invalid", Outcome::Invalid(Findings(vec![finding]))),
        ("forgotten", Outcome::Undetermined),
        ("fenced", Outcome::Fenced { fencing_token: 400 }),
        ("retire-taken", Outcome::Retire(RetirementOutcome::Accepted)),
        (
            "retire-unknown-node",
            Outcome::Retire(RetirementOutcome::UnknownNode),
        ),
        ("retire-too-few", Outcome::Retire(RetirementOutcome::TooFew)),
        (
            "budget-granted",
            Outcome::Budget(CounterReply::Granted {
                units: 500,
                left: 6,
            }),
        ),
        ("budget-spent", Outcome::Budget(CounterReply::Spent)),
        (
            "budget-elsewhere",
            Outcome::Budget(CounterReply::LeasedElsewhere { leased: 700 }),
        ),
        ("budget-returned", Outcome::Budget(CounterReply::Returned)),
        ("budget-stale", Outcome::Budget(CounterReply::Stale)),
        ("done", Outcome::Done),
    ];
    assert_encoded(include_str!("encoding/outcomes.txt"), &cases);
}

/// Retirement states also occur outside of outcomes, in other messages.
#[test]
fn retirement_states_keep_their_bytes() {
    let states = [
        ("running", RetirementState::Running),
        ("done", RetirementState::Done),
    ];
    assert_encoded(include_str!("encoding/retirement-states.txt"), &states);
}

fn store_entry() -> StoreEntry {
    StoreEntry {
        name: "name-1".to_owned(),
        zone: "zone-2".to_owned(),
        address: ipv6(7_003),
        incarnation: 400,
        disk: 5_000,
        complete: false,
        present: false,
        retiring: false,
        retired: false,
        epoch: 600,
    }
}

/// Each change sets exactly one flag, so that swapped flags are detected.
fn store_changes() -> [(&'static str, Change); 4] {
    let with = |set: fn(&mut StoreEntry)| {
        let mut entry = store_entry();
        set(&mut entry);
        Change::Store(entry)
    };
    [
        ("store-first-flag", with(|entry| entry.complete = true)),
        ("store-second-flag", with(|entry| entry.present = true)),
        ("store-third-flag", with(|entry| entry.retiring = true)),
        ("store-fourth-flag", with(|entry| entry.retired = true)),
    ]
}

#[test]
fn changes_keep_their_bytes() {
    let configuration = Change::Configuration {
        generation: 300,
        json: "json-2".into(),
    };
    let gateway = Change::Gateway(GatewayEntry {
        name: "name-1".to_owned(),
        zone: "zone-2".to_owned(),
        address: SocketAddr::from(([10, 1, 2, 3], 7_003)),
        incarnation: 400,
    });
    let server_removed = Change::ServerRemoved {
        id: "id-1".to_owned(),
    };
    let store_removed = Change::StoreRemoved {
        name: "name-1".to_owned(),
    };
    let gateway_removed = Change::GatewayRemoved {
        name: "name-2".to_owned(),
    };
    let draining = Change::Server(server_report(ServerState::Draining));
    let mut cases = vec![
        ("configuration", configuration),
        ("server", draining),
        ("server-removed", server_removed),
    ];
    cases.extend(store_changes());
    cases.push(("store-removed", store_removed));
    cases.push(("gateway", gateway));
    cases.push(("gateway-removed", gateway_removed));
    assert_encoded(include_str!("encoding/changes.txt"), &cases);
    let changes: Vec<Change> = cases.into_iter().map(|(_, change)| change).collect();
    let fixture = include_str!("encoding/change-list.txt");
    assert_encoded(fixture, &[("all", changes)]);
}

fn budget(node: &str, incarnation: u64, sequence: u64, change: CounterChange) -> Operation {
    Operation::Budget(CounterRequest {
        program: format!("program-of-{node}"),
        budget: 1_000,
        limiter: LimiterId {
            node: node.to_owned(),
            incarnation,
        },
        sequence,
        used: 3,
        change,
        at_ms: 10_000 * sequence,
    })
}

fn budget_operations() -> [Operation; 4] {
    let lease = CounterChange::Lease {
        needed: 40,
        wanted: 90,
        returned: 2,
    };
    [
        budget("g", 31, 1, lease.clone()),
        budget("h", 32, 2, lease.clone()),
        budget("h", 33, 3, lease),
        budget("g", 31, 4, CounterChange::Return { units: 7 }),
    ]
}

/// A state with every part populated, built only by applying operations.
fn populated_state() -> ControlState {
    let body = r#"{"generation":11,"routes":[],"services":[{"name":"pool"}],"unknown":[1.50]}"#;
    let mut operations: Vec<Operation> = [replace_with(0, body), patch(11, r#"{"generation":12}"#)]
        .into_iter()
        .chain([replace(40, 41), replace(50, 51)])
        .map(Operation::Configure)
        .collect();
    let servers = [
        server("a", 1, 21),
        draining("b", 2, 22),
        server("c", 3, 23),
        server("d", 4, 24),
    ];
    operations.extend(servers.map(Operation::Server));
    operations.push(Operation::Server(draining("e", 5, 25)));
    operations.push(Operation::ServerLeft { id: "c".to_owned() });
    operations.push(Operation::ServerExpired {
        id: "d".to_owned(),
        last_sequence: 24,
    });
    operations.push(Operation::ServerExpired {
        id: "e".to_owned(),
        last_sequence: 25,
    });
    operations.extend([gateway("g", 31), gateway("h", 32)].map(Operation::Node));
    operations.push(Operation::NodeExpired {
        name: "h".to_owned(),
        incarnation: 32,
    });
    let stores = ["s", "t", "u", "v", "w"].map(|name| store(name, 41));
    operations.extend(stores.map(Operation::Node));
    operations.push(Operation::NodeExpired {
        name: "w".to_owned(),
        incarnation: 41,
    });
    operations.extend([retire("s", 1, 1), retire("t", 1, 2), retire("nobody", 1, 3)]);
    operations.extend(budget_operations());
    let mut state = ControlState::default();
    for operation in operations {
        state.apply(&operation, &mut Vec::new());
    }
    let epoch = state.stores().map(|store| store.epoch).max().unwrap_or(0);
    let done = Operation::RetireDone {
        node: "t".to_owned(),
        incarnation: 41,
        epoch,
    };
    state.apply(&done, &mut Vec::new());
    assert_eq!(state.retirement("s"), Some(RetirementState::Running));
    assert_eq!(state.retirement("t"), Some(RetirementState::Done));
    state
}

#[test]
fn snapshots_keep_their_bytes() {
    let state = populated_state();
    let fixture = include_str!("encoding/snapshot.txt").trim_end();
    assert_eq!(to_hex(&state.snapshot()), fixture);
    let restored = ControlState::restore(&from_hex(fixture)).expect("the snapshot is restorable");
    assert_eq!(restored, state);
    assert_eq!(restored.initial_changes(), state.initial_changes());
}
