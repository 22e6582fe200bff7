//! A status in which every field has a distinct value.

use super::values::address;
use dunespur::status::report::{
    BudgetStatus, ControlStatus, CoreStatus, DiskStatus, FrontStatus, GatewayEntryStatus,
    LeaseStatus, LinkStatus, MemberStatus, ProcessStatus, ProgramStatus, ServerStatus,
    ServiceStatus, Status, StoreStatus, TurnsStatus, ViewStatus,
};

/// A status in which every number is distinct.
pub fn complete() -> Status {
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
        view: Some(view()),
        core: Some(core()),
        gateways: vec![GatewayEntryStatus {
            name: "front-7".to_owned(),
            address: address(7, 7102),
            zone: "zone-b".to_owned(),
        }],
        services: vec![service()],
        stores: vec![store()],
        front: Some(front()),
        budgets: Some(BudgetStatus {
            programs: 130,
            waiting: 131,
        }),
        turns: Some(turns()),
        program: Some(ProgramStatus {
            name: "program-5".to_owned(),
            leased_here: Some(136),
            used: Some(137),
            leased: Some(138),
        }),
    }
}

fn view() -> ViewStatus {
    ViewStatus {
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
    }
}

fn core() -> CoreStatus {
    CoreStatus {
        current: true,
        follows: false,
        committed: 114,
        waiting: 115,
        refused_snapshots: 116,
        programs: 117,
        counter_bytes: 141,
        max_counter_bytes: 142,
        disk: DiskStatus {
            waiting: 201,
            done: 202,
            failed: 203,
        },
        leases: vec![LeaseStatus {
            holder: "store-4".to_owned(),
            silent_ms: 118,
            lease_ms: 119,
        }],
    }
}

fn service() -> ServiceStatus {
    ServiceStatus {
        name: "models".to_owned(),
        servers: vec![ServerStatus {
            id: "server-1".to_owned(),
            address: address(40, 9000),
            zone: "zone-c".to_owned(),
            slots: 120,
            draining: true,
            in_flight: 121,
        }],
    }
}

fn store() -> StoreStatus {
    StoreStatus {
        name: "store-4".to_owned(),
        address: address(4, 7101),
        zone: "zone-b".to_owned(),
        present: true,
        complete: false,
        retiring: true,
        retired: false,
    }
}

fn front() -> FrontStatus {
    FrontStatus {
        ready: true,
        connections: 122,
        accepted: 123,
        requests: 124,
        refused: 125,
        failed: 126,
        server_connections: 127,
        server_connections_opened: 128,
        body_bytes: 129,
    }
}

fn turns() -> TurnsStatus {
    TurnsStatus {
        turns: 132,
        bytes: 133,
        capacity_bytes: 134,
        complete: true,
        emptied: false,
        incomplete: true,
        missing: 140,
        waiting: 135,
        disk: DiskStatus {
            waiting: 204,
            done: 205,
            failed: 206,
        },
    }
}
