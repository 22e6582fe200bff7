//! Stores and turns for the tests of individual modules.
#![allow(dead_code)] // Each test file uses only a part of this module.

pub mod harness;

use std::net::{Ipv4Addr, SocketAddr};

use bytes::Bytes;
use dunespur_turn_replication::membership::StoreEntry;
use dunespur_turn_replication::turn::Turn;

/// The program of all turns in these tests.
pub const PROGRAM: &str = "3fa81c";

/// A present and complete store.
pub fn store(name: &str, zone: &str) -> StoreEntry {
    StoreEntry {
        name: name.to_owned(),
        zone: zone.to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_380)),
        incarnation: 1,
        disk: 1,
        complete: true,
        present: true,
        retiring: false,
        retired: false,
        epoch: 0,
    }
}

/// `count` present and complete stores, each in its own zone.
pub fn stores(count: usize) -> Vec<StoreEntry> {
    (0..count)
        .map(|number| store(&format!("storage-{number}"), &format!("zone-{number}")))
        .collect()
}

/// A turn whose bodies are derived from its id.
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

/// The names of the stores in the preference list of a program.
pub fn ranked_stores(program: &str, stores: &[StoreEntry]) -> Vec<String> {
    dunespur_turn_replication::placement::preference_list(program, stores)
        .into_iter()
        .map(|store| store.name.clone())
        .collect()
}
