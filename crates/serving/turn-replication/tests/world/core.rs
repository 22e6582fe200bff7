//! Simulates the core, which replicates the control state, as a single instance: it tracks stores by their heartbeats,
//! and gateways and stores receive the resulting membership with a delay.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use dunespur_control_state::{
    ControlState, NodeKind, NodeReport, Operation, Outcome, RetirementOutcome, RetirementState,
};
use dunespur_turn_replication::membership::StoreEntry;

use super::{Event, World};

const HEARTBEAT_INTERVAL_MS: u64 = 200;
/// Maximum delay of most reports from a store to the core, in milliseconds.
const USUAL_REPORT_DELAY_MS: u64 = 50;
/// Maximum delay of a report, in milliseconds; its sender may have ended or restarted before it arrives.
const MAX_REPORT_DELAY_MS: u64 = 3_000;
/// Maximum delay of a membership on its way to a store, in milliseconds.
const MAX_MEMBERSHIP_DELAY_MS: u64 = 200;
/// Maximum delay of the first membership on its way to a store that has just started or become reachable again, in
/// milliseconds.
const MAX_FIRST_MEMBERSHIP_DELAY_MS: u64 = 50;

#[derive(Debug, Default)]
pub struct Core {
    state: ControlState,
    pub version: u64,
    last_heartbeat_at_ms: BTreeMap<String, u64>,
    /// For each reachable store: the incarnation that was sent the membership when it started or became reachable.
    informed_incarnations: BTreeMap<String, u64>,
}

impl Core {
    pub fn new(state: ControlState) -> Self {
        Core {
            state,
            ..Core::default()
        }
    }

    /// The current membership.
    pub fn stores(&self) -> Vec<StoreEntry> {
        self.state.stores().collect()
    }

    fn entry(&self, name: &str) -> Option<StoreEntry> {
        self.state.stores().find(|entry| entry.name == name)
    }
}

impl World {
    /// Receives the heartbeats of all reachable stores, expires leases, and sends the membership to stores that need it.
    pub(super) fn process_heartbeats(&mut self) {
        self.schedule_after(HEARTBEAT_INTERVAL_MS, Event::Heartbeats);
        for machine_index in 0..self.machines.len() {
            if self.machines[machine_index].is_reachable() {
                self.receive_heartbeat(machine_index);
                self.report_drained(machine_index);
            }
        }
        self.expire_leases();
        self.send_membership_to_uninformed_stores();
    }

    /// Commits an operation, and sends the new membership to gateways and stores if the operation changed it.
    fn commit(&mut self, operation: &Operation) -> Outcome {
        let mut changes = Vec::new();
        let outcome = self.core.state.apply(operation, &mut changes);
        if !changes.is_empty() {
            self.publish();
        }
        outcome
    }

    /// Requests the retirement of a store, as the operator does: repeats a fenced request with the returned token.
    pub(super) fn request_retirement(&mut self, name: &str) -> RetirementOutcome {
        let tolerated_losses = self.plan.tolerated_losses as u32;
        let request = |fencing_token| Operation::RetireStart {
            node: name.to_owned(),
            tolerated_losses,
            fencing_token,
        };
        let outcome = match self.commit(&request(0)) {
            Outcome::Fenced { fencing_token } => self.commit(&request(fencing_token)),
            outcome => outcome,
        };
        match outcome {
            Outcome::Retire(outcome) => outcome,
            other => panic!("{other:?} is not a valid reply to a request to retire a store"),
        }
    }

    /// Handles the arrival of a "drained" report at the core.
    pub(super) fn drained_received(&mut self, machine: usize, operation: &Operation) {
        self.commit(operation);
        let retirement = self.core.state.retirement(&self.machines[machine].name);
        if retirement == Some(RetirementState::Done) {
            self.remove_drained(machine);
        }
    }

    fn receive_heartbeat(&mut self, machine_index: usize) {
        let machine = &self.machines[machine_index];
        let report = NodeReport {
            name: machine.name.clone(),
            kind: NodeKind::Store,
            zone: machine.zone.clone(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_380 + machine_index as u16)),
            incarnation: machine.incarnation,
            disk: machine.disk.id,
            complete: machine.node.as_ref().is_some_and(|node| node.is_complete()),
        };
        let name = report.name.clone();
        self.core.last_heartbeat_at_ms.insert(name, self.now_ms);
        self.commit(&Operation::Node(report));
    }

    /// Reports to the core that a store is drained; called with every heartbeat.
    fn report_drained(&mut self, machine_index: usize) {
        let machine = &self.machines[machine_index];
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
            MAX_REPORT_DELAY_MS
        } else {
            USUAL_REPORT_DELAY_MS
        };
        let delay_ms = self.rng.u64(1..max_ms);
        let received = Event::DrainedReceived {
            machine: machine_index,
            operation,
        };
        self.schedule_after(delay_ms, received);
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
        for machine_index in 0..self.machines.len() {
            if self.machines[machine_index].is_reachable() {
                self.send_membership(machine_index, MAX_MEMBERSHIP_DELAY_MS);
            }
        }
        for gateway in 0..self.gateways.len() {
            let delay_ms = self.rng.u64(0..self.gateways[gateway].max_delay_ms);
            let update = Event::MembershipToGateway {
                gateway,
                version: self.core.version,
                stores: self.core.stores(),
            };
            self.schedule_after(delay_ms, update);
        }
    }

    /// Sends the unchanged membership to stores that have just started or were unreachable.
    fn send_membership_to_uninformed_stores(&mut self) {
        for machine_index in 0..self.machines.len() {
            let machine = &self.machines[machine_index];
            let informed = &mut self.core.informed_incarnations;
            if !machine.is_reachable() {
                informed.remove(&machine.name);
                continue;
            }
            let incarnation = machine.incarnation;
            if informed.insert(machine.name.clone(), incarnation) != Some(incarnation) {
                self.send_membership(machine_index, MAX_FIRST_MEMBERSHIP_DELAY_MS);
            }
        }
    }

    fn send_membership(&mut self, machine_index: usize, max_delay_ms: u64) {
        let delay_ms = self.rng.u64(0..max_delay_ms);
        let update = Event::MembershipToMachine {
            machine: machine_index,
            incarnation: self.machines[machine_index].incarnation,
            version: self.core.version,
            stores: self.core.stores(),
        };
        self.schedule_after(delay_ms, update);
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

    /// Whether the membership lists the store, which is then in use or draining.
    pub(super) fn is_listed(&self, name: &str) -> bool {
        self.core.entry(name).is_some()
    }
}
