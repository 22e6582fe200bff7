//! One value of each kind of reply, outcome and change.

use super::values::{address, loads, server_report, turn, view};
use dunespur::messages::{Candidacy, Reply, StateUpdate};
use dunespur_budget::CounterReply;
use dunespur_configuration::Findings;
use dunespur_control_state::{
    Change, GatewayEntry, Outcome, RetirementOutcome, RetirementState, StoreEntry,
};
use dunespur_load_distribution::Update;
use dunespur_turn_replication::message::{Rejection, StoreReply};

/// All replies with the names of their recorded lines.
pub fn all() -> Vec<(&'static str, Reply)> {
    let mut replies = vec![
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
    ];
    replies.extend(
        outcomes()
            .into_iter()
            .map(|(name, outcome)| (name, Reply::Executed(outcome))),
    );
    replies.extend(reads());
    replies
}

fn outcomes() -> Vec<(&'static str, Outcome)> {
    vec![
        ("executed accepted", Outcome::Accepted),
        (
            "executed current",
            Outcome::GenerationConflict { current: 65 },
        ),
        (
            "executed invalid",
            Outcome::Invalid(Findings::one("routes[3].timeout_ms", "is 0")),
        ),
        ("executed forgotten", Outcome::Undetermined),
        ("executed fenced", Outcome::Fenced { fencing_token: 66 }),
        (
            "executed retire taken",
            Outcome::Retire(RetirementOutcome::Accepted),
        ),
        (
            "executed retire unknown",
            Outcome::Retire(RetirementOutcome::UnknownNode),
        ),
        (
            "executed retire too few",
            Outcome::Retire(RetirementOutcome::TooFew),
        ),
        (
            "executed budget granted",
            Outcome::Budget(CounterReply::Granted {
                units: 67,
                left: 68,
            }),
        ),
        (
            "executed budget spent",
            Outcome::Budget(CounterReply::Spent),
        ),
        (
            "executed budget elsewhere",
            Outcome::Budget(CounterReply::LeasedElsewhere { leased: 69 }),
        ),
        (
            "executed budget returned",
            Outcome::Budget(CounterReply::Returned),
        ),
        (
            "executed budget stale",
            Outcome::Budget(CounterReply::Stale),
        ),
        ("executed done", Outcome::Done),
    ]
}

fn reads() -> Vec<(&'static str, Reply)> {
    vec![
        (
            "configuration",
            Reply::Configuration(Some(r#"{"generation":70}"#.to_owned())),
        ),
        ("no configuration", Reply::Configuration(None)),
        (
            "retirement running",
            Reply::Retirement(Some(RetirementState::Running)),
        ),
        (
            "retirement done",
            Reply::Retirement(Some(RetirementState::Done)),
        ),
        (
            "watched",
            Reply::StateUpdate(StateUpdate {
                index: 71,
                complete: true,
                changes: changes(),
                view: Some(view(72)),
            }),
        ),
        ("store found", Reply::Store(chain())),
        (
            "store refused",
            Reply::Store(StoreReply::Rejected(Rejection::Busy)),
        ),
        ("status", Reply::Status("{\"node\":\"front-7\"}".to_owned())),
        ("home", Reply::LoadUpdate(load_update())),
    ]
}

fn changes() -> Vec<Change> {
    vec![
        Change::Configuration {
            generation: 55,
            json: r#"{"generation":55}"#.into(),
        },
        Change::Server(server_report()),
        Change::ServerRemoved {
            id: "server-3".to_owned(),
        },
        Change::Store(store()),
        Change::StoreRemoved {
            name: "store-5".to_owned(),
        },
        Change::Gateway(gateway()),
        Change::GatewayRemoved {
            name: "front-8".to_owned(),
        },
    ]
}

fn store() -> StoreEntry {
    StoreEntry {
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
    }
}

fn gateway() -> GatewayEntry {
    GatewayEntry {
        name: "front-7".to_owned(),
        zone: "zone-a".to_owned(),
        address: address(7, 7102),
        incarnation: 54,
    }
}

fn load_update() -> Update {
    Update {
        incarnation: 61,
        version: 62,
        complete: true,
        loads: loads(),
        wants_table: false,
    }
}

fn chain() -> StoreReply {
    StoreReply::Found {
        turns: vec![turn()],
        missing: Some("r-0".to_owned()),
        has_more: true,
    }
}
