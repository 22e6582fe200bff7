//! Seeded sequences of operations, some duplicated and some reordered: replicas stay equal, and a subscriber that
//! receives the changes has the same state as a new subscriber.

mod common;

use common::{draining, gateway, patch, replace, retire, server, store};
use dunespur_budget::{CounterChange, CounterRequest, LimiterId};
use dunespur_control_state::{
    Change, ConfigurationRequest, ControlState, NodeReport, Operation, Outcome, RetirementOutcome,
    ServerReport, ServerState, SnapshotError,
};
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};

const SEEDS: u64 = 60;
const OPERATIONS: usize = 800;
/// Number of operations in flight at once.
const WINDOW: usize = 6;

/// Generates random operations on a few servers, nodes and programs, so that operations affect the same items.
struct OperationGenerator {
    random: Rng,
    sequence: u64,
    /// The state after the operations that have arrived, so that some requests build on the current configuration.
    state: ControlState,
}

impl OperationGenerator {
    fn operation(&mut self) -> Operation {
        self.sequence += 1;
        match self.random.u32(0..20) {
            0..=2 => Operation::Configure(self.request()),
            3..=8 => Operation::Server(self.server()),
            9 => Operation::ServerLeft {
                id: self.name("s", 30),
            },
            10 => Operation::ServerExpired {
                id: self.name("s", 30),
                last_sequence: self.recent(),
            },
            11..=14 => Operation::Node(self.node()),
            15 => Operation::NodeExpired {
                name: self.name("n", 6),
                incarnation: self.recent(),
            },
            16 => {
                let fencing_token = self.retirement_token();
                retire(&self.name("n", 6), self.random.u32(0..3), fencing_token)
            }
            17 => self.retire_done(),
            _ => Operation::Budget(self.budget()),
        }
    }

    /// A report of an empty store, mostly from the current incarnation and in the current epoch.
    fn retire_done(&mut self) -> Operation {
        let node = self.name("n", 6);
        let known = self
            .state
            .stores()
            .find(|store| store.name == node && !self.sequence.is_multiple_of(4));
        let incarnation = known
            .as_ref()
            .map_or_else(|| self.recent(), |store| store.incarnation);
        let epoch = known.map_or(0, |store| store.epoch);
        Operation::RetireDone {
            node,
            incarnation,
            epoch,
        }
    }

