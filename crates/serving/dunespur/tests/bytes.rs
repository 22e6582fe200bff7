//! The bytes that processes of this program exchange, against those that the program before wrote.
//!
//! Messages between processes are postcard: a field or variant that moves, or a type that changes its size, changes
//! these bytes, and no other test would see it. A process of an earlier version would not read them.

use bytes::Bytes;
use dunespur::messages::{
    decode, encode, Candidacy, LeaseRenewals, NodeLease, Reply, Request, StateUpdate, WatchRequest,
};
use dunespur::status::report::{
    BudgetStatus, ControlStatus, CoreStatus, DiskStatus, FrontStatus, GatewayEntryStatus,
    LeaseStatus, LinkStatus, MemberStatus, ProcessStatus, ProgramStatus, ServerStatus,
    ServiceStatus, Status, StoreStatus, TurnsStatus, ViewStatus,
};
use dunespur_budget::{CounterChange, CounterReply, CounterRequest, LimiterId};
use dunespur_chain_replication::{MemberId, Message, Origin, Peer, View};
use dunespur_configuration::Findings;
use dunespur_control_state::{
    Change, GatewayEntry, NodeKind, NodeReport, Operation, Order, OrderKind, Outcome,
    RetireOutcome, RetireState, ServerReport, ServerState, StoreEntry,
};
use dunespur_load_distribution::{Answer, Ask, Known, ServerLoad, Speaker, Statement};
use dunespur_turn_replication::message::{Rejection, StoreReply, StoreRequest};
use dunespur_turn_replication::turn::Turn;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use std::net::SocketAddr;

const REQUESTS: &str = include_str!("bytes/requests.txt");
const REPLIES: &str = include_str!("bytes/replies.txt");
const STATUS: &str = include_str!("bytes/status.json");
const EMPTY_STATUS: &str = include_str!("bytes/empty-status.json");

fn address(last: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, last], port))
}

fn member(number: u8) -> MemberId {
    MemberId {
        node: format!("core-{number}"),
        disk: 0x1122_3344_5566_7700 + u64::from(number),
    }
}

fn peer(number: u8) -> Peer {
    Peer {
        id: member(number),
        address: address(number, 7100),
    }
}

fn view(number: u64) -> View {
    View {
        number,
        members: vec![peer(1), peer(2), peer(3)],
        chain: vec![member(2), member(3)],
    }
}

fn heard() -> LeaseRenewals {
    LeaseRenewals {
        servers: vec!["server-1".to_owned(), "server-2".to_owned()],
        nodes: vec![NodeLease {
            name: "front-7".to_owned(),
            incarnation: 1_764_680_000_123,
        }],
    }
}

fn turn() -> Turn {
    Turn {
        id: "r-2".to_owned(),
        previous: Some("r-1".to_owned()),
        program: "program-5".to_owned(),
        input: Bytes::from_static(b"input"),
        output: Bytes::from_static(b"output\n"),
        ended_at_ms: 1_764_680_000_456,
        retention_ms: 90_000,
    }
}

fn loads() -> Vec<ServerLoad> {
    vec![ServerLoad {
        server: "server-1".into(),
        in_flight: 3,
        waiting_tokens: 4_000,
        in_trouble: 2,
    }]
}

fn server_report() -> ServerReport {
    ServerReport {
        id: "server-1".to_owned(),
        backend: "models".to_owned(),
        address: address(40, 9000),
        zone: "zone-a".to_owned(),
        generation: "v7".to_owned(),
        slots: 8,
        state: ServerState::Draining,
        sequence: 300,
    }
}

/// Every kind of request, and in `Execute` every kind of operation.
fn requests() -> Vec<(&'static str, Request)> {
    let report = NodeReport {
        name: "store-4".to_owned(),
        kind: NodeKind::Store,
        zone: "zone-b".to_owned(),
        address: address(4, 7101),
        incarnation: 1_764_680_000_789,
        disk: 0x0102_0304_0506_0708,
        whole: true,
    };
    let order = Order {
        kind: OrderKind::Patch,
        base: 11,
        body: br#"{"generation":12}"#.to_vec(),
        fence: 13,
    };
    let lease = CounterRequest {
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
    };
    let giving_back = CounterRequest {
        change: CounterChange::Return { units: 19 },
        ..lease.clone()
    };
    let message = Message::Submit {
        view: 21,
        origin: Origin {
            session: 0x8877_6655_4433_2211,
            ticket: 22,
        },
        payload: vec![1, 2, 250].into(),
    };
    let ask = Ask {
        service: "models".into(),
        speaker: Speaker::Home {
            zone: "zone-a".into(),
            gateway: "front-7".into(),
        },
        life: 23,
        version: 24,
        statement: Some(Statement {
            version: 24,
            loads: loads(),
        }),
        known: Known {
            life: 25,
            version: 26,
        },
    };
    vec![
        (
            "chain",
            Request::Chain {
                from: member(1),
                message,
            },
        ),
        ("hello", Request::Hello),
        ("candidate", Request::Candidate { peer: peer(2) }),
        (
            "execute configure",
            Request::Execute(Operation::Configure(order)),
        ),
        (
            "execute server",
            Request::Execute(Operation::Server(server_report())),
        ),
        (
            "execute server left",
            Request::Execute(Operation::ServerLeft {
                id: "server-3".to_owned(),
            }),
        ),
        (
            "execute server expired",
            Request::Execute(Operation::ServerExpired {
                id: "server-3".to_owned(),
                last_sequence: 31,
            }),
        ),
        ("execute node", Request::Execute(Operation::Node(report))),
        (
            "execute node gone",
            Request::Execute(Operation::NodeGone {
                name: "front-7".to_owned(),
                incarnation: 32,
            }),
        ),
        (
            "execute retire start",
            Request::Execute(Operation::RetireStart {
                node: "store-4".to_owned(),
                tolerated_losses: 2,
                fence: 33,
            }),
        ),
        (
            "execute retire done",
            Request::Execute(Operation::RetireDone {
                node: "store-4".to_owned(),
                incarnation: 34,
                round: 35,
            }),
        ),
        (
            "execute budget lease",
            Request::Execute(Operation::Budget(lease)),
        ),
        (
            "execute budget return",
            Request::Execute(Operation::Budget(giving_back)),
        ),
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
                renewals: heard(),
            }),
        ),
        (
            "watch from the start",
            Request::Watch(WatchRequest::default()),
        ),
        ("heard", Request::LeaseRenewals(heard())),
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
        ("home", Request::Home(ask)),
    ]
}

