//! Stores and turns for the tests of single parts.
#![allow(dead_code)] // Each test file uses a part of it.

use std::net::{Ipv4Addr, SocketAddr};

use bytes::Bytes;
use dunespur_turn_replication::roster::Store;
use dunespur_turn_replication::turn::Turn;

pub const PROGRAM: &str = "3fa81c";

/// A present, whole store.
pub fn store(name: &str, zone: &str) -> Store {
    Store {
        name: name.to_owned(),
        zone: zone.to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_380)),
        incarnation: 1,
        disk: 1,
        whole: true,
        present: true,
        retiring: false,
        retired: false,
        round: 0,
    }
}

/// So many stores, each in a zone of its own.
pub fn stores(count: usize) -> Vec<Store> {
    (0..count)
        .map(|number| store(&format!("storage-{number}"), &format!("zone-{number}")))
        .collect()
}

pub fn turn(id: &str, previous: Option<&str>) -> Turn {
    Turn {
        id: id.to_owned(),
        previous: previous.map(str::to_owned),
        program: PROGRAM.to_owned(),
        input: Bytes::from(format!("input of {id}")),
        output: Bytes::from(format!("output of {id}\n")),
        ended_at_ms: 1_000_000,
        retention_ms: 20_000,
    }
}

/// The names of stores in the order of a program.
pub fn order(program: &str, stores: &[Store]) -> Vec<String> {
    dunespur_turn_replication::placement::order(program, stores)
        .into_iter()
        .map(|store| store.name.clone())
        .collect()
}