    /// A configuration request, mostly on the newest generation, else on a recent one. Some requests are invalid.
    fn request(&mut self) -> ConfigurationRequest {
        let newest = self
            .state
            .configuration()
            .map_or(0, |document| document.generation());
        let base = if self.random.u32(0..3) > 0 {
            newest
        } else {
            newest.saturating_sub(self.random.u64(1..4))
        };
        let generation = newest + self.random.u64(0..4);
        match self.random.bool() {
            true => replace(base, generation),
            false => {
                let upsert = format!(r#"{{"keys":[{{"name":"k{}"}}]}}"#, self.random.u32(0..5));
                patch(
                    base,
                    &format!(r#"{{"generation":{generation},"upsert":{upsert}}}"#),
                )
            }
        }
    }

    /// A fencing token for a retirement request, mostly the current one.
    fn retirement_token(&mut self) -> u64 {
        match self
            .state
            .clone()
            .apply(&retire("nobody", 0, 0), &mut Vec::new())
        {
            Outcome::Fenced { fencing_token } if self.random.u32(0..4) > 0 => fencing_token,
            _ => 0,
        }
    }

    fn server(&mut self) -> ServerReport {
        let (id, port) = (self.name("s", 30), self.random.u16(1..12));
        match self.random.u32(0..6) {
            0 => draining(&id, port, self.sequence),
            _ => server(&id, port, self.sequence),
        }
    }

    fn node(&mut self) -> NodeReport {
        let (name, incarnation) = (self.name("n", 6), self.recent());
        match self.random.u32(0..3) {
            0 => gateway(&name, incarnation),
            _ => NodeReport {
                disk: incarnation / 200,
                complete: self.random.bool(),
                ..store(&name, incarnation)
            },
        }
    }

    fn budget(&mut self) -> CounterRequest {
        CounterRequest {
            program: self.name("p", 4),
            budget: 1_000,
            limiter: LimiterId {
                node: self.name("n", 6),
                incarnation: 1,
            },
            sequence: self.sequence,
            used: self.random.u64(0..5),
            change: CounterChange::Lease {
                needed: 10,
                wanted: 20,
                returned: self.random.u64(0..5),
            },
            at_ms: self.sequence * 10,
        }
    }

    fn name(&mut self, prefix: &str, names: u32) -> String {
        format!("{prefix}{}", self.random.u32(0..names))
    }

    /// The newest sequence number or a slightly lower one.
    fn recent(&mut self) -> u64 {
        self.sequence.saturating_sub(self.random.u64(0..20))
    }
}

/// The operations of a seed in the order of their arrival, some duplicated, some reordered.
fn operations(seed: u64) -> Vec<Operation> {
    let mut generator = OperationGenerator {
        random: Rng::with_seed(seed),
        sequence: 0,
        state: ControlState::default(),
    };
    let mut in_flight = Vec::new();
    let mut arrived = Vec::new();
    while arrived.len() < OPERATIONS {
        while in_flight.len() < WINDOW {
            in_flight.push(generator.operation());
        }
        let next = generator.random.usize(0..WINDOW);
        let operation = match generator.random.u32(0..4) {
            0 => in_flight[next].clone(),
            _ => in_flight.swap_remove(next),
        };
        generator.state.apply(&operation, &mut Vec::new());
        arrived.push(operation);
    }
    arrived
}

/// The state that a subscriber builds from changes.
#[derive(Debug, Default, PartialEq)]
struct Subscriber {
    configuration: Option<String>,
    servers: BTreeMap<String, Change>,
    stores: BTreeMap<String, Change>,
    gateways: BTreeMap<String, Change>,
}

impl Subscriber {
    fn receive(&mut self, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Configuration { json, .. } => self.configuration = Some(json.to_string()),
                Change::Server(report) => {
                    // Subscribers' sequence numbers may differ, because a change of the sequence number alone is not
                    // published.
                    let known = Change::Server(ServerReport {
                        sequence: 0,
                        ..report.clone()
                    });
                    self.servers.insert(report.id.clone(), known);
                }
                Change::ServerRemoved { id } => {
                    assert!(
                        self.servers.remove(id).is_some(),
                        "server {id} was removed but not published before"
                    );
                }
                Change::Store(entry) => {
                    let before = self.stores.insert(entry.name.clone(), change.clone());
                    assert_ne!(
                        before.as_ref(),
                        Some(change),
                        "a published change must differ from the earlier one"
                    );
                }
                Change::StoreRemoved { name } => {
                    assert!(
                        self.stores.remove(name).is_some(),
                        "{name} was removed but not published before"
                    );
                }
                Change::Gateway(entry) => {
                    let before = self.gateways.insert(entry.name.clone(), change.clone());
                    assert_ne!(
                        before.as_ref(),
                        Some(change),
                        "a published change must differ from the earlier one"
                    );
                }
                Change::GatewayRemoved { name } => {
                    assert!(
                        self.gateways.remove(name).is_some(),
                        "{name} was removed but not published before"
                    );
                }
            }
        }
    }

    fn of(state: &ControlState) -> Subscriber {
        let mut subscriber = Subscriber::default();
        subscriber.receive(&state.initial_changes());
        subscriber
    }
}

#[test]
fn replicas_are_equal_byte_for_byte() {
    for seed in 0..SEEDS {
        let (mut first, mut second) = (ControlState::default(), ControlState::default());
        let (mut changes_of_first, mut changes_of_second) = (Vec::new(), Vec::new());
        for operation in operations(seed) {
            let outcome = first.apply(&operation, &mut changes_of_first);
            // The second replica is restored from its snapshot before each operation.
            second = ControlState::restore(&second.snapshot()).expect("the snapshot is restorable");
            assert_eq!(
                second.apply(&operation, &mut changes_of_second),
                outcome,
                "seed {seed}"
            );
        }
        assert_eq!(first, second, "seed {seed}");
        assert_eq!(first.snapshot(), second.snapshot(), "seed {seed}");
        assert_eq!(changes_of_first, changes_of_second, "seed {seed}");
    }
}

#[test]
fn the_changes_lead_to_the_state_of_a_new_subscriber() {
    for seed in 0..SEEDS {
        let mut state = ControlState::default();
        let mut subscriber = Subscriber::default();
        for operation in operations(seed) {
            let mut changes = Vec::new();
            state.apply(&operation, &mut changes);
            subscriber.receive(&changes);
            assert_eq!(
                subscriber,
                Subscriber::of(&state),
                "seed {seed}, {operation:?}"
            );
        }
    }
}

