//! Tests that the files of core members are compatible with those of an earlier revision of this package, which are
//! kept as fixtures: the same writes give the same bytes, and an old file opens with all its contents.

use crate::dump::{dump, format_value};
use dunespur_budget::{CounterChange, CounterReply, CounterRequest, LimiterId};
use dunespur_chain_replication::{
    AcceptedView, DecidedView, DurableState, Entry, MemberId, Origin, Payload, Peer, Position,
    ProposalNumber, Snapshot, View, Write,
};
use dunespur_control_state::{
    ConfigurationRequest, ConfigurationRequestKind, ControlState, NodeKind, NodeReport, Operation,
    Outcome, ServerReport, ServerState,
};
use dunespur_storage::core::CoreDisk;
use dunespur_storage::{DiskIdentity, OpenedDisk};
use dunespur_test_fixtures::{Fixtures, TemporaryFolder};
use redb::{Database, TableDefinition};
use std::net::SocketAddr;
use std::path::Path;

const VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("values");
const SNAPSHOT_CHUNKS: TableDefinition<u32, &[u8]> = TableDefinition::new("snapshot_parts");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");

/// Disk number in the fixture.
const FIXTURE_DISK: u64 = 9_936_915_957_175_005_276;
const CONFIGURATION: &str = concat!(
    r#"{"generation":11,"routes":[{"name":"r1","host":"h1.example","path_prefix":"/p1/","kind":"read_only","#,
    r#""timeout_ms":1201,"target_ms":151,"priority":3,"backend":"s1","retries":2}],"#,
    r#""services":[{"name":"s1","health_path":"/healthz","max_conns":121,"protocol":"h1","tls":false}]}"#
);

fn member(number: u64) -> MemberId {
    MemberId {
        node: format!("core-{number}"),
        disk: 1_000 + number,
    }
}

fn address(last: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, last], port))
}

fn view(number: u64) -> DecidedView {
    let members = (1..=3)
        .map(|index| Peer {
            id: member(index),
            address: address(index as u8, 7_380),
        })
        .collect();
    DecidedView {
        view: View {
            number,
            members,
            chain: vec![member(3), member(1)],
        },
        base: number - 2,
    }
}

fn proposal_number(sequence: u64, proposer: u64, incarnation: u64) -> ProposalNumber {
    ProposalNumber {
        sequence,
        proposer: member(proposer),
        incarnation,
    }
}

fn entry(index: u64, payload: Vec<u8>) -> Entry {
    let origin = Origin {
        incarnation: 500 + index,
        ticket: 900 + index,
    };
    Entry {
        position: Position { index, view: 6 },
        origin,
        payload: Payload::from(payload),
    }
}

/// One write of each kind, with distinct values in all fields. The snapshot takes three chunks.
fn writes_of_each_kind() -> Vec<Write> {
    let accepted = AcceptedView {
        proposal_number: proposal_number(21, 2, 22),
        proposal: view(8),
    };
    let bytes: Vec<u8> = (0..35_000u32).map(|index| (index % 251) as u8).collect();
    let snapshot = Snapshot {
        position: Position { index: 2, view: 5 },
        bytes: bytes.into(),
    };
    vec![
        Write::InstallView { decided: view(7) },
        Write::Promise {
            proposal_number: proposal_number(31, 3, 32),
        },
        Write::Accept { accepted },
        Write::Synced { view: 6 },
        Write::Entry {
            entry: entry(1, b"first".to_vec()),
        },
        Write::Entry {
            entry: entry(2, b"second".to_vec()),
        },
        Write::Entry {
            entry: entry(3, b"third".to_vec()),
        },
        Write::Entry {
            entry: entry(4, Vec::new()),
        },
        Write::Entry {
            entry: entry(5, b"truncated".to_vec()),
        },
        Write::Truncate { index: 4 },
        Write::Snapshot { snapshot },
    ]
}

fn fixtures() -> Fixtures {
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR"))
}

/// Dumps all rows. The disk number is masked, as it is random.
fn records(path: &Path) -> String {
    let database = Database::open(path).expect("redb opens the core member's file");
    let values = dump(&database, VALUES, |key, value| match key {
        "disk" => (key.to_owned(), "drawn at random".to_owned()),
        _ => (key.to_owned(), format_value(value)),
    });
    let chunks = dump(&database, SNAPSHOT_CHUNKS, |number, chunk| {
        (number.to_string(), format_value(chunk))
    });
    let entries = dump(&database, ENTRIES, |index, entry| {
        (index.to_string(), format_value(entry))
    });
    values + &chunks + &entries
}

