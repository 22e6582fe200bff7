//! The core: the agreed control state, which notices stores by their heartbeats; the list that follows from it
//! comes to everybody, sooner or later.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use dunespur_control_state::{
    ControlState, NodeKind, NodeReport, Operation, Outcome, RetirementOutcome, RetirementState,
    StoreEntry,
};
use dunespur_turn_replication::roster::Store;

use super::{Event, World};

const HEARTBEAT_MS: u64 = 200;
/// What a store says to the core mostly takes up to this long.
const USUAL_DELAY_MS: u64 = 50;
/// Now and then it takes up to this long: its sender may have ended meanwhile, or started again.
const LONGEST_DELAY_MS: u64 = 3_000;

#[derive(Debug, Default)]
pub struct Core {
    state: ControlState,
    pub version: u64,
    heard_at_ms: BTreeMap<String, u64>,
    /// The start of each store's process that last got the list.
    told: BTreeMap<String, u64>,
}

impl Core {
    pub fn new(state: ControlState) -> Self {
        Core {
            state,
            ..Core::default()
        }
    }

    /// The list of stores as it stands.
    pub fn list(&self) -> Vec<Store> {
        self.state.stores().map(store).collect()
    }

    fn entry(&self, name: &str) -> Option<StoreEntry> {
        self.state.stores().find(|entry| entry.name == name)
    }
}

impl World {
    pub(super) fn heartbeats(&mut self) {
        self.after(HEARTBEAT_MS, Event::Heartbeats);
        for number in 0..self.machines.len() {
            if self.machines[number].is_reachable() {
                self.hear(number);
                self.say_emptied(number);
            }
        }
        self.miss_the_silent();
        self.tell_the_new();
    }

    /// Agrees on an operation; everybody is told what it changes.
    pub(super) fn agree(&mut self, operation: &Operation) -> Outcome {
        let mut changes = Vec::new();
        let outcome = self.core.state.apply(operation, &mut changes);
        if !changes.is_empty() {
            self.publish();
        }
        outcome
    }

    /// The operator's order to empty a store: what it came to.
    pub(super) fn order_to_retire(&mut self, name: &str) -> RetirementOutcome {
        let tolerated_losses = self.plan.tolerated as u32;
        let order = |fence| Operation::RetireStart {
            node: name.to_owned(),
            tolerated_losses,
            fencing_token: fence,
        };
        let outcome = match self.agree(&order(0)) {
            Outcome::Fenced {
                fencing_token: fence,
            } => self.agree(&order(fence)),
            outcome => outcome,
        };
        match outcome {
            Outcome::Retire(outcome) => outcome,
            other => panic!("{other:?} is no answer to an order to retire"),
        }
    }

    /// A store's statement that it is empty has come to the core.
    pub(super) fn emptied_heard(&mut self, machine: usize, operation: &Operation) {
        self.agree(operation);
        if self.core.state.retirement(&self.machines[machine].name) == Some(RetirementState::Done) {
            self.emptied(machine);
        }
    }

    fn hear(&mut self, number: usize) {
        let machine = &self.machines[number];
        let report = NodeReport {
            name: machine.name.clone(),
            kind: NodeKind::Store,
            zone: machine.zone.clone(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_380 + number as u16)),
            incarnation: machine.life,
            disk: machine.disk.number,
            complete: machine.node.as_ref().is_some_and(|node| node.is_whole()),
        };
        self.core
            .heard_at_ms
            .insert(report.name.clone(), self.now_ms);
        self.agree(&Operation::Node(report));
    }

    /// A store that has found that it is empty says so, again and again.
    fn say_emptied(&mut self, number: usize) {
        let machine = &self.machines[number];
        let Some(round) = machine.node.as_ref().and_then(|node| node.emptied_in()) else {
            return;
        };
        let said = Operation::RetireDone {
            node: machine.name.clone(),
            incarnation: machine.life,
            epoch: round,
        };
        let most_ms = if self.rng.u8(0..4) == 0 {
            LONGEST_DELAY_MS
        } else {
            USUAL_DELAY_MS
        };
        let delay_ms = self.rng.u64(1..most_ms);
        self.after(
            delay_ms,
            Event::EmptiedHeard {
                machine: number,
                operation: said,
            },
        );
    }

    fn miss_the_silent(&mut self) {
        let silent = |entry: &StoreEntry| {
            let heard_at_ms = self.core.heard_at_ms.get(&entry.name).copied().unwrap_or(0);
            entry.present && self.now_ms.saturating_sub(heard_at_ms) > self.plan.absence.lease_ms
        };
        let lapsed: Vec<StoreEntry> = self.core.state.stores().filter(silent).collect();
        for entry in lapsed {
            self.agree(&Operation::NodeExpired {
                name: entry.name,
                incarnation: entry.incarnation,
            });
        }
    }

    fn publish(&mut self) {
        self.core.version += 1;
        for number in 0..self.machines.len() {
            if self.machines[number].is_reachable() {
                self.tell(number, 200);
            }
        }
        for gateway in 0..self.gateways.len() {
            let lag_ms = self.rng.u64(0..self.gateways[gateway].most_lag_ms);
            let (version, list) = (self.core.version, self.core.list());
            self.after(
                lag_ms,
                Event::ListToGateway {
                    gateway,
                    version,
                    list,
                },
            );
        }
    }

    /// Stores that have just started, or were away, hear the list though it has not changed.
    fn tell_the_new(&mut self) {
        for number in 0..self.machines.len() {
            let machine = &self.machines[number];
            if !machine.is_reachable() {
                self.core.told.remove(&machine.name);
                continue;
            }
            let (name, life) = (machine.name.clone(), machine.life);
            if self.core.told.insert(name, life) != Some(life) {
                self.tell(number, 50);
            }
        }
    }

    fn tell(&mut self, number: usize, most_lag_ms: u64) {
        let lag_ms = self.rng.u64(0..most_lag_ms);
        let event = Event::ListToMachine {
            machine: number,
            life: self.machines[number].life,
            version: self.core.version,
            list: self.core.list(),
        };
        self.after(lag_ms, event);
    }

    pub(super) fn list_to_gateway(&mut self, gateway: usize, version: u64, list: Vec<Store>) {
        let gateway = &mut self.gateways[gateway];
        if version > gateway.version {
            gateway.version = version;
            gateway.list = list;
        }
    }

    /// Whether the core lists the store as one that may be used or emptied.
    pub(super) fn lists(&self, name: &str) -> bool {
        self.core.entry(name).is_some()
    }
}

fn store(entry: StoreEntry) -> Store {
    Store {
        name: entry.name,
        zone: entry.zone,
        address: entry.address,
        incarnation: entry.incarnation,
        disk: entry.disk,
        whole: entry.complete,
        present: entry.present,
        retiring: entry.retiring,
        retired: entry.retired,
        round: entry.epoch,
    }
}