#[test]
fn an_operation_applied_twice_is_applied_once() {
    for seed in 0..SEEDS {
        let mut state = ControlState::default();
        for operation in operations(seed) {
            let outcome = state.apply(&operation, &mut Vec::new());
            let mut changes = Vec::new();
            let repeated = state.apply(&operation, &mut changes);
            assert_eq!(changes, [], "seed {seed}, {operation:?}");
            match outcome {
                // A duplicate of a rejected request is fenced, so that it cannot be accepted later.
                Outcome::Retire(RetirementOutcome::TooFew | RetirementOutcome::UnknownNode) => {
                    assert!(
                        matches!(repeated, Outcome::Fenced { .. }),
                        "seed {seed}, {operation:?}: {repeated:?}"
                    );
                }
                outcome => assert_eq!(repeated, outcome, "seed {seed}, {operation:?}"),
            }
        }
    }
}

#[test]
fn final_states_and_accepted_requests_are_never_undone() {
    for seed in 0..SEEDS {
        let mut state = ControlState::default();
        let (mut left, mut drained) = (BTreeSet::new(), BTreeSet::new());
        let (mut accepted, mut newest) = (BTreeMap::new(), 0);
        for operation in operations(seed) {
            let outcome = state.apply(&operation, &mut Vec::new());
            match &operation {
                Operation::ServerLeft { id } => drop(left.insert(id.clone())),
                Operation::Server(report) if report.state == ServerState::Draining => {
                    drained.insert(report.id.clone());
                }
                Operation::Configure(request) if outcome == Outcome::Accepted => {
                    let other = accepted.insert(request.base, request.clone());
                    assert!(
                        other.is_none_or(|other| other == *request),
                        "two requests were accepted on generation {}",
                        request.base
                    );
                }
                _ => {}
            }
            for server in state.servers() {
                assert!(
                    !left.contains(&server.id),
                    "seed {seed}: {} is present after it left",
                    server.id
                );
                let ready = server.state == ServerState::Ready;
                assert!(
                    !ready || !drained.contains(&server.id),
                    "seed {seed}: {} is ready after it was draining",
                    server.id
                );
            }
            let addresses: BTreeSet<_> = state.servers().map(|server| server.address).collect();
            assert_eq!(
                addresses.len(),
                state.servers().count(),
                "seed {seed}: two servers have the same address"
            );
            let generation = state
                .configuration()
                .map_or(0, |document| document.generation());
            assert!(
                generation >= newest,
                "seed {seed}: the generation decreased"
            );
            newest = generation;
        }
        assert!(
            accepted.len() > 20,
            "seed {seed}: too few requests were accepted"
        );
        for request in accepted.into_values() {
            let repeated = state.apply(&Operation::Configure(request), &mut Vec::new());
            assert_eq!(repeated, Outcome::Accepted, "seed {seed}");
        }
    }
}

#[test]
fn operations_outcomes_and_changes_survive_encoding() {
    let mut state = ControlState::default();
    for operation in operations(1) {
        let bytes = postcard::to_stdvec(&operation).expect("the operation is encodable");
        assert_eq!(
            postcard::from_bytes::<Operation>(&bytes).expect("the operation is decodable"),
            operation
        );
        let outcome = state.apply(&operation, &mut Vec::new());
        let bytes = postcard::to_stdvec(&outcome).expect("the outcome is encodable");
        assert_eq!(
            postcard::from_bytes::<Outcome>(&bytes).expect("the outcome is decodable"),
            outcome
        );
    }
    let initial_changes = state.initial_changes();
    let bytes = postcard::to_stdvec(&initial_changes).expect("the changes are encodable");
    assert_eq!(
        postcard::from_bytes::<Vec<Change>>(&bytes).expect("the changes are decodable"),
        initial_changes
    );
}

#[test]
fn invalid_snapshots_are_rejected() {
    let mut state = ControlState::default();
    for operation in operations(2) {
        state.apply(&operation, &mut Vec::new());
    }
    let snapshot = state.snapshot();
    assert_eq!(ControlState::restore(&snapshot).as_ref(), Ok(&state));
    assert!(matches!(
        ControlState::restore(&[]),
        Err(SnapshotError::Damaged(_))
    ));
    let other_format = [&[99], &snapshot[1..]].concat();
    assert_eq!(
        ControlState::restore(&other_format),
        Err(SnapshotError::Format(99))
    );
    let too_long = [&snapshot[..], &[0, 0]].concat();
    assert_eq!(
        ControlState::restore(&too_long),
        Err(SnapshotError::TooLong { bytes: 2 })
    );
    for end in (1..snapshot.len()).step_by(7) {
        assert!(
            matches!(
                ControlState::restore(&snapshot[..end]),
                Err(SnapshotError::Damaged(_))
            ),
            "truncated to {end} bytes"
        );
    }
}