#[test]
fn records_of_a_core_member_have_the_bytes_of_the_earlier_revision() {
    let folder = TemporaryFolder::new("storage-core-records");
    let path = folder.file("core.redb");
    let OpenedDisk { disk, .. } = CoreDisk::open(&path).expect("the file is created");
    // Writing the snapshot removes the entries that the snapshot covers, so the file is also dumped and compared
    // before that write.
    let (snapshot, others) = writes_of_each_kind()
        .split_last()
        .map(|(last, rest)| (last.clone(), rest.to_vec()))
        .expect("at least one write");
    disk.write(&others).expect("the write succeeds");
    drop(disk);
    fixtures().assert_text("core-before-snapshot.txt", &records(&path));
    let OpenedDisk { disk, .. } = CoreDisk::open(&path).expect("the file opens again");
    disk.write(&[snapshot]).expect("the write succeeds");
    drop(disk);
    fixtures().assert_text("core-after-snapshot.txt", &records(&path));
}

fn server(id: &str, port: u16, state: ServerState) -> ServerReport {
    ServerReport {
        id: id.to_owned(),
        backend: "s1".to_owned(),
        address: address(40, port),
        zone: "zone-b".to_owned(),
        generation: "v12".to_owned(),
        slots: 6,
        state,
        sequence: 17,
    }
}

fn node(name: &str, kind: NodeKind, port: u16) -> NodeReport {
    NodeReport {
        name: name.to_owned(),
        kind,
        zone: "zone-c".to_owned(),
        address: address(50, port),
        incarnation: 71,
        disk: 72,
        complete: true,
    }
}

fn budget(sequence: u64, used: u64, change: CounterChange) -> Operation {
    let limiter = LimiterId {
        node: "gateway-1".to_owned(),
        incarnation: 71,
    };
    let program = "program-1".to_owned();
    Operation::Budget(CounterRequest {
        program,
        budget: 9_000,
        limiter,
        sequence,
        used,
        change,
        at_ms: 88_000,
    })
}

/// Operations that the fixture's snapshot covers.
fn operations_before_snapshot() -> Vec<Operation> {
    let body = CONFIGURATION.as_bytes().to_vec();
    vec![
        Operation::Configure(ConfigurationRequest {
            kind: ConfigurationRequestKind::Replace,
            base: 0,
            body,
            fencing_token: 0,
        }),
        Operation::Server(server("server-1", 8_001, ServerState::Ready)),
        Operation::Server(server("server-2", 8_002, ServerState::Draining)),
        Operation::Node(node("gateway-1", NodeKind::Gateway, 7_001)),
        Operation::Node(node("store-1", NodeKind::Store, 7_002)),
        budget(
            1,
            0,
            CounterChange::Lease {
                needed: 300,
                wanted: 700,
                returned: 0,
            },
        ),
    ]
}

/// Operations in the fixture's log after the snapshot.
fn operations_after_snapshot() -> Vec<Operation> {
    vec![
        budget(2, 250, CounterChange::Return { units: 20 }),
        Operation::ServerLeft {
            id: "server-1".to_owned(),
        },
    ]
}

fn entries(first: u64, operations: &[Operation]) -> Vec<Entry> {
    let encoded = operations
        .iter()
        .map(|operation| postcard::to_stdvec(operation).expect("an operation's bytes"));
    (first..)
        .zip(encoded)
        .map(|(index, payload)| entry(index, payload))
        .collect()
}