/// Every kind of reply, of outcome and of change.
fn replies() -> Vec<(&'static str, Reply)> {
    let store = StoreEntry {
        name: "store-4".to_owned(),
        zone: "zone-b".to_owned(),
        address: address(4, 7101),
        incarnation: 51,
        disk: 52,
        complete: true,
        present: false,
        retiring: true,
        retired: false,
        epoch: 53,
    };
    let gateway = GatewayEntry {
        name: "front-7".to_owned(),
        zone: "zone-a".to_owned(),
        address: address(7, 7102),
        incarnation: 54,
    };
    let changes = vec![
        Change::Configuration {
            generation: 55,
            json: r#"{"generation":55}"#.into(),
        },
        Change::Server(server_report()),
        Change::ServerGone {
            id: "server-3".to_owned(),
        },
        Change::Store(store),
        Change::StoreGone {
            name: "store-5".to_owned(),
        },
        Change::Gateway(gateway),
        Change::GatewayGone {
            name: "front-8".to_owned(),
        },
    ];
    let answer = Answer {
        life: 61,
        version: 62,
        whole: true,
        loads: loads(),
        wants_statement: false,
    };
    let found = StoreReply::Found {
        turns: vec![turn()],
        missing: Some("r-0".to_owned()),
        has_more: true,
    };
    let executed = |outcome| Reply::Executed(outcome);
    vec![
        ("unavailable", Reply::Unavailable),
        ("view", Reply::View(Some(view(63)))),
        ("no view", Reply::View(None)),
        ("candidacy wait", Reply::Candidacy(Candidacy::Wait)),
        (
            "candidacy found",
            Reply::Candidacy(Candidacy::Found(view(1))),
        ),
        (
            "candidacy join",
            Reply::Candidacy(Candidacy::Join(view(64))),
        ),
        ("executed accepted", executed(Outcome::Accepted)),
        (
            "executed current",
            executed(Outcome::Current { generation: 65 }),
        ),
        (
            "executed invalid",
            executed(Outcome::Invalid(Findings::one(
                "routes[3].timeout_ms",
                "is 0",
            ))),
        ),
        ("executed forgotten", executed(Outcome::Forgotten)),
        ("executed fenced", executed(Outcome::Fenced { fence: 66 })),
        (
            "executed retire taken",
            executed(Outcome::Retire(RetireOutcome::Taken)),
        ),
        (
            "executed retire unknown",
            executed(Outcome::Retire(RetireOutcome::UnknownNode)),
        ),
        (
            "executed retire too few",
            executed(Outcome::Retire(RetireOutcome::TooFew)),
        ),
        (
            "executed budget granted",
            executed(Outcome::Budget(CounterReply::Granted {
                units: 67,
                left: 68,
            })),
        ),
        (
            "executed budget spent",
            executed(Outcome::Budget(CounterReply::Spent)),
        ),
        (
            "executed budget elsewhere",
            executed(Outcome::Budget(CounterReply::Elsewhere { held: 69 })),
        ),
        (
            "executed budget returned",
            executed(Outcome::Budget(CounterReply::Returned)),
        ),
        (
            "executed budget stale",
            executed(Outcome::Budget(CounterReply::Stale)),
        ),
        ("executed done", executed(Outcome::Done)),
        (
            "configuration",
            Reply::Configuration(Some(r#"{"generation":70}"#.to_owned())),
        ),
        ("no configuration", Reply::Configuration(None)),
        (
            "retirement running",
            Reply::Retirement(Some(RetireState::Running)),
        ),
        (
            "retirement done",
            Reply::Retirement(Some(RetireState::Done)),
        ),
        (
            "watched",
            Reply::StateUpdate(StateUpdate {
                index: 71,
                complete: true,
                changes,
                view: Some(view(72)),
            }),
        ),
        ("store found", Reply::Store(found)),
        (
            "store refused",
            Reply::Store(StoreReply::Rejected(Rejection::Busy)),
        ),
        ("status", Reply::Status("{\"node\":\"front-7\"}".to_owned())),
        ("home", Reply::Home(answer)),
    ]
}

/// A status in which each field has a value of its own.
fn status() -> Status {
    let disk = DiskStatus {
        waiting: 201,
        done: 202,
        failed: 203,
    };
    Status {
        node: "core-1".to_owned(),
        role: "gateway".to_owned(),
        version: "9.8.7".to_owned(),
        zone: "zone-a".to_owned(),
        up_ms: 101,
        process: ProcessStatus {
            memory_kb: 102,
            peak_memory_kb: 103,
            processor_ms: 104,
            descriptors: 105,
        },
        link: LinkStatus {
            calls: 106,
            failed: 107,
            watches_lost: 108,
        },
        control: ControlStatus {
            index: Some(109),
            generation: Some(110),
            in_touch: true,
            silent_ms: Some(111),
            follows: Some(address(1, 7100)),
        },
        view: Some(ViewStatus {
            number: 112,
            members: vec![
                MemberStatus {
                    node: "core-1".to_owned(),
                    address: address(1, 7100),
                    chain_position: Some(113),
                },
                MemberStatus {
                    node: "core-2".to_owned(),
                    address: address(2, 7100),
                    chain_position: None,
                },
            ],
        }),
        core: Some(CoreStatus {
            current: true,
            follows: false,
            committed: 114,
            waiting: 115,
            refused_snapshots: 116,
            programs: 117,
            disk,
            leases: vec![LeaseStatus {
                holder: "store-4".to_owned(),
                silent_ms: 118,
                lease_ms: 119,
            }],
        }),
        gateways: vec![GatewayEntryStatus {
            name: "front-7".to_owned(),
            address: address(7, 7102),
            zone: "zone-b".to_owned(),
        }],
        services: vec![ServiceStatus {
            name: "models".to_owned(),
            servers: vec![ServerStatus {
                id: "server-1".to_owned(),
                address: address(40, 9000),
                zone: "zone-c".to_owned(),
                slots: 120,
                draining: true,
                in_flight: 121,
            }],
        }],
        stores: vec![StoreStatus {
            name: "store-4".to_owned(),
            address: address(4, 7101),
            zone: "zone-b".to_owned(),
            present: true,
            complete: false,
            retiring: true,
            retired: false,
        }],
        front: Some(FrontStatus {
            ready: true,
            connections: 122,
            accepted: 123,
            requests: 124,
            refused: 125,
            failed: 126,
            server_connections: 127,
            server_connections_opened: 128,
            body_bytes: 129,
        }),
        budgets: Some(BudgetStatus {
            programs: 130,
            waiting: 131,
        }),
        turns: Some(TurnsStatus {
            turns: 132,
            bytes: 133,
            capacity_bytes: 134,
            complete: true,
            emptied: false,
            incomplete: true,
            waiting: 135,
            disk: DiskStatus {
                waiting: 204,
                done: 205,
                failed: 206,
            },
        }),
        program: Some(ProgramStatus {
            name: "program-5".to_owned(),
            leased_here: Some(136),
            used: Some(137),
            leased: Some(138),
        }),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let digits =
        |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hexadecimal digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

/// Each value is written to the bytes of its line, and read from them.
fn expect_recorded<T>(values: Vec<(&'static str, T)>, recorded: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let written: String = values
        .iter()
        .map(|(name, value)| format!("{name}: {}\n", hex(&encode(value))))
        .collect();
    assert_eq!(written, recorded);
    for ((name, value), line) in values.into_iter().zip(recorded.lines()) {
        let (_, bytes) = line.split_once(": ").expect("a name and bytes");
        assert_eq!(decode::<T>(&bytes_of(bytes)), Some(value), "{name}");
    }
}

#[test]
fn requests_are_written_and_read_as_before() {
    expect_recorded(requests(), REQUESTS);
}

#[test]
fn replies_are_written_and_read_as_before() {
    expect_recorded(replies(), REPLIES);
}

#[test]
fn a_status_is_written_and_read_as_before() {
    for (status, recorded) in [(status(), STATUS), (Status::default(), EMPTY_STATUS)] {
        assert_eq!(status.to_json(), recorded.trim_end());
        assert_eq!(serde_json::from_str::<Status>(recorded).unwrap(), status);
    }
}

/// What an earlier version does not say has its default, and what a later one adds is passed over.
#[test]
fn a_status_of_another_version_is_read_as_far_as_it_is_known() {
    let status: Status = serde_json::from_str(r#"{"node":"core-1","colour":"blue"}"#).unwrap();
    assert_eq!(
        status,
        Status {
            node: "core-1".to_owned(),
            ..Status::default()
        }
    );
}
