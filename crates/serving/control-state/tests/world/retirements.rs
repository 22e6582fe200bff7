//! An operator that retires stores while they register, disappear and return with other disks. A request to retire a
//! store may take effect only while a call for it is pending: after a definite answer, duplicates of earlier calls must
//! have no effect.

use super::callers::{CallAnswer, CallContent, Wake};
use super::{Event, Simulation};
use dunespur_control_state::{NodeKind, NodeReport, Operation};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const STORES: u64 = 3;
/// Maximum pause of the operator between two actions, in milliseconds.
const MAX_PAUSE: u64 = 250;
/// Maximum number of calls for one request before the operator abandons it.
const MAX_ATTEMPTS: u32 = 12;

/// The state of the operator that retires stores.
#[derive(Default)]
pub struct RetirementOperator {
    /// The last number used for an incarnation or a disk.
    last_number: u64,
    /// The store of the pending request, and the number of calls left for it.
    pending_request: Option<(String, u32)>,
    /// Whether a call was made for a store since the last definite answer for it.
    in_flight: BTreeMap<String, bool>,
    pub retirements_begun: u64,
    pub rejected: u64,
}

impl Simulation {
    pub fn next_retirement_call(&mut self, caller: usize) {
        if self.retirement_operator.pending_request.is_none() && self.rng.u32(0..3) > 0 {
            self.submit_store_operation();
            let at = self.now + self.rng.u64(1..MAX_PAUSE);
            return self.schedule(
                at,
                Event::Caller {
                    caller,
                    wake: Wake::Next,
                },
            );
        }
        if self.retirement_operator.pending_request.is_none() {
            let node = format!("s{}", self.rng.u64(0..STORES));
            self.retirement_operator.pending_request =
                Some((node, 1 + self.rng.u32(0..MAX_ATTEMPTS)));
        }
        let (node, _) = self
            .retirement_operator
            .pending_request
            .clone()
            .expect("a request is pending");
        self.retirement_operator
            .in_flight
            .insert(node.clone(), true);
        self.choose_machine(caller);
        self.call(caller, CallContent::Retire(node), None);
    }

    /// Submits an operation of a random store: it registers, maybe with another disk, expires, or reports itself empty.
    fn submit_store_operation(&mut self) {
        let node = format!("s{}", self.rng.u64(0..STORES));
        self.retirement_operator.last_number += 1;
        let number = self.retirement_operator.last_number;
        let disk = if self.rng.bool() { number } else { 1 };
        let processes = self
            .machines
            .iter()
            .filter_map(|machine| machine.process.as_ref());
        let newest = processes
            .filter_map(|process| process.state.stores().find(|store| store.name == node))
            .max_by_key(|store| store.incarnation);
        let (incarnation, epoch) = newest.map_or((0, 0), |store| (store.incarnation, store.epoch));
        let operation = match self.rng.u32(0..4) {
            0..=1 => Operation::Node(NodeReport {
                name: node,
                kind: NodeKind::Store,
                zone: "zone".to_owned(),
                address: SocketAddr::from(([10, 1, 0, 1], 7380)),
                incarnation: number,
                disk,
                complete: true,
            }),
            2 => Operation::NodeExpired {
                name: node,
                incarnation,
            },
            _ => Operation::RetireDone {
                node,
                incarnation,
                epoch,
            },
        };
        let machine = self.rng.usize(..self.machines.len());
        self.submit(machine, &operation);
    }

    /// Handles the end of a call to retire a store; returns the pause before the next action.
    pub fn retirement_call_ended(&mut self, definite: Option<CallAnswer>) -> u64 {
        if let Some((node, attempts_left)) = self.retirement_operator.pending_request.take() {
            if let Some(answer) = &definite {
                self.retirement_operator.in_flight.insert(node, false);
                self.retirement_operator.rejected += u64::from(*answer == CallAnswer::NotRetired);
            } else if attempts_left > 1 {
                self.retirement_operator.pending_request = Some((node, attempts_left - 1));
            }
        }
        1 + self.rng.u64(0..MAX_PAUSE)
    }

    /// Checks that a call is pending for a store whose retirement begins.
    pub fn check_retirement_begun(&mut self, node: &str) {
        self.retirement_operator.retirements_begun += 1;
        if self.retirement_operator.in_flight.get(node) != Some(&true) {
            self.report_violation(format!(
                "{node} is being emptied, although every call to retire it had a definite answer"
            ));
        }
    }
}