/// The batches of writes from which the fixture was created.
fn batches() -> Vec<Vec<Write>> {
    let before = operations_before_snapshot();
    let mut state = ControlState::default();
    let outcomes: Vec<Outcome> = before
        .iter()
        .map(|operation| state.apply(operation, &mut Vec::new()))
        .collect();
    assert_eq!(outcomes[0], Outcome::Accepted);
    assert_eq!(
        outcomes[5],
        Outcome::Budget(CounterReply::Granted {
            units: 300,
            left: 8_700
        })
    );
    let index = before.len() as u64;
    let snapshot = Snapshot {
        position: Position { index, view: 6 },
        bytes: state.snapshot().into(),
    };
    let accepted = AcceptedView {
        proposal_number: proposal_number(21, 2, 22),
        proposal: view(8),
    };
    let entry_writes = |entries: Vec<Entry>| {
        entries
            .into_iter()
            .map(|entry| Write::Entry { entry })
            .collect::<Vec<_>>()
    };
    vec![
        vec![
            Write::InstallView { decided: view(7) },
            Write::Synced { view: 6 },
        ],
        entry_writes(entries(1, &before)),
        vec![Write::Snapshot { snapshot }],
        vec![
            Write::Promise {
                proposal_number: proposal_number(31, 3, 32),
            },
            Write::Accept { accepted },
        ],
        entry_writes(entries(index + 1, &operations_after_snapshot())),
    ]
}

#[test]
fn a_core_members_file_of_the_earlier_revision_opens_with_all_its_contents() {
    let folder = TemporaryFolder::new("storage-core-file");
    let path = folder.file("core.redb");
    let OpenedDisk { disk, .. } = CoreDisk::open(&path).expect("the file is created");
    batches()
        .iter()
        .for_each(|batch| disk.write(batch).expect("the write succeeds"));
    drop(disk);
    fixtures().keep_packed("core.redb.packed", &path);
    let written_now = records(&path);

    fixtures().unpack_to("core.redb.packed", &path);
    assert_eq!(records(&path), written_now);
    let OpenedDisk {
        identity,
        contents: saved,
        ..
    } = CoreDisk::open(&path).expect("the earlier revision's file opens");
    assert_eq!(
        identity,
        DiskIdentity {
            disk: FIXTURE_DISK,
            fresh: false
        }
    );
    let mut expected = DurableState::default();
    batches()
        .iter()
        .flatten()
        .for_each(|write| expected.apply(write));
    assert_eq!(saved, expected);
    assert_eq!(saved.decided, Some(view(7)));
    assert_eq!(saved.promised, Some(proposal_number(31, 3, 32)));
    assert_eq!(
        saved.accepted,
        Some(AcceptedView {
            proposal_number: proposal_number(21, 2, 22),
            proposal: view(8)
        })
    );
    assert_eq!(saved.synced_view, 6);
    assert_eq!(saved.entries, entries(7, &operations_after_snapshot()));
}

#[test]
fn the_control_state_in_a_file_of_the_earlier_revision_has_its_values() {
    let folder = TemporaryFolder::new("storage-core-state");
    let path = folder.file("core.redb");
    fixtures().unpack_to("core.redb.packed", &path);
    let OpenedDisk {
        contents: saved, ..
    } = CoreDisk::open(&path).expect("the earlier revision's file opens");
    let snapshot = saved.snapshot.expect("the file has a snapshot");
    assert_eq!(snapshot.position, Position { index: 6, view: 6 });
    let mut state = ControlState::restore(snapshot.bytes.bytes()).expect("the snapshot is read");

    let document = state.configuration().expect("a configuration");
    assert_eq!(
        (document.generation(), document.to_json().as_str()),
        (11, CONFIGURATION)
    );
    let servers: Vec<ServerReport> = state.servers().cloned().collect();
    let ready = server("server-1", 8_001, ServerState::Ready);
    assert_eq!(
        servers,
        [ready, server("server-2", 8_002, ServerState::Draining)]
    );
    let gateways: Vec<NodeReport> = state.gateways().cloned().collect();
    assert_eq!(gateways, [node("gateway-1", NodeKind::Gateway, 7_001)]);
    let stores: Vec<(String, SocketAddr, u64, u64)> = state
        .stores()
        .map(|store| (store.name, store.address, store.incarnation, store.disk))
        .collect();
    assert_eq!(stores, [("store-1".to_owned(), address(50, 7_002), 71, 72)]);
    assert_eq!(
        (
            state.counters().used("program-1"),
            state.counters().leased("program-1")
        ),
        (0, 300)
    );

    for entry in &saved.entries {
        let operation = postcard::from_bytes(entry.payload.bytes()).expect("an operation");
        state.apply(&operation, &mut Vec::new());
    }
    assert_eq!(
        state
            .servers()
            .map(|server| server.id.as_str())
            .collect::<Vec<_>>(),
        ["server-2"]
    );
    assert_eq!(
        (
            state.counters().used("program-1"),
            state.counters().leased("program-1")
        ),
        (250, 30)
    );
}
