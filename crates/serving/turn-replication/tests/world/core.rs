//! The core: the agreed control state, which tracks stores by their heartbeats. Gateways and stores get the
//! membership that follows from it, sooner or later.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use dunespur_control_state::{
    ControlState, NodeKind, NodeReport, Operation, Outcome, RetirementOutcome, RetirementState,
};
use dunespur_turn_replication::membership::StoreEntry;

use super::{Event, World};

const HEARTBEAT_INTERVAL_MS: u64 = 200;
/// What a store reports to the core usually takes up to this long.
const USUAL_DELAY_MS: u64 = 50;
/// Now and then it takes up to this long: its sender may have ended meanwhile, or started again.
const MAX_DELAY_MS: u64 = 3_000;
/// How far behind the core a store may be.
const MAX_STORE_LAG_MS: u64 = 200;
/// How long a store that has just started waits for the membership.
const MAX_FIRST_MEMBERSHIP_DELAY_MS: u64 = 50;

#[derive(Debug, Default)]
pub struct Core {
    state: ControlState,
    pub version: u64,
    last_heartbeat_at_ms: BTreeMap<String, u64>,
    /// The incarnation of each store that last got the membership.
    notified_incarnations: BTreeMap<String, u64>,
}

impl Core {
    pub fn new(state: ControlState) -> Self {
        Core {
            state,
            ..Core::default()
        }
    }

    /// The membership as it is now.
    pub fn stores(&self) -> Vec<StoreEntry> {
        self.state.stores().collect()
    }

    fn entry(&self, name: &str) -> Option<StoreEntry> {
        self.state.stores().find(|entry| entry.name == name)
    }
}

impl World {
    pub(super) fn exchange_heartbeats(&mut self) {
        self.after(HEARTBEAT_INTERVAL_MS, Event::Heartbeats);
        for number in 0..self.machines.len() {
            if self.machines[number].is_reachable() {
                self.receive_heartbeat(number);
                self.report_drained(number);
            }
        }
        self.expire_leases();
        self.update_new_stores();
    }

    /// Commits an operation; gateways and stores are notified of what it changes.
    fn commit(&mut self, operation: &Operation) -> Outcome {
        let mut changes = Vec::new();
        let outcome = self.core.state.apply(operation, &mut changes);
        if !changes.is_empty() {
            self.publish();
        }
        outcome
    }

    /// The operator orders that a store be drained.
    pub(super) fn order_retirement(&mut self, name: &str) -> RetirementOutcome {
        let tolerated_losses = self.plan.tolerated as u32;
        let order = |fencing_token| Operation::RetireStart {
            node: name.to_owned(),
            tolerated_losses,
            fencing_token,
        };
        let outcome = match self.commit(&order(0)) {
            Outcome::Fenced { fencing_token } => self.commit(&order(fencing_token)),
            outcome => outcome,
        };
        match outcome {
            Outcome::Retire(outcome) => outcome,
            other => panic!("{other:?} is no reply to an order to retire"),
        }
    }

    /// A store's statement that it is drained has arrived at the core.
    pub(super) fn drained_received(&mut self, machine: usize, operation: &Operation) {
        self.commit(operation);
        let retirement = self.core.state.retirement(&self.machines[machine].name);
        if retirement == Some(RetirementState::Done) {
            self.remove_drained(machine);
        }
    }

    fn receive_heartbeat(&mut self, number: usize) {
        let machine = &self.machines[number];
        let report = NodeReport {
            name: machine.name.clone(),
            kind: NodeKind::Store,
            zone: machine.zone.clone(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_380 + number as u16)),
            incarnation: machine.incarnation,
            disk: machine.disk.number,
            complete: machine.node.as_ref().is_some_and(|node| node.is_complete()),
        };
        let name = report.name.clone();
        self.core.last_heartbeat_at_ms.insert(name, self.now_ms);
        self.commit(&Operation::Node(report));
    }

    /// A store that has found that it is drained reports so, again and again.
    fn report_drained(&mut self, number: usize) {
        let machine = &self.machines[number];
        let epoch = machine
            .node
            .as_ref()
            .and_then(|node| node.drained_in_epoch());
        let Some(epoch) = epoch else {
            return;
        };
        let operation = Operation::RetireDone {
            node: machine.name.clone(),
            incarnation: machine.incarnation,
            epoch,
        };
        let max_ms = if self.rng.u8(0..4) == 0 {
            MAX_DELAY_MS
        } else {
            USUAL_DELAY_MS
        };
        let delay_ms = self.rng.u64(1..max_ms);
        let received = Event::DrainedReceived {
            machine: number,
            operation,
        };
        self.after(delay_ms, received);
    }

    fn expire_leases(&mut self) {
        let is_expired = |entry: &StoreEntry| {
            let last_ms = self.core.last_heartbeat_at_ms.get(&entry.name);
            let last_ms = last_ms.copied().unwrap_or(0);
            entry.present && self.now_ms.saturating_sub(last_ms) > self.plan.absence.lease_ms
        };
        let expired: Vec<StoreEntry> = self.core.state.stores().filter(is_expired).collect();
        for entry in expired {
            self.commit(&Operation::NodeExpired {
                name: entry.name,
                incarnation: entry.incarnation,
            });
        }
    }

    fn publish(&mut self) {
        self.core.version += 1;
        for number in 0..self.machines.len() {
            if self.machines[number].is_reachable() {
                self.send_membership(number, MAX_STORE_LAG_MS);
            }
        }
        for gateway in 0..self.gateways.len() {
            let lag_ms = self.rng.u64(0..self.gateways[gateway].max_lag_ms);
            let update = Event::MembershipToGateway {
                gateway,
                version: self.core.version,
                stores: self.core.stores(),
            };
            self.after(lag_ms, update);
        }
    }

    /// Stores that have just started, or were away, get the membership though it has not changed.
    fn update_new_stores(&mut self) {
        for number in 0..self.machines.len() {
            let machine = &self.machines[number];
            let notified = &mut self.core.notified_incarnations;
            if !machine.is_reachable() {
                notified.remove(&machine.name);
                continue;
            }
            let incarnation = machine.incarnation;
            if notified.insert(machine.name.clone(), incarnation) != Some(incarnation) {
                self.send_membership(number, MAX_FIRST_MEMBERSHIP_DELAY_MS);
            }
        }
    }

    fn send_membership(&mut self, number: usize, max_lag_ms: u64) {
        let lag_ms = self.rng.u64(0..max_lag_ms);
        let update = Event::MembershipToMachine {
            machine: number,
            incarnation: self.machines[number].incarnation,
            version: self.core.version,
            stores: self.core.stores(),
        };
        self.after(lag_ms, update);
    }

    pub(super) fn membership_to_gateway(
        &mut self,
        gateway: usize,
        version: u64,
        stores: Vec<StoreEntry>,
    ) {
        let gateway = &mut self.gateways[gateway];
        if version > gateway.version {
            gateway.version = version;
            gateway.stores = stores;
        }
    }

    /// Whether the membership has the store, in use or draining.
    pub(super) fn is_listed(&self, name: &str) -> bool {
        self.core.entry(name).is_some()
    }
}
